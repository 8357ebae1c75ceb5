"""State of anti-entropy: what is on disk, which members are heard, and the current transfer."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ballot, MemberId, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.anti_entropy.cell_index import CellIndex, index_of
from spokeroute.register.cells import Cell, Roster
from spokeroute.transport.messages import Copy

FIRST_PAGE_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class LastHeartbeat:
    """A member's last heartbeat."""

    at_ms: Ms
    epoch: int
    votes: bool


@dataclass(frozen=True, slots=True)
class PartialValue:
    """The received beginning of a value that does not fit a page."""

    copy: Copy
    data: bytes


@dataclass(frozen=True, slots=True)
class Transfer:
    """A transfer from one member; at most one page is in flight."""

    source: NodeId
    asked_ms: Ms
    buckets: tuple[int, ...] | None = None  # that still differ; None until the answer arrives
    awaiting_answer: bool = True
    attempts: int = 1
    rest_until_ms: Ms = Ms(0)
    received: Map[int, Map[str, Ballot]] = field(default_factory=Map)  # by bucket; stored or not
    unsynced: Map[str, Ballot] = field(default_factory=Map)
    refused: Map[str, Ballot] = field(default_factory=Map)  # below a promise of this member
    stored: int = 0  # registers


@dataclass(frozen=True, slots=True)
class State:
    """What this member has on disk, which members it hears, and which it still has to ask."""

    me: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell] = field(default_factory=Map)
    born: Map[str, Ms] = field(default_factory=Map)
    index: CellIndex = CellIndex()
    heartbeats: Map[str, LastHeartbeat] = field(default_factory=Map)
    due: Map[NodeId, Ms] = field(default_factory=Map)  # members to ask, and the earliest time
    transfer: Transfer | None = None
    partial: PartialValue | None = None  # kept beyond its transfer
    number: int = 0
    page_bytes: int = FIRST_PAGE_BYTES
    next_routine_ms: Ms = Ms(-1)  # when the next comparison without a cause is due

    @property
    def epoch(self) -> int:
        """The epoch of the roster on disk; 0 without a roster.

        Example:
            State(MemberId("m1"), None, False).epoch == 0
        """
        return self.roster.epoch if self.roster else 0


def start(me: MemberId, roster: Roster | None, votes: bool, cells: Map[str, Cell]) -> State:
    """Returns the state for what is on disk; every other member is due to be asked.

    Example:
        start(MemberId("m1"), None, False, Map()).due == Map()
    """
    state = State(me, roster, votes, cells, index=index_of(cells))
    return replace(state, due=all_due(state))


def others_of(state: State) -> tuple[NodeId, ...]:
    """Returns the members other than this one.

    Example:
        others_of(State(MemberId("m1"), None, False)) == ()
    """
    return tuple(m for m in state.roster.ids if m != state.me) if state.roster else ()


def all_due(state: State) -> Map[NodeId, Ms]:
    """Returns every other member as due to be asked at once.

    Example:
        all_due(State(MemberId("m1"), None, False)) == Map()
    """
    return Map({node: Ms(0) for node in others_of(state)})
