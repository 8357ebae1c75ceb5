"""A cache of recent synced values, used as the base of patches.

Registers that change often are sent to other nodes as patches of a value that the receiver has.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import CONFIGURATION, FLOOR
from spokeroute.common.replacing import replace
from spokeroute.register.cells import EMPTY, Cell

PATCHED_REGISTERS = (CONFIGURATION, FLOOR)
MAX_RECENT_VALUES = 96  # the placement table changes up to about 20 times a second
MAX_RECENT_BYTES = 6 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RecentValue:
    """One synced value of a register."""

    name: str
    digest: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RecentValues:
    """Values by register and digest, oldest first, bounded by count and by bytes.

    Example:
        >>> RecentValues().find("floor", "")
        b''
    """

    kept: tuple[RecentValue, ...] = ()
    size_bytes: int = 0

    def find(self, name: str, digest: str) -> bytes:
        """The register's value with this digest; empty if it is not cached.

        Example:
            >>> RecentValues().with_value("floor", "d", b"value").find("floor", "d")
            b'value'
        """
        for each in reversed(self.kept):
            if each.digest == digest and each.name == name:
                return each.value
        return b""

    def with_value(self, name: str, digest: str, value: bytes) -> RecentValues:
        """Add a value and evict the oldest ones beyond the bounds.

        Example:
            >>> RecentValues().with_value("floor", "d", b"value").size_bytes
            5
        """
        if not value or self.find(name, digest):
            return self
        kept = (*self.kept, RecentValue(name, digest, value))
        size_bytes = self.size_bytes + len(value)
        while len(kept) > MAX_RECENT_VALUES or size_bytes > MAX_RECENT_BYTES:
            size_bytes -= len(kept[0].value)
            kept = kept[1:]
        return replace(self, kept=kept, size_bytes=size_bytes)


def with_synced_values(earlier: RecentValues, cells: Mapping[str, Cell]) -> RecentValues:
    """Cache the current synced values before later ones replace them.

    Example:
        >>> with_synced_values(RecentValues(), {}).kept
        ()
    """
    for name in PATCHED_REGISTERS:
        cell = cells.get(name, EMPTY)
        earlier = earlier.with_value(name, cell.digest, cell.value)
    return earlier
