"""Past the tolerance: whose disks would bring a core back that has no majority."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from spokeroute.common.ids import Address, MemberId
from spokeroute.register.cells import Roster


@dataclass(frozen=True, slots=True)
class MissingMembers:
    """Members that are away, and how many of their disks make a majority again."""

    epoch: int
    members: tuple[tuple[MemberId, Address], ...]
    needed: int

    @property
    def text(self) -> str:
        """The same for people.

        Example:
            MissingMembers(1, ((MemberId("m1"), Address("h:1")),), 1).text
        """
        if not self.members:
            return "no majority answered in time; silent members: none"
        names = ", ".join(f"{m} at {a}" for m, a in self.members)
        if self.needed <= 0:
            return f"no majority answered in time; silent members: {names}"
        return (
            f"no majority of epoch {self.epoch} answered; silent members: {names}; "
            f"start any {self.needed} of them again with their disks"
        )


def missing_members(roster: Roster, here: Collection[str]) -> MissingMembers:
    """What a roster lacks where only these of its members are here.

    Example:
        missing_members(Roster(Epoch(1), ()), ()).needed == 1
    """
    away = tuple((m, a) for m, a in roster.members if m not in here)
    present = len(roster.members) - len(away)
    return MissingMembers(roster.epoch, away, roster.majority - present)
