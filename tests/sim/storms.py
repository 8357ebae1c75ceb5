"""Deployments of hundreds of rare functions, whose configuration is changed again and again."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace
from typing import Any

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import CONFIGURATION
from tests.sim.changing import votes
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told

LINK_KBIT = 2_000.0
APPLY_MS = 4_000  # from an acknowledgement until only that configuration rules


def paths_of(functions: int) -> tuple[str, ...]:
    """The routes of a deployment of so many functions."""
    return tuple(f"/f/{number}" for number in range(functions))


def wide(name: str, functions: int, timeout_ms: int = 4_000) -> dict[str, Any]:
    """A deployment of hundreds of rare functions."""
    services = [
        {"name": f"f{number}", "memoryMb": 128, "limit": 1, "startMs": 600, "coldMs": 0,
         "longestRunMs": 4_000, "idleMs": 1_500, "spares": 0}
        for number in range(functions)
    ]  # fmt: skip
    routes = [
        {"path": path, "service": f"f{number}", "repeatable": True, "perClientPerS": 1000.0,
         "timeoutMs": timeout_ms if number == 0 else 4_000}
        for number, path in enumerate(paths_of(functions))
    ]  # fmt: skip
    return configuration(name=name, services=services, routes=routes)


def wide_sim(seed: int, functions: int) -> Sim:
    """Five members and four front nodes behind narrow links, under a first configuration."""
    bounds = Bounds(
        stale_ms=30_000, rejection_safe=True, stop_drains=True, starts_per_s=300.0,
        starts_burst=40.0, catch_up_ms=6_000, members=5,
    )  # fmt: skip
    made = Sim(seed, exchanges=4, registries=5, bounds=bounds)
    made.platform.turns_away = True
    made.platform.seats = [replace(seat, memory_mb=40_960) for seat in made.platform.seats]
    made.start()
    assert made.up_to(lambda: all(votes(each) for each in made.registries), 12_000)
    first = made.apply(wide("first", functions))
    assert made.up_to(lambda: first.status == 200, 4_000), first
    made.routes = {route["path"]: route for route in wide("first", functions)["routes"]}
    assert made.up_to(lambda: all(ruling(node) for node in made.exchanges), 4_000)
    for node in made.exchanges:
        made.net.narrow_kbit[node.name] = LINK_KBIT
    return made


def ruling(node: Node) -> int:
    """The version of the configuration that a node goes by."""
    got = node.state("replica").in_force.get(CONFIGURATION)
    return got.copy.version if got else 0


def storm(
    sim: Sim, told: list[Told], functions: int, for_ms: float, gap_ms: float
) -> Generator[Any, Any, None]:
    """The operator changes one route again and again."""
    until_ms = sim.env.now + for_ms
    while sim.env.now < until_ms:
        doc = wide(f"change {len(told)}", functions, 4_001 + len(told))
        told.append(sim.apply(doc, registry=len(told) % 5))
        yield sim.env.timeout(gap_ms)


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
