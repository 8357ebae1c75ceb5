"""The metrics of an exchange: a snapshot of the counts in its actors' state."""

from __future__ import annotations

from spokeroute.exchange import call_state, holder
from spokeroute.metrics import MS, Figures
from spokeroute.transport.process import Process


def exchange_metrics(process: Process) -> Figures:
    """Take the snapshot; to be called on the loop's thread.

    Example:
        text_of(exchange_metrics(process))
    """
    now_ms = process.world.now_ms()
    calls: call_state.State = process.actors["calls"].state
    held: holder.State = process.actors["holder"].state
    return Figures(
        calls.outcomes.total,
        {"spokeroute_cold_start_wait_seconds": calls.waits.histograms},
        {
            "spokeroute_open_calls": len(calls.calls),
            "spokeroute_held_instances": len(held.instances),
            "spokeroute_proof_age_seconds": (now_ms - calls.tables.proved_ms) / MS,
            "spokeroute_silent_holders": len(calls.silence.silent_since_ms),
        },
    )
