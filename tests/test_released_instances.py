"""Guards against calls that are sent again and again to an instance that its holder has released.

A holder reported that its instance drains before the tables had it. The call returned to the same
instance every 80 ms, and the core learned that it waits only with the next periodic report.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from spokeroute.common.answers import Ran
from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import From, Tell
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange import calls
from spokeroute.exchange.call_state import State, has_available_instance, is_released
from spokeroute.exchange.reasons import DRAINS, NO_ROOM_IN_TIME, NOT_HELD
from spokeroute.exchange.unheld import pick_unheld
from spokeroute.register.replica.replica import Reports
from spokeroute.transport.call_messages import Forwarded
from tests.sim.cluster import Sim

RARE = "small-1"


@pytest.fixture
def sim() -> Iterator[Sim]:
    made = Sim(5, bounds=Bounds(rejection_safe=True))
    made.settle()
    yield made
    made.close()


def with_one_instance(state: State) -> State:
    """The state with tables that have no instance of the service but the one that was called."""
    here = tuple(each for each in state.tables.by_service[RARE] if each.id in state.outstanding)
    assert len(here) == 1
    by_service = state.tables.by_service.set(RARE, here)
    return replace(state, tables=replace(state.tables, by_service=by_service))


def sent(sim: Sim) -> tuple[State, str]:
    """The state of an entry node whose only call was forwarded to the service's only instance."""
    sim.call("/small/1", sim.exchanges[0])
    for _ in range(2_000):
        state: State = sim.exchanges[0].state("calls")
        if state.slot_of_attempt:
            return with_one_instance(state), next(iter(state.slot_of_attempt))
        sim.run(1)
    raise AssertionError("the call was never sent")


def answered(state: State, attempt_id: str, reason: str, now_ms: Ms) -> tuple[State, int]:
    """The state after the holder's answer, and how many reports it caused to the core."""
    call = next(iter(state.calls.values()))
    holder = call.attempts[attempt_id]
    answer = Forwarded(attempt_id, Ran.NO, reason, 0, (), b"")
    frame = From(NodeId(holder.holder), Incarnation(holder.holder_incarnation), answer)
    state, effects = calls.step(state, frame, now_ms)
    reports = [each for each in effects if isinstance(each, Tell)]
    return state, sum(isinstance(each.event, Reports) for each in reports)


@pytest.mark.parametrize("reason", [DRAINS, NOT_HELD])
def test_a_call_returned_from_a_released_instance_is_reported_at_once(
    sim: Sim, reason: str
) -> None:
    state, attempt_id = sent(sim)
    now_ms = Ms(state.next_report_ms - 100)  # half of the report interval is over
    state, reports = answered(state, attempt_id, reason, now_ms)
    assert reports == 1
    assert not has_available_instance(state, RARE, now_ms)


def test_a_call_that_found_no_room_is_not_reported_at_once(sim: Sim) -> None:
    state, attempt_id = sent(sim)
    now_ms = Ms(state.next_report_ms - 100)
    state, reports = answered(state, attempt_id, NO_ROOM_IN_TIME, now_ms)
    assert reports == 0
    assert has_available_instance(state, RARE, now_ms)


def test_a_draining_instance_is_not_called_without_its_holder(sim: Sim) -> None:
    """An instance without a holder may be called directly; one that drains refuses calls."""
    state, attempt_id = sent(sim)
    now_ms = Ms(state.next_report_ms - 100)
    instance = next(iter(state.calls.values())).attempts[attempt_id].instance
    placed = state.tables.by_id[instance]
    later_ms = Ms(now_ms + 900)  # the time that it is avoided after a failed attempt is over
    drains, _ = answered(state, attempt_id, DRAINS, now_ms)
    assert is_released(drains, placed, later_ms)
    assert pick_unheld(drains, next(iter(drains.calls.values())), later_ms) is None
    assert not is_released(drains, placed, Ms(now_ms + 1_000))
    absent, _ = answered(state, attempt_id, NOT_HELD, now_ms)
    assert pick_unheld(absent, next(iter(absent.calls.values())), later_ms) is not None
