"""The last synced values of the registers that are spread as patches: each patch begins from the
value that its receiver has."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import CONFIGURATION, FLOOR
from spokeroute.common.replacing import replace
from spokeroute.register.cells import EMPTY, Cell

PATCHED = (CONFIGURATION, FLOOR)
KEPT_VALUES = 96  # a placement table changes up to some 20 times a second
KEPT_BYTES = 6 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EarlierValue:
    """One synced value of a register."""

    name: str
    digest: str
    value: bytes


@dataclass(frozen=True, slots=True)
class EarlierValues:
    """Values by register and digest, oldest first, bounded by count and by bytes.

    Example:
        >>> EarlierValues().find("floor", "")
        b''
    """

    kept: tuple[EarlierValue, ...] = ()
    size_bytes: int = 0

    def find(self, name: str, digest: str) -> bytes:
        """A register's value of a digest; empty where it is not kept.

        Example:
            >>> EarlierValues().noted("floor", "d", b"value").find("floor", "d")
            b'value'
        """
        for each in reversed(self.kept):
            if each.digest == digest and each.name == name:
                return each.value
        return b""

    def noted(self, name: str, digest: str, value: bytes) -> EarlierValues:
        """With one more value, without the oldest that there is no room for.

        Example:
            >>> EarlierValues().noted("floor", "d", b"value").size_bytes
            5
        """
        if not value or self.find(name, digest):
            return self
        kept = (*self.kept, EarlierValue(name, digest, value))
        size_bytes = self.size_bytes + len(value)
        while len(kept) > KEPT_VALUES or size_bytes > KEPT_BYTES:
            size_bytes -= len(kept[0].value)
            kept = kept[1:]
        return replace(self, kept=kept, size_bytes=size_bytes)


def note_synced(earlier: EarlierValues, cells: Mapping[str, Cell]) -> EarlierValues:
    """The values that are about to be replaced by later ones, kept.

    Example:
        >>> note_synced(EarlierValues(), {}).kept
        ()
    """
    for name in PATCHED:
        cell = cells.get(name, EMPTY)
        earlier = earlier.noted(name, cell.digest, cell.value)
    return earlier
