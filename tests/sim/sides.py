"""A cluster with a minority of the core, and its exchange, that a cut takes from the rest."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from spokeroute.common.bounds import Bounds
from tests.sim.acts import cut
from tests.sim.cluster import Sim
from tests.sim.world import Node
from tests.test_cut_off_exchanges import watched

STALE_MS = 4_000


@dataclass
class Cut:
    """The cluster, and its two sides."""

    sim: Sim
    lone: list[Node]
    rest: list[Node]

    def side(self, nodes: Sequence[Node]) -> list[int]:
        return [i for i, r in enumerate(self.sim.registries) if r in nodes]


def made(seed: int, members: int) -> Cut:
    bounds = Bounds(stale_ms=STALE_MS, rejection_safe=True, members=members)
    sim = Sim(seed, 3, registries=members, bounds=bounds)
    sim.platform.turns_away = True
    sim.settle()
    assert sim.up_to(lambda: all(len(r.state("acceptor").roster.ids) == members
                                 for r in sim.registries), 20_000)  # fmt: skip
    lone = [*sim.registries[: members // 2], sim.exchanges[0]]
    sim.env.process(watched(sim))
    return Cut(sim, lone, [n for n in sim.nodes if n not in lone])


def sever(each: Cut, way: str) -> None:
    """Cut a side off: both ways, only what it sends, or only what is sent to it."""
    if way == "in":
        cut(each.sim, each.rest, each.lone, back=False)
    else:
        cut(each.sim, each.lone, each.rest, back=way == "both")
