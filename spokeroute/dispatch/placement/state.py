"""The placement role's state, and the updates of it that several modules share."""

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
from spokeroute.dispatch.flare.algorithms import LoadSnapshot, Ranking, Shift
from spokeroute.dispatch.flare.list_push import LastPush
from spokeroute.dispatch.flare.snapshot import PolicyPrograms, compile_policy
from spokeroute.dispatch.placement.listing import ListingPresence, update_presence
from spokeroute.dispatch.placement.platform import PlatformListed
from spokeroute.dispatch.placement.reports import ExchangeReport
from spokeroute.dispatch.placement.table import (
    EMPTY_PLACEMENT_TABLE,
    STARTING,
    UP,
    PlacementTable,
    unpack_evacuated,
    unpack_placement_table,
)
from spokeroute.dispatch.placement.timers import PlacementTimers
from spokeroute.dispatch.scaling.sizing import Demand, ListedWorker
from spokeroute.dispatch.scaling.start_steps import StartSteps
from spokeroute.ledger.entries import Record
from spokeroute.register.replica.replica import Fresh
from spokeroute.transport.messages import HeldWord, Probe, Took
from spokeroute.transport.outcome_messages import OutcomesTold

SHIFT_COOLDOWN_MS = 10_000
MAX_OUTCOME_KEYS = 4_000  # once reached, only the keys already present are counted
OutcomeKey = tuple[str, str, str]
"""Service, outcome and reason."""
LISTING_RESTART_MS = 5_000
MAX_EMPTY_LISTINGS = 5
MAX_RECORDED_ATTEMPTS = 5_000


@dataclass(frozen=True, slots=True)
class State:
    """The placement role's state. ``placements`` is the newest table known to be chosen."""

    me: NodeId
    core_ids: frozenset[str] = frozenset()
    term: int = 0
    lease_until_ms: Ms = Ms(-1)
    placements: PlacementTable = EMPTY_PLACEMENT_TABLE
    placements_version: int = -1  # -1: read it before deciding
    placements_op_id: str = ""
    reports: Map[str, ExchangeReport] = field(default_factory=Map)
    listing: PlatformListed = PlatformListed(False, 0, (), ())
    listing_ms: Ms = Ms(-(10**6))
    list_asked: bool = False
    list_asked_ms: Ms = Ms(-(10**6))
    list_calls: int = 1  # platform calls that the last listing took
    presence: Map[str, ListingPresence] = field(default_factory=Map)
    empty_listings: int = 0  # consecutive listings that lacked everything
    orphan_ms: Map[str, int] = field(default_factory=Map)
    recorded_attempts: Map[str, int] = field(default_factory=Map)
    """Attempts whose successor is in the ledger."""
    timers: PlacementTimers = PlacementTimers()
    demand: Map[str, Demand] = field(default_factory=Map)
    demand_ms: Ms = Ms(0)
    table: Table | None = None
    policy: PolicyPrograms = PolicyPrograms()
    evacuated: frozenset[str] = frozenset()
    versions: Map[str, int] = field(default_factory=Map)
    proved_ms: Ms = Ms(-(10**6))  # this node's newest proof
    next_plan_ms: Ms = Ms(0)
    holder_words: Map[str, str] = field(default_factory=Map)  # newest, by instance
    planned_ms: Ms = Ms(0)  # when the last pass ran
    tokens: float = 0.0
    tokens_ms: Ms = Ms(0)
    rankings: tuple[Ranking, ...] = ()
    ranked: LoadSnapshot | None = None
    sequence: int = 0
    ranked_ms: Ms = Ms(-(10**6))
    pushed_ms: Ms = Ms(0)
    pushed: LastPush = LastPush()
    shifts: tuple[Shift, ...] = ()
    shifted_ms: Map[tuple[str, str], int] = field(default_factory=Map)
    op_count: int = 0
    bounds: Bounds = Bounds()
    places: Places = Places()
    switches: Switches = Switches()
    outcomes: Map[OutcomeKey, int] = field(default_factory=Map)  # reported by exchanges, summed
    starts: StartSteps = StartSteps()


def with_successors_taken(
    state: State, node: NodeId, took: tuple[Took, ...]
) -> tuple[State, Effects]:
    """Record each successor that an exchange chose in the ledger, once.

    Example:
        state, effects = with_successors_taken(state, node, probe.took)
    """
    if not state.term:
        return state, ()
    new = tuple(t for t in took if t.attempt_id not in state.recorded_attempts)
    if not new:
        return state, ()
    recorded = (
        state.recorded_attempts if len(state.recorded_attempts) < MAX_RECORDED_ATTEMPTS else Map()
    )
    for each in new:
        recorded = recorded.set(each.attempt_id, 1)
    records = [
        Record(
            "successor",
            {"exchange": node, "try": t.attempt_id, "service": t.service, "lost": t.lost,
             "rule": t.rule, "list": [t.list_term, t.list_sequence]},
            t.taken,
        )
        for t in new
    ]  # fmt: skip
    return replace(state, recorded_attempts=recorded), tuple(
        ledger_entry(state, r) for r in records
    )


def with_outcomes(state: State, node: NodeId, batch: OutcomesTold) -> tuple[State, Effects]:
    """Sum and record the late, refused and failed calls that an exchange reported.

    Example:
        state, effects = with_outcomes(state, node, OutcomesTold(1, ()))
    """
    sums = state.outcomes
    for row in batch.rows:
        key = (row.service, row.outcome, row.reason)
        if key in sums or len(sums) < MAX_OUTCOME_KEYS:
            sums = sums.set(key, sums.get(key, 0) + row.count)
    state = replace(state, outcomes=sums)
    if not state.term:
        return state, ()
    rows = [[row.service, row.outcome, row.reason, row.count] for row in batch.rows]
    record = Record("outcomes", {"exchange": node, "batch": batch.number}, rows)
    return state, (ledger_entry(state, record),)


def with_listing(state: State, listing: PlatformListed, now_ms: Ms) -> State:
    """Accept a newer listing.

    An older sequence number is ignored unless the platform restarted its numbering. A listing
    without any running instance is ignored until it repeats.

    Example:
        state = with_listing(state, listing, now_ms)
    """
    newer = (
        listing.sequence > state.listing.sequence or now_ms - state.listing_ms > LISTING_RESTART_MS
    )
    if not listing.ok or not newer:
        return state
    up = sum(1 for p in state.placements.instances if p.state == UP)
    is_empty = not listing.workers or (up > 1 and not listing.listed)
    if is_empty and state.empty_listings + 1 < MAX_EMPTY_LISTINGS:
        return replace(state, empty_listings=state.empty_listings + 1)
    lag_ms = state.bounds.listing_lag_ms
    presence = update_presence(state.placements, listing, state.presence, lag_ms, now_ms)
    return replace(state, listing=listing, listing_ms=now_ms, presence=presence, empty_listings=0)


def ledger_entry(state: State, record: Record) -> Tell:
    """A ledger entry, with the term and the register versions it was decided under.

    Example:
        ledger_entry(state, Record("term", {"holder": state.me}, 1)).actor == "ledger"
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


def with_proved_copies(state: State, fresh: Fresh) -> State:
    """Apply newly proved register copies; the placement table only if another node writes it.

    Example:
        state = with_proved_copies(state, fresh)
    """
    state = replace(state, proved_ms=fresh.as_of_ms)
    if not fresh.changed:
        return state
    table = fresh.table if isinstance(fresh.table, Table) else None
    policy = state.policy
    old = state.table.programs if state.table else None
    if table is not None and table.programs != old:
        policy = compile_policy(table)
    placements = state.placements
    if not state.term:
        placements = unpack_placement_table(fresh.values.get(FLOOR, b""))
    return replace(
        state,
        table=table,
        policy=policy,
        placements=placements,
        evacuated=unpack_evacuated(fresh.values.get("evacuation", b"")),
        versions=Map(fresh.versions),
    )


def workers_by_id(state: State) -> dict[WorkerId, ListedWorker]:
    """The workers in the newest listing, by id.

    Example:
        workers_by_id(State(NodeId("m1"))) == {}
    """
    return {s.id: s for s in state.listing.workers}


def recently_shifted(state: State, now_ms: Ms) -> frozenset[tuple[str, str]]:
    """The (service, worker) pairs shifted within the cooldown, which must not move again yet.

    Example:
        recently_shifted(State(NodeId("m1")), 0) == frozenset()
    """
    return frozenset(k for k, at in state.shifted_ms.items() if now_ms - at < SHIFT_COOLDOWN_MS)


def lacks_capacity(state: State, probe: Probe) -> bool:
    """Whether calls wait at an exchange for a service whose instances, including those starting,
    lack the capacity for all waiting and running calls.

    Example:
        lacks_capacity(state, probe)
    """
    waiting_services = {d.service for d in probe.demand if d.waiting}
    if (
        not waiting_services
        or state.table is None
        or waiting_services.isdisjoint(state.table.services)
    ):
        return False
    capacity = dict.fromkeys(waiting_services, 0)
    for placed in state.placements.instances:
        if placed.service in capacity and placed.state in (STARTING, UP):
            capacity[placed.service] += placed.limit if placed.zone not in state.evacuated else 0
    demanded = dict.fromkeys(waiting_services, 0)
    for recorded in state.reports.values():
        for d in recorded.demand:
            if d.service in demanded:
                demanded[d.service] += d.waiting + d.in_flight
    return any(demanded[name] > capacity[name] for name in waiting_services)


def with_holder_word(state: State, node: NodeId, incarnation: int, word: HeldWord) -> State | None:
    """Store what a holder reports on an instance; None if the sender does not hold it.

    Example:
        with_holder_word(State(NodeId("m1")), NodeId("ex1"), 1, HeldWord("a", "quiet")) is None
    """
    for placed in state.placements.instances:
        if placed.id == word.instance:
            if (placed.holder, placed.holder_incarnation) != (node, incarnation):
                return None
            return replace(state, holder_words=state.holder_words.set(word.instance, word.word))
    return None
