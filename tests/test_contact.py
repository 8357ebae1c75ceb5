"""A front node went by an older configuration for 5.7 s after a newer one had been acknowledged,
and answered that a route which had been added did not exist. It heard the core all the time;
only its proofs stayed away, and nothing bounded for how long it might go on without one: that
bound, 30 s there, was meant for nodes that hear no majority. On a day of 60 front nodes and a
healthy core 80 proofs were overdue, and calls were handled "by version 95 or older; version 106
was acked more than 4000 ms before"."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ms
from spokeroute.exchange.types import Tables, first_tables
from spokeroute.register.replica.replica import MajorityContact
from tests.sim.cluster import Sim, configuration
from tests.sim.storms import ruling
from tests.sim.world import Node

STALE_MS = 30_000
APPLY_MS = 4_000
NO_TABLE: Any = object()  # that there is one is all that counts
BOUNDS = Bounds(stale_ms=STALE_MS, apply_ms=APPLY_MS, rejection_safe=True)


@pytest.fixture(params=[1, 2, 3])
def going_on(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = Sim(request.param, 3, bounds=BOUNDS)
    made.settle()
    yield made
    made.close()


def values_never_come(sim: Sim, node: Node) -> None:
    """The members answer the node, and what they bring of values gets lost at its door."""
    honest = node.report

    def report(actor: str, event: object, born: int) -> None:
        if type(event).__name__ != "CompileResult":
            honest(actor, event, born)

    node.report = report  # type: ignore[method-assign]


def test_a_node_that_hears_the_core_refuses_once_a_change_must_be_in_force(going_on: Sim) -> None:
    sim, node = going_on, going_on.exchanges[0]
    path = next(iter(sim.routes))
    values_never_come(sim, node)
    old = ruling(node)
    told = sim.apply(changed())
    assert sim.up_to(lambda: told.status == 200, 4_000)
    acked_ms = sim.env.now
    sim.run(APPLY_MS - 1_500)
    early = sim.call(path, node)
    sim.run(500)
    assert early.status == 200, early
    sim.run(acked_ms + APPLY_MS + 300 - sim.env.now)
    assert ruling(node) == old
    late = sim.call(path, node)
    sim.run(50)
    assert (late.status, late.kind, late.ran) == (503, "not_fresh", "no"), late
    assert not node.state("calls").tables.fresh(node.now_ms())
    elsewhere = sim.call(path, sim.exchanges[1])
    sim.run(500)
    assert elsewhere.status == 200, elsewhere


def test_a_node_that_hears_nobody_goes_on(going_on: Sim) -> None:
    sim, node = going_on, going_on.exchanges[0]
    sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
    sim.run(2 * APPLY_MS)
    asked = sim.call(next(iter(sim.routes)), node)
    sim.run(500)
    assert asked.status == 200, asked


def test_an_unknown_route_is_refused_as_unknown_only_by_a_young_proof(going_on: Sim) -> None:
    sim, node = going_on, going_on.exchanges[0]
    young = sim.call("/nowhere", node)
    sim.run(50)
    sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
    sim.run(2_500)
    old = sim.call("/nowhere", node)
    sim.run(50)
    assert (young.status, young.kind) == (404, "no_route")
    assert (old.status, old.kind, old.ran) == (503, "not_fresh", "no")


def test_contact_that_began_lately_refuses_nothing_yet() -> None:
    """After an outage of the core a node has the same time for its first proof as for any."""
    tables = replace(first_tables(BOUNDS), table=NO_TABLE, proved_ms=Ms(0), configuration_ms=Ms(0))
    assert fresh(tables, since_ms=10_000, at_ms=13_900)
    assert not fresh(tables, since_ms=10_000, at_ms=14_000)
    assert fresh(replace(tables, configuration_ms=Ms(12_000)), since_ms=10_000, at_ms=14_000)


def fresh(tables: Tables, since_ms: int, at_ms: int) -> bool:
    heard = replace(tables, contact=MajorityContact(Ms(since_ms), Ms(at_ms)))
    return heard.fresh(at_ms)


def changed() -> dict[str, object]:
    return configuration(name="changed")
