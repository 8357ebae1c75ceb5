"""A member's disk in the model: what its last completed batches left."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.register.acceptor.acceptor import DiskWrite
from spokeroute.register.cells import Cell, Roster


@dataclass(frozen=True, slots=True)
class Disk:
    """What a member's last completed writes left."""

    cells: Map[str, Cell] = field(default_factory=Map)
    roster: Roster | None = None
    votes: bool = False
    starts: int = 1

    def after(self, write: DiskWrite) -> Disk:
        """The disk once a batch is synced.

        Example:
            Disk().after(DiskWrite(1, (), (), None, False)) == Disk()
        """
        cells = self.cells.mutate()
        for name, cell in write.cells:
            cells[name] = cell
        for name in write.deletions:
            cells.pop(name, None)
        if write.roster is None:
            return replace(self, cells=cells.finish())
        return replace(self, cells=cells.finish(), roster=write.roster, votes=write.votes)
