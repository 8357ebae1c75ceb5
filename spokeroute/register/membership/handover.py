"""The handover: what a member that leaves alone may hold comes to a majority of those who stay.

The members' accepted ballots are compared, page by page; what a member that stays lacks is handed
to it as the accept of its round once more, which is safe at any time. When a majority of those
who stay has all, this member stops accepting, compares once more, and may end.
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

REPEAT_MS = 300  # a page that was not answered is asked for again
AGAIN_MS = 60  # what was handed over is looked for after this
QUIET_MS = 1_000  # a member that accepts nothing and can't end accepts again after this
HAND_AT_ONCE = 200


@dataclass(frozen=True, slots=True)
class StartHandover:
    """From membership: this member leaves, and these members stay."""

    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class CancelHandover:
    """From membership: this member is needed: go on accepting."""


@dataclass(frozen=True, slots=True)
class State:
    """Whom to compare with, and what they said in the present comparison."""

    me: MemberId
    members: tuple[MemberId, ...] | None = None  # None while this member does not hand over
    nonce: int = 0
    held: Map[str, Map[str, Ballot]] = field(default_factory=Map)
    next_page: Map[str, str] = field(default_factory=Map)  # absent: that member said all
    asked_ms: Ms = Ms(0)
    handed_ms: Ms = Ms(-1)  # when this comparison handed something over
    quiet_ms: Ms = Ms(-1)  # since when this member accepts nothing
    done: bool = False


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """The handover's core.

    Example:
        state, effects = step(State(MemberId("m1")), StartHandover((MemberId("m2"),)), now_ms)
    """
    match event:
        case StartHandover(members) if members != state.members:
            return _begin(replace(state, members=members, done=not members), now_ms)
        case CancelHandover() if state.members is not None:
            state = replace(state, members=None, quiet_ms=Ms(-1), done=False)
            return state, (Tell("acceptor", SuspendAccepts(False)),)
        case From(node, _, HeldPart() as part):
            return _answered(state, node, part, now_ms)
        case Tick() if state.members and not state.done:
            return _wake(state, now_ms)
    return state, ()


def _begin(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Compare from the start: this member's own ballots first, then the others'."""
    everyone = (state.me, *(state.members or ()))
    state = replace(
        state,
        nonce=state.nonce + 1,
        held=Map(),
        next_page=Map({m: "" for m in everyone}),
        asked_ms=now_ms,
        handed_ms=Ms(-1),
    )
    return state, tuple(Send(NodeId(m), HeldAsk(state.nonce, "")) for m in everyone)


def _answered(state: State, node: NodeId, part: HeldPart, now_ms: Ms) -> tuple[State, Effects]:
    if part.nonce != state.nonce or state.next_page.get(node) != part.after or state.done:
        return state, ()
    ballots = {copy.name: ballot_of(copy) for copy in part.copies}
    held = state.held.get(node, Map()).update(ballots)
    state = replace(state, held=state.held.set(node, held))
    if part.last:
        state = replace(state, next_page=state.next_page.set(node, part.last))
        return state, (Send(node, HeldAsk(state.nonce, part.last)),)
    state = replace(state, next_page=state.next_page.delete(node))
    return _compared(state, now_ms)


def _compared(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Whether enough of those who answered have all; if not, hand over what they lack."""
    members = state.members or ()
    whole = [m for m in members if m not in state.next_page]
    if state.me in state.next_page:
        return state, ()
    lacks = {m: _lacking(state, m) for m in whole}
    if sum(1 for names in lacks.values() if not names) >= len(members) // 2 + 1:
        return _confirmed(state, now_ms)
    effects: list[Effect] = []
    for member, names in lacks.items():
        if names:
            hand = HandOverRegisters(NodeId(member), names[:HAND_AT_ONCE])
            effects.append(Tell("acceptor", hand))
    return replace(state, handed_ms=now_ms if effects else state.handed_ms), tuple(effects)


def _lacking(state: State, member: MemberId) -> tuple[str, ...]:
    theirs = state.held.get(member, Map())
    mine = state.held.get(state.me, Map())
    return tuple(sorted(n for n, ballot in mine.items() if theirs.get(n, NO_BALLOT) < ballot))


def _confirmed(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """All is at a majority of those who stay: stop accepting, and compare once more."""
    if state.quiet_ms >= 0:
        text = "all that this member accepted is at a majority of those who stay"
        return replace(state, done=True), (Note(text),)
    state, asks = _begin(replace(state, quiet_ms=now_ms), now_ms)
    return state, (Tell("acceptor", SuspendAccepts(True)), *asks)


def _wake(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if 0 <= state.quiet_ms <= now_ms - QUIET_MS:
        state, asks = _begin(replace(state, quiet_ms=Ms(-1)), now_ms)
        return state, (Tell("acceptor", SuspendAccepts(False)), *asks)
    if 0 <= state.handed_ms <= now_ms - AGAIN_MS:
        return _begin(state, now_ms)
    if now_ms - state.asked_ms < REPEAT_MS:
        return state, ()
    asks = tuple(
        Send(NodeId(m), HeldAsk(state.nonce, after)) for m, after in state.next_page.items()
    )
    return replace(state, asked_ms=now_ms), asks
