"""Queues of holders: who may wait in one, who leaves it, and who is told so at once."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from immutables import Map

from spokeroute.common.effects import From, Reply, SlotId
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.dispatch.placement_table import STARTING, UP, Placed
from spokeroute.exchange import calls, entry
from spokeroute.exchange.backlog import CROWD_CALLS, CROWD_MS, Backlog
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.moves import TURNED_MS
from spokeroute.exchange.seat import Handed, Seat, Waiting
from spokeroute.exchange.types import BUSY, NO_ROOM_IN_TIME, Call, Tables
from spokeroute.transport.messages import Forward, Forwarded
from tests.calls_made import call_to

ENTRY = NodeId("ex1")
HOLDER = NodeId("ex2")


def placed(name: str, limit: int = 1, **changes: Any) -> Placed:
    row: list[Any] = [name, "s", "w", "north", "h:1", limit, UP, True, True, HOLDER, 1]
    return replace(Placed(*row), **changes)


def waiting(name: str, left_ms: int = 5_000) -> Waiting:
    forward = Forward(name, "s", "i", 1, "GET", "/x", (), b"", left_ms, "")
    return Waiting(forward, ENTRY, Ms(left_ms))


def held(*queue: Waiting, run_ms: float = 500.0) -> Seat:
    """An instance of one slot where a call runs."""
    handed = Map({"runs": Handed("runs", ENTRY, Ms(0))})
    return Seat(placed("i"), line=queue, handed=handed, run_ms=run_ms)


def entry_with(call: Call, *instances: Placed) -> entry.State:
    tables = Tables(by_service=Map({"s": instances}), by_id=Map({p.id: p for p in instances}))
    attempt_of = Map({name: call.ask.slot.index for name in call.attempts})
    state = entry.State(ENTRY, 1, Budget(0), tables=tables, attempt_of=attempt_of)
    return entry.put(replace(state, outstanding=Map({"i": 1})), call)


def no(reason: str) -> From:
    return From(HOLDER, Incarnation(1), Forwarded("c1.0", "no", reason, 0, (), b""))


def test_a_queue_takes_in_only_what_gets_its_turn_well_within_its_wait() -> None:
    five = [waiting(f"c{n}") for n in range(5)]
    assert held(*five).turn_ms(4) == 2_250.0
    assert held(*five).takes_last(2_900)
    assert not held(*five).takes_last(2_700)
    assert held(*five, run_ms=0.0).takes_last(200)  # no run ended yet: taken in on trust


def test_an_entry_without_any_answer_gives_up_on_what_holders_turn_away() -> None:
    """Its own callers got nothing of the service lately: that is no sign of room."""
    for reason in (BUSY, NO_ROOM_IN_TIME):
        call = call_to(HOLDER, sent_ms=Ms(0), slot=SlotId(1, 1))
        first, effects = calls.step(entry_with(call, placed("i")), no(reason), Ms(3))
        assert effects == () and first.calls[1].phase == "waiting"
        again = replace(first.calls[1], attempts=call.attempts, phase="trying")
        state = entry_with(again, placed("i"))
        later, effects = calls.step(state, no(reason), Ms(3 + TURNED_MS - 1))
        assert effects == () and 1 in later.calls
        later, effects = calls.step(state, no(reason), Ms(3 + TURNED_MS))
        assert isinstance(effects[0], Reply) and effects[0].answer.status == 503
        assert "Retry-After" in dict(effects[0].answer.headers) and 1 not in later.calls
        starts = entry_with(again, placed("i"), placed("new", state=STARTING))
        assert calls.step(starts, no(reason), Ms(3 + TURNED_MS))[1] == ()


def test_a_backlog_counts_what_is_open_and_reckons_only_with_a_crowd_that_stands() -> None:
    backlog = Backlog().answered("s", Ms(0))
    for _ in range(CROWD_CALLS):
        backlog = backlog.opened("s", Ms(1_000))
    assert backlog.count("s") == CROWD_CALLS
    assert backlog.expect_ms("s", 1.0, Ms(1_000 + CROWD_MS - 1)) == 0
    assert backlog.expect_ms("s", 1.0, Ms(1_000 + CROWD_MS)) == CROWD_CALLS * 2_000
    assert backlog.expect_ms("s", 2.0, Ms(1_000 + CROWD_MS)) == CROWD_CALLS * 1_000
    fewer = backlog.closed("s")
    assert fewer.expect_ms("s", 1.0, Ms(1_000 + CROWD_MS)) == 0
    for _ in range(CROWD_CALLS):
        fewer = fewer.closed("s")
    assert fewer.count("s") == 0
