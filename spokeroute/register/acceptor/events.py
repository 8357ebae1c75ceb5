"""Events between the acceptor and other actors of the same process."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.register.cells import Roster
from spokeroute.transport.messages import Copy, CopyCell


@dataclass(frozen=True, slots=True)
class Adopt:
    """From membership: a chosen roster, and whether this member votes under it."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class Adopted:
    """To membership: the roster has been synced."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class ImportCells:
    """From membership: cells that a joining member copied from a member of the old roster."""

    cells: tuple[CopyCell, ...]
    reached: tuple[tuple[str, str], ...] = ()  # old member, last register name copied from it


@dataclass(frozen=True, slots=True)
class AbsentInstances:
    """From placement: instances in the placement table that the newest platform listing shows as
    gone or stopping."""

    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellAccepted:
    """To role: this member accepted a value of the placement register, chosen or not."""

    copy: Copy
