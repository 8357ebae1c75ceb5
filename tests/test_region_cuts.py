"""Network partitions between regions, one-way or both ways, and the loss of a region, under traffic
and configuration changes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.changing import votes
from tests.sim.cluster import ZONES, Sim, configuration
from tests.test_scenarios import clean
from tools.judges import level
from tools.log import Told

REGIONS = {"north": "n", "centre": "c", "south": "s"}
LONG_MS = 12_000


@pytest.fixture(params=[1, 2, 3])
def cluster(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """Three regions with five members: two, two, and one in the south."""
    made = Sim(request.param, 9, 5.0, registries=5, bounds=Bounds(members=5), regions=REGIONS)
    made.settle()
    yield made
    made.close()


def cut(sim: Sim, one: str, others: tuple[str, ...], both_ways: bool) -> None:
    for other in others:
        sim.net.cuts.add((f"zone:{one}", f"zone:{other}"))
        if both_ways:
            sim.net.cuts.add((f"zone:{other}", f"zone:{one}"))


def done(sim: Sim, told: Told) -> Told:
    sim.up_to(lambda: told.status != -1, 8_000)
    return told


@pytest.mark.parametrize("both_ways", [True, False])
@pytest.mark.parametrize("alone", ["south", "north"])
def test_one_region_is_partitioned_from_the_others(
    cluster: Sim, alone: str, both_ways: bool
) -> None:
    """The other regions continue and accept orders. The isolated region refuses orders, and has
    what was acknowledged meanwhile once it is back; nothing requested there alone takes effect."""
    cluster.traffic(60, LONG_MS + 14_000)
    cluster.run(1_000)
    cut(cluster, alone, tuple(zone for zone in ZONES if zone != alone), both_ways)
    cluster.run(3_000)
    there = next(i for i, r in enumerate(cluster.registries) if r.zone != alone)
    here = next(i for i, r in enumerate(cluster.registries) if r.zone == alone)
    taken = done(cluster, cluster.apply(configuration(name="by the others"), there))
    assert taken.status == 200
    refused = cluster.apply(configuration(name="alone"), here)
    cluster.run(LONG_MS - 3_000)
    assert refused.status != 200
    back_ms = cluster.env.now
    cluster.net.cuts.clear()
    cluster.run(8_000)
    for number in range(5):
        shown = done(cluster, cluster.show(number))
        assert shown.status == 200 and shown.doc["configuration"]["name"] != "alone"
    clean(cluster)
    assert level(cluster.log(), back_ms + 4_000, back_ms + 8_000) > 0.99


def test_two_regions_are_partitioned_while_a_third_reaches_both(cluster: Sim) -> None:
    cluster.traffic(60, LONG_MS + 14_000)
    cluster.run(1_000)
    cut(cluster, "north", ("south",), True)
    cluster.run(2_000)
    for zone in ("north", "centre", "south"):
        where = next(i for i, r in enumerate(cluster.registries) if r.zone == zone)
        told = done(cluster, cluster.apply(configuration(name=f"from {zone}"), where))
        assert told.status == 200, zone  # each sees a majority
        cluster.run(2_000)
    cluster.run(LONG_MS - 6_000)
    cluster.net.cuts.clear()
    cluster.run(8_000)
    names = {done(cluster, cluster.show(i)).doc["configuration"]["name"] for i in range(5)}
    assert names == {"from south"}
    clean(cluster)


def test_a_region_is_lost_and_returns(cluster: Sim) -> None:
    """A region is lost with its workers. What was acknowledged before and meanwhile is kept, and
    calls that are not repeatable run at most once."""
    cluster.traffic(60, LONG_MS + 16_000)
    cluster.run(1_000)
    assert done(cluster, cluster.evacuate("south", True)).status == 200
    gone = [node for node in cluster.nodes if node.zone == "north"]
    for node in gone:
        node.machine_up = False
        node.kill()
    for seat in cluster.platform.seats:
        if seat.zone == "north":
            cluster.platform.crash(seat.id)
    cluster.run(3_000)
    up = next(i for i, r in enumerate(cluster.registries) if r.alive)
    assert done(cluster, cluster.apply(configuration(name="meanwhile"), up)).status == 200
    cluster.run(LONG_MS - 3_000)
    cluster.platform.down_workers.clear()
    back_ms = cluster.env.now
    for node in gone:
        node.machine_up = True
        node.start()
    assert cluster.up_to(lambda: all(votes(r) for r in cluster.registries), 8_000)
    cluster.run(4_000)
    shown, evacuated = done(cluster, cluster.show(0)), done(cluster, cluster.evacuated(1))
    assert shown.doc["configuration"]["name"] == "meanwhile"
    assert evacuated.doc["evacuated"] == ["south"]
    clean(cluster)
    assert level(cluster.log(), back_ms + 8_000, back_ms + 11_000) > 0.99


def test_idle_traffic_between_regions_is_small(cluster: Sim) -> None:
    """A node of an idle fleet, members included, sends under 2 kB a second to other regions. Guards
    against idle traffic of over 5 kB a second."""
    before = cluster.net.between_regions.size_bytes
    cluster.run(10_000)
    sent = cluster.net.between_regions.size_bytes - before
    assert sent / 10 / len(cluster.nodes) < 2_000
