"""The proposer: brings changes to registers through rounds of prepare and accept.

One round a register at a time; requests go to all members and the first majority
decides. Reads are rounds that change nothing; they write only when the members differ.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Protocol

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Send, Tell, Tick
from spokeroute.dial.ids import NO_BALLOT, SPREAD, Ballot, MemberId, Ms, NodeId
from spokeroute.register.cells import Roster, ballotOf, digestOf
from spokeroute.register.keeper import HandTo
from spokeroute.trunk.messages import Accept, Accepted, Alive, Copy, Finish, Prepare, Promise

ROUND_MS = 400
HINTS_PER_MEMBER = 4096


class Change(Protocol):
    """What an operation makes of a register: a pure function that travels as data."""

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The next value, or None to leave the register as it is."""
        ...


@dataclass(frozen=True, slots=True)
class Read:
    """Change nothing: the value that is chosen.

    Example:
        Read().decide(3, b"x") is None
    """

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Nothing to write.

        Example:
            Read().decide(0, b"") is None
        """
        return None


@dataclass(frozen=True, slots=True)
class Swap:
    """Write ``value`` if the register stands at ``expect``.

    Example:
        Swap(0, b"x").decide(0, b"") == b"x"
    """

    expect: int
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The value when the version is as expected.

        Example:
            Swap(1, b"x").decide(0, b"") is None
        """
        return self.value if version == self.expect else None


@dataclass(frozen=True, slots=True)
class Ask:
    """From an actor: bring this change to a register."""

    opId: str
    register: str
    change: Change
    replyTo: str
    waitMs: int = 3000


@dataclass(frozen=True, slots=True)
class Settled:
    """To the asker. ``outcome`` is done, timeout (nothing of ours was written) or unsure.
    ``ageMs``: the longest that a member says to have had the value; -1 where none can tell."""

    opId: str
    register: str
    outcome: str
    version: int
    value: bytes
    wrote: bool
    reason: str = ""
    ageMs: int = -1


@dataclass(frozen=True, slots=True)
class Chosen:
    """To the copies' owner: this is chosen."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class RosterIs:
    """From the steward: the roster that rounds go by."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Op:
    """An ask and how far it came."""

    ask: Ask
    deadlineMs: Ms
    offered: str = ""  # digest of a value of ours that members may have accepted


@dataclass(frozen=True, slots=True)
class Round:
    """One register's open round."""

    op: Op
    ballot: Ballot
    endsMs: Ms
    startsMs: Ms
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
    queue: Map[str, tuple[Op, ...]] = field(default_factory=Map)
    seen: Map[str, int] = field(default_factory=Map)
    hints: Map[str, Map[str, Copy]] = field(default_factory=Map)
    draws: int = 0


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The proposer's core.

    Example:
        state, effects = step(state, Ask("op1", "floor", Read(), "operator"), nowMs)
    """
    match event:
        case Ask() as ask:
            return _enqueue(state, Op(ask, Ms(nowMs + ask.waitMs)), nowMs)
        case From(_, _, Finish(name)):
            if name in SPREAD and name not in state.rounds:
                ask = Ask("finish", name, Read(), "", ROUND_MS * 2)
                return _enqueue(state, Op(ask, Ms(nowMs + ask.waitMs)), nowMs)
        case From(node, _, Promise() as promise):
            return _promised(state, node, promise, nowMs)
        case From(node, _, Accepted() as accepted):
            return _acceptedBy(state, node, accepted, nowMs)
        case From(node, _, Alive()):
            return _handHints(state, node)
        case RosterIs(roster):
            return replace(state, roster=roster), ()
        case Tick():
            return _wake(state, nowMs)
    return state, ()


def _enqueue(state: State, op: Op, nowMs: Ms) -> tuple[State, Effects]:
    name = op.ask.register
    if name in state.rounds:
        queue = (*state.queue.get(name, ()), op)
        return replace(state, queue=state.queue.set(name, queue)), ()
    return _open(state, op, 0, nowMs, nowMs)


def _open(state: State, op: Op, attempt: int, startsMs: Ms, nowMs: Ms) -> tuple[State, Effects]:
    """Open a round, at once or after its backoff."""
    name = op.ask.register
    counter = state.seen.get(name, 0) + 1
    ballot = Ballot(counter, state.me)
    waitMs = ROUND_MS if startsMs <= nowMs else startsMs - nowMs + ROUND_MS
    current = Round(op, ballot, Ms(nowMs + waitMs), startsMs, attempt)
    state = replace(state, rounds=state.rounds.set(name, current))
    if startsMs > nowMs or state.roster is None:
        return state, ()
    return _prepareAll(state, current)


def _prepareAll(state: State, current: Round) -> tuple[State, Effects]:
    roster = state.roster
    assert roster is not None
    name = current.op.ask.register
    state = replace(state, seen=state.seen.set(name, current.ballot.counter))
    ask = Prepare(roster.epoch, name, current.ballot.counter, current.ballot.member)
    return state, tuple(Send(m, ask) for m in roster.ids)


def _promised(state: State, node: NodeId, got: Promise, nowMs: Ms) -> tuple[State, Effects]:
    current = state.rounds.get(got.name)
    roster = state.roster
    if (
        current is None
        or roster is None
        or got.epoch != roster.epoch
        or Ballot(got.counter, MemberId(got.member)) != current.ballot
        or current.offer is not None
        or node not in roster.ids
    ):
        return state, ()
    if not got.ok:
        return _again(state, current, got.boundCounter, nowMs)
    current = replace(current, promises=current.promises.set(node, got))
    state = replace(state, rounds=state.rounds.set(got.name, current))
    if len(current.promises) < roster.majority:
        return state, ()
    return _decide(state, roster, current, nowMs)


def _decide(state: State, roster: Roster, current: Round, nowMs: Ms) -> tuple[State, Effects]:
    name = current.op.ask.register
    newest = max(current.promises.values(), key=lambda p: ballotOf(p.accepted))
    base, value = newest.accepted, newest.value
    if current.op.offered and base.digest == current.op.offered:
        nextValue = None  # our own earlier offer was adopted: bring it to its end
    else:
        nextValue = current.op.ask.change.decide(base.version, value)
    if nextValue is None:
        same = sum(1 for p in current.promises.values() if ballotOf(p.accepted) == ballotOf(base))
        if same >= roster.majority or ballotOf(base) == NO_BALLOT:
            wrote = bool(current.op.offered) and base.digest == current.op.offered
            return _settle(state, current, base, value, wrote, nowMs)
        nextValue, version = value, base.version
        wrote = bool(current.op.offered) and base.digest == current.op.offered
    else:
        version, wrote = base.version + 1, True
    digest = digestOf(nextValue)
    offer = Copy(name, version, digest, current.ballot.counter, current.ballot.member)
    op = replace(current.op, offered=digest) if wrote else current.op
    current = replace(current, offer=offer, value=nextValue, wrote=wrote, op=op)
    state = replace(state, rounds=state.rounds.set(name, current))
    ask = Accept(roster.epoch, offer, nextValue)
    return state, tuple(Send(m, ask) for m in roster.ids)


def _acceptedBy(state: State, node: NodeId, got: Accepted, nowMs: Ms) -> tuple[State, Effects]:
    current = state.rounds.get(got.name)
    roster = state.roster
    if (
        current is None
        or roster is None
        or current.offer is None
        or got.epoch != roster.epoch
        or Ballot(got.counter, MemberId(got.member)) != current.ballot
        or node not in roster.ids
    ):
        return state, ()
    if not got.ok:
        return _again(state, current, got.boundCounter, nowMs)
    current = replace(current, accepted=current.accepted | {node})
    state = replace(state, rounds=state.rounds.set(got.name, current))
    if len(current.accepted) < roster.majority:
        return state, ()
    offer = current.offer
    assert offer is not None
    for member in roster.ids:
        if member not in current.accepted:
            state = _hint(state, member, offer)
    return _settle(state, current, offer, current.value, current.wrote, nowMs)


def _hint(state: State, member: str, copy: Copy) -> State:
    hints = state.hints.get(member, Map())
    if copy.name in hints or len(hints) < HINTS_PER_MEMBER:
        hints = hints.set(copy.name, copy)
    return replace(state, hints=state.hints.set(member, hints))


def _handHints(state: State, node: NodeId) -> tuple[State, Effects]:
    hints = state.hints.get(node)
    if not hints:
        return state, ()
    effects = tuple(Tell("keeper", HandTo(node, hints[name])) for name in sorted(hints))
    return replace(state, hints=state.hints.delete(node)), effects


def _settle(
    state: State, current: Round, copy: Copy, value: bytes, wrote: bool, nowMs: Ms
) -> tuple[State, Effects]:
    ask = current.op.ask
    effects: list[Effect] = []
    if ask.replyTo:
        # What was offered and is not there now may have been chosen and changed since.
        outcome = "unsure" if current.op.offered and not wrote else "done"
        reason = "another change came after it, or instead of it" if outcome == "unsure" else ""
        ages = [p.ageMs for p in current.promises.values() if p.accepted.digest == copy.digest]
        done = Settled(
            ask.opId, ask.register, outcome, copy.version, value, wrote, reason,
            max(ages, default=-1),
        )  # fmt: skip
        effects.append(Tell(ask.replyTo, done))
    if ask.register in SPREAD and copy.version:
        effects.append(Tell("copies", Chosen(copy, value)))
    state, more = _nextOp(state, ask.register, nowMs)
    return state, (*effects, *more)


def _nextOp(state: State, name: str, nowMs: Ms) -> tuple[State, Effects]:
    state = replace(state, rounds=state.rounds.delete(name))
    queue = state.queue.get(name, ())
    if name not in SPREAD and not queue:
        state = replace(state, seen=state.seen.delete(name) if name in state.seen else state.seen)
    if not queue:
        return state, ()
    rest = state.queue.set(name, queue[1:]) if queue[1:] else state.queue.delete(name)
    return _open(replace(state, queue=rest), queue[0], 0, nowMs, nowMs)


def _again(state: State, current: Round, bound: int, nowMs: Ms) -> tuple[State, Effects]:
    """Another ballot, after a randomised wait that grows."""
    name = current.op.ask.register
    seen = max(bound, current.ballot.counter)
    state = replace(state, seen=state.seen.set(name, seen), draws=state.draws + 1)
    rng = random.Random(f"{state.seed}/{state.me}/{state.draws}")
    spanMs = min(20 * 2 ** min(current.attempt, 5), 400)
    startsMs = Ms(nowMs + rng.randint(5, 5 + spanMs))
    return _open(state, current.op, current.attempt + 1, startsMs, nowMs)


def _wake(state: State, nowMs: Ms) -> tuple[State, Effects]:
    effects: list[Effect] = []
    for name in sorted(state.rounds):
        current = state.rounds[name]
        if nowMs >= current.op.deadlineMs:
            state, more = _giveUp(state, current, nowMs)
            effects.extend(more)
        elif nowMs >= current.startsMs and not current.promises:
            if nowMs >= current.endsMs:
                state, more = _again(state, current, 0, nowMs)
                effects.extend(more)
            elif state.roster and state.seen.get(name, 0) < current.ballot.counter:
                state, more = _prepareAll(state, current)
                effects.extend(more)
        elif nowMs >= current.endsMs:
            state, more = _again(state, current, 0, nowMs)
            effects.extend(more)
    return state, tuple(effects)


def _giveUp(state: State, current: Round, nowMs: Ms) -> tuple[State, Effects]:
    ask = current.op.ask
    outcome = "unsure" if current.op.offered else "timeout"
    if state.roster is None:
        reason = "this registry has no roster yet"
    else:
        silent = [m for m in state.roster.ids if m not in current.promises]
        reason = f"no majority answered; silent members: {', '.join(silent) or 'none'}"
    effects: list[Effect] = []
    if ask.replyTo:
        done = Settled(ask.opId, ask.register, outcome, 0, b"", False, reason)
        effects.append(Tell(ask.replyTo, done))
    state, more = _nextOp(state, ask.register, nowMs)
    return state, (*effects, *more)
