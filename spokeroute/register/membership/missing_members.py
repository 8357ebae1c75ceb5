"""Reports which members have to come back before a core that lost its majority can work again."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from spokeroute.common.ids import Address, MemberId
from spokeroute.register.cells import Roster


@dataclass(frozen=True, slots=True)
class MissingMembers:
    """The members that are away, and how many of their disks are needed for a majority."""

    epoch: int
    members: tuple[tuple[MemberId, Address], ...]
    needed: int

    @property
    def text(self) -> str:
        """The same as a text for operators.

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


def missing_members(roster: Roster, present: Collection[str]) -> MissingMembers:
    """Returns what a roster lacks if only these of its members are present.

    Example:
        missing_members(Roster(Epoch(1), ()), ()).needed == 1
    """
    away = tuple((m, a) for m, a in roster.members if m not in present)
    present_count = len(roster.members) - len(away)
    return MissingMembers(roster.epoch, away, roster.majority - present_count)
