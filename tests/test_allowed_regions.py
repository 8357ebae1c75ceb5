"""Calls of a route with allowed regions run only there, whatever fails or changes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.dispatch.configuration.configuration import Configuration, read_configuration
from spokeroute.dispatch.configuration.validation import check_regions
from tests.sim.changing import votes
from tests.sim.cluster import Sim, configuration
from tools.log import Run

REGIONS = {"north": "n", "centre": "c", "south": "s"}
PATH = "/small/1"


def configuration_limited_to(regions: list[str] | None) -> dict[str, Any]:
    """The small deployment, with allowed regions on the route of one small service."""
    document = configuration(name=f"limited to {regions}")
    for route in document["routes"]:
        if route["path"] == PATH and regions is not None:
            route["regions"] = regions
    return document


@pytest.fixture(params=[1, 2, 3])
def cluster(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """Three regions with one zone each."""
    made = Sim(
        request.param, 6, regions=REGIONS, bounds=Bounds(rejection_safe=True, stale_ms=9_000)
    )
    made.settle(configuration_limited_to(["c"]))
    yield made
    made.close()


def runs_since(sim: Sim, from_ms: float) -> list[Run]:
    return [run for run in sim.platform.runs if run.path == PATH and run.at_ms >= from_ms]


def calls(sim: Sim, count: int, gap_ms: float = 150.0) -> list[Any]:
    made = []
    for number in range(count):
        made.append(sim.call(PATH, sim.exchanges[number % len(sim.exchanges)]))
        sim.run(gap_ms)
    return made


def test_calls_run_in_the_regions_that_their_route_allows(cluster: Sim) -> None:
    made = calls(cluster, 24)
    cluster.run(4_000)
    assert all(each.status == 200 for each in made)
    assert {run.zone for run in runs_since(cluster, 0)} == {"centre"}
    held = [p for _, _, floor in cluster.floors for p in floor.instances if p.service == "small-1"]
    holders = {p.holder for p in held if p.holder}
    assert holders and {n.zone for n in cluster.exchanges if n.name in holders} == {"centre"}


def test_a_change_moves_calls_to_the_regions_that_it_names(cluster: Sim) -> None:
    calls(cluster, 6)
    for regions, zones in (["s"], {"south"}), (["n", "s"], {"north", "south"}):
        told = cluster.apply(configuration_limited_to(regions))
        assert cluster.up_to(lambda told=told: told.status == 200, 5_000)  # type: ignore[misc]
        cluster.run(3_000)
        since_ms = cluster.env.now
        made = calls(cluster, 12)
        cluster.run(4_000)
        assert all(each.status == 200 for each in made)
        assert {run.zone for run in runs_since(cluster, since_ms)} <= zones


def test_calls_are_refused_at_once_if_every_allowed_zone_is_evacuated(cluster: Sim) -> None:
    calls(cluster, 6)
    told = cluster.evacuate("centre", True)
    assert cluster.up_to(lambda: told.status == 200, 5_000)
    cluster.run(3_000)
    since_ms = cluster.env.now
    made = calls(cluster, 6, 20.0)
    cluster.run(500)
    assert {each.status for each in made} == {503}
    assert all(each.retry_after and each.ran == "no" for each in made)
    assert all(each.done_ms - each.at_ms < 50 for each in made)
    assert runs_since(cluster, since_ms) == []
    back = cluster.evacuate("centre", False)
    assert cluster.up_to(lambda: back.status == 200, 5_000)
    cluster.run(3_000)
    assert all(each.status == 200 for each in waited(cluster, calls(cluster, 6)))


def waited(sim: Sim, made: list[Any]) -> list[Any]:
    sim.run(4_000)
    return made


def test_routes_of_a_lost_region_fail_until_it_is_back(cluster: Sim) -> None:
    calls(cluster, 6)
    for node in cluster.nodes:
        if node.zone == "centre":
            node.kill()
    gone = [seat.id for seat in cluster.platform.seats if seat.zone == "centre"]
    for worker in gone:
        cluster.platform.crash(worker)
    cluster.run(3_000)
    since_ms = cluster.env.now
    up = [node for node in cluster.exchanges if node.alive]
    made = [cluster.call(PATH, node, wait_ms=1_000) for node in up]
    cluster.run(2_000)
    assert {each.status for each in made} == {503}
    assert runs_since(cluster, since_ms) == []
    cluster.platform.down_workers.clear()
    for node in cluster.nodes:
        if not node.alive:
            node.start()
    assert cluster.up_to(lambda: all(votes(r) for r in cluster.registries), 15_000)
    cluster.run(6_000)
    assert all(each.status == 200 for each in waited(cluster, calls(cluster, 6)))
    assert {run.zone for run in runs_since(cluster, since_ms)} == {"centre"}


def test_an_unknown_region_is_reported() -> None:
    import json

    got = read_configuration(json.dumps(configuration_limited_to(["moon"])).encode(), ())
    assert isinstance(got, Configuration)
    faults = check_regions(got, frozenset(REGIONS.values()))
    assert [fault.path for fault in faults] == ["routes[2].regions"]
    assert "'moon'" in faults[0].reason and "c, n, s" in faults[0].remedy
    assert check_regions(got, frozenset())[0].remedy.endswith("settings name no regions")
