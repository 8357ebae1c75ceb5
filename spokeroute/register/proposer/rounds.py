"""Open rounds of registers, and with which members this process has contact."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ballot, MemberId, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.cells import Roster
from spokeroute.register.changes import Ask
from spokeroute.register.proposer.known_values import KnownValues
from spokeroute.transport.messages import Copy, Promise

ROUND_MS = 400
CONTACT_MS = 1_200  # a member is in contact that was heard this lately: two heartbeats, and a way
COUNTERS_PER_LIFE = 2**32


@dataclass(frozen=True, slots=True)
class Operation:
    """An ask and how far it came."""

    ask: Ask
    deadline_ms: Ms
    offered: str = ""  # digest of a value of ours that members may have accepted
    fail_fast_after_ms: Ms = Ms(-1)  # from when it is given up without a majority in contact


@dataclass(frozen=True, slots=True)
class Round:
    """One register's open round."""

    op: Operation
    ballot: Ballot
    retry_at_ms: Ms
    starts_ms: Ms
    attempt: int
    promises: Map[str, Promise] = field(default_factory=Map)
    offer: Copy | None = None
    value: bytes = b""
    wrote: bool = False
    accepted: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class State:
    """Open rounds, what waits behind them, and hints for members that missed some."""

    me: MemberId
    seed: int
    roster: Roster | None = None
    rounds: Map[str, Round] = field(default_factory=Map)
    queue: Map[str, tuple[Operation, ...]] = field(default_factory=Map)
    counters_seen: Map[str, int] = field(default_factory=Map)
    counter_floor: int = 0  # no counter up to here is drawn again, whatever the register
    incarnation: int = 0  # this process's own: answers to an earlier one are void
    contact_ms: Map[str, Ms] = field(default_factory=Map)  # when both ways were last known open
    hints: Map[str, Map[str, Copy]] = field(default_factory=Map)
    round_timeout_ms: int = ROUND_MS  # how long a round may take: learned, as disks may be slow
    last_heard: Map[str, tuple[int, Ms]] = field(default_factory=Map)  # which life, and when
    backoff_draws: int = 0
    known_values: KnownValues = field(default_factory=Map)


def start(me: MemberId, seed: int, roster: Roster | None, life: int) -> State:
    """The state at a process's start; ``life`` counts the starts of its disk. Each life draws
    from counters of its own: an answer to an earlier life's ballot would count in this one.

    Example:
        start(MemberId("m1"), 7, None, 1).used == 0
    """
    return State(me, seed, roster, counter_floor=(life - 1) * COUNTERS_PER_LIFE, incarnation=life)


def in_contact(state: State, node: NodeId, now_ms: Ms) -> State:
    """Another member answered: both ways between it and this process are open.

    Example:
        state = in_contact(state, NodeId("m2"), now_ms)
    """
    contact_ms = state.contact_ms
    return state if node == state.me else replace(state, contact_ms=contact_ms.set(node, now_ms))


def members_without_contact(state: State, now_ms: Ms) -> tuple[str, ...]:
    """Members that this process has had no contact with lately.

    Example:
        silent(state, now_ms) == ("m2",)
    """
    ids = state.roster.ids if state.roster else ()
    return tuple(
        member
        for member in ids
        if member != state.me
        and (member not in state.contact_ms or now_ms - state.contact_ms[member] >= CONTACT_MS)
    )


def lacks_majority(state: State, now_ms: Ms) -> bool:
    """Whether this process has contact with no majority of the roster, itself counted.

    Example:
        alone(start(MemberId("m1"), 7, None, 1), Ms(0))
    """
    roster = state.roster
    return (
        roster is None
        or len(roster.ids) - len(members_without_contact(state, now_ms)) < roster.majority
    )
