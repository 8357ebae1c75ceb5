"""What the acceptor and its neighbours of one process tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.register.cells import Roster
from spokeroute.transport.messages import Copy, CopyCell


@dataclass(frozen=True, slots=True)
class Adopt:
    """From the membership: a chosen roster, and whether this member votes under it."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class Adopted:
    """To the membership: the roster is on disk."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class ImportCells:
    """From the membership: cells copied from an old member while joining."""

    cells: tuple[CopyCell, ...]
    reached: tuple[tuple[str, str], ...] = ()  # an old member, and up to where it was copied


@dataclass(frozen=True, slots=True)
class AbsentInstances:
    """From placement: instances on the floor that are gone or going by the newest listing."""

    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellAccepted:
    """To the role: this member accepted a value of its register, chosen or not."""

    copy: Copy
