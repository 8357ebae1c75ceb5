"""Skipping inactive services in a planning pass does not change its decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from spokeroute.common.ids import (
    Address,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceName,
    Term,
    Version,
    WorkerId,
    ZoneName,
)
from spokeroute.dispatch.configuration.configuration import Service, Table
from spokeroute.dispatch.configuration.models import Programs, Thresholds
from spokeroute.dispatch.placement.planning_pass import PlanningPass, Seen
from spokeroute.dispatch.placement.table import DRAINING, STARTING, UP, Placed, PlacementTable
from spokeroute.dispatch.scaling.service_scaling import is_inactive, scale
from spokeroute.dispatch.scaling.sizing import Demand, ListedWorker

NOW_MS = 100_000
WORKERS = {WorkerId(f"w{at}"): ListedWorker(WorkerId(f"w{at}"), ZoneName("north"), 8_192)
         for at in range(3)}  # fmt: skip
DEMANDS = st.builds(
    Demand,
    level=st.sampled_from((0.0, 0.4, 5.0)),
    waiting=st.sampled_from((0, 0, 3)),
    last_arrival_ms=st.sampled_from((-(10**9), 0, NOW_MS - 4_000, NOW_MS - 400, NOW_MS)),
    gap_ms=st.sampled_from((0.0, 900.0, 60_000.0)),
)
SERVICES = st.builds(
    Service,
    name=st.just("s"),
    memory_mb=st.just(128),
    limit=st.sampled_from((1, 4)),
    start_ms=st.sampled_from((200, 1_400)),
    min_instances=st.sampled_from((0, 0, 1)),
    spares=st.sampled_from((0, 1)),
    idle_ms=st.sampled_from((500, 3_000, 60_000)),
)


def placed(state: str) -> Placed:
    return Placed(
        InstanceId("s-1"), ServiceName("s"), WorkerId("w0"), ZoneName("north"), Address("a:1"), 1,
        state, True, state == UP, NodeId("ex1"), Incarnation(1),
    )  # fmt: skip


def seen_of(service: Service, demand: Demand | None, aim_ms: int) -> Seen:
    table = Table(
        Version(1), "", {}, {"s": service}, Thresholds(), Programs(),
        aim_ms={"s": aim_ms} if aim_ms else {},
    )  # fmt: skip
    empty: dict[Any, Any] = {}
    return Seen(
        NOW_MS, table, frozenset(), WORKERS, empty, empty, {"s": demand} if demand else {},
        frozenset(), {NodeId("ex1"): Incarnation(1)}, empty, empty, empty, empty, (), frozenset(),
        100, "n",
    )  # fmt: skip


@settings(max_examples=400)
@given(
    SERVICES,
    st.one_of(st.none(), DEMANDS),
    st.sampled_from((0, 300, 5_000)),
    st.sampled_from(("", "", STARTING, UP, DRAINING)),
)
def test_scaling_decides_nothing_for_an_inactive_service(
    service: Service, demand: Demand | None, aim_ms: int, state: str
) -> None:
    instances = (placed(state),) if state else ()
    work = PlanningPass(PlacementTable(Term(1), 1, instances), seen_of(service, demand, aim_ms))
    if not is_inactive(work, service):
        return
    before = dict(work.instances)
    scale(work, service)
    assert (dict(work.instances), work.decisions, work.surplus) == (before, [], set())


def test_a_called_or_kept_service_is_not_inactive() -> None:
    quick = Service("s", 128, 1, start_ms=200, idle_ms=3_000, spares=0)
    idle, called = Demand(), Demand(last_arrival_ms=NOW_MS)
    floor = PlacementTable(Term(1), 1, ())
    assert is_inactive(PlanningPass(floor, seen_of(quick, idle, 0)), quick)
    assert not is_inactive(PlanningPass(floor, seen_of(quick, called, 0)), quick)
    kept = replace(quick, min_instances=1)
    assert not is_inactive(PlanningPass(floor, seen_of(kept, idle, 0)), kept)
    slow = replace(quick, start_ms=1_400)
    assert not is_inactive(PlanningPass(floor, seen_of(slow, idle, 300)), slow)
    full = PlanningPass(PlacementTable(Term(1), 1, (placed(DRAINING),)), seen_of(quick, idle, 0))
    assert not is_inactive(full, quick)
