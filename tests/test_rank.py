"""Priorities decide the order of queued calls: of four turns, three go to the most urgent call and
one to the call that has waited longest. Under overload urgent calls wait less, and no tenant
starves."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from spokeroute.common.effects import From, Send
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.dispatch.configuration.tenant_keys import key_digest
from spokeroute.dispatch.placement.table import UP, Placed
from spokeroute.exchange import holder
from spokeroute.exchange.held_instance import (
    OLDEST_FIRST_INTERVAL,
    QUEUE_EXTRA,
    QUEUE_FACTOR,
    DispatchedAttempt,
    HeldInstance,
    QueuedCall,
    dispatch_order,
)
from spokeroute.exchange.rank import MAX_PRIORITY, rank_of
from spokeroute.exchange.reasons import BUSY
from spokeroute.exchange.types import Tables
from spokeroute.transport.call_messages import Forward, Forwarded
from tests.sim.cluster import Sim, configuration

ENTRY, HOLDER = NodeId("ex1"), NodeId("ex2")
LONG_MS = 60_000
CALLS_PER_TENANT = 240
ANY_TABLE: Any = object()  # its content is not used
row: list[Any] = ["i", "s", "w", "north", "h:1", 1, UP, True, True, HOLDER, 1]
PLACED = Placed(*row)


def forward(name: str, rank: int, wait_ms: int = LONG_MS) -> Forward:
    return Forward(name, "s", "i", 1, "GET", "/x", (), b"", wait_ms, "", rank=rank)


def waiting(name: str, rank: int, since_ms: int) -> QueuedCall:
    return QueuedCall(forward(name, rank), ENTRY, Ms(since_ms + LONG_MS), Ms(since_ms))


def queue_of(*came: tuple[str, int, int]) -> list[str]:
    """The order of the turns of calls, given as name, rank and arrival time."""
    instance = HeldInstance(PLACED)
    for name, rank, since_ms in came:
        instance = instance.with_queued(waiting(name, rank, since_ms))
    return [each.forward.attempt_id for each in instance.queue]


def test_of_four_turns_three_go_by_rank_and_one_by_age() -> None:
    old = [(f"old{at}", 9, at) for at in range(3)]
    urgent = [(f"urgent{at}", 0, 100 + at) for at in range(5)]
    assert queue_of(*old, *urgent) == [
        "old0", "urgent0", "urgent1", "urgent2", "old1", "urgent3", "urgent4", "old2",
    ]  # fmt: skip
    same = [(f"c{at}", 4, at) for at in range(6)]
    assert queue_of(*same) == [name for name, _, _ in same]


def test_the_tenants_priority_outranks_the_routes() -> None:
    assert rank_of(0, MAX_PRIORITY) < rank_of(1, 0)
    assert rank_of(MAX_PRIORITY, MAX_PRIORITY) == rank_of(1_000, 1_000)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 99), st.integers(0, 400)), min_size=1, max_size=40),
    st.integers(0, 100),
)
def test_who_has_waited_the_longest_gets_one_of_four_turns(
    came: list[tuple[int, int]], turns: int
) -> None:
    queue = tuple(waiting(f"{at}", rank, ms) for at, (rank, ms) in enumerate(sorted(came)))
    order = dispatch_order(queue, turns)
    assert sorted(order, key=str) == sorted(queue, key=str)
    oldest = min(each.queued_ms for each in queue)
    if len({each.forward.rank for each in queue}) > 1:
        assert any(each.queued_ms == oldest for each in order[:OLDEST_FIRST_INTERVAL])


def test_a_full_queue_refuses_calls_of_every_rank() -> None:
    most = QUEUE_FACTOR * PLACED.limit + QUEUE_EXTRA
    queue = tuple(waiting(f"c{at}", 5, 0) for at in range(most))
    running = Map({"runs": DispatchedAttempt("runs", ENTRY, Ms(0))})
    instance = HeldInstance(PLACED, queue=queue, in_flight=running)
    tables = Tables(
        proved_ms=Ms(0), table=ANY_TABLE, proof_valid_ms=LONG_MS, by_id=Map({"i": PLACED})
    )
    ready = holder.State(HOLDER, 1, tables, Map({"i": instance}))
    for rank in (0, 9):
        event = From(ENTRY, Incarnation(1), forward("new", rank))
        state, effects = holder.step(ready, event, Ms(10))
        told = [e.message for e in effects if isinstance(e, Send)]
        busy = [m for m in told if isinstance(m, Forwarded) and m.reason == BUSY]
        assert [m.attempt_id for m in busy] == ["new"]
        left = [each.forward.attempt_id for each in state.instances["i"].queue]
        assert left == [f"c{at}" for at in range(most)]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_under_overload_the_urgent_tenant_waits_less_and_none_starves(seed: int) -> None:
    """Two tenants call one service more often than it can run."""
    sim = Sim(seed, 3)
    tenants = [
        {"name": name, "keyDigests": [key_digest(name)], "priority": priority}
        for name, priority in (("urgent", 0), ("patient", 9))
    ]
    sim.settle(configuration(tenants=tenants))
    sim.platform.work_ms, sim.platform.fail_starts = 300.0, 10_000
    first = sim.env.now
    names = ("urgent", "patient")
    for turn in range(CALLS_PER_TENANT):
        for name in names if turn % 2 else names[::-1]:
            sim.call("/readings", sim.exchanges[turn % 3], api_key=name, wait_ms=1_500)
        sim.run(25)
    sim.run(3_000)
    asked = [each for each in sim.asked if each.at_ms >= first]
    served = {
        name: [e.done_ms - e.at_ms for e in asked if e.api_key == name and e.status == 200]
        for name in names
    }
    mean = {name: sum(times) / len(times) for name, times in served.items()}
    rate_of_all = sum(len(times) for times in served.values()) / len(asked)
    assert rate_of_all < 0.8  # the service was overloaded
    assert mean["urgent"] < mean["patient"]
    assert len(served["patient"]) / CALLS_PER_TENANT >= rate_of_all / 4
    sim.close()
