"""Exchanges without a core: they keep the newest copies that were proved to them, never go back
to older ones, and prove anew at the first majority answer."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.acts import swap_registry
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node

STALE_MS = 12_000
RESUME_MS = 450  # two probes, and the way


@pytest.fixture
def going(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = Sim(request.param, 4, bounds=Bounds(stale_ms=STALE_MS, catch_up_ms=4_000))
    made.settle()
    made.traffic(20, 90_000)
    made.env.process(watched(made))
    yield made
    made.close()


EACH = pytest.mark.parametrize("going", [1, 2, 3], indirect=True)


def versions(node: Node) -> dict[str, int]:
    return {name: got.copy.version for name, got in node.state("replica").in_force.items()}


def watched(sim: Sim) -> Generator[Any, Any, None]:
    """Within one life of an exchange no version that rules ever goes back."""
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
    """Whether each has a proof of a question from after now, soon."""
    since_ms = sim.env.now
    return sim.up_to(
        lambda: all(proved_ago_ms(n) <= sim.env.now - since_ms for n in nodes), RESUME_MS
    )


def applied(sim: Sim, name: str, registry: int = 0) -> None:
    told = sim.apply(configuration(name=name), registry=registry)
    assert sim.up_to(lambda: told.status == 200, 4_000), told


@EACH
def test_a_cut_off_exchange_keeps_the_newest_and_proves_at_once(going: Sim) -> None:
    lone = going.exchanges[0]
    applied(going, "before")
    going.run(1_000)
    for number, others in enumerate((going.registries, going.nodes, going.registries[:2])):
        kept = versions(lone)
        cut_off(going, lone, others)
        for step in range(3):
            applied(going, f"during-{number}-{step}", step)
            going.run(going.rng.uniform(500, 2_500))
            assert versions(lone) == kept
        assert lone.state("calls").tables.table is not None
        going.net.cuts.clear()
        assert resumed(going, [lone])
        assert versions(lone)["configuration"] > kept["configuration"]


@EACH
def test_nothing_goes_back_over_cuts_and_herds(going: Sim) -> None:
    """Cores fall and come back, exchanges too; cuts come and go; versions go on all the while."""
    for number in range(12):
        told = going.apply(configuration(name=f"day-{number}"), going.rng.randrange(3))
        going.run(going.rng.uniform(0, 60))
        act = number % 4
        if act == 0:
            for node in going.registries:
                node.kill()
            going.run(going.rng.uniform(100, 3_000))
            for node in going.registries:
                node.start()
        elif act == 1:
            away = going.rng.sample(going.exchanges, 2)
            for node in away:
                cut_off(going, node, going.registries)
            going.run(going.rng.uniform(500, 5_000))
            going.net.cuts.clear()
        elif act == 2:
            for node in going.nodes:
                node.kill()
            going.run(800)
            for node in going.nodes:
                node.start()
            going.run(1_000)
        else:
            node = going.registries[number % 3]
            node.kill()
            going.run(1_000)
            node.start(blank=True)
            going.run(500)
        going.run(100)
        assert resumed(going, going.exchanges)
        going.run(3_000)
        assert told.status != -1


@pytest.mark.parametrize("going", [1, 2], indirect=True)
def test_an_exchange_that_missed_every_exchange_of_seeds(going: Sim) -> None:
    """Cut off from the core while all its members were exchanged: it hears of the new ones by
    gossip only, and asks them."""
    lone = going.exchanges[0]
    cut_off(going, lone, going.registries)
    for index in range(3):
        new = swap_registry(going, index, f"new{index + 1}")
        cut_off(going, lone, [new])
        ready = going.up_to(lambda n=new: n.state("acceptor").synced_votes, 12_000)  # type: ignore[misc]
        assert ready
        going.run(500)
    going.net.cuts.clear()
    assert going.up_to(lambda: proved_ago_ms(lone) < 500, 2_000)
