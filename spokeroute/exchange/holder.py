"""The holder: the one place where an instance's limit, warm-up rate and line are counted.

It sends only on proved copies that name this very process as the holder. A try without a
whole answer keeps its place until the call can't run any more.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Launch, Send, Tell, Tick
from spokeroute.dial.ids import Ms, NodeId, TryId
from spokeroute.dispatch.floor import UP, Placed
from spokeroute.dispatch.upkeep import runMs
from spokeroute.exchange.entry import HeldNow
from spokeroute.exchange.types import (
    FRESH_MARGIN_MS,
    Revoke,
    SendTry,
    Stopping,
    Tables,
    TryDone,
    freshTables,
)
from spokeroute.register.copies import LEASE_MS, Fresh
from spokeroute.trunk.messages import Ferried, Ferry, FerryDrop, HeldReport

GAP_MS = 250
UNDATED_MS = 150
LINE_MARGIN_MS = 120
LINE_FACTOR = 4
LINE_PLUS = 8
SAMPLE_MS = 1_000
COLD_FACTOR = 1.5
COLD_PLUS_PER_S = 5.0
COLD_SPAN_MS = 1_050  # a second, and what sends may crowd together on their way
RATE_WINDOW_MS = 2_000
DOWN_FIRST_MS = 500
DOWN_MOST_MS = 8_000


@dataclass(frozen=True, slots=True)
class Waiting:
    """A ferried call in an instance's line."""

    ferry: Ferry
    origin: NodeId
    deadlineMs: Ms


@dataclass(frozen=True, slots=True)
class Handed:
    """A try that was launched, and until when its place is kept if no answer comes."""

    tryId: str
    origin: NodeId
    sentMs: Ms
    reported: bool = False
    freeAtMs: Ms = Ms(-1)


@dataclass(frozen=True, slots=True)
class Seat:
    """One instance that this process holds."""

    placed: Placed
    line: tuple[Waiting, ...] = ()
    handed: Map[str, Handed] = field(default_factory=Map)
    coldMs: tuple[Ms, ...] = ()  # sends while cold, within the last second
    answeredMs: tuple[Ms, ...] = ()  # whole answers, within the rate's window
    busyMs: float = 0.0  # in flight times time, in this sample
    sampledMs: Ms = Ms(0)
    sampleStartMs: Ms = Ms(0)
    meanMilli: int = 0
    answered: int = 0
    failures: int = 0
    confirmed: bool = False
    downMs: int = 0  # how long it is left alone after it could not be reached
    downUntilMs: Ms = Ms(-1)


@dataclass(frozen=True, slots=True)
class State:
    """The instances held here."""

    me: NodeId
    incarnation: int
    tables: Tables = Tables()
    seats: Map[str, Seat] = field(default_factory=Map)
    undatedUntilMs: Ms = Ms(-1)
    reportMs: Ms = Ms(0)
    stopping: bool = False


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The holder's core.

    Example:
        state, effects = step(state, From(node, incarnation, ferry), nowMs)
    """
    match event:
        case Tick(gapMs):
            if gapMs > GAP_MS:
                state = replace(state, undatedUntilMs=Ms(nowMs + UNDATED_MS))
            return _tick(state, nowMs)
        case From(node, _, Ferry() as ferry):
            return _ferry(state, node, ferry, nowMs)
        case From(node, _, FerryDrop(tryId)):
            return _drop(state, node, tryId)
        case TryDone() as done:
            return _done(state, done, nowMs)
        case Stopping():
            return replace(state, stopping=True), ()
        case Fresh() as fresh:
            state = replace(state, tables=freshTables(state.tables, fresh))
            return _seated(state, nowMs) if fresh.changed else (state, ())
    return state, ()


def _no(to: NodeId, tryId: str, reason: str) -> Effect:
    return Send(to, Ferried(tryId, "no", reason, 0, (), b""))


def _mine(state: State, placed: Placed) -> bool:
    return placed.holder == state.me and placed.holderIncarnation == state.incarnation


def _seated(state: State, nowMs: Ms) -> tuple[State, Effects]:
    """Follow the floor: new seats, changed ones, and those that go."""
    effects: list[Effect] = []
    seats = state.seats.mutate()
    for placed in state.tables.floor.instances:
        if _mine(state, placed):
            old = state.seats.get(placed.id)
            if old is None:
                seats[placed.id] = Seat(placed, sampledMs=nowMs, sampleStartMs=nowMs)
            else:
                seats[placed.id] = replace(old, placed=placed)
    for name, seat in state.seats.items():
        placed_ = state.tables.byId.get(name)
        if placed_ is None or not _mine(state, placed_):
            why = "not held here any more"
            effects.extend(_no(w.origin, w.ferry.tryId, why) for w in seat.line)
            if seat.handed:
                seats[name] = replace(seat, line=())
            else:
                del seats[name]
    return replace(state, seats=seats.finish()), tuple(effects)


def _ferry(state: State, node: NodeId, ferry: Ferry, nowMs: Ms) -> tuple[State, Effects]:
    seat = state.seats.get(ferry.instance)
    if nowMs < state.undatedUntilMs:
        return state, (_no(node, ferry.tryId, "the holder woke from a freeze"),)
    if ferry.holderIncarnation != state.incarnation or seat is None:
        return state, (_no(node, ferry.tryId, "not held here"),)
    if seat.placed.service != ferry.service:
        return state, (_no(node, ferry.tryId, "another service's instance"),)
    deadlineMs = Ms(nowMs + ferry.waitLeftMs)
    seat = replace(seat, line=(*seat.line, Waiting(ferry, node, deadlineMs)))
    state = replace(state, seats=state.seats.set(ferry.instance, seat))
    state, effects = _pump(state, ferry.instance, nowMs)
    seat = state.seats[ferry.instance]
    most = LINE_FACTOR * seat.placed.limit + LINE_PLUS
    if len(seat.line) > most:
        last = seat.line[-1]
        state = replace(
            state, seats=state.seats.set(ferry.instance, replace(seat, line=seat.line[:-1]))
        )
        return state, (*effects, _no(last.origin, last.ferry.tryId, "busy"))
    return state, effects


def mayServe(state: State, placed: Placed, nowMs: Ms) -> str:
    """Why an instance may not be sent to now; empty when it may.

    Example:
        mayServe(state, placed, nowMs) == ""
    """
    if state.stopping:
        return "the holder stops"
    if not state.tables.fresh(nowMs):
        return "the holder's copies are not proved newest"
    now = state.tables.byId.get(placed.id)
    if now is None or not _mine(state, now) or now.address != placed.address:
        return "not held here any more"
    if now.state != UP or now.locality in state.tables.evacuated:
        return "draining"
    return ""


def _coldRoom(seat: Seat, nowMs: Ms) -> bool:
    """Whether a cold instance may get one more: in any second one and a half times its own
    rate, plus five."""
    answered = sum(1 for t in seat.answeredMs if nowMs - t < RATE_WINDOW_MS)
    rate = answered * 1000.0 / RATE_WINDOW_MS
    sent = sum(1 for t in seat.coldMs if nowMs - t < COLD_SPAN_MS)
    return sent + 1 <= COLD_FACTOR * rate + COLD_PLUS_PER_S


def _pump(state: State, name: str, nowMs: Ms) -> tuple[State, Effects]:
    """Hand on from the line while there is room, a fresh proof and, if cold, a token."""
    seat = state.seats[name]
    effects: list[Effect] = []
    why = mayServe(state, seat.placed, nowMs)
    if not why and nowMs < seat.downUntilMs:
        why = "down: it could not be reached lately"
    if why:
        effects.extend(_no(w.origin, w.ferry.tryId, why) for w in seat.line)
        return replace(state, seats=state.seats.set(name, replace(seat, line=()))), tuple(effects)
    line: list[Waiting] = []
    for waiting in seat.line:
        if waiting.deadlineMs - nowMs < LINE_MARGIN_MS:
            effects.append(_no(waiting.origin, waiting.ferry.tryId, "no room in time"))
            continue
        cold = not seat.placed.warm
        if len(seat.handed) >= seat.placed.limit or (cold and not _coldRoom(seat, nowMs)):
            line.append(waiting)
            continue
        seat = _sample(seat, nowMs)
        ferry = waiting.ferry
        goodUntilMs = Ms(state.tables.provedMs + LEASE_MS - FRESH_MARGIN_MS)
        effects.append(
            Launch(
                SendTry(
                    TryId(ferry.tryId), seat.placed.id, seat.placed.service,
                    seat.placed.address, ferry.method,
                    ferry.path, ferry.headers, ferry.body, waiting.deadlineMs, goodUntilMs,
                )
            )
        )  # fmt: skip
        handed = Handed(ferry.tryId, waiting.origin, nowMs)
        coldMs = (*(t for t in seat.coldMs if nowMs - t < COLD_SPAN_MS), nowMs) if cold else ()
        seat = replace(seat, handed=seat.handed.set(ferry.tryId, handed), coldMs=coldMs)
    seat = replace(seat, line=tuple(line))
    return replace(state, seats=state.seats.set(name, seat)), tuple(effects)


def _sample(seat: Seat, nowMs: Ms) -> Seat:
    spanMs = nowMs - seat.sampledMs
    return replace(seat, busyMs=seat.busyMs + len(seat.handed) * spanMs, sampledMs=nowMs)


def _drop(state: State, node: NodeId, tryId: str) -> tuple[State, Effects]:
    for name, seat in state.seats.items():
        if tryId in seat.handed:
            return state, (Launch(Revoke(TryId(tryId))),)
        kept = tuple(w for w in seat.line if w.ferry.tryId != tryId)
        if len(kept) < len(seat.line):
            state = replace(state, seats=state.seats.set(name, replace(seat, line=kept)))
            return state, (_no(node, tryId, "dropped"),)
    return state, ()


def _done(state: State, done: TryDone, nowMs: Ms) -> tuple[State, Effects]:
    for name, seat in state.seats.items():
        handed = seat.handed.get(done.tryId)
        if handed is None or handed.reported:
            continue
        seat = _sample(seat, nowMs)
        effects: list[Effect] = [
            Send(
                handed.origin,
                Ferried(done.tryId, done.ran, done.reason, done.status, done.headers, done.body),
            )
        ]
        if done.ran == "maybe":
            freeAtMs = Ms(max(nowMs, handed.sentMs + runMs(seat.placed, state.tables.table)))
            kept = replace(handed, reported=True, freeAtMs=freeAtMs)
            seat = replace(seat, handed=seat.handed.set(done.tryId, kept))
        else:
            seat = replace(seat, handed=seat.handed.delete(done.tryId))
        if done.ran == "yes":
            seat = replace(
                seat, answered=seat.answered + 1, answeredMs=(*seat.answeredMs, nowMs)[-200:],
                confirmed=True,
                downMs=0,
            )  # fmt: skip
        elif done.reason.startswith(("unreached", "bad answer", "lost")):
            seat = replace(seat, failures=seat.failures + 1, confirmed=done.confirmed)
        if done.reason.startswith("unreached"):
            downMs = min(DOWN_MOST_MS, max(DOWN_FIRST_MS, 2 * seat.downMs))
            seat = replace(seat, downMs=downMs, downUntilMs=Ms(nowMs + downMs))
        state = replace(state, seats=state.seats.set(name, seat))
        state, more = _pump(state, name, nowMs)
        return state, (*effects, *more)
    return state, ()


def _tick(state: State, nowMs: Ms) -> tuple[State, Effects]:
    effects: list[Effect] = []
    for name in list(state.seats):
        seat = state.seats[name]
        over = [h for h in seat.handed.values() if h.reported and nowMs >= h.freeAtMs]
        if over:
            seat = _sample(seat, nowMs)
            left = seat.handed
            for each in over:
                left = left.delete(each.tryId)
            state = replace(state, seats=state.seats.set(name, replace(seat, handed=left)))
        if seat.line:
            state, more = _pump(state, name, nowMs)
            effects.extend(more)
        now = state.tables.byId.get(name)
        if not state.seats[name].handed and (now is None or not _mine(state, now)):
            state = replace(state, seats=state.seats.delete(name))
    if nowMs >= state.reportMs:
        state, report = _report(state, nowMs)
        effects.append(report)
    return state, tuple(effects)


def _report(state: State, nowMs: Ms) -> tuple[State, Effect]:
    seats = state.seats.mutate()
    held: list[HeldReport] = []
    for name, seat in state.seats.items():
        seat = _sample(seat, nowMs)
        spanMs = nowMs - seat.sampleStartMs
        if spanMs >= SAMPLE_MS:
            mean = int(seat.busyMs * 1000 / max(1, spanMs))
            seat = replace(
                seat, meanMilli=mean, busyMs=0.0, sampleStartMs=nowMs, answered=0, failures=0
            )
            seats[name] = seat
        else:
            seats[name] = seat
        before = state.seats[name]
        held.append(
            HeldReport(name, seat.meanMilli, before.answered, before.failures, before.confirmed)
        )
    state = replace(state, seats=seats.finish(), reportMs=Ms(nowMs + SAMPLE_MS // 4))
    busy = tuple(name for name, seat in state.seats.items() if seat.handed)
    return state, Tell("calls", HeldNow(tuple(held), state.stopping, busy))
