"""A longer random search by hand: random failures over many seeds, judged. Prints each seed.

python -m tools.explore --first 100 --count 50
python -m tools.explore --first 1 --count 8 --shape tooluur     # nine exchanges, 79 services
"""

from __future__ import annotations

import argparse
import os
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from tests.sim.acts import after, read_back, slow, swap_registry
from tests.sim.cluster import Sim, brief_sim, configuration, deployment
from tests.sim.world import Node
from tools.judges import judge, level

KINDS = (
    "kill", "kill", "freeze", "cut", "oneway", "worker", "pair", "empty", "ill", "apply", "apply",
    "storm", "evacuate", "stall", "slow", "herd", "everything", "blank", "swap", "crowd", "jump",
    "keys", "takeover", "listing",
)  # fmt: skip


class Search:
    """One seed's cluster and what is caused in it."""

    def __init__(self, seed: int, shape: str) -> None:
        self.rng = random.Random(seed)
        if shape:
            self.sim = brief_sim(shape, seed)
            self.doc = deployment(shape)
        else:
            self.sim = Sim(seed, exchanges=4, sync_ms=self.rng.choice((0.5, 5.0)))
            self.sim.settle()
            self.doc = configuration()
        self.per_s = 120.0 if shape else 40.0
        self.numbered = seed % 2 == 0  # half of the seeds apply under operators' numbers
        self.orders: list[tuple[dict[str, Any], int]] = []

    def apply(self) -> None:
        """Send the next configuration."""
        up = [i for i, r in enumerate(self.sim.registries) if r.alive and not r.frozen]
        if not up:
            return
        doc = {**self.doc, "name": f"v{self.sim.draw()}"}
        if not self.numbered:
            self.sim.apply(doc, self.rng.choice(up))
            return
        number = 10 * (len(self.orders) + 1)
        self.orders.append((doc, number))
        self.sim.apply(doc, self.rng.choice(up), number=number)
        if self.rng.random() < 0.4:  # another operator takes the same number
            other = {**doc, "name": f"{doc['name']}, another"}
            self.sim.apply(other, self.rng.choice(up), number=number)
        if self.rng.random() < 0.4:  # an order is sent again
            old, old_number = self.rng.choice(self.orders)
            self.sim.apply(old, self.rng.choice(up), number=old_number)

    def cause(self) -> str:
        """Cause one random failure; most heal by themselves after a while."""
        kind = self.rng.choice(KINDS)
        later = self.rng.uniform(200, 7_000)
        act: Callable[[float], None] = getattr(self, f"_{kind}")
        act(later)
        return kind

    def _kill(self, later: float) -> None:
        node = self.rng.choice(self.sim.nodes)
        node.kill()
        after(self.sim, later, partial(revive, node))

    def _fall(self, nodes: list[Node], later: float) -> None:
        for each in nodes:
            each.kill()
            after(self.sim, later, partial(revive, each))

    def _herd(self, later: float) -> None:
        self._fall(list(self.rng.choice((self.sim.registries, self.sim.exchanges))), later)

    def _everything(self, later: float) -> None:
        self._fall(self.sim.nodes, later / 2)

    def _freeze(self, later: float) -> None:
        node = self.rng.choice(self.sim.nodes)
        node.freeze()
        after(self.sim, later, node.wake)

    def _cut_pairs(self, pairs: set[tuple[str, str]], later: float) -> None:
        self.sim.net.cuts |= pairs
        after(self.sim, later, lambda: self.sim.net.cuts.difference_update(pairs))

    def _cut(self, later: float) -> None:
        a, b = self.rng.sample(self.sim.nodes, 2)
        self._cut_pairs({(a.name, b.name), (b.name, a.name)}, later)

    def _oneway(self, later: float) -> None:
        a, b = self.rng.sample(self.sim.nodes, 2)
        self._cut_pairs({(a.name, b.name)}, later)

    def _crash(self, workers: list[str], later: float) -> None:
        for worker in workers:
            self.sim.platform.crash(worker)
            after(self.sim, later, partial(self.sim.platform.down_workers.discard, worker))

    def _worker(self, later: float) -> None:
        self._crash([f"w{self.rng.randint(1, 6)}"], later)

    def _pair(self, later: float) -> None:
        self._crash(self.rng.sample([f"w{i}" for i in range(1, 7)], 2), later)

    def _empty(self, later: float) -> None:
        worker = f"w{self.rng.randint(1, 6)}"
        self.sim.platform.emptied.add(worker)
        after(self.sim, later, partial(self.sim.platform.emptied.discard, worker))

    def _ill(self, later: float) -> None:
        how = self.rng.choice(("garbage", "short", "late", "dies", "lost"))
        there = list(self.sim.platform.servers.values())
        for server in self.rng.sample(there, min(2, len(there))):
            server.behave = how

    def _apply(self, later: float) -> None:
        self.apply()

    def _storm(self, later: float) -> None:
        for number in range(8):
            after(self.sim, number * later / 20, self.apply)

    def _evacuate(self, later: float) -> None:
        zone = self.rng.choice(("north", "centre", "south"))
        up = [i for i, r in enumerate(self.sim.registries) if r.alive and not r.frozen]
        if not up:
            return
        first = self.rng.choice(up)
        self.sim.evacuate(zone, True, first)

        def restore() -> None:
            if self.sim.registries[first].alive:
                self.sim.evacuate(zone, False, first)

        after(self.sim, later, restore)

    def _stall(self, later: float) -> None:
        disk = self.rng.choice(self.sim.registries).disk
        if disk is not None:
            disk.stalled_until_ms = self.sim.env.now + later

    def _slow(self, later: float) -> None:
        some = self.rng.sample(self.sim.registries, self.rng.randint(1, 2))
        slow(self.sim, some, self.rng.choice((200.0, 1_000.0, 5_000.0)), later)

    def _others(self, lost: Node) -> bool:
        """Whether this one may go for good: the others vote."""
        others = [r for r in self.sim.registries if r is not lost]
        return lost.alive and all(r.alive and r.state("acceptor").synced_votes for r in others)

    def _blank(self, later: float) -> None:
        lost = self.rng.choice(self.sim.registries)
        if self._others(lost):
            lost.kill()
            after(self.sim, 300, lambda: None if lost.alive else lost.start(blank=True))

    def _swap(self, later: float) -> None:
        index = self.rng.randrange(3)
        if self._others(self.sim.registries[index]):
            swap_registry(self.sim, index, f"reg{index + 1}-{self.sim.draw()}")

    def _crowd(self, later: float) -> None:
        small = list(self.sim.routes)[self.sim.busy :]
        for _ in range(30):
            self.sim.call(self.rng.choice(small[:3]), wait_ms=6_000)

    def _jump(self, later: float) -> None:
        path = self.rng.choice(list(self.sim.routes)[: self.sim.busy])
        if self.sim.routes[path].get("repeatable"):
            self.sim.traffic(5 * self.per_s, min(later, 2_000), (path,))

    def _keys(self, later: float) -> None:
        """A caller sends one key again and again, wherever somebody answers."""
        path = next(p for p, x in self.sim.routes.items() if not x.get("repeatable"))
        key = f"again-{self.sim.draw()}"
        for number in range(12):
            call = partial(self.sim.call, path, key=key)
            after(self.sim, number * later / 12, call)

    def _takeover(self, later: float) -> None:
        there = [s for s in self.sim.platform.servers.values() if s.state == "running"]
        if there:
            names = [s["name"] for s in self.doc["services"][:4]]
            self.sim.platform.take_over(self.rng.choice(there), self.rng.choice(names))

    def _listing(self, later: float) -> None:
        self.sim.platform.list_fails = True

        def heal() -> None:
            self.sim.platform.list_fails = False

        after(self.sim, later, heal)


def revive(node: Node) -> None:
    """Start a killed process, or wake a frozen one."""
    if not node.alive and node.machine_up:
        node.start()


def run(seed: int, harsh: bool = False, shape: str = "") -> tuple[int, list[str], list[str], float]:
    """One seed: what was caused, what the judges say, the level at the end."""
    search = Search(seed, shape)
    rng, sim = search.rng, search.sim
    caused: list[str] = []
    sim.traffic(search.per_s, 75_000)
    for _ in range(rng.randint(12, 24) if harsh else rng.randint(4, 9)):
        caused.append(f"{sim.env.now:.0f} {search.cause()}")
        sim.run(rng.uniform(50, 1_500) if harsh else rng.uniform(300, 5_000))
    sim.run(9_000)
    sim.net.cuts.clear()
    for server in sim.platform.servers.values():
        server.behave = "well"
    sim.run(16_000)
    last_ms = sim.env.now
    sim.run(6_000)
    shown = read_back(sim)
    sim.run(4_500)
    found = judge(sim.log())
    found += [f"{t.what} at the end: {t.status} {t.doc}" for t in shown if t.status != 200]
    good = level(sim.log(), last_ms - 3_000, last_ms + 5_000)
    if good < 0.97:
        found.append(f"level at the end {good:.3f}")
    sim.close()
    return seed, caused, found, good


def main() -> None:
    """The program's entry."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--harsh", action="store_true", help="many faults, close together")
    parser.add_argument("--shape", choices=("", "tooluur", "organismo"), default="")
    args = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":  # one order of hashes: a seed is one run
        os.execve(sys.executable, [sys.executable, "-m", "tools.explore", *sys.argv[1:]],
                  {**os.environ, "PYTHONHASHSEED": "0"})  # fmt: skip
    bad = 0
    seeds = range(args.first, args.first + args.count)
    same: dict[str, Any] = {"harsh": args.harsh, "shape": args.shape}
    with ProcessPoolExecutor(args.processes) as pool:
        for seed, caused, found, good in pool.map(partial(run, **same), seeds):
            if found:
                bad += 1
                print(f"seed {seed}: {found}\n    caused: {caused}", flush=True)
            else:
                print(f"seed {seed}: clean, level {good:.3f}", flush=True)
    print(f"{len(seeds) - bad} passed, {bad} failed")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
