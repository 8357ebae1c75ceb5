"""A simulated member's disk: what is synced, and how it fails."""

from __future__ import annotations

from dataclasses import dataclass, field

from spokeroute.common.ids import MemberId
from spokeroute.register.cells import Cell, Roster
from spokeroute.register.store import DiskWrite


@dataclass
class SimDisk:
    """A member's disk. ``cells`` is what is synced."""

    member: MemberId
    cells: dict[str, Cell] = field(default_factory=dict)
    roster: Roster | None = None
    votes: bool = False
    ledger: dict[str, str] = field(default_factory=dict)
    starts: int = 0
    sync_ms: float = 0.5
    stalled_until_ms: float = 0.0
    full: bool = False  # writes fail, and so does opening it anew
    broken: bool = False  # a write failed: only opening it anew helps
    writing: int = 0  # batches on their way: it is opened anew after them
    loses_writes: bool = False  # a planted fault: says synced, and is not

    def put(self, job: DiskWrite) -> None:
        """A batch is there, wholly."""
        self.cells.update(job.cells)
        for name in job.drops:
            self.cells.pop(name, None)
        if job.roster is not None:
            self.roster, self.votes = job.roster, job.votes
