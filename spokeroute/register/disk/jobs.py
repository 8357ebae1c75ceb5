"""Jobs for the thread that owns the store, and the results that it reports."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from spokeroute.register.cells import Cell, Roster


@dataclass(frozen=True, slots=True)
class DiskWrite:
    """Job: write these cells and delete those names in one synced transaction."""

    batch: int
    cells: tuple[tuple[str, Cell], ...]
    deletions: tuple[str, ...]
    roster: Roster | None
    votes: bool
    first_seen_ms: tuple[tuple[str, int], ...] = ()  # claims, in cumulative uptime
    total_uptime_ms: int = 0  # of the disk's processes, summed over restarts
    copy_progress: Map[str, str] = Map()  # while joining: old member -> last name copied


@dataclass(frozen=True, slots=True)
class DiskDone:
    """Result: a batch is synced."""

    batch: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Result: a write of a batch or of ledger entries failed.

    It is unknown whether the write is on disk, and the environment may be unusable.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class ReopenStore:
    """Job: reopen the environment, verify it with a write of ``probe_bytes``, and load it."""

    probe_bytes: int


@dataclass(frozen=True, slots=True)
class StoreReopened:
    """Result: the store accepts writes again and has these contents."""

    roster: Roster | None
    votes: bool
    cells: Map[str, Cell]


@dataclass(frozen=True, slots=True)
class ReopenFailed:
    """Result: the store could not be opened, read or written."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreWritable:
    """To membership: whether this member's store accepts writes from now on."""

    writable: bool
