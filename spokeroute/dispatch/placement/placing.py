"""The placement role's state, and the small moves on it that its paths share."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import Effects, Tell
from spokeroute.common.ids import FLOOR, Ms, NodeId, WorkerId
from spokeroute.common.places import Places
from spokeroute.common.replacing import replace
from spokeroute.common.switches import Switches
from spokeroute.dispatch.configuration.configuration import Table
from spokeroute.dispatch.flare.algorithms import Picture, Ranking, Shift
from spokeroute.dispatch.flare.list_push import Pushed
from spokeroute.dispatch.flare.sense import PolicyPair, compile_policy
from spokeroute.dispatch.placement.listing import Sighting, sightings_of
from spokeroute.dispatch.placement.platform import PlatformListed
from spokeroute.dispatch.placement.reports import Reported
from spokeroute.dispatch.placement.table import (
    NO_FLOOR,
    STARTING,
    UP,
    Floor,
    unpack_evacuated,
    unpack_floor,
)
from spokeroute.dispatch.placement.upkeep import Marks
from spokeroute.dispatch.scaling.scaler import Demand, WorkerSeat
from spokeroute.dispatch.scaling.start_steps import StartSteps
from spokeroute.ledger.entries import Record
from spokeroute.register.replica.replica import FreshCopies
from spokeroute.transport.messages import HeldWord, Probe, Took
from spokeroute.transport.outcome_messages import OutcomesTold

SHIFT_REST_MS = 10_000
MOST_OUTCOMES = 4_000  # rows of the sums; past it only those that are there count on
OutcomeKey = tuple[str, str, str]
"""Service, outcome and reason."""
ANEW_MS = 5_000
BARE_LISTINGS = 5
MOST_TOOK = 5_000


@dataclass(frozen=True, slots=True)
class State:
    """All that placement knows. The floor here is the one this node knows to be chosen."""

    me: NodeId
    core_ids: frozenset[str] = frozenset()
    term: int = 0
    lease_until_ms: Ms = Ms(-1)
    floor: Floor = NO_FLOOR
    floor_version: int = -1  # -1: to be read at the term's start
    floor_op: str = ""
    reports: Map[str, Reported] = field(default_factory=Map)
    listing: PlatformListed = PlatformListed(False, 0, (), ())
    listing_ms: Ms = Ms(-(10**6))
    list_asked: bool = False
    list_asked_ms: Ms = Ms(-(10**6))
    list_calls: int = 1  # of the platform, that the last listing took
    sightings: Map[str, Sighting] = field(default_factory=Map)
    bare: int = 0  # listings in a row that lacked everything
    orphan_ms: Map[str, int] = field(default_factory=Map)
    took: Map[str, int] = field(default_factory=Map)  # attempts whose successor is entered
    marks: Marks = Marks()
    demand: Map[str, Demand] = field(default_factory=Map)
    demand_ms: Ms = Ms(0)
    table: Table | None = None
    policy: PolicyPair = PolicyPair()
    evacuated: frozenset[str] = frozenset()
    versions: Map[str, int] = field(default_factory=Map)
    proved_ms: Ms = Ms(-(10**6))  # this node's own newest proof
    next_plan_ms: Ms = Ms(0)
    told: Map[str, str] = field(default_factory=Map)  # instance -> its holder's newest word
    planned_ms: Ms = Ms(0)  # when the last pass was
    tokens: float = 0.0
    tokens_ms: Ms = Ms(0)
    rankings: tuple[Ranking, ...] = ()
    ranked: Picture | None = None
    sequence: int = 0
    ranked_ms: Ms = Ms(-(10**6))
    pushed_ms: Ms = Ms(0)
    pushed: Pushed = Pushed()
    shifts: tuple[Shift, ...] = ()
    shifted_ms: Map[tuple[str, str], int] = field(default_factory=Map)
    draws: int = 0
    bounds: Bounds = Bounds()
    places: Places = Places()
    switches: Switches = Switches()
    outcomes: Map[OutcomeKey, int] = field(default_factory=Map)  # that exchanges told, summed
    starts: StartSteps = StartSteps()


def took_by(state: State, node: NodeId, took: tuple[Took, ...]) -> tuple[State, Effects]:
    """Enter each successor that an exchange took, once.

    Example:
        state, effects = took_by(state, node, probe.took)
    """
    if not state.term:
        return state, ()
    new = tuple(t for t in took if t.attempt_id not in state.took)
    if not new:
        return state, ()
    known = state.took if len(state.took) < MOST_TOOK else Map()
    for each in new:
        known = known.set(each.attempt_id, 1)
    records = [
        Record(
            "successor",
            {"exchange": node, "try": t.attempt_id, "service": t.service, "lost": t.lost,
             "rule": t.rule, "list": [t.list_term, t.list_sequence]},
            t.taken,
        )
        for t in new
    ]  # fmt: skip
    return replace(state, took=known), tuple(record_in(state, r) for r in records)


def outcomes_by(state: State, node: NodeId, told: OutcomesTold) -> tuple[State, Effects]:
    """Sum and enter what an exchange told of calls that ended late, refused or failed.

    Example:
        state, effects = outcomes_by(state, node, OutcomesTold(1, ()))
    """
    sums = state.outcomes
    for row in told.rows:
        key = (row.service, row.outcome, row.reason)
        if key in sums or len(sums) < MOST_OUTCOMES:
            sums = sums.set(key, sums.get(key, 0) + row.count)
    state = replace(state, outcomes=sums)
    if not state.term:
        return state, ()
    rows = [[row.service, row.outcome, row.reason, row.count] for row in told.rows]
    record = Record("outcomes", {"exchange": node, "batch": told.number}, rows)
    return state, (record_in(state, record),)


def listed(state: State, listing: PlatformListed, now_ms: Ms) -> State:
    """Take a listing in: not an older one (unless the platform began anew), nor, until it
    persists, one that lacks everything that is up.

    Example:
        state = listed(state, listing, now_ms)
    """
    newer = listing.sequence > state.listing.sequence or now_ms - state.listing_ms > ANEW_MS
    if not listing.ok or not newer:
        return state
    up = sum(1 for p in state.floor.instances if p.state == UP)
    bare = not listing.seats or (up > 1 and not listing.listed)
    if bare and state.bare + 1 < BARE_LISTINGS:
        return replace(state, bare=state.bare + 1)
    lag_ms = state.bounds.listing_lag_ms
    sightings = sightings_of(state.floor, listing, state.sightings, lag_ms, now_ms)
    return replace(state, listing=listing, listing_ms=now_ms, sightings=sightings, bare=0)


def record_in(state: State, record: Record) -> Tell:
    """An entry for the ledger, with the term and the versions it was made under.

    Example:
        record_in(state, Record("term", {"holder": state.me}, 1)).actor == "ledger"
    """
    return Tell(
        "ledger",
        replace(
            record,
            term=state.term,
            versions=dict(state.versions),
            programs=state.policy.digest,
        ),
    )


def refreshed(state: State, fresh: FreshCopies) -> State:
    """Take newly proved copies in; the floor only where another writes it.

    Example:
        state = refreshed(state, fresh)
    """
    state = replace(state, proved_ms=fresh.as_of_ms)
    if not fresh.changed:
        return state
    table = fresh.table if isinstance(fresh.table, Table) else None
    policy = state.policy
    old = state.table.programs if state.table else None
    if table is not None and table.programs != old:
        policy = compile_policy(table)
    floor = state.floor
    if not state.term:
        floor = unpack_floor(fresh.values.get(FLOOR, b""))
    return replace(
        state,
        table=table,
        policy=policy,
        floor=floor,
        evacuated=unpack_evacuated(fresh.values.get("evacuation", b"")),
        versions=Map(fresh.versions),
    )


def seats_of(state: State) -> dict[WorkerId, WorkerSeat]:
    """The workers of the newest listing, by id.

    Example:
        seats_of(State(NodeId("m1"))) == {}
    """
    return {s.id: s for s in state.listing.seats}


def resting(state: State, now_ms: Ms) -> frozenset[tuple[str, str]]:
    """What was shifted so lately that it stays where it is.

    Example:
        resting(State(NodeId("m1")), 0) == frozenset()
    """
    return frozenset(k for k, at in state.shifted_ms.items() if now_ms - at < SHIFT_REST_MS)


def short_of(state: State, probe: Probe) -> bool:
    """Whether calls wait at an exchange for a service whose instances, those that start
    included, could not take all that is asked of it at once.

    Example:
        short_of(state, probe)
    """
    waits = {d.service for d in probe.demand if d.waiting}
    if not waits or state.table is None or waits.isdisjoint(state.table.services):
        return False
    room = dict.fromkeys(waits, 0)
    for placed in state.floor.instances:
        if placed.service in room and placed.state in (STARTING, UP):
            room[placed.service] += placed.limit if placed.zone not in state.evacuated else 0
    asked = dict.fromkeys(waits, 0)
    for known in state.reports.values():
        for d in known.demand:
            if d.service in asked:
                asked[d.service] += d.waiting + d.in_flight
    return any(asked[name] > room[name] for name in waits)


def told_by(state: State, node: NodeId, incarnation: int, word: HeldWord) -> State | None:
    """Keep a holder's word on an instance; None where it is not the one that holds it.

    Example:
        told_by(State(NodeId("m1")), NodeId("ex1"), 1, HeldWord("a", "quiet")) is None
    """
    for placed in state.floor.instances:
        if placed.id == word.instance:
            if (placed.holder, placed.holder_incarnation) != (node, incarnation):
                return None
            return replace(state, told=state.told.set(word.instance, word.word))
    return None
