"""Guards against a late report of a call that waits for a service without an instance.

A call came within 20 ms after the last report. It was not reported at once, as reports keep a
minimum interval, nor after that interval, but with the next periodic report 200 ms after the last.
"""

from __future__ import annotations

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import Tell, Tick
from spokeroute.common.ids import Ms, NodeId
from spokeroute.exchange import calls
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.call_state import NO_URGENT_REPORT, State, demand_report, report_urgently
from spokeroute.exchange.types import first_tables
from spokeroute.register.replica.replica import Reports


def reports(effects: tuple[object, ...]) -> int:
    return sum(1 for each in effects if isinstance(each, Tell) and isinstance(each.event, Reports))


@pytest.mark.parametrize("after_ms", [0, 5, 19])
def test_a_call_right_after_a_report_is_reported_after_the_minimum_interval(after_ms: int) -> None:
    state = State(NodeId("ex1"), 1, Budget(0), first_tables(Bounds()))
    state, _ = demand_report(state, Ms(1_000))
    state, effects_of_call = report_urgently(state, "readings", Ms(1_000 + after_ms))
    assert reports(effects_of_call) == 0
    state, effects = calls.step(state, Tick(), Ms(1_019))
    assert reports(effects) == 0
    state, effects = calls.step(state, Tick(), Ms(1_020))
    assert reports(effects) == 1
    assert state.urgent_report_ms == NO_URGENT_REPORT
    assert reports(calls.step(state, Tick(), Ms(1_060))[1]) == 0


def test_a_later_call_is_reported_at_once() -> None:
    state = State(NodeId("ex1"), 1, Budget(0), first_tables(Bounds()))
    state, _ = demand_report(state, Ms(1_000))
    assert reports(report_urgently(state, "readings", Ms(1_020))[1]) == 1
