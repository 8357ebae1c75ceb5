"""A simulated member's disk: what is synced, and how it fails."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from immutables import Map

from spokeroute.common.ids import MemberId
from spokeroute.ledger.writer import LedgerFailed, LedgerWrite, LedgerWritten
from spokeroute.register.cells import Cell, Roster
from spokeroute.register.disk.jobs import (
    DiskDone,
    DiskFailed,
    DiskWrite,
    ReopenFailed,
    StoreReopened,
)

if TYPE_CHECKING:
    from tests.sim.world import Node

WHOLLY_THERE = 0.3  # of the batches whose write failed
Steps = Generator[Any, Any, None]


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
        for name in job.deletions:
            self.cells.pop(name, None)
            self.born.pop(name, None)
        self.born.update(job.first_seen_ms)
        self.ran_ms = job.total_uptime_ms or self.ran_ms
        if job.copy_progress and job.roster is not None:
            self.copied = (job.roster.epoch, dict(job.copy_progress))
        if job.roster is not None:
            self.roster, self.votes = job.roster, job.votes

    def reached(self) -> dict[str, str]:
        """Up to where this disk's member has copied the others, under the roster that it has."""
        epoch, reached = self.copied
        return reached if self.roster is not None and self.roster.epoch == epoch else {}


def write(node: Node, actor: str, job: DiskWrite, born: int) -> Steps:
    """A batch of cells: written, or refused and perhaps there."""
    disk = node.disk
    assert disk is not None
    disk.writing += 1
    yield node.env.timeout(disk.sync_ms)
    while node.env.now < disk.stalled_until_ms:
        yield node.env.timeout(disk.stalled_until_ms - node.env.now)
    disk.writing -= 1
    if node.births != born:
        return  # killed before the sync: the tail is gone
    if disk.full and not disk.broken and node.sim.rng.random() < WHOLLY_THERE:
        disk.put(job)  # its last step failed, and it is there nevertheless
    if disk.full or disk.broken:
        disk.broken = True
        node.report(actor, DiskFailed("full"), born)
        return
    if not disk.loses_writes:
        disk.put(job)
    node.report(actor, DiskDone(job.batch), born)


def reopen(node: Node, actor: str, born: int) -> Steps:
    """The store opened anew, after the batches that are on their way."""
    disk = node.disk
    assert disk is not None
    yield node.env.timeout(disk.sync_ms)
    while disk.writing or node.env.now < disk.stalled_until_ms:
        yield node.env.timeout(1)
    if node.births != born:
        return
    if disk.full:
        node.report(actor, ReopenFailed("still full"), born)
        return
    disk.broken = False
    node.report(actor, StoreReopened(disk.roster, disk.votes, Map(disk.cells)), born)


def ledger(node: Node, actor: str, job: LedgerWrite, born: int) -> Steps:
    """Ledger entries: written, or refused."""
    disk = node.disk
    assert disk is not None
    yield node.env.timeout(disk.sync_ms)
    if node.births != born:
        return
    low, high = job.entries[0][0], job.entries[-1][0]
    if disk.full or disk.broken:
        disk.broken = True
        node.report(actor, LedgerFailed(low, high, job.ack_to), born)
        node.report("acceptor", DiskFailed("full"), born)
        return
    disk.ledger.update(job.entries)
    for key, _ in job.entries:
        node.sim.entered.setdefault(key, node.env.now)
    node.report(actor, LedgerWritten(low, high, job.ack_to), born)
