"""Operators' configuration numbers: one write-once register per number binds it to a content.

A number is bound to the digest of a content at a majority before a configuration is written with
it. A request with the same number and other content is refused by every registry.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import NUMBER_PREFIX, Ms, number_register
from spokeroute.register.value_metadata import number_of, with_metadata

MAX_NUMBER = 2**63 - 1
MAX_KEPT_NUMBERS = 4_096
NUMBER_KEEP_MS = 60_000
"""A number is not dropped this soon after a round used it: longer than any round lasts."""


@dataclass(frozen=True, slots=True)
class BindNumber:
    """Binds a number to a content permanently.

    Example:
        >>> BindNumber("c0ffee").decide(0, b"")
        b'c0ffee'
    """

    content: str

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns the content's digest if the number has none yet.

        Example:
            >>> BindNumber("c0ffee").decide(1, b"facade") is None
            True
        """
        return None if version else self.content.encode()


@dataclass(frozen=True, slots=True)
class HighestWins:
    """Writes a configuration if its number is higher than the current one.

    Example:
        >>> HighestWins((7).to_bytes(8, "big")).decide(0, b"") is not None
        True
    """

    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns the value if its number is higher.

        Example:
            >>> HighestWins((7).to_bytes(8, "big")).decide(1, (7).to_bytes(8, "big")) is None
            True
        """
        if number_of(self.value) <= number_of(value):
            return None
        return with_metadata(self.value, value)


def prunable_numbers(
    names: tuple[str, ...], in_force: int, used_ms: Mapping[str, Ms], now_ms: Ms
) -> tuple[str, ...]:
    """Returns the number registers that a member may drop: those that are not among the newest, are
    below the number in force, and have not been used by a round recently.

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
        if name < least_kept and now_ms - used_ms.get(name, now_ms) > NUMBER_KEEP_MS
    )


def is_number_register(name: str) -> bool:
    """Returns whether a register belongs to a configuration number.

    Example:
        >>> is_number_register("claim/k1")
        False
    """
    return name.startswith(NUMBER_PREFIX)
