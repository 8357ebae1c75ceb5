"""What befalls a simulated cluster: acts that scenarios and the random search share."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

from tests.sim.cluster import Sim
from tests.sim.world import Node
from tools.log import Return, Told


def after(sim: Sim, wait_ms: float, act: Callable[[], object]) -> None:
    """Carry an act out later."""

    def steps() -> Generator[Any, Any, None]:
        yield sim.env.timeout(wait_ms)
        act()

    sim.env.process(steps())


def holder_of(sim: Sim) -> Node:
    """The registry that holds the placement role."""
    return next(r for r in sim.registries if r.alive and r.state("role").term)


def fall_and_return(
    sim: Sim, nodes: Sequence[Node], away_ms: float, blank: Node | None = None, judged: bool = True
) -> None:
    """Kill processes at once and start them again, one of them perhaps with a blank disk."""
    fault_ms = sim.env.now
    for node in nodes:
        node.kill()
    sim.run(away_ms)
    for node in nodes:
        node.start(blank=node is blank)
    if judged:
        sim.returns.append(Return(fault_ms, sim.env.now))


def slow(sim: Sim, nodes: Sequence[Node], sync_ms: float, for_ms: float) -> None:
    """Make disks slow for a while."""
    for node in nodes:
        disk = node.disk
        assert disk is not None
        disk.sync_ms = sync_ms

        def heal(disk: Any = disk) -> None:
            disk.sync_ms = sim.sync_ms

        after(sim, for_ms, heal)


def swap_registry(sim: Sim, index: int, name: str) -> Node:
    """A registry's machine goes for good; one with another address and a blank disk comes."""
    old = sim.registries[index]
    old.kill()
    old.machine_up = False
    new = Node(sim, name, "registry", old.zone, f"10.0.7.{sim.draw()}:1", False)
    living = [n for n in sim.nodes if n.alive]
    new.seeds = [n.address for n in sorted(living, key=lambda n: n.role != "registry")[:3]]
    sim.registries[index] = new
    new.start()
    return new


def cut(sim: Sim, some: Sequence[Node], others: Sequence[Node], back: bool = True) -> None:
    """Nothing gets from some nodes to others; nor, but for a one-way cut, back from them."""
    for node in some:
        for other in others:
            if other is not node:
                sim.net.cuts.add((node.name, other.name))
                if back:
                    sim.net.cuts.add((other.name, node.name))


def read_back(sim: Sim) -> list[Told]:
    """Ask every registry for what was acknowledged."""
    asked: list[Told] = []
    for i, node in enumerate(sim.registries):
        if node.alive:
            asked += [sim.show(i), sim.evacuated(i)]
    sim.run(4_500)
    return asked


def client_repeats(sim: Sim, key: str, every_ms: float, times: int) -> None:
    """A caller that repeats a keyed once-only call at one exchange after the other."""
    for number in range(times):
        up = [e for e in sim.exchanges if e.alive]
        if up:
            path = next(p for p, x in sim.routes.items() if not x.get("repeatable"))
            sim.call(path, up[number % len(up)], key=key, wait_ms=4_000)
        sim.run(every_ms)
