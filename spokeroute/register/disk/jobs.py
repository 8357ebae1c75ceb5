"""What the acceptor asks of the thread that owns the store, and what that thread reports."""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from spokeroute.register.cells import Cell, Roster


@dataclass(frozen=True, slots=True)
class DiskWrite:
    """A job for the disk's thread: put these cells and sync, drop those names."""

    batch: int
    cells: tuple[tuple[str, Cell], ...]
    deletions: tuple[str, ...]
    roster: Roster | None
    votes: bool
    first_seen_ms: tuple[
        tuple[str, int], ...
    ] = ()  # claims: at which running time of the disk they came
    total_uptime_ms: int = 0  # how long the disk's processes ran by now, all lives together
    copy_progress: Map[str, str] = Map()  # while it joins: old members, and up to which name


@dataclass(frozen=True, slots=True)
class DiskDone:
    """A batch is synced."""

    batch: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """A write failed, of a batch or of ledger entries: nothing is known of what is on the disk,
    and the environment may be unusable."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReopenStore:
    """A job for the disk's thread: open the environment anew, prove that it takes a write of
    ``probe_bytes``, and read back all that it holds."""

    probe_bytes: int


@dataclass(frozen=True, slots=True)
class StoreReopened:
    """The store takes writes again, and this is what it holds."""

    roster: Roster | None
    votes: bool
    cells: Map[str, Cell]


@dataclass(frozen=True, slots=True)
class ReopenFailed:
    """The store could not be opened, read or written."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreWritable:
    """To the membership: whether this member's store takes writes from now on."""

    writable: bool
