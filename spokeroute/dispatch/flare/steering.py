"""FLARe on the ordinary path: LAAF's lists, pushed ahead of failures, and ROME's shifts."""

from __future__ import annotations

from spokeroute.common.effects import Effect, Effects, Send
from spokeroute.common.ids import CONFIGURATION, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.configuration.configuration import Table
from spokeroute.dispatch.flare.algorithms import Limits, Picture, Relief, laaf, rome
from spokeroute.dispatch.flare.list_push import ListsHead, push, whole_lists
from spokeroute.dispatch.flare.sense import picture
from spokeroute.dispatch.placement.placing import State, record_in, resting, seats_of
from spokeroute.dispatch.placement.reports import exchanges_of, live_holders, means_of, suspects_of
from spokeroute.ledger.entries import Record, picture_doc, ranking_doc

RERANK_MS = 1_000
PUSH_MS = 1_000


def steer(state: State, table: Table, now_ms: Ms) -> tuple[State, Effects]:
    """LAAF when a utilization moved past the trigger or the candidates changed; then ROME.

    Example:
        state, effects = steer(state, table, now_ms)
    """
    suspects = suspects_of(state.reports, now_ms)
    now, faults = picture(
        state.placements, table, means_of(state.reports), seats_of(state),
        state.evacuated, suspects, state.policy,
    )  # fmt: skip
    effects: list[Effect] = []
    if _moved(state, now, table.thresholds.trigger_pct, now_ms):
        accumulates = state.switches.accumulated_utilization
        rankings = laaf(now, accumulates)
        state = replace(
            state, rankings=rankings, ranked=now, sequence=state.sequence + 1, ranked_ms=now_ms
        )
        inputs = {**picture_doc(now), "accumulates": accumulates}
        record = Record("laaf", inputs, ranking_doc(state.rankings))
        effects.append(record_in(state, record))
        if faults:
            record = Record("program-fault", {"faults": list(faults)}, "default used")
            effects.append(record_in(state, record))
        bounds = table.thresholds
        limits = Limits(bounds.overload_pct, bounds.migration_pct, bounds.trigger_pct)
        rested = replace(now, vetoes=(*now.vetoes, *sorted(resting(state, now_ms))))
        relief = rome(rested, limits) if state.switches.load_shifts else Relief(())
        if relief.shifts:
            inputs = {
                **picture_doc(rested),
                "limits": [limits.overload_pct, limits.migration_pct, limits.gap_pct],
            }
            output = [[s.service, s.from_worker, s.to_worker, s.cause] for s in relief.shifts]
            effects.append(record_in(state, Record("rome", inputs, output)))
            shifted = state.shifted_ms
            for s in relief.shifts:
                shifted = shifted.set((s.service, s.from_worker), now_ms)
                shifted = shifted.set((s.service, s.to_worker), now_ms)
            state = replace(state, shifts=relief.shifts, shifted_ms=shifted)
    elif now_ms - state.pushed_ms < PUSH_MS:
        return state, tuple(effects)
    holders = live_holders(state.reports, now_ms)
    pushed, sends = push(_head(state, now_ms), state.pushed, state.rankings, holders)
    effects.extend(sends)
    return replace(state, pushed=pushed, pushed_ms=now_ms), tuple(effects)


def _head(state: State, now_ms: Ms) -> ListsHead:
    return ListsHead(
        state.term,
        state.sequence,
        state.versions.get(CONFIGURATION, 0),
        exchanges_of(state.reports, now_ms),
    )


def whole_again(state: State, node: NodeId, now_ms: Ms) -> tuple[State, Effects]:
    """An exchange missed a push: it gets the lists of the last one whole.

    Example:
        state, effects = whole_again(state, NodeId("ex1"), now_ms)
    """
    if not state.term or state.pushed.term != state.term:
        return state, ()
    head = replace(_head(state, now_ms), sequence=state.pushed.sequence)
    return state, (Send(node, whole_lists(head, state.pushed.rankings)),)


def _moved(state: State, now: Picture, trigger_pct: float, now_ms: Ms) -> bool:
    """Whether LAAF runs again: at once when a utilization moved past the trigger, within a
    second when candidates came or went (exchanges pass over heads that are not fit)."""
    old = state.ranked
    if old is None:
        return True
    before = dict(old.cu_pct)
    if set(before) != {w for w, _ in now.cu_pct}:
        return True
    if any(abs(cu - before[w]) > trigger_pct for w, cu in now.cu_pct):
        return True
    known = [(f.service, f.worker) for f in old.functions]
    changed = old.sites != now.sites or known != [(f.service, f.worker) for f in now.functions]
    return changed and now_ms - state.ranked_ms >= RERANK_MS
