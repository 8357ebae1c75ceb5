"""Operators' numbers: one write-once register a number says which content the number means.

A number is bound to the digest of a content at a majority before a configuration is written
under it. Whoever comes with other content finds the number taken, wherever it asks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import NUMBER_PREFIX, Ms, number_register
from spokeroute.register.stamps import number_of, stamped

MAX_NUMBER = 2**63 - 1
NUMBERS_KEPT = 4_096
NUMBER_KEEP_MS = 60_000
"""No number is let go this soon after a round was at it: longer than any round lasts."""


@dataclass(frozen=True, slots=True)
class Bind:
    """Bind a number to a content, once for all.

    Example:
        >>> Bind("c0ffee").decide(0, b"")
        b'c0ffee'
    """

    content: str

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The content's digest where the number has none yet.

        Example:
            >>> Bind("c0ffee").decide(1, b"facade") is None
            True
        """
        return None if version else self.content.encode()


@dataclass(frozen=True, slots=True)
class HighestWins:
    """Write a configuration if its number is above the one that stands.

    Example:
        >>> HighestWins((7).to_bytes(8, "big")).decide(0, b"") is not None
        True
    """

    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The value where its number is higher.

        Example:
            >>> HighestWins((7).to_bytes(8, "big")).decide(1, (7).to_bytes(8, "big")) is None
            True
        """
        if number_of(self.value) <= number_of(value):
            return None
        return stamped(self.value, value)


def outdated(
    names: tuple[str, ...], in_force: int, touched_ms: Mapping[str, Ms], now_ms: Ms
) -> tuple[str, ...]:
    """The number registers that a member may let go: neither among the newest, nor at or above
    the number in force, nor touched by a round of late.

    Example:
        >>> outdated((), 70, {}, Ms(0))
        ()
    """
    if len(names) <= NUMBERS_KEPT:
        return ()
    least_kept = number_register(in_force)
    return tuple(
        name
        for name in sorted(names)[:-NUMBERS_KEPT]
        if name < least_kept and now_ms - touched_ms.get(name, now_ms) > NUMBER_KEEP_MS
    )


def is_number(name: str) -> bool:
    """Whether a register is a number's.

    Example:
        >>> is_number("claim/k1")
        False
    """
    return name.startswith(NUMBER_PREFIX)
