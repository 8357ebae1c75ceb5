"""Runs LAAF and ROME, and pushes LAAF's lists to the exchanges before any failure occurs."""

from __future__ import annotations

from spokeroute.common.effects import Effect, Effects, Send
from spokeroute.common.ids import CONFIGURATION, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.configuration.configuration import Table
from spokeroute.dispatch.flare.algorithms import (
    LoadSnapshot,
    ShiftDecision,
    ShiftLimits,
    laaf,
    rome,
)
from spokeroute.dispatch.flare.list_push import ListsHeader, full_lists, push
from spokeroute.dispatch.flare.snapshot import build_snapshot
from spokeroute.dispatch.placement.reports import (
    count_exchanges,
    live_holders,
    mean_in_flight_of,
    suspect_instances,
)
from spokeroute.dispatch.placement.state import (
    State,
    ledger_entry,
    recently_shifted,
    workers_by_id,
)
from spokeroute.ledger.entries import Record, load_snapshot_doc, ranking_doc

RERANK_MS = 1_000
PUSH_MS = 1_000


def update_rankings(state: State, table: Table, now_ms: Ms) -> tuple[State, Effects]:
    """Run LAAF and ROME if utilizations or candidates changed enough, and push the lists when due.

    Example:
        state, effects = update_rankings(state, table, now_ms)
    """
    suspects = suspect_instances(state.reports, now_ms)
    snapshot, faults = build_snapshot(
        state.placements, table, mean_in_flight_of(state.reports), workers_by_id(state),
        state.evacuated, suspects, state.policy,
    )  # fmt: skip
    effects: list[Effect] = []
    if _must_rerank(state, snapshot, table.thresholds.trigger_pct, now_ms):
        accumulates = state.switches.accumulated_utilization
        rankings = laaf(snapshot, accumulates)
        state = replace(
            state, rankings=rankings, ranked=snapshot, sequence=state.sequence + 1, ranked_ms=now_ms
        )
        inputs = {**load_snapshot_doc(snapshot), "accumulates": accumulates}
        record = Record("laaf", inputs, ranking_doc(state.rankings))
        effects.append(ledger_entry(state, record))
        if faults:
            record = Record("program-fault", {"faults": list(faults)}, "default used")
            effects.append(ledger_entry(state, record))
        bounds = table.thresholds
        limits = ShiftLimits(bounds.overload_pct, bounds.migration_pct, bounds.trigger_pct)
        without_recent = replace(
            snapshot, vetoes=(*snapshot.vetoes, *sorted(recently_shifted(state, now_ms)))
        )
        decision = rome(without_recent, limits) if state.switches.load_shifts else ShiftDecision(())
        if decision.shifts:
            inputs = {
                **load_snapshot_doc(without_recent),
                "limits": [limits.overload_pct, limits.migration_pct, limits.gap_pct],
            }
            output = [[s.service, s.from_worker, s.to_worker, s.cause] for s in decision.shifts]
            effects.append(ledger_entry(state, Record("rome", inputs, output)))
            shifted = state.shifted_ms
            for s in decision.shifts:
                shifted = shifted.set((s.service, s.from_worker), now_ms)
                shifted = shifted.set((s.service, s.to_worker), now_ms)
            state = replace(state, shifts=decision.shifts, shifted_ms=shifted)
    elif now_ms - state.pushed_ms < PUSH_MS:
        return state, tuple(effects)
    holders = live_holders(state.reports, now_ms)
    pushed, sends = push(_lists_header(state, now_ms), state.pushed, state.rankings, holders)
    effects.extend(sends)
    return replace(state, pushed=pushed, pushed_ms=now_ms), tuple(effects)


def _lists_header(state: State, now_ms: Ms) -> ListsHeader:
    return ListsHeader(
        state.term,
        state.sequence,
        state.versions.get(CONFIGURATION, 0),
        count_exchanges(state.reports, now_ms),
    )


def resend_full_lists(state: State, node: NodeId, now_ms: Ms) -> tuple[State, Effects]:
    """Send the full lists of the last push to an exchange that missed it.

    Example:
        state, effects = resend_full_lists(state, NodeId("ex1"), now_ms)
    """
    if not state.term or state.pushed.term != state.term:
        return state, ()
    header = replace(_lists_header(state, now_ms), sequence=state.pushed.sequence)
    return state, (Send(node, full_lists(header, state.pushed.rankings)),)


def _must_rerank(state: State, snapshot: LoadSnapshot, trigger_pct: float, now_ms: Ms) -> bool:
    """Whether LAAF must run again: at once if a utilization changed by more than the trigger, after
    RERANK_MS if candidates changed (exchanges skip successors that are not eligible)."""
    old = state.ranked
    if old is None:
        return True
    before = dict(old.cu_pct)
    if set(before) != {w for w, _ in snapshot.cu_pct}:
        return True
    if any(abs(cu - before[w]) > trigger_pct for w, cu in snapshot.cu_pct):
        return True
    known = [(f.service, f.worker) for f in old.functions]
    changed = old.candidates != snapshot.candidates or known != [
        (f.service, f.worker) for f in snapshot.functions
    ]
    return changed and now_ms - state.ranked_ms >= RERANK_MS
