"""Exchanges that can't reach the core keep the newest copies that were proved to them, never go
back to older ones, and have a new proof with the first answer of a majority."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.acts import swap_registry
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node

STALE_MS = 12_000
RESUME_MS = 450  # two probes and their round trips


@pytest.fixture
def cluster(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = Sim(request.param, 4, bounds=Bounds(stale_ms=STALE_MS, catch_up_ms=4_000))
    made.settle()
    made.traffic(20, 90_000)
    made.env.process(watched(made))
    yield made
    made.close()


EACH = pytest.mark.parametrize("cluster", [1, 2, 3], indirect=True)


def versions(node: Node) -> dict[str, int]:
    return {name: got.copy.version for name, got in node.state("replica").in_force.items()}


def watched(sim: Sim) -> Generator[Any, Any, None]:
    """Check that no version in force goes back within one incarnation of an exchange."""
    last: dict[tuple[str, int], dict[str, int]] = {}
    while True:
        for node in sim.exchanges:
            if node.alive and not node.frozen:
                key = (node.name, node.births)
                now = versions(node)
                for name, version in last.get(key, {}).items():
                    assert now.get(name, -1) >= version, (sim.env.now, node.name, name)
                table = node.state("calls").tables.table
                assert table is None or table.version == now["configuration"]
                last[key] = now
        yield sim.env.timeout(20)


def cut_off(sim: Sim, node: Node, others: list[Node]) -> None:
    sim.net.cuts |= {(node.name, o.name) for o in others if o is not node}
    sim.net.cuts |= {(o.name, node.name) for o in others if o is not node}


def proved_ago_ms(node: Node) -> int:
    return int(node.now_ms() - node.state("replica").proved_ms)


def resumed(sim: Sim, nodes: list[Node]) -> bool:
    """Whether each node gets a proof by probes that are sent from now on, within the bound."""
    since_ms = sim.env.now
    return sim.up_to(
        lambda: all(proved_ago_ms(n) <= sim.env.now - since_ms for n in nodes), RESUME_MS
    )


def applied(sim: Sim, name: str, registry: int = 0) -> None:
    told = sim.apply(configuration(name=name), registry=registry)
    assert sim.up_to(lambda: told.status == 200, 4_000), told


@EACH
def test_a_cut_off_exchange_keeps_the_newest_and_gets_a_proof_at_once(cluster: Sim) -> None:
    lone = cluster.exchanges[0]
    applied(cluster, "before")
    cluster.run(1_000)
    for number, others in enumerate((cluster.registries, cluster.nodes, cluster.registries[:2])):
        kept = versions(lone)
        cut_off(cluster, lone, others)
        for step in range(3):
            applied(cluster, f"during-{number}-{step}", step)
            cluster.run(cluster.rng.uniform(500, 2_500))
            assert versions(lone) == kept
        assert lone.state("calls").tables.table is not None
        cluster.net.cuts.clear()
        assert resumed(cluster, [lone])
        assert versions(lone)["configuration"] > kept["configuration"]


@EACH
def test_versions_never_go_back_over_cuts_and_mass_restarts(cluster: Sim) -> None:
    """Core nodes and exchanges fail and return, links are cut, while new versions are applied."""
    for number in range(12):
        told = cluster.apply(configuration(name=f"day-{number}"), cluster.rng.randrange(3))
        cluster.run(cluster.rng.uniform(0, 60))
        act = number % 4
        if act == 0:
            for node in cluster.registries:
                node.kill()
            cluster.run(cluster.rng.uniform(100, 3_000))
            for node in cluster.registries:
                node.start()
        elif act == 1:
            away = cluster.rng.sample(cluster.exchanges, 2)
            for node in away:
                cut_off(cluster, node, cluster.registries)
            cluster.run(cluster.rng.uniform(500, 5_000))
            cluster.net.cuts.clear()
        elif act == 2:
            for node in cluster.nodes:
                node.kill()
            cluster.run(800)
            for node in cluster.nodes:
                node.start()
            cluster.run(1_000)
        else:
            node = cluster.registries[number % 3]
            node.kill()
            cluster.run(1_000)
            node.start(blank=True)
            cluster.run(500)
        cluster.run(100)
        assert resumed(cluster, cluster.exchanges)
        cluster.run(3_000)
        assert told.status != -1


@pytest.mark.parametrize("cluster", [1, 2], indirect=True)
def test_an_exchange_that_missed_the_replacement_of_all_seeds(cluster: Sim) -> None:
    """An exchange is cut off while all core members are replaced: it learns of the new ones only by
    gossip, and probes them."""
    lone = cluster.exchanges[0]
    cut_off(cluster, lone, cluster.registries)
    for index in range(3):
        new = swap_registry(cluster, index, f"new{index + 1}")
        cut_off(cluster, lone, [new])
        ready = cluster.up_to(lambda n=new: n.state("acceptor").synced_votes, 12_000)  # type: ignore[misc]
        assert ready
        cluster.run(500)
    cluster.net.cuts.clear()
    assert cluster.up_to(lambda: proved_ago_ms(lone) < 500, 2_000)
