"""A longer random search by hand: random failures over many seeds, judged. Prints each seed.

python -m tools.explore --first 100 --count 50
"""

from __future__ import annotations

import argparse
import os
import random
import sys
from collections.abc import Callable, Generator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.judges import judge, level

KINDS = (
    "kill", "kill", "freeze", "cut", "oneway", "worker", "ill", "apply", "apply", "evacuate",
    "stall", "herd", "blank", "crowd", "takeover", "listing",
)  # fmt: skip


def revive(node: Node) -> None:
    if not node.alive:
        node.start()


def fault(sim: Sim, rng: random.Random) -> str:
    """Cause one random failure; most heal by themselves after a while."""
    kind = rng.choice(KINDS)
    node = rng.choice(sim.nodes)
    later = rng.uniform(200, 7_000)

    def after(waitMs: float, act: Callable[[], object]) -> None:
        def steps() -> Generator[Any, Any, None]:
            yield sim.env.timeout(waitMs)
            act()

        sim.env.process(steps())

    if kind == "kill":
        node.kill()
        after(later, partial(revive, node))
    elif kind == "herd":
        group = rng.choice((sim.registries, sim.exchanges))
        for each in group:
            each.kill()
            after(later, partial(revive, each))
    elif kind == "freeze":
        node.freeze()
        after(later, node.wake)
    elif kind in ("cut", "oneway"):
        other = rng.choice(sim.nodes)
        pairs = {(node.name, other.name)}
        if kind == "cut":
            pairs |= {(other.name, node.name)}
        sim.net.cuts |= pairs
        after(later, lambda: sim.net.cuts.difference_update(pairs))
    elif kind == "worker":
        worker = f"w{rng.randint(1, 6)}"
        sim.platform.crash(worker)
        after(later, lambda: sim.platform.downWorkers.discard(worker))
    elif kind == "ill":
        how = rng.choice(("garbage", "short", "late", "dies", "lost"))
        for server in rng.sample(list(sim.platform.servers.values()),
                                 min(2, len(sim.platform.servers))):  # fmt: skip
            server.behave = how
    elif kind == "apply":
        sim.apply(configuration(name=f"v{sim.draw()}"), registry=rng.randrange(3)) if (
            sim.registries[0].alive and sim.registries[1].alive and sim.registries[2].alive
        ) else None
    elif kind == "evacuate":
        locality = rng.choice(("north", "centre", "south"))
        up = [i for i, r in enumerate(sim.registries) if r.alive and not r.frozen]
        if up:
            first = rng.choice(up)
            sim.evacuate(locality, True, first)
            after(later, lambda: sim.evacuate(locality, False, first)
                  if sim.registries[first].alive else None)  # fmt: skip
    elif kind == "stall":
        disk = rng.choice(sim.registries).disk
        if disk is not None:
            disk.stalledUntilMs = sim.env.now + later
    elif kind == "blank":
        lost = rng.choice(sim.registries)
        others = [r for r in sim.registries if r is not lost]
        if lost.alive and all(r.alive and r.state("keeper").syncedVotes for r in others):
            lost.kill()
            after(300, lambda: None if lost.alive else lost.start(blank=True))
    elif kind == "crowd":
        for _ in range(30):
            sim.call(rng.choice(("/small/1", "/small/2")), waitMs=6_000)
    elif kind == "takeover":
        old = rng.choice(list(sim.platform.servers.values()) or [None])  # type: ignore[list-item]
        if old is not None and old.state == "running":
            sim.platform.takeOver(old, rng.choice(("small-1", "corrections")))
    else:
        sim.platform.listFails = True

        def heal() -> None:
            sim.platform.listFails = False

        after(later, heal)
    return kind


def run(seed: int, harsh: bool = False) -> tuple[int, list[str], list[str], float]:
    """One seed: what was caused, what the judges say, the level at the end."""
    rng = random.Random(seed)
    sim = Sim(seed, exchanges=4, syncMs=rng.choice((0.5, 5.0)))
    sim.settle()
    caused: list[str] = []
    sim.traffic(40, 75_000)
    frozen: dict[str, float] = {}
    for _ in range(rng.randint(12, 24) if harsh else rng.randint(4, 9)):
        caused.append(f"{sim.env.now:.0f} {fault(sim, rng)}")
        for node in sim.exchanges:
            if node.frozen:
                frozen[node.name] = 8_000.0
        sim.run(rng.uniform(50, 1_500) if harsh else rng.uniform(300, 5_000))
    sim.run(9_000)
    sim.net.cuts.clear()
    for server in sim.platform.servers.values():
        server.behave = "well"
    sim.run(16_000)
    lastMs = sim.env.now
    sim.run(6_000)
    shown = sim.show()
    sim.run(9_000)
    for asked in sim.asked:  # a frozen process can't keep its callers' waits
        asked.waitMs += int(frozen.get(asked.exchange, 0))
    found = judge(sim.log())
    if shown.status not in (200,):
        found.append(f"show at the end: {shown.status} {shown.doc}")
    good = level(sim.log(), lastMs - 3_000, lastMs + 5_000)
    if good < 0.97:
        found.append(f"level at the end {good:.3f}")
    sim.close()
    return seed, caused, found, good


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--harsh", action="store_true", help="many faults, close together")
    args = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":  # one order of hashes: a seed is one run
        os.execve(sys.executable, [sys.executable, "-m", "tools.explore", *sys.argv[1:]],
                  {**os.environ, "PYTHONHASHSEED": "0"})  # fmt: skip
    bad = 0
    seeds = range(args.first, args.first + args.count)
    with ProcessPoolExecutor(args.processes) as pool:
        for seed, caused, found, good in pool.map(run, seeds, [args.harsh] * len(seeds)):
            if found:
                bad += 1
                print(f"seed {seed}: {found}\n    caused: {caused}", flush=True)
            else:
                print(f"seed {seed}: clean, level {good:.3f}", flush=True)
    print(f"{len(seeds) - bad} passed, {bad} failed")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
