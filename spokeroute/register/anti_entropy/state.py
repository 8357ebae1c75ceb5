"""The state of anti-entropy: what is on disk, who is heard, and what is being taken from whom."""

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
class Heard:
    """A member's last heartbeat."""

    at_ms: Ms
    epoch: int
    votes: bool


@dataclass(frozen=True, slots=True)
class Part:
    """The beginning of a value that does not fit a page."""

    copy: Copy
    data: bytes


@dataclass(frozen=True, slots=True)
class Transfer:
    """What is being taken from one member; at most one page is on its way."""

    source: NodeId
    asked_ms: Ms
    buckets: tuple[int, ...] | None = None  # those that still differ; None before it is known
    waits: bool = True  # for an answer
    tries: int = 1
    rest_until_ms: Ms = Ms(0)
    handed: Map[int, Map[str, Ballot]] = field(default_factory=Map)  # by bucket; taken or not
    unsynced: Map[str, Ballot] = field(default_factory=Map)
    refused: Map[str, Ballot] = field(default_factory=Map)  # below a promise that was given here
    cells: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """What this member has on disk, whom it hears, and whom it still has to ask."""

    me: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell] = field(default_factory=Map)
    born: Map[str, Ms] = field(default_factory=Map)
    index: CellIndex = CellIndex()
    heard: Map[str, Heard] = field(default_factory=Map)
    due: Map[NodeId, Ms] = field(default_factory=Map)  # whom to ask, and not before when
    transfer: Transfer | None = None
    part: Part | None = None  # outlives its transfer
    number: int = 0
    page_bytes: int = FIRST_PAGE_BYTES
    idle_ms: Ms = Ms(-1)

    @property
    def epoch(self) -> int:
        """The epoch on disk; 0 without a roster.

        Example:
            State(MemberId("m1"), None, False).epoch == 0
        """
        return self.roster.epoch if self.roster else 0


def start(me: MemberId, roster: Roster | None, votes: bool, cells: Map[str, Cell]) -> State:
    """The state as the disk has it: every other member is to be asked.

    Example:
        start(MemberId("m1"), None, False, Map()).due == Map()
    """
    state = State(me, roster, votes, cells, index=index_of(cells))
    return replace(state, due=all_due(state))


def others_of(state: State) -> tuple[NodeId, ...]:
    """The members but this one.

    Example:
        others_of(State(MemberId("m1"), None, False)) == ()
    """
    return tuple(m for m in state.roster.ids if m != state.me) if state.roster else ()


def all_due(state: State) -> Map[NodeId, Ms]:
    """Every other member is to be asked, at once.

    Example:
        all_due(State(MemberId("m1"), None, False)) == Map()
    """
    return Map({node: Ms(0) for node in others_of(state)})
