"""The simulated network: who hears whom, how late, over which links, and what is lost."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Mapping
from typing import TYPE_CHECKING, Any

import simpy

from spokeroute.common.ids import Address
from spokeroute.transport.net import attempts_in
from spokeroute.transport.traffic import Traffic

if TYPE_CHECKING:
    from tests.sim.world import Node

BETWEEN_REGIONS_MS = 12.0
Steps = Generator[Any, Any, None]


class Net:
    """Who hears whom, and how late."""

    def __init__(self, env: simpy.Environment, rng: random.Random) -> None:
        self.env = env
        self.rng = rng
        self.nodes: dict[Address, Node] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to): node names or "zone:x", one way
        self.again_ms = (
            0.0  # each frame of the core comes again, so much later, to a later life too
        )
        self.last_ms: dict[tuple[str, str], float] = {}
        self.linked: set[tuple[str, int, str]] = set()  # connections that came to be
        self.waiting: dict[tuple[str, int, str], set[str]] = {}  # attempts on others
        self.narrow_kbit: dict[str, float] = {}  # machines behind a narrow link, by name
        self.busy_ms: dict[tuple[str, str], float] = {}  # until when such a link carries frames
        self.regions: Mapping[str, str] = {}  # of each zone; empty: all are of one
        self.between_regions = Traffic()
        self.loses: Callable[[Node, Node, bytes], bool] = lambda a, b, frame: False

    def link(self, sender: Node, address: str) -> tuple[str, int, str]:
        """A sender's connection: of this life of its process."""
        return (sender.name, sender.births, address)

    def unsent(self, link: tuple[str, int, str]) -> frozenset[str]:
        """The attempts that waited on a connection that never came to be."""
        return frozenset(self.waiting.pop(link, ()))

    def reset(self, dead: Node) -> Steps:
        """A process died on a machine that is up: its connections are reset at once."""
        yield self.env.timeout(1.5)
        for node in dead.sim.nodes:
            link = self.link(node, dead.address)
            if link in self.linked and not self.cut_between(dead, node):
                self.linked.discard(link)
                node.lost(dead, True, frozenset())

    def cut_between(self, a: Node, b: Node) -> bool:
        """Whether nothing gets from a to b."""
        froms = (a.name, f"zone:{a.zone}")
        tos = (b.name, f"zone:{b.zone}")
        return any((f, t) in self.cuts for f in froms for t in tos)

    def delay_ms(self, a: str, b: str) -> float:
        base_ms = 0.2 if a == b else 1.4
        if self.regions.get(a, "") != self.regions.get(b, ""):
            base_ms = BETWEEN_REGIONS_MS
        return base_ms + self.rng.random() * 0.3

    def _count(self, sender: Node, there: Node, frame: bytes) -> None:
        if self.regions.get(sender.zone, "") != self.regions.get(there.zone, ""):
            self.between_regions.frames += 1
            self.between_regions.size_bytes += len(frame)

    def _queued_ms(self, link: tuple[str, str], size_bytes: int) -> float:
        """How long a frame that reaches a narrow link now waits for it, and takes on it."""
        kbit = self.narrow_kbit.get(link[0])
        if not kbit:
            return 0.0
        done_ms = max(self.env.now, self.busy_ms.get(link, 0.0)) + size_bytes * 8 / kbit
        self.busy_ms[link] = done_ms
        return done_ms - self.env.now

    def send(self, sender: Node, address: Address, frame: bytes) -> None:
        self.env.process(self._carry(sender, address, frame))
        there = self.nodes.get(address)
        core = sender.role == "registry" or (there is not None and there.role == "registry")
        if self.again_ms and core:
            self.env.process(self._again(address, frame))

    def _again(self, address: Address, frame: bytes) -> Steps:
        """A late double of a frame, to whoever runs at the address by then. (Between exchanges
        a connection doubles nothing, and holders rest on that.)"""
        yield self.env.timeout(self.again_ms * self.rng.uniform(0.9, 1.1))
        there = self.nodes.get(address)
        if there is not None and there.alive:
            there.frame(frame)

    def _carry(self, sender: Node, address: Address, frame: bytes) -> Steps:
        born, life = sender.births, sender.life_at(address)
        there = self.nodes.get(address)
        delay = self.delay_ms(sender.zone, there.zone if there else "")
        if there is not None:
            self._count(sender, there, frame)
            delay += self._queued_ms((sender.name, "out"), len(frame))
        key = (sender.name, address)
        at = max(self.env.now + delay, self.last_ms.get(key, 0.0))
        self.last_ms[key] = at
        yield self.env.timeout(at - self.env.now)
        if there is not None and there.name in self.narrow_kbit:
            # Taken at the frame's arrival: one that still waits behind its sender's link keeps
            # no other off this one.
            yield self.env.timeout(self._queued_ms((there.name, "in"), len(frame)))
        there = self.nodes.get(address)
        link = self.link(sender, address)
        if sender.births == born and link not in self.linked:
            self.waiting.setdefault(link, set()).update(attempts_in([frame]))
        if there is not None and self.cut_between(sender, there):
            return
        if there is not None and self.loses(sender, there, frame):
            return
        if there is None or not there.alive:
            if there is not None and there.machine_up and sender.births == born:
                if link not in self.linked:
                    sender.refused(there, life)
                sender.lost(there, link in self.linked, self.unsent(link))
                self.linked.discard(link)
            return
        self.waiting.pop(link, None)
        if sender.births == born:
            self.linked.add(link)
        there.frame(frame)
