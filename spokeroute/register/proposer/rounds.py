"""The proposer's state: open rounds of each register, and contact with the other members."""

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
CONTACT_MS = 1_200  # two heartbeat intervals and the transit time
COUNTERS_PER_INCARNATION = 2**32


@dataclass(frozen=True, slots=True)
class Operation:
    """A request and its progress."""

    ask: Ask
    deadline_ms: Ms
    offered: str = ""  # digest of our value, which members may have accepted
    fail_fast_after_ms: Ms = Ms(-1)  # then fails without a reachable majority


@dataclass(frozen=True, slots=True)
class Round:
    """The open round of one register."""

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
    """Open rounds, operations queued behind them, and hints for members that missed values."""

    me: MemberId
    seed: int
    roster: Roster | None = None
    rounds: Map[str, Round] = field(default_factory=Map)
    queue: Map[str, tuple[Operation, ...]] = field(default_factory=Map)
    counters_seen: Map[str, int] = field(default_factory=Map)
    counter_floor: int = 0  # counters up to this one are never used again, in any register
    incarnation: int = 0  # answers to an earlier incarnation are ignored
    contact_ms: Map[str, Ms] = field(default_factory=Map)  # last contact in both directions
    hints: Map[str, Map[str, Copy]] = field(default_factory=Map)
    round_timeout_ms: int = ROUND_MS  # adapted to slow disks
    last_heard: Map[str, tuple[int, Ms]] = field(default_factory=Map)  # incarnation and time
    backoff_draws: int = 0
    known_values: KnownValues = field(default_factory=Map)


def start(me: MemberId, seed: int, roster: Roster | None, incarnation: int) -> State:
    """The state at process start; ``incarnation`` counts the starts recorded on the disk.

    Each incarnation uses its own range of counters. Otherwise an answer to a ballot of an earlier
    incarnation would count in this one.

    Example:
        start(MemberId("m1"), 7, None, 1).used == 0
    """
    return State(
        me,
        seed,
        roster,
        counter_floor=(incarnation - 1) * COUNTERS_PER_INCARNATION,
        incarnation=incarnation,
    )


def in_contact(state: State, node: NodeId, now_ms: Ms) -> State:
    """Record an answer from another member, which proves contact in both directions.

    Example:
        state = in_contact(state, NodeId("m2"), now_ms)
    """
    contact_ms = state.contact_ms
    return state if node == state.me else replace(state, contact_ms=contact_ms.set(node, now_ms))


def members_without_contact(state: State, now_ms: Ms) -> tuple[str, ...]:
    """Members that this process has had no contact with within ``CONTACT_MS``.

    Example:
        members_without_contact(state, now_ms) == ("m2",)
    """
    ids = state.roster.ids if state.roster else ()
    return tuple(
        member
        for member in ids
        if member != state.me
        and (member not in state.contact_ms or now_ms - state.contact_ms[member] >= CONTACT_MS)
    )


def lacks_majority(state: State, now_ms: Ms) -> bool:
    """Whether this process, counting itself, lacks contact with a majority of the roster.

    Example:
        lacks_majority(start(MemberId("m1"), 7, None, 1), Ms(0))
    """
    roster = state.roster
    return (
        roster is None
        or len(roster.ids) - len(members_without_contact(state, now_ms)) < roster.majority
    )
