"""Calls to instances whose holder is gone, where instances refuse calls over their limit by
themselves, and attempts on a connection that was never established."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest
from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import From, Send, SlotId, Tick
from spokeroute.common.ids import (
    Address,
    Incarnation,
    InstanceId,
    Ms,
    NodeId,
    ServiceName,
    Version,
    WorkerId,
    ZoneName,
)
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    build_table,
    pack_configuration,
)
from spokeroute.dispatch.placement.table import UP, Placed
from spokeroute.exchange import call_state, calls, holder
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.lost_holders import fail_moved_attempts
from spokeroute.exchange.reasons import NOT_HELD
from spokeroute.exchange.types import Tables
from spokeroute.transport.call_messages import (
    Forward,
    Forwarded,
)
from tests.call_builders import call_to
from tests.sim.acts import fall_and_return
from tests.sim.cluster import Sim, configuration
from tests.test_scenarios import clean
from tests.test_silent_holders import holding

SAFE = Bounds(stale_ms=20_000, rejection_safe=True)


@pytest.fixture
def safe() -> Iterator[Sim]:
    made = Sim(5, exchanges=5, bounds=SAFE)
    doc = configuration()
    for service in doc["services"][2:]:
        service.update({"minInstances": 1, "spares": 0, "limit": 4})
    made.platform.turns_away = True
    made.settle(doc)
    yield made
    made.close()


def test_after_a_full_outage_calls_do_not_wait_for_new_holders(safe: Sim) -> None:
    """The placement table that is read back names holders with incarnations that have ended."""
    safe.traffic(60, 40_000, ("/readings", "/corrections"))
    safe.run(11_000)
    back_ms = safe.env.now + 1_000
    fall_and_return(safe, safe.nodes, 1_000)
    safe.run(9_000)
    asked = [a for a in safe.asked if back_ms + 500 <= a.at_ms < back_ms + 1_500]
    good = [a for a in asked if a.status == 200 and a.done_ms - a.at_ms < 300]
    assert len(good) >= 0.95 * len(asked), [
        (round(a.at_ms - back_ms), a.status, a.kind, round(a.done_ms - a.at_ms)) for a in asked
    ]
    clean(safe)


def test_instances_of_a_killed_holder_serve_on_without_a_holder(safe: Sim) -> None:
    """The killed node held the only instance of a service; its machine refuses connections. Calls
    after that are not lost or of unknown outcome, and do not wait for the next holder."""
    safe.traffic(20, 30_000, ("/small/1",))
    safe.run(11_000)
    lost = next(e for e in safe.exchanges if e.name == holding(safe, "small-1")[0])
    at_ms = safe.env.now
    lost.kill()
    safe.run(2_400)
    asked = [
        a for a in safe.asked
        if at_ms + 50 <= a.at_ms < at_ms + 2_000 and a.exchange != lost.name
    ]  # fmt: skip
    bad = [a for a in asked if not (a.status == 200 and a.done_ms - a.at_ms < 400)]
    assert len(asked) > 20 and len(bad) <= len(asked) // 50, [
        (round(a.at_ms - at_ms), a.status, a.kind, a.ran) for a in bad
    ]
    lost.start()
    clean(safe, 12_000)


def test_no_unheld_calls_if_instances_do_not_refuse() -> None:
    """By default, an instance is called by its only holder, also while that one is away."""
    sim = Sim(5, exchanges=5)
    sim.settle()
    sim.traffic(60, 20_000, ("/readings",))
    sim.run(5_000)
    next(e for e in sim.exchanges if e.name == holding(sim, "readings")[0]).kill()
    sim.run(2_000)
    held = [s for e in sim.exchanges if e.alive for s in e.state("holder").instances.values()]
    assert held and not any(s.unheld for s in held)
    sim.close()


def test_a_replaced_holder_that_is_up_answers_its_calls(safe: Sim) -> None:
    """The table names another holder while a call runs; the old one is up and will answer."""
    safe.platform.work_ms = 800.0
    asked = [safe.call("/corrections") for _ in range(6)]
    safe.run(200)
    for node in safe.exchanges:
        open_ = node.state("calls")
        tables = open_.tables
        other = {p.id: replace(p, holder=NodeId("ex9")) for p in tables.placements.instances}
        moved = replace(tables, by_id=Map(other))
        state, effects = fail_moved_attempts(replace(open_, tables=moved), node.now_ms())
        assert effects == () and state.calls == open_.calls
    safe.run(3_000)
    assert [a.status for a in asked] == [200] * 6


def test_a_refused_call_may_return_to_the_same_instance() -> None:
    """The only instance was full for a moment: the call must not wait for another instance, and its
    second send counts against the retry budget."""
    call = call_to("ex1", Ms(11_000), SlotId(1, 1))
    placed = Placed(
        InstanceId("i"), ServiceName("s"), WorkerId("w"), ZoneName("north"), Address("h:1"), 1, UP,
        True, True, NodeId("ex1"), Incarnation(1),
    )  # fmt: skip
    table = build_table(
        Version(1), "", pack_configuration(Configuration((), (call.service,), ()), "a")
    )
    tables = Tables(
        Ms(11_000), table, by_service=Map({"s": (placed,)}), by_id=Map({"i": placed}),
        proof_valid_ms=20_000,
    )  # fmt: skip
    state = call_state.State(NodeId("ex1"), 1, Budget(0), tables)
    state = replace(
        call_state.store_call(state, call),
        slot_of_attempt=Map({"c1.0": 1}),
        outstanding=Map({"i": 1}),
    )
    no = Forwarded("c1.0", "no", "refused: the instance said 503, not run", 503, (), b"")
    state, effects = calls.step(state, From(NodeId("ex1"), Incarnation(1), no), Ms(11_010))
    assert effects == ()
    state, effects = calls.step(state, Tick(), Ms(12_100))
    sent = [e.message for e in effects if isinstance(e, Send)]
    assert [m.instance for m in sent if isinstance(m, Forward)] == ["i"]
    assert state.budget.resends.total("s", 12_100, 1) == 1


def test_a_holder_with_older_placements_is_not_taken_for_gone() -> None:
    """It is up and will hold the instance, which must not be called without a holder as well."""
    state = holder.State(NodeId("ex1"), 7)
    forward = Forward("c1.0", "s", "a", 7, "GET", "/x", (), b"", 900, "")
    _, effects = holder.step(state, From(NodeId("ex2"), Incarnation(1), forward), Ms(1_000))
    (said,) = [e.message for e in effects if isinstance(e, Send)]
    assert isinstance(said, Forwarded) and said.ran == "no" and said.reason != NOT_HELD
    older = replace(forward, holder_incarnation=6)
    _, effects = holder.step(state, From(NodeId("ex2"), Incarnation(1), older), Ms(1_000))
    (said,) = [e.message for e in effects if isinstance(e, Send)]
    assert isinstance(said, Forwarded) and said.reason == NOT_HELD
