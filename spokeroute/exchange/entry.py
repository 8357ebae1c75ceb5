"""The entry's state, and the small moves on it that every path of a call shares."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Tell
from spokeroute.dial.ids import Ms, NodeId
from spokeroute.exchange import filters
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.types import Call, Tables, Try
from spokeroute.register.copies import Reports
from spokeroute.trunk.messages import DemandReport, HeldReport, Lists, Took

REPORT_MS = 200
TOLD_MS = 1_500  # in at least three probes
MOST_TOOK = 100


@dataclass(frozen=True, slots=True)
class HeldNow:
    """From the holder's core: its reports on the instances it holds."""

    held: tuple[HeldReport, ...]
    leaving: bool
    busy: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class State:
    """Open calls and what they are decided by."""

    me: NodeId
    incarnation: int
    budget: Budget
    tables: Tables = Tables()
    calls: Map[int, Call] = field(default_factory=Map)
    tryOf: Map[str, int] = field(default_factory=Map)  # try -> slot index
    opOf: Map[str, int] = field(default_factory=Map)  # claim op -> slot index
    buckets: filters.Buckets = field(default_factory=Map)
    lists: Lists | None = None
    listsMs: Ms = Ms(-(10**9))
    outstanding: Map[str, int] = field(default_factory=Map)
    shunnedMs: Map[str, int] = field(default_factory=Map)
    registries: tuple[NodeId, ...] = ()
    held: tuple[HeldReport, ...] = ()
    leaving: bool = False
    busy: tuple[str, ...] = ()
    arrived: Map[str, int] = field(default_factory=Map)
    reportMs: Ms = Ms(0)
    took: tuple[tuple[int, Took], ...] = ()  # when, and what the ledger should hear
    stopping: bool = False
    draws: int = 0
    verdicts: int = 0


def put(state: State, call: Call) -> State:
    """Keep a call's continuation.

    Example:
        state = put(state, call)
    """
    return replace(state, calls=state.calls.set(call.ask.slot.index, call))


def endTry(state: State, tryId: str) -> tuple[State, Call | None, Try | None]:
    """Take a try off its call; None where it is over already.

    Example:
        state, call, each = endTry(state, "c1.0")
    """
    index = state.tryOf.get(tryId)
    call = state.calls.get(index) if index is not None else None
    if call is None or tryId not in call.tries:
        return state, None, None
    each = call.tries[tryId]
    left = state.outstanding.get(each.instance, 1) - 1
    outstanding = (
        state.outstanding.set(each.instance, left)
        if left > 0
        else state.outstanding.delete(each.instance)
    )
    call = replace(call, tries=call.tries.delete(tryId))
    state = replace(state, tryOf=state.tryOf.delete(tryId), outstanding=outstanding)
    return put(state, call), call, each


def shun(shunned: Map[str, int], instance: str, nowMs: int, forMs: int) -> Map[str, int]:
    """Leave an instance alone for a while.

    Example:
        >>> shun(Map(), "a", 0, 60)["a"]
        60
    """
    if len(shunned) > 2_000:
        shunned = Map({k: v for k, v in shunned.items() if v > nowMs})
    return shunned.set(instance, nowMs + forMs)


def report(state: State, nowMs: Ms) -> tuple[State, Effect]:
    """What goes to the core with the next probe.

    Example:
        state, effect = report(state, nowMs)
    """
    waiting: dict[str, int] = {}
    trying: dict[str, int] = {}
    urgent = False
    for call in state.calls.values():
        name = call.service.name
        if call.phase == "holding" and not call.maybe:
            waiting[name] = waiting.get(name, 0) + 1
            urgent = urgent or not state.tables.byService.get(name)
        elif call.phase == "trying":
            trying[name] = trying.get(name, 0) + 1
    names = sorted(set(waiting) | set(trying) | set(state.arrived))
    demand = tuple(
        DemandReport(n, state.arrived.get(n, 0), waiting.get(n, 0), trying.get(n, 0)) for n in names
    )
    state = replace(state, arrived=Map(), reportMs=Ms(nowMs + REPORT_MS))
    took = tuple(t for atMs, t in state.took if nowMs - atMs < TOLD_MS)[-MOST_TOOK:]
    state = replace(state, took=tuple(x for x in state.took if nowMs - x[0] < TOLD_MS))
    return state, Tell(
        "copies",
        Reports(state.held, demand, took, state.leaving, state.busy, urgent or bool(waiting)),
    )
