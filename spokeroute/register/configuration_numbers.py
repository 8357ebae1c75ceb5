"""Operators' numbers: one write-once register a number says which content the number means.

A number is bound to the digest of a content at a majority before a configuration is written
under it. Whoever comes with other content finds the number taken, wherever it asks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import NUMBER_PREFIX, Ms, number_register
from spokeroute.register.value_metadata import number_of, with_metadata

MAX_NUMBER = 2**63 - 1
MAX_KEPT_NUMBERS = 4_096
NUMBER_KEEP_MS = 60_000
"""No number is let go this soon after a round was at it: longer than any round lasts."""


@dataclass(frozen=True, slots=True)
class BindNumber:
    """Bind a number to a content, once for all.

    Example:
        >>> BindNumber("c0ffee").decide(0, b"")
        b'c0ffee'
    """

    content: str

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The content's digest where the number has none yet.

        Example:
            >>> BindNumber("c0ffee").decide(1, b"facade") is None
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
        return with_metadata(self.value, value)


def prunable_numbers(
    names: tuple[str, ...], in_force: int, touched_ms: Mapping[str, Ms], now_ms: Ms
) -> tuple[str, ...]:
    """The number registers that a member may let go: neither among the newest, nor at or above
    the number in force, nor touched by a round of late.

    Example:
        >>> prunable_numbers((), 70, {}, Ms(0))
        ()
    """
    if len(names) <= MAX_KEPT_NUMBERS:
        return ()
    least_kept = number_register(in_force)
    return tuple(
        name
        for name in sorted(names)[:-MAX_KEPT_NUMBERS]
        if name < least_kept and now_ms - touched_ms.get(name, now_ms) > NUMBER_KEEP_MS
    )


def is_number_register(name: str) -> bool:
    """Whether a register is a number's.

    Example:
        >>> is_number_register("claim/k1")
        False
    """
    return name.startswith(NUMBER_PREFIX)
