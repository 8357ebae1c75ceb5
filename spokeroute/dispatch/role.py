"""Who holds the placement role: a register with a term, and a lease by running time.

The holder renews before its lease ends, counted from when it asked. Another takes the
role only after it saw no renewal for longer than that lease.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

from spokeroute.dial.effects import Effects, From, Tell, Tick
from spokeroute.dial.ids import PLACEMENT, Ms, NodeId, Term
from spokeroute.register.proposer import Ask, Read, Settled, Swap
from spokeroute.trunk.messages import ProbeAck

RENEW_MS = 800
TERM_LEASE_MS = 3_000
TAKE_AFTER_MS = 4_000
STAGGER_MS = 400


@dataclass(frozen=True, slots=True)
class TermIs:
    """To placement: the term this node holds and until when; term 0 holds nothing."""

    term: Term
    leaseUntilMs: Ms


@dataclass(frozen=True, slots=True)
class Resign:
    """The process stops: let another take the role at once."""


@dataclass(frozen=True, slots=True)
class State:
    """What this node knows of the role."""

    me: NodeId
    rank: int
    term: Term = Term(0)
    leaseUntilMs: Ms = Ms(-1)
    version: int = -1
    changedMs: Ms = Ms(-1)
    asking: str = ""
    askedMs: Ms = Ms(0)
    offered: Term = Term(0)
    draws: int = 0


def packRole(node: str, term: int, beat: int) -> bytes:
    """The role's register.

    Example:
        >>> unpackRole(packRole("m1", 3, 9))
        ('m1', 3)
    """
    return json.dumps([node, term, beat]).encode()


def unpackRole(value: bytes) -> tuple[str, int]:
    """Holder and term.

    Example:
        >>> unpackRole(b"")
        ('', 0)
    """
    if not value:
        return "", 0
    node, term, _ = json.loads(value)
    return node, term


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The role's core.

    Example:
        state, effects = step(State(NodeId("m1"), 0), Tick(), nowMs)
    """
    match event:
        case From(_, _, ProbeAck(_, _, copies)):
            for copy in copies:
                if copy.name == PLACEMENT and copy.version > state.version:
                    state = replace(state, version=copy.version, changedMs=nowMs)
        case Tick():
            if state.changedMs < 0:
                return replace(state, changedMs=nowMs), ()
            return _wake(state, nowMs)
        case Settled(opId, _, outcome, version, value, wrote) if opId == state.asking:
            state = replace(state, asking="")
            if outcome == "done":
                return _settled(state, version, value, wrote, nowMs)
        case Resign() if state.term:
            value = packRole("", state.term, state.draws)
            ask = Ask(f"resign/{state.me}", PLACEMENT, Swap(state.version, value), "")
            state = replace(state, term=Term(0), leaseUntilMs=Ms(-1))
            return state, (Tell("proposer", ask), _told(state))
    return state, ()


def _told(state: State) -> Tell:
    return Tell("placement", TermIs(state.term, state.leaseUntilMs))


def _wake(state: State, nowMs: Ms) -> tuple[State, Effects]:
    effects: tuple[Tell, ...] = ()
    if state.term and nowMs >= state.leaseUntilMs:
        state = replace(state, term=Term(0))
        effects = (_told(state),)
    if state.asking:
        return state, effects
    if state.term:
        if nowMs - state.askedMs < RENEW_MS:
            return state, effects
        state = replace(state, draws=state.draws + 1)
        value = packRole(state.me, state.term, state.draws)
        return _ask(state, Swap(state.version, value), state.term, nowMs, effects)
    if nowMs - state.changedMs < TAKE_AFTER_MS + state.rank * STAGGER_MS:
        return state, effects
    return _ask(state, Read(), Term(0), nowMs, effects)


def _ask(
    state: State, change: Swap | Read, offered: Term, nowMs: Ms, effects: tuple[Tell, ...]
) -> tuple[State, Effects]:
    opId = f"role/{state.me}/{state.draws}"
    state = replace(state, asking=opId, askedMs=nowMs, offered=offered, draws=state.draws + 1)
    return state, (*effects, Tell("proposer", Ask(opId, PLACEMENT, change, "role", 2_000)))


def _settled(
    state: State, version: int, value: bytes, wrote: bool, nowMs: Ms
) -> tuple[State, Effects]:
    holder, term = unpackRole(value)
    if version > state.version:
        state = replace(state, version=version, changedMs=nowMs)
    if wrote and holder == state.me:
        leaseUntilMs = Ms(state.askedMs + TERM_LEASE_MS)
        state = replace(state, term=Term(term), leaseUntilMs=leaseUntilMs)
        return state, (_told(state),)
    if state.term and holder == state.me and term == state.term:
        return state, ()  # an earlier renewal of ours came through late
    if state.offered:  # another wrote: this node no longer holds the role
        state = replace(state, term=Term(0), leaseUntilMs=Ms(-1))
        return state, (_told(state),)
    quiet = nowMs - state.changedMs >= TAKE_AFTER_MS or holder == ""
    if not quiet:
        return state, ()
    state = replace(state, draws=state.draws + 1)
    value = packRole(state.me, term + 1, state.draws)
    return _ask(state, Swap(version, value), Term(term + 1), nowMs, ())
