"""One hollow fleet, run at one size: what each role's nodes did a second, as plain numbers."""

from __future__ import annotations

import gc
import json
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from spokeroute.client.difference import difference
from spokeroute.common.answers import Answer
from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import SlotId
from spokeroute.common.ids import CONFIGURATION, FLOOR, CallId, Incarnation, NodeId
from spokeroute.dispatch.configuration import (
    Configuration,
    content_of,
    pack_configuration,
    read_configuration,
)
from spokeroute.exchange.types import CallIn
from spokeroute.nodes import Start
from spokeroute.registry.operator import Apply
from spokeroute.transport.process import Me
from tools.capacity_meter import Meter
from tools.capacity_size import (
    HUBS,
    SETTLE_S,
    ZONES,
    Size,
    check,
    configuration_of,
    exchange_address,
    incarnations,
    loaded_of,
    member_name,
    node_name,
    path_of,
    registry_address,
    service_name,
    zone_of,
)
from tools.capacity_world import Fleet, HollowNode

ROLES = ("exchange", "hub", "registry", "holder", "client")
SETTLE_MOST_S = 12.0
BODY = b'{"meter":1234567,"reading":42.5}'


@dataclass(frozen=True, slots=True)
class Point:
    """What one fleet of one size did. ``cpu`` and ``wire``: by role, then by part or message.
    Work is in the meter's unit; ``notes`` say how many nanoseconds one took here."""

    size: dict[str, Any]
    cpu: dict[str, dict[str, tuple[float, float]]]  # work, times; a node, a second
    wire: dict[str, dict[str, tuple[float, ...]]]
    """Messages, bytes, those that leave the zone, those that leave the region; a node, a second."""
    notes: dict[str, float]  # in the whole fleet, a second
    rss_mb: float
    took_s: float


class Run:
    """A fleet of one size.

    Example:
        Run(Size(nodes=4, instances=16, functions=4)).measured()
    """

    def __init__(self, size: Size, meter: Meter | None = None) -> None:
        check(size)
        self.size = size
        self.rng = random.Random(f"run/{size.seed}")
        self.meter = meter or Meter()
        self.fleet = Fleet(self.meter)
        self.fleet.platform.fill(size)
        self.registries: list[HollowNode] = []
        self.exchanges: list[HollowNode] = []
        self.calls = 0
        self.applied = 0
        self.woken = 0
        self._build()

    def _build(self) -> None:
        size, bounds = self.size, Bounds(members=self.size.registries)
        seeds = tuple(registry_address(i) for i in range(size.registries))
        for number in range(size.registries):
            loaded = loaded_of(size, number)
            me = Me(
                NodeId(member_name(number)), Incarnation(self.rng.getrandbits(47)),
                seeds[number], "registry", zone_of(number),
            )  # fmt: skip
            node = HollowNode(self.fleet, me)
            node.build(Start(seeds, self.rng.randrange(10**9), True, number, bounds), loaded)
            self.registries.append(node)
        for number, born in enumerate(incarnations(size)):
            address, zone = exchange_address(number), zone_of(number)
            me = Me(NodeId(node_name(number)), born, address, "exchange", zone)
            node = HollowNode(self.fleet, me)
            node.build(Start(seeds, self.rng.randrange(10**9), bounds=bounds), None)
            self.exchanges.append(node)
        for node in (*self.registries, *self.exchanges):
            self.fleet.clock.after(self.rng.random() * 20, node.beat)

    def holder(self) -> HollowNode | None:
        """The registry that has the placement role."""
        for node in self.registries:
            if node.state("placement").term:
                return node
        return None

    def settled(self) -> bool:
        """Whether every exchange has a proof and the role has its floor."""
        holder = self.holder()
        if holder is None or holder.state("placement").floor_version < 0:
            return False
        now_ms = holder.now_ms()
        return all(n.state("calls").tables.fresh(now_ms) for n in self.exchanges)

    def settle(self) -> None:
        """Run until it is settled, and a little more."""
        self.fleet.clock.run(SETTLE_S * 1000 - 500)
        left_s = SETTLE_MOST_S - SETTLE_S
        while not self.settled():
            if left_s <= 0:
                raise RuntimeError(f"the fleet did not settle: {self.fleet.notes}")
            self.fleet.clock.run(250)
            left_s -= 0.25
        self.fleet.clock.run(500)

    # what happens while it is measured

    def _every(self, per_s: float, act: Any, regular: bool = False) -> None:
        if per_s <= 0:
            return
        span_ms = 1000.0 / per_s

        def again() -> None:
            self.fleet.clock.after(
                span_ms if regular else self.rng.expovariate(1.0) * span_ms, once
            )

        def once() -> None:
            if self.meter.on:
                act()
                again()

        self.fleet.clock.after(self.rng.random() * span_ms, once)

    def call(self, function: int, key: str = "") -> None:
        """One caller's call to a function, at the next exchange in turn."""
        self.calls += 1
        name = f"c{self.calls:08d}"
        node = self.exchanges[self.calls % len(self.exchanges)]
        began_ms = self.fleet.clock.now_ms
        self.fleet.stamp("call", service_name(function))

        def told(answer: Answer) -> None:
            ok = 200 <= answer.status < 300
            self.meter.note("calls answered" if ok else "calls refused")
            self.meter.note("calls' milliseconds", self.fleet.clock.now_ms - began_ms)
            self.fleet.stamp("answer", service_name(function))

        def made(slot: SlotId) -> CallIn:
            return CallIn(
                slot, CallId(name), "10.9.8.7", "POST", path_of(function), "",
                (("Content-Type", "application/json"), ("Host", "api.example")),
                BODY, "5000", key, 0,
            )  # fmt: skip

        node.ask("calls", made, told)

    def _warm_call(self) -> None:
        self.call(self.rng.randrange(self.size.awake))

    def _keyed_call(self) -> None:
        self.call(self.rng.randrange(self.size.awake), f"key-{self.calls:08d}")

    def _wake(self) -> None:
        asleep = self.size.functions - self.size.awake
        if asleep:
            self.call(self.size.awake + self.woken % asleep)
            self.woken += 1

    def _apply(self) -> None:
        """An operator's whole configuration, as the registry's API takes it."""
        self.applied += 1
        node = self.registries[self.applied % len(self.registries)]
        body = document(self.size, f"change {self.applied}")
        self._client(body)
        self.meter.node = node.me.node
        self.meter.passed(node.me.node, "in", "apply", "zone", len(body))
        self.meter.enter()
        got = read_configuration(body, ZONES)
        self.meter.leave("edge read_configuration")
        assert isinstance(got, Configuration), got[0]
        self.meter.enter()
        order_id = f"{self.applied:016x}"
        content, value = content_of(got), pack_configuration(got, order_id)
        self.meter.leave("edge pack_configuration")
        began_ms = self.fleet.clock.now_ms

        def told(answer: Answer) -> None:
            self.meter.note("applies acknowledged" if answer.status == 200 else "applies refused")
            self.meter.note("applies' milliseconds", self.fleet.clock.now_ms - began_ms)

        node.ask("operator", lambda s: Apply(s, value, -1, content, 0, order_id), told)

    def _client(self, body: bytes) -> None:
        """What the operator's client does with it: ``apply --check``, then ``apply``."""
        self.meter.node = "client"
        self.meter.passed("client", "out", "apply", "zone", len(body))
        self.meter.enter()
        sent = json.loads(body)
        difference(sent, {**sent, "name": "another"})
        self.meter.leave("client apply")

    def _churn(self) -> None:
        self.fleet.platform.fail(self.rng.randrange(10**6))

    def happen(self) -> None:
        """From now on, count, and let the size's events come."""
        size = self.size
        self.meter.on = True
        self._every(size.calls_per_s, self._warm_call)
        self._every(size.wakes_per_s, self._wake)
        self._every(size.keyed_per_s, self._keyed_call)
        self._every(size.churn_per_s, self._churn, regular=True)
        self._every(size.applies / size.seconds, self._apply, regular=True)

    def measured(self) -> Point:
        """Settle, then count for the size's seconds."""
        began = time.monotonic()
        size = self.size
        with self.meter.attributed():
            gc.collect()
            gc.freeze()  # a node's own garbage is collected as in a process of its own
            self.settle()
            gc.collect()
            gc.freeze()
            before = self._floors()
            self.happen()
            work, spent_ns = self.meter.clock(), time.process_time_ns()
            self.fleet.clock.run(size.seconds * 1000)
            pace = (time.process_time_ns() - spent_ns) / (self.meter.clock() - work)
            self.meter.on = False
            self.meter.notes["floors"] = self._floors() - before
        rss_mb = resident_mb()
        point = self._point(rss_mb, time.monotonic() - began)
        point.notes["ns per count"] = rounded(pace)
        self.close()
        gc.unfreeze()
        return point

    def _floors(self) -> float:
        return max(float(n.state("placement").floor.sequence) for n in self.registries)

    def _point(self, rss_mb: float, took_s: float) -> Point:
        size, holder = self.size, self.holder()
        role_of: dict[str, str] = {n.me.node: "registry" for n in self.registries}
        role_of["client"] = "client"
        if holder is not None:
            role_of[holder.me.node] = "holder"
        for number, node in enumerate(self.exchanges):
            role_of[node.me.node] = "hub" if number >= size.nodes - HUBS else "exchange"
        many: dict[str, int] = {}
        cpu: dict[str, dict[str, list[float]]] = {r: {} for r in ROLES}
        wire: dict[str, dict[str, list[float]]] = {r: {} for r in ROLES}
        for name, role in role_of.items():
            many[role] = many.get(role, 0) + 1
            tally = self.meter.tally(name)
            for part, (seconds, times) in tally.cpu.items():
                add(cpu[role], part, (seconds, times))
            for key, (messages, size_bytes) in tally.wire.items():
                way, kind, span = key.rsplit(" ", 2)
                far = 0.0 if span == "zone" else size_bytes
                region = size_bytes if span == "regions" else 0.0
                add(wire[role], f"{way} {kind}", (messages, size_bytes, far, region))

        def a_second(by: dict[str, dict[str, list[float]]]) -> Any:
            return {
                role: {
                    key: tuple(rounded(x / many[role] / size.seconds) for x in numbers)
                    for key, numbers in sorted(kinds.items())
                }
                for role, kinds in by.items()
                if role in many and role != "hub"
            }

        notes = {k: rounded(v / size.seconds) for k, v in sorted(self.meter.notes.items())}
        notes.update(self._sizes())
        return Point(
            asdict(size), a_second(cpu), a_second(wire), notes, rounded(rss_mb), rounded(took_s)
        )

    def _sizes(self) -> dict[str, float]:
        """Bytes of what is handed round whole."""
        cells = self.registries[0].state("acceptor").synced
        return {
            "floor bytes": float(len(cells[FLOOR].value)),
            "configuration bytes": float(len(cells[CONFIGURATION].value)),
            "document bytes": float(len(document(self.size, ""))),
            "listing bytes": float(len(self.fleet.platform.listing())),
        }

    def close(self) -> None:
        """Take every actor off pykka's register."""
        for node in (*self.registries, *self.exchanges):
            node.process.close()


def add(into: dict[str, list[float]], key: str, numbers: tuple[float, ...]) -> None:
    """Add numbers up under a key.

    Example:
        >>> sums: dict[str, list[float]] = {}
        >>> add(sums, "a", (1.0, 2.0)); add(sums, "a", (1.0, 2.0)); sums
        {'a': [2.0, 4.0]}
    """
    got = into.setdefault(key, [0.0] * len(numbers))
    for at, number in enumerate(numbers):
        got[at] += number


def document(size: Size, note: str) -> bytes:
    """A whole configuration as an operator sends it.

    Example:
        >>> document(Size(functions=2), "")[:10]
        b'{"zones": '
    """
    return json.dumps(configuration_of(size, note).to_dict()).encode()


def rounded(number: float) -> float:
    """Four digits that count.

    Example:
        >>> rounded(0.000123456)
        0.0001235
    """
    return float(f"{number:.4g}")


def resident_mb() -> float:
    """This process's resident memory.

    Example:
        >>> resident_mb() > 1
        True
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(size: Size) -> Point:
    """Run a fleet of a size.

    Example:
        measure(Size(nodes=4, instances=16, functions=4, seconds=1.0)).notes
    """
    return Run(size).measured()
