"""A front node that hears the core must not keep using an outdated configuration.

A node kept using an older configuration for 5.7 s after a newer one had been acknowledged, and
reported an added route as unknown. It heard the core all the time, but its proofs did not arrive,
and the only bound on going on without a proof was 30 s, meant for nodes that hear no majority. On a
simulated day with 60 front nodes and a healthy core, 80 proofs were overdue.
"""

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
NO_TABLE: Any = object()  # only its presence matters
BOUNDS = Bounds(stale_ms=STALE_MS, apply_ms=APPLY_MS, rejection_safe=True)


@pytest.fixture(params=[1, 2, 3])
def going_on(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = Sim(request.param, 3, bounds=BOUNDS)
    made.settle()
    yield made
    made.close()


def drop_compiled_configurations(sim: Sim, node: Node) -> None:
    """Lets the members' answers reach the node, but drops compiled configurations."""
    honest = node.report

    def report(actor: str, event: object, born: int) -> None:
        if type(event).__name__ != "CompileResult":
            honest(actor, event, born)

    node.report = report  # type: ignore[method-assign]


def test_a_node_that_hears_the_core_refuses_calls_when_a_change_must_be_in_force(
    going_on: Sim,
) -> None:
    sim, node = going_on, going_on.exchanges[0]
    path = next(iter(sim.routes))
    drop_compiled_configurations(sim, node)
    old = ruling(node)
    reply = sim.apply(changed())
    assert sim.up_to(lambda: reply.status == 200, 4_000)
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


def test_a_node_that_hears_no_member_keeps_serving(going_on: Sim) -> None:
    sim, node = going_on, going_on.exchanges[0]
    sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
    sim.run(2 * APPLY_MS)
    asked = sim.call(next(iter(sim.routes)), node)
    sim.run(500)
    assert asked.status == 200, asked


def test_an_unknown_route_gives_404_only_with_a_recent_proof(going_on: Sim) -> None:
    sim, node = going_on, going_on.exchanges[0]
    young = sim.call("/nowhere", node)
    sim.run(50)
    sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
    sim.run(2_500)
    old = sim.call("/nowhere", node)
    sim.run(50)
    assert (young.status, young.kind) == (404, "no_route")
    assert (old.status, old.kind, old.ran) == (503, "not_fresh", "no")


def test_recent_contact_does_not_refuse_calls_yet() -> None:
    """After an outage of the core, a node has as much time for its first proof as for any other."""
    tables = replace(first_tables(BOUNDS), table=NO_TABLE, proved_ms=Ms(0), configuration_ms=Ms(0))
    assert fresh(tables, since_ms=10_000, at_ms=13_900)
    assert not fresh(tables, since_ms=10_000, at_ms=14_000)
    assert fresh(replace(tables, configuration_ms=Ms(12_000)), since_ms=10_000, at_ms=14_000)


def fresh(tables: Tables, since_ms: int, at_ms: int) -> bool:
    heard = replace(tables, contact=MajorityContact(Ms(since_ms), Ms(at_ms)))
    return heard.fresh(at_ms)


def changed() -> dict[str, object]:
    return configuration(name="changed")
