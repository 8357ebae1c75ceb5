"""Handover: copies what a member that leaves without a successor may hold alone to a majority of
the members that stay.

The members' accepted ballots are compared page by page. What a staying member lacks is sent to it
as a repeated accept of its round, which is safe at any time. When a majority of the staying members
has everything, the leaving member stops accepting, compares once more, and may then stop.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.common.ids import NO_BALLOT, Ballot, MemberId, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.cells import ballot_of
from spokeroute.register.membership.accepted_copies import HandOverRegisters, SuspendAccepts
from spokeroute.transport.messages import HeldAsk, HeldPart

PAGE_RETRY_MS = 300  # after which an unanswered page is requested again
RECHECK_MS = 60  # after sending registers, before the next comparison
MAX_SUSPENDED_MS = 1_000  # a member that can't stop accepts again after this
MAX_REGISTERS_AT_ONCE = 200  # per member


@dataclass(frozen=True, slots=True)
class StartHandover:
    """From membership: this member leaves, and these members stay."""

    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class CancelHandover:
    """From membership: this member is still needed and goes on accepting."""


@dataclass(frozen=True, slots=True)
class State:
    """The members to compare with, and their ballots in the current comparison."""

    me: MemberId
    members: tuple[MemberId, ...] | None = None  # None while there is no handover
    nonce: int = 0
    ballots: Map[str, Map[str, Ballot]] = field(default_factory=Map)  # by member and register
    next_page: Map[str, str] = field(default_factory=Map)  # absent: all pages have arrived
    asked_ms: Ms = Ms(0)
    handed_over_ms: Ms = Ms(-1)  # when this comparison sent registers to a member
    suspended_ms: Ms = Ms(-1)  # since when this member accepts nothing
    done: bool = False


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """Handles one event of the handover.

    Example:
        state, effects = step(State(MemberId("m1")), StartHandover((MemberId("m2"),)), now_ms)
    """
    match event:
        case StartHandover(members) if members != state.members:
            return _start_comparison(replace(state, members=members, done=not members), now_ms)
        case CancelHandover() if state.members is not None:
            state = replace(state, members=None, suspended_ms=Ms(-1), done=False)
            return state, (Tell("acceptor", SuspendAccepts(False)),)
        case From(node, _, HeldPart() as page):
            return _page_received(state, node, page, now_ms)
        case Tick() if state.members and not state.done:
            return _tick(state, now_ms)
    return state, ()


def _start_comparison(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Requests the first page of ballots from this member itself and from the staying members."""
    everyone = (state.me, *(state.members or ()))
    state = replace(
        state,
        nonce=state.nonce + 1,
        ballots=Map(),
        next_page=Map({m: "" for m in everyone}),
        asked_ms=now_ms,
        handed_over_ms=Ms(-1),
    )
    return state, tuple(Send(NodeId(m), HeldAsk(state.nonce, "")) for m in everyone)


def _page_received(state: State, node: NodeId, page: HeldPart, now_ms: Ms) -> tuple[State, Effects]:
    if page.nonce != state.nonce or state.next_page.get(node) != page.after or state.done:
        return state, ()
    received = {copy.name: ballot_of(copy) for copy in page.copies}
    ballots = state.ballots.get(node, Map()).update(received)
    state = replace(state, ballots=state.ballots.set(node, ballots))
    if page.last:
        state = replace(state, next_page=state.next_page.set(node, page.last))
        return state, (Send(node, HeldAsk(state.nonce, page.last)),)
    state = replace(state, next_page=state.next_page.delete(node))
    return _compare(state, now_ms)


def _compare(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Checks whether a majority of the staying members has everything; if not, hands over what the
    members that have answered completely lack."""
    members = state.members or ()
    complete = [m for m in members if m not in state.next_page]
    if state.me in state.next_page:
        return state, ()
    lacking = {m: _lacking(state, m) for m in complete}
    if sum(1 for names in lacking.values() if not names) >= len(members) // 2 + 1:
        return _majority_complete(state, now_ms)
    effects: list[Effect] = []
    for member, names in lacking.items():
        if names:
            order = HandOverRegisters(NodeId(member), names[:MAX_REGISTERS_AT_ONCE])
            effects.append(Tell("acceptor", order))
    return replace(state, handed_over_ms=now_ms if effects else state.handed_over_ms), tuple(
        effects
    )


def _lacking(state: State, member: MemberId) -> tuple[str, ...]:
    theirs = state.ballots.get(member, Map())
    mine = state.ballots.get(state.me, Map())
    return tuple(sorted(n for n, ballot in mine.items() if theirs.get(n, NO_BALLOT) < ballot))


def _majority_complete(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Stops accepting and compares once more; the second time, the handover is done."""
    if state.suspended_ms >= 0:
        text = "handover done: a majority of the staying members has all accepted registers"
        return replace(state, done=True), (Note(text),)
    state, asks = _start_comparison(replace(state, suspended_ms=now_ms), now_ms)
    return state, (Tell("acceptor", SuspendAccepts(True)), *asks)


def _tick(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if 0 <= state.suspended_ms <= now_ms - MAX_SUSPENDED_MS:
        state, asks = _start_comparison(replace(state, suspended_ms=Ms(-1)), now_ms)
        return state, (Tell("acceptor", SuspendAccepts(False)), *asks)
    if 0 <= state.handed_over_ms <= now_ms - RECHECK_MS:
        return _start_comparison(state, now_ms)
    if now_ms - state.asked_ms < PAGE_RETRY_MS:
        return state, ()
    asks = tuple(
        Send(NodeId(m), HeldAsk(state.nonce, after)) for m, after in state.next_page.items()
    )
    return replace(state, asked_ms=now_ms), asks
