"""The acceptor's state: what it promised and accepted, what of that is synced, and who waits."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.effects import Effect
from spokeroute.common.ids import MemberId, Ms
from spokeroute.register.acceptor.claim_ages import ClaimAges
from spokeroute.register.acceptor.outage_state import FIRST_PAUSE_MS, Outage
from spokeroute.register.acceptor.recent_values import RecentValues
from spokeroute.register.cells import Cell, Roster
from spokeroute.register.disk.jobs import DiskWrite


@dataclass(frozen=True, slots=True)
class State:
    """The cells in memory, those on disk, and who waits for the next sync."""

    me: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell] = field(default_factory=Map)
    synced: Map[str, Cell] = field(default_factory=Map)
    dirty: frozenset[str] = frozenset()
    pending_replies: tuple[Effect, ...] = ()
    deletions: tuple[str, ...] = ()
    meta_dirty: bool = False
    writing: DiskWrite | None = None
    writing_replies: tuple[Effect, ...] = ()
    synced_roster: Roster | None = None
    synced_votes: bool = False
    batch: int = 0
    write_started_ms: Ms = Ms(0)  # since when the present sync runs
    last_sync_ms: int = 0  # how long the last one took
    outage: Outage | None = None  # while the store takes no writes
    pause_ms: int = FIRST_PAUSE_MS  # before the store is opened again, should a write fail
    holds_all_accepted: bool = (
        False  # it voted, by its disk, in this process's life: it has all it accepted
    )
    first_seen_ms: Map[str, Ms] = field(
        default_factory=Map
    )  # claims and numbers, by this process's clock
    in_force: int = 0  # an operator's number that was proved to be in force
    claim_accepted_ms: Map[str, Ms] = field(
        default_factory=Map
    )  # claims: when this process accepted it
    next_expiry_ms: Ms = Ms(0)
    absent: tuple[str, ...] = ()
    stopping: bool = False  # it is about to end, and accepts nothing more
    ages: ClaimAges = ClaimAges()
    copy_progress: Map[str, str] = field(default_factory=Map)  # under this epoch, while it joins
    recent_values: RecentValues = RecentValues()  # what patches for the copies elsewhere begin from

    @property
    def epoch(self) -> int:
        """The epoch this member is at; 0 without a roster.

        Example:
            State(me, None, False).epoch == 0
        """
        return self.roster.epoch if self.roster else 0

    @property
    def failed(self) -> bool:
        """Whether this member is read-only because its store takes no writes.

        Example:
            start(me, None, False, Map()).failed == False
        """
        return self.outage is not None


def start(
    me: MemberId,
    roster: Roster | None,
    votes: bool,
    cells: Map[str, Cell],
    ages: ClaimAges = ClaimAges(),  # noqa: B008 - frozen
    copied: Map[str, str] = Map(),  # noqa: B008 - frozen
) -> State:
    """The state as the disk has it.

    Example:
        start(MemberId("m1"), None, False, Map()).epoch == 0
    """
    return State(
        me,
        roster,
        votes,
        cells=cells,
        synced=cells,
        synced_roster=roster,
        synced_votes=votes,
        holds_all_accepted=votes,
        ages=ages,
        copy_progress=copied,
    )
