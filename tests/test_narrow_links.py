"""Front nodes behind links of 2 Mbit/s, hundreds of functions: what rules at a node keeps up with
what the operator changes, while instances start and end all the time."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from dataclasses import replace
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import CONFIGURATION
from tests.sim.changing import votes
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told

FUNCTIONS = 400
LINK_KBIT = 2_000.0
APPLY_MS = 4_000  # from an acknowledgement until only that configuration rules
STORM_GAP_MS = 100.0
PATHS = tuple(f"/f/{number}" for number in range(FUNCTIONS))


def wide(name: str, timeout_ms: int = 4_000) -> dict[str, Any]:
    """A deployment of hundreds of rare functions."""
    services = [
        {"name": f"f{number}", "memoryMb": 128, "limit": 1, "startMs": 600, "coldMs": 0,
         "longestRunMs": 4_000, "idleMs": 1_500, "spares": 0}
        for number in range(FUNCTIONS)
    ]  # fmt: skip
    routes = [
        {"path": path, "service": f"f{number}", "repeatable": True, "perClientPerS": 1000.0,
         "timeoutMs": timeout_ms if number == 0 else 4_000}
        for number, path in enumerate(PATHS)
    ]  # fmt: skip
    return configuration(name=name, services=services, routes=routes)


@pytest.fixture
def narrow(request: pytest.FixtureRequest) -> Iterator[Sim]:
    bounds = Bounds(
        stale_ms=30_000, rejection_safe=True, stop_drains=True, starts_per_s=300.0,
        starts_burst=40.0, catch_up_ms=6_000, members=5,
    )  # fmt: skip
    made = Sim(request.param, exchanges=4, registries=5, bounds=bounds)
    made.platform.turns_away = True
    made.platform.seats = [replace(seat, memory_mb=16_384) for seat in made.platform.seats]
    made.start()
    assert made.up_to(lambda: all(votes(each) for each in made.registries), 12_000)
    first = made.apply(wide("first"))
    assert made.up_to(lambda: first.status == 200, 4_000), first
    made.routes = {route["path"]: route for route in wide("first")["routes"]}
    assert made.up_to(lambda: all(ruling(node) for node in made.exchanges), 4_000)
    for node in made.exchanges:
        made.net.narrow_kbit[node.name] = LINK_KBIT
    yield made
    made.close()


EACH = pytest.mark.parametrize("narrow", [1, 2, 3], indirect=True)


def ruling(node: Node) -> int:
    got = node.state("replica").ruling.get(CONFIGURATION)
    return got.copy.version if got else 0


def storm(sim: Sim, told: list[Told], for_ms: float) -> Generator[Any, Any, None]:
    """The operator changes one route again and again."""
    until_ms = sim.env.now + for_ms
    while sim.env.now < until_ms:
        doc = wide(f"change {len(told)}", 4_001 + len(told))
        told.append(sim.apply(doc, registry=len(told) % 5))
        yield sim.env.timeout(STORM_GAP_MS)


def watched(sim: Sim, told: list[Told], late: list[str]) -> Generator[Any, Any, None]:
    """Notes each node that goes by an older configuration than one acknowledged long ago."""
    while True:
        due = [t for t in told if t.status == 200 and sim.env.now - t.done_ms > APPLY_MS]
        newest = max((t.doc["version"] for t in due), default=0)
        late.extend(
            f"{sim.env.now:.0f} ms: {node.name} goes by {ruling(node)}, {newest} was due"
            for node in sim.exchanges
            if ruling(node) < newest
        )
        yield sim.env.timeout(100)


@EACH
def test_a_configuration_comes_in_force_in_time_while_functions_start_and_end(narrow: Sim) -> None:
    told: list[Told] = []
    late: list[str] = []
    narrow.traffic(160, 12_000, PATHS)
    narrow.run(3_000)
    narrow.env.process(storm(narrow, told, 4_000))
    narrow.env.process(watched(narrow, told, late))
    narrow.run(9_000)
    assert len([t for t in told if t.status == 200]) >= 10, told
    assert late == [], (len(late), late[:4])


@EACH
def test_proofs_are_young_while_functions_start_and_end(narrow: Sim) -> None:
    """A proof may wait for a value on a narrow link, but not for the one after it."""
    narrow.traffic(160, 8_000, PATHS)
    narrow.run(2_000)
    ages: list[int] = []
    for _ in range(60):
        narrow.run(100)
        ages.extend(node.now_ms() - node.state("replica").proved_ms for node in narrow.exchanges)
    assert max(ages) <= 2_000, max(ages)
    served = [a for a in narrow.asked if a.status == 200]
    assert len(served) >= 0.9 * len([a for a in narrow.asked if a.status != -1])
