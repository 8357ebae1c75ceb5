"""Where a process stands: its zone, and which region each zone belongs to.

Bytes between zones cost something, bytes between regions several times that, and a region is ten
times as far away. Where nobody says which zones belong together, all are of one region.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class Distance(IntEnum):
    """How far away a zone is.

    Example:
        >>> Distance.SAME_ZONE < Distance.SAME_REGION < Distance.OTHER_REGION
        True
    """

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Places:
    """A process's own zone, and the region of each zone that it was told of."""

    zone: str = ""
    regions: Mapping[str, str] = field(default_factory=dict)

    @property
    def region(self) -> str:
        """The region of this process's own zone; empty where none is known.

        Example:
            >>> Places("a", {"a": "north"}).region
            'north'
        """
        return self.regions.get(self.zone, "")

    def allows(self, regions: frozenset[str] | tuple[str, ...], zone: str) -> bool:
        """Whether a zone is of one of these regions; any is where none is named.

        Example:
            >>> Places("a", {"a": "north", "b": "south"}).allows(("north",), "b")
            False
        """
        return not regions or self.regions.get(zone, "") in regions

    def zones_of(self, regions: tuple[str, ...]) -> frozenset[str]:
        """The zones of these regions.

        Example:
            >>> Places("a", {"a": "north", "b": "south"}).zones_of(("south",))
            frozenset({'b'})
        """
        return frozenset(zone for zone, region in self.regions.items() if region in regions)

    def distance(self, zone: str) -> Distance:
        """How far away a zone is. One that no region is known of counts as of this region.

        Example:
            >>> Places("a", {"a": "north", "b": "south"}).distance("b").name
            'OTHER_REGION'
        """
        return self.between(self.zone, zone)

    def between(self, one: str, other: str) -> Distance:
        """How far two zones are from each other.

        Example:
            >>> Places("a", {"b": "south", "c": "south"}).between("b", "c").name
            'SAME_REGION'
        """
        if one == other:
            return Distance.SAME_ZONE
        same = self.regions.get(one, self.region) == self.regions.get(other, self.region)
        return Distance.SAME_REGION if same else Distance.OTHER_REGION
