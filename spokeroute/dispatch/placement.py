"""The placement role: on every core node, deciding only where the term is held.

It reads the exchanges' reports, the platform's listing and the proved copies, writes the
floor, pushes LAAF's lists ahead of failures, applies ROME's shifts, and calls the platform.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Launch, Note, Send, Tell, Tick
from spokeroute.dial.ids import DESIRED_STATE, FLOOR, Ms, NodeId, Term, WorkerId
from spokeroute.dispatch.desired import Table
from spokeroute.dispatch.flare import Limits, Picture, Ranking, Shift, laaf, rome
from spokeroute.dispatch.floor import (
    NO_FLOOR,
    UP,
    Floor,
    FloorSwap,
    packFloor,
    unpackEvacuated,
    unpackFloor,
)
from spokeroute.dispatch.plan import Plan, Seen, plan
from spokeroute.dispatch.platform import (
    BURST,
    STARTS_PER_S,
    ListPlatform,
    PlatformDone,
    PlatformListed,
)
from spokeroute.dispatch.reports import (
    Reported,
    demandNow,
    liveHolders,
    meansOf,
    reported,
    suspectsOf,
)
from spokeroute.dispatch.role import TermIs
from spokeroute.dispatch.scaler import Demand, WorkerSeat
from spokeroute.dispatch.sense import PolicyPair, compilePolicy, picture
from spokeroute.dispatch.upkeep import (
    Marks,
    absentFrom,
    orphanStops,
    platformCalls,
    remark,
    takeListing,
)
from spokeroute.logbook.entries import Record, pictureDoc, rankingDoc
from spokeroute.register.copies import Fresh
from spokeroute.register.keeper import AbsentNow
from spokeroute.register.proposer import Ask, Read, Settled
from spokeroute.register.steward import RosterChanged
from spokeroute.trunk.colleagues import ViewNow
from spokeroute.trunk.messages import Lists, Probe, Successors, Took

PLAN_MS = 100
LIST_MS = 400
RERANK_MS = 1_000
PUSH_MS = 1_000
SHIFT_REST_MS = 10_000
ANEW_MS = 5_000
BARE_LISTINGS = 5
MOST_TOOK = 5_000


@dataclass(frozen=True, slots=True)
class State:
    """All that placement knows. The floor here is the one this node knows to be chosen."""

    me: NodeId
    coreIds: frozenset[str] = frozenset()
    term: int = 0
    leaseUntilMs: Ms = Ms(-1)
    floor: Floor = NO_FLOOR
    floorVersion: int = -1  # -1: to be read at the term's start
    floorOp: str = ""
    reports: Map[str, Reported] = field(default_factory=Map)
    listing: PlatformListed = PlatformListed(False, 0, (), ())
    listingMs: Ms = Ms(-(10**6))
    listAsked: bool = False
    listAskedMs: Ms = Ms(-(10**6))
    missing: Map[str, int] = field(default_factory=Map)
    bare: int = 0  # listings in a row that lacked everything
    orphanMs: Map[str, int] = field(default_factory=Map)
    took: Map[str, int] = field(default_factory=Map)  # tries whose successor is entered
    marks: Marks = Marks()
    demand: Map[str, Demand] = field(default_factory=Map)
    demandMs: Ms = Ms(0)
    table: Table | None = None
    policy: PolicyPair = PolicyPair()
    evacuated: frozenset[str] = frozenset()
    versions: Map[str, int] = field(default_factory=Map)
    nextPlanMs: Ms = Ms(0)
    tokens: float = BURST
    tokensMs: Ms = Ms(0)
    rankings: tuple[Ranking, ...] = ()
    ranked: Picture | None = None
    sequence: int = 0
    rankedMs: Ms = Ms(-(10**6))
    pushedMs: Ms = Ms(0)
    shifts: tuple[Shift, ...] = ()
    shiftedMs: Map[tuple[str, str], int] = field(default_factory=Map)
    draws: int = 0


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The placement core.

    Example:
        state, effects = step(State(NodeId("m1")), Tick(), nowMs)
    """
    match event:
        case Tick():
            return _tick(state, nowMs)
        case From(node, incarnation, Probe() as probe):
            if state.coreIds.isdisjoint((node,)):
                known = reported(state.reports.get(node), incarnation, probe, nowMs)
                state = replace(state, reports=state.reports.set(node, known))
                return _tookBy(state, node, probe.took)
        case ViewNow(entries):
            core = frozenset(e.node for e in entries if e.role == "registry")
            kept = {n: r for n, r in state.reports.items() if n not in core}
            return replace(state, coreIds=core | {state.me}, reports=Map(kept)), ()
        case Fresh() as fresh:
            return _fresh(state, fresh), ()
        case TermIs(term, leaseUntilMs):
            return _term(state, term, leaseUntilMs)
        case PlatformListed() as listing:
            state = _listed(replace(state, listAsked=False), listing, nowMs)
            gone = absentFrom(state.floor, state.listing, state.missing)
            return state, (Tell("keeper", AbsentNow(gone)),)
        case PlatformDone() as done:
            marks = state.marks.done(done, nowMs)
            failed = done.outcome not in ("ok", "late", "refused")
            note = (Note(f"platform {done.op} {done.instance}: {done.reason}"),) if failed else ()
            return replace(state, marks=marks), note
        case Settled(opId, _, outcome, version, value) if opId == state.floorOp:
            return _floorSettled(state, outcome, version, value, nowMs)
        case RosterChanged(roster):
            record = Record("roster", {"epoch": roster.epoch}, list(roster.ids))
            return state, (_record(state, record),)
    return state, ()


def _tookBy(state: State, node: NodeId, took: tuple[Took, ...]) -> tuple[State, Effects]:
    """Enter each successor that an exchange took, once."""
    if not state.term:
        return state, ()
    new = tuple(t for t in took if t.tryId not in state.took)
    if not new:
        return state, ()
    known = state.took if len(state.took) < MOST_TOOK else Map()
    for each in new:
        known = known.set(each.tryId, 1)
    records = [
        Record(
            "successor",
            {"exchange": node, "try": t.tryId, "service": t.service, "lost": t.lost,
             "rule": t.rule, "list": [t.listTerm, t.listSequence]},
            t.taken,
        )
        for t in new
    ]  # fmt: skip
    return replace(state, took=known), tuple(_record(state, r) for r in records)


def _listed(state: State, listing: PlatformListed, nowMs: Ms) -> State:
    """Take a listing in: not an older one (unless the platform began anew), nor, until it
    persists, one that lacks everything that is up."""
    newer = listing.sequence > state.listing.sequence or nowMs - state.listingMs > ANEW_MS
    if not listing.ok or not newer:
        return state
    up = sum(1 for p in state.floor.instances if p.state == UP)
    bare = not listing.seats or (up > 1 and not listing.listed)
    if bare and state.bare + 1 < BARE_LISTINGS:
        return replace(state, bare=state.bare + 1)
    missing = takeListing(state.floor, listing, state.missing)
    return replace(state, listing=listing, listingMs=nowMs, missing=missing, bare=0)


def _record(state: State, record: Record) -> Tell:
    return Tell(
        "ledger",
        replace(
            record,
            term=state.term,
            versions=dict(state.versions),
            programs=state.policy.digest,
        ),
    )


def _fresh(state: State, fresh: Fresh) -> State:
    if not fresh.changed:
        return state
    table = fresh.table if isinstance(fresh.table, Table) else None
    policy = state.policy
    old = state.table.programs if state.table else None
    if table is not None and table.programs != old:
        policy = compilePolicy(table)
    floor = state.floor
    if not state.term:
        floor = unpackFloor(fresh.values.get(FLOOR, b""))
    return replace(
        state,
        table=table,
        policy=policy,
        floor=floor,
        evacuated=unpackEvacuated(fresh.values.get("evacuation", b"")),
        versions=Map(fresh.versions),
    )


def _term(state: State, term: int, leaseUntilMs: Ms) -> tuple[State, Effects]:
    if term == state.term:
        return replace(state, leaseUntilMs=leaseUntilMs), ()
    state = replace(
        state, term=term, leaseUntilMs=leaseUntilMs, floorVersion=-1, floorOp="", ranked=None,
        marks=Marks(), shifts=(),
    )  # fmt: skip
    record = Record("term", {"holder": state.me}, term)
    return state, ((_record(state, record),) if term else ())


def _tick(state: State, nowMs: Ms) -> tuple[State, Effects]:
    effects: list[Effect] = []
    waitedMs = nowMs - state.listAskedMs
    if (not state.listAsked and waitedMs >= LIST_MS) or waitedMs >= 10 * LIST_MS:
        state = replace(state, listAsked=True, listAskedMs=nowMs)
        effects.append(Launch(ListPlatform()))
    if not state.term or nowMs >= state.leaseUntilMs or nowMs < state.nextPlanMs:
        return state, tuple(effects)
    state = replace(state, nextPlanMs=Ms(nowMs + PLAN_MS))
    if state.floorVersion < 0 and not state.floorOp:
        opId = f"floor-read/{state.me}/{state.term}/{state.draws}"
        state = replace(state, floorOp=opId, draws=state.draws + 1)
        effects.append(Tell("proposer", Ask(opId, FLOOR, Read(), "placement")))
        return state, tuple(effects)
    table = state.table
    if table is None or state.floorVersion < 0 or not state.listing.seats:
        return state, tuple(effects)
    state = _fold(state, nowMs)
    state, more = _flare(state, table, nowMs)
    effects.extend(more)
    if not state.floorOp:
        state, more = _plan(state, table, nowMs)
        effects.extend(more)
    tokens = min(BURST, state.tokens + STARTS_PER_S * (nowMs - state.tokensMs) / 1000.0)
    calls, marks, tokens = platformCalls(
        state.floor, table, state.marks, state.evacuated, tokens, state.leaseUntilMs, nowMs
    )
    stops, orphanMs = orphanStops(
        state.floor, state.listing, state.orphanMs, state.leaseUntilMs, nowMs
    )
    calls.extend(stops[: int(tokens)])
    tokens -= min(len(stops), int(tokens))
    state = replace(state, marks=marks, tokens=tokens, tokensMs=nowMs, orphanMs=orphanMs)
    effects.extend(Launch(call) for call in calls)
    return state, tuple(effects)


def _fold(state: State, nowMs: Ms) -> State:
    demand = demandNow(state.demand, state.reports, nowMs, nowMs - state.demandMs)
    marks = remark(state.marks, state.floor, state.reports, state.table, nowMs)
    return replace(state, demand=demand, demandMs=nowMs, marks=marks)


def _seats(state: State) -> dict[WorkerId, WorkerSeat]:
    return {s.id: s for s in state.listing.seats}


def _plan(state: State, table: Table, nowMs: Ms) -> tuple[State, Effects]:
    seen = Seen(
        nowMs=nowMs,
        table=table,
        evacuated=state.evacuated,
        seats=_seats(state),
        listed={p.id: p for p in state.listing.listed},
        missing=state.missing,
        demand=state.demand,
        suspects=suspectsOf(state.reports, nowMs),
        holders=liveHolders(state.reports, nowMs),
        readyMs=state.marks.readyMs,
        upSinceMs=state.marks.upSinceMs,
        surplusMs=state.marks.surplusMs,
        cuPct=dict(state.ranked.cuPct) if state.ranked else {},
        shifts=state.shifts,
        avoid=frozenset(k for k, atMs in state.shiftedMs.items() if nowMs - atMs < SHIFT_REST_MS),
        startsLeft=int(state.tokens),
        nextId=f"{state.term}-{state.draws}",
    )
    made: Plan = plan(state.floor, seen)
    instances = state.marks.stopped(made.instances, table, nowMs)
    state = replace(state, marks=state.marks.surplus(made.surplus, nowMs), shifts=())
    stale = state.floor.term != state.term
    if instances == state.floor.instances and not stale:
        return state, ()
    floor = Floor(Term(state.term), state.floor.sequence + 1, instances)
    opId = f"floor/{state.me}/{state.term}/{state.draws}"
    change = FloorSwap(state.floorVersion, state.term, packFloor(floor))
    state = replace(state, floorOp=opId, draws=state.draws + 1)
    records = [Record(d.kind, d.inputs, d.output) for d in made.decisions]
    return state, (
        *(_record(state, r) for r in records),
        Tell("proposer", Ask(opId, FLOOR, change, "placement", 1_500)),
    )


def _floorSettled(
    state: State, outcome: str, version: int, value: bytes, nowMs: Ms
) -> tuple[State, Effects]:
    state = replace(state, floorOp="")
    if outcome != "done":
        return replace(state, floorVersion=-1), ()
    floor = unpackFloor(value)
    if floor.term > state.term:
        return replace(state, floorVersion=-1, term=0), (
            Note("a newer term wrote the floor: this node stops deciding"),
        )
    # Only a floor that this term wrote tells who held what last; a copy may be older.
    before = state.floor if state.floorVersion >= 0 else floor
    marks = state.marks.acked(before, floor, nowMs)
    return replace(state, floor=floor, floorVersion=version, marks=marks), ()


def _flare(state: State, table: Table, nowMs: Ms) -> tuple[State, Effects]:
    """LAAF when a utilization moved past the trigger or the candidates changed; then ROME."""
    suspects = suspectsOf(state.reports, nowMs)
    now, faults = picture(
        state.floor, table, meansOf(state.reports), _seats(state),
        state.evacuated, suspects, state.policy,
    )  # fmt: skip
    effects: list[Effect] = []
    if _moved(state, now, table.thresholds.triggerPct, nowMs):
        state = replace(
            state, rankings=laaf(now), ranked=now, sequence=state.sequence + 1, rankedMs=nowMs
        )
        record = Record("laaf", pictureDoc(now), rankingDoc(state.rankings))
        effects.append(_record(state, record))
        if faults:
            record = Record("program-fault", {"faults": list(faults)}, "default used")
            effects.append(_record(state, record))
        bounds = table.thresholds
        limits = Limits(bounds.overloadPct, bounds.migrationPct, bounds.triggerPct)
        rested = replace(
            now,
            vetoes=(
                *now.vetoes,
                *(k for k, atMs in state.shiftedMs.items() if nowMs - atMs < SHIFT_REST_MS),
            ),
        )
        relief = rome(rested, limits)
        if relief.shifts:
            inputs = {
                **pictureDoc(rested),
                "limits": [limits.overloadPct, limits.migrationPct, limits.gapPct],
            }
            output = [[s.service, s.fromWorker, s.toWorker, s.cause] for s in relief.shifts]
            effects.append(_record(state, Record("rome", inputs, output)))
            shifted = state.shiftedMs
            for s in relief.shifts:
                shifted = shifted.set((s.service, s.fromWorker), nowMs)
                shifted = shifted.set((s.service, s.toWorker), nowMs)
            state = replace(state, shifts=relief.shifts, shiftedMs=shifted)
    elif nowMs - state.pushedMs < PUSH_MS:
        return state, tuple(effects)
    lists = Lists(
        state.term,
        state.sequence,
        state.versions.get(DESIRED_STATE, 0),
        0,
        tuple(Successors(r.service, r.worker, r.instances) for r in state.rankings),
    )
    state = replace(state, pushedMs=nowMs)
    effects.extend(Send(n, lists) for n in sorted(liveHolders(state.reports, nowMs)))
    return state, tuple(effects)


def _moved(state: State, now: Picture, triggerPct: float, nowMs: Ms) -> bool:
    """Whether LAAF runs again: at once when a utilization moved past the trigger, within a
    second when candidates came or went (exchanges pass over heads that are not fit)."""
    old = state.ranked
    if old is None:
        return True
    before = dict(old.cuPct)
    if set(before) != {w for w, _ in now.cuPct}:
        return True
    if any(abs(cu - before[w]) > triggerPct for w, cu in now.cuPct):
        return True
    known = [(f.service, f.worker) for f in old.functions]
    changed = old.sites != now.sites or known != [(f.service, f.worker) for f in now.functions]
    return changed and nowMs - state.rankedMs >= RERANK_MS
