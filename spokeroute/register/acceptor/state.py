"""The acceptor's state: promised and accepted cells, which of them are synced, pending replies."""

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
    """The cells in memory and on disk, the write in progress, and replies that wait for a sync."""

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
    write_started_ms: Ms = Ms(0)  # start of the write in progress
    last_sync_ms: int = 0  # duration of the last write and sync
    outage: Outage | None = None  # set while the store is read-only
    pause_ms: int = FIRST_PAUSE_MS  # delay before reopening after a failed write
    # The disk showed this member as a voter during this process's lifetime, so the store has
    # every value that the member accepted.
    holds_all_accepted: bool = False
    # Claims and configuration numbers, on this process's clock.
    first_seen_ms: Map[str, Ms] = field(default_factory=Map)
    in_force: int = 0  # a configuration number that is proved to have been in force
    # When this process accepted the current value of each claim.
    claim_accepted_ms: Map[str, Ms] = field(default_factory=Map)
    next_expiry_ms: Ms = Ms(0)
    absent: tuple[str, ...] = ()
    stopping: bool = False  # about to exit: promises and accepts nothing more
    ages: ClaimAges = ClaimAges()
    copy_progress: Map[str, str] = field(default_factory=Map)  # while joining, for this epoch
    recent_values: RecentValues = RecentValues()  # bases of patches for other nodes' copies

    @property
    def epoch(self) -> int:
        """The epoch of this member's roster; 0 without a roster.

        Example:
            State(me, None, False).epoch == 0
        """
        return self.roster.epoch if self.roster else 0

    @property
    def failed(self) -> bool:
        """Whether this member is read-only because a store write failed.

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
    """The initial state, from what was loaded from disk.

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
