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
    born: dict[str, int] = field(default_factory=dict)
    ran_ms: int = 0
    copied: tuple[int, dict[str, str]] = (0, {})
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
            self.born.pop(name, None)
        self.born.update(job.born)
        self.ran_ms = job.ran_ms or self.ran_ms
        if job.copied and job.roster is not None:
            self.copied = (job.roster.epoch, dict(job.copied))
        if job.roster is not None:
            self.roster, self.votes = job.roster, job.votes

    def reached(self) -> dict[str, str]:
        """Up to where this disk's member has copied the others, under the roster that it has."""
        epoch, reached = self.copied
        return reached if self.roster is not None and self.roster.epoch == epoch else {}
