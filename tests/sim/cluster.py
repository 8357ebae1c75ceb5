"""A whole simulated cluster with callers and operators, and the log that judges read."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Generator, Mapping
from pathlib import Path
from typing import Any

import simpy

from spokeroute.common.answers import Answer
from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import CallId
from spokeroute.common.switches import Switches
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    content_of,
    pack_configuration,
    read_configuration,
)
from spokeroute.exchange.types import CallIn
from spokeroute.register.seen_values import SeenValue
from spokeroute.registry.operator import Apply, Evacuate, Show, ShowEvacuated
from tests.sim.net import Net
from tests.sim.platform import Platform
from tests.sim.world import Node
from tools.judges import COLD_FACTOR, COLD_PLUS
from tools.log import Asked, Down, Log, Return, Told

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
ZONES = ("north", "centre", "south")


def configuration(**changes: Any) -> dict[str, Any]:
    """A small deployment: a busy service, a once-only one, two small ones."""
    doc: dict[str, Any] = {
        "name": "simulated",
        "zones": list(ZONES),
        "services": [
            {"name": "readings", "memoryMb": 512, "limit": 4, "coldMs": 1000,
             "longestRunMs": 1000, "minInstances": 2, "spares": 1},
            {"name": "corrections", "memoryMb": 512, "limit": 4, "coldMs": 1000,
             "longestRunMs": 1000, "minInstances": 2, "spares": 1},
            {"name": "small-1", "memoryMb": 128, "limit": 1, "coldMs": 500,
             "longestRunMs": 1000},
            {"name": "small-2", "memoryMb": 128, "limit": 1, "coldMs": 500,
             "longestRunMs": 1000},
        ],
        "routes": [
            {"path": "/readings", "service": "readings", "methods": ["POST"],
             "repeatable": True, "perClientPerS": 1000.0},
            {"path": "/corrections", "service": "corrections", "methods": ["POST"],
             "perClientPerS": 1000.0},
            {"path": "/small/1", "service": "small-1", "repeatable": True},
            {"path": "/small/2", "service": "small-2", "repeatable": True},
        ],
    }  # fmt: skip
    doc.update(changes)
    return doc


def deployment(name: str) -> dict[str, Any]:
    """A whole deployment of the brief: four busy services and 75 small ones."""
    doc: dict[str, Any] = json.loads((EXAMPLES / f"{name}.json").read_text())
    return doc


def brief_sim(name: str, seed: int, exchanges: int = 9) -> Sim:
    """A cluster of a deployment's size, settled: its syncs and its instances' starts."""
    organismo = name == "organismo"
    sim = Sim(seed, exchanges, sync_ms=5.0 if organismo else 0.5,
              start_ms=500.0 if organismo else 1_400.0)  # fmt: skip
    sim.platform.start_small_ms = 300.0 if organismo else 1_000.0
    sim.busy = 4
    sim.settle(deployment(name))
    return sim


class Sim:
    """The cluster. Planted faults (``skip…``) switch one check of the edge off."""

    def __init__(
        self, seed: int, exchanges: int = 3, sync_ms: float = 0.5, start_ms: float = 600.0,
        work_ms: float = 40.0, registries: int = 3, bounds: Bounds | None = None,
        regions: Mapping[str, str] | None = None, switches: Switches | None = None,
    ) -> None:  # fmt: skip
        self.env = simpy.Environment()
        self.bounds = bounds or Bounds()
        self.switches = switches or Switches()
        self.rng = random.Random(seed)
        self.sync_ms = sync_ms
        self.net = Net(self.env, self.rng)
        self.regions = self.net.regions = regions or {}
        self.notes: list[tuple[float, str, str]] = []
        self.skip_who = self.skip_proof = self.skip_whole = False
        self.platform = Platform(self.env, self.rng, ZONES, 6, start_ms, work_ms)
        self.seeds = [f"10.0.0.{i + 1}:1" for i in range(3)]
        self.draws = 0
        self.registries = [
            Node(self, f"reg{i + 1}", "registry", ZONES[i % 3], f"10.0.0.{i + 1}:1", True)
            for i in range(registries)
        ]
        self.exchanges = [
            Node(self, f"ex{i + 1}", "exchange", ZONES[i % 3], f"10.1.0.{i + 1}:1", False)
            for i in range(exchanges)
        ]
        self.busy = 2  # the first routes are the busy ones
        self.asked: list[Asked] = []
        self.told: list[Told] = []
        self.routes: dict[str, dict[str, Any]] = {x["path"]: x for x in configuration()["routes"]}
        self.floors: list[tuple[float, int, Any]] = []  # when each floor was first chosen
        self.downs: list[Down] = []
        self.returns: list[Return] = []
        self.entered: dict[str, float] = {}  # ledger entry -> when a first disk had it
        self.cold_ms: dict[str, float] = {}
        self.cold_bounds: dict[str, float] = {}
        self.env.process(self._watch())

    def draw(self) -> int:
        self.draws += 1
        return self.draws

    def _watch(self) -> Generator[Any, Any, None]:
        seen: set[tuple[int, int]] = set()
        while True:
            for node in self.registries:
                if node.alive and not node.frozen:
                    floor = node.state("placement").placements
                    if (floor.term, floor.sequence) not in seen:
                        seen.add((floor.term, floor.sequence))
                        self.floors.append((self.env.now, floor.term, floor))
            yield self.env.timeout(20)

    @property
    def nodes(self) -> list[Node]:
        return [*self.registries, *self.exchanges]

    def start(self) -> None:
        """Start every node."""
        for node in self.nodes:
            node.start()

    def run(self, for_ms: float) -> None:
        """Let simulated time pass."""
        self.env.run(until=self.env.now + for_ms)

    def up_to(self, ready: Callable[[], bool], most_ms: float) -> bool:
        """Run until something holds."""
        until = self.env.now + most_ms
        while self.env.now < until:
            if ready():
                return True
            self.run(50)
        return ready()

    def serving(self, service: str = "readings", count: int = 2) -> bool:
        """Whether every live exchange has proved tables with warm, held instances."""
        for node in self.exchanges:
            if not node.alive or node.frozen:
                continue
            tables = node.state("calls").tables
            if not tables.fresh(node.now_ms()):
                return False
            here = [p for p in tables.by_service.get(service, ()) if p.warm and p.holder]
            if len(here) < count:
                return False
        return True

    def settle(self, doc: dict[str, Any] | None = None, **changes: Any) -> None:
        """Start, apply the configuration, and wait until it serves."""
        doc = doc or configuration(**changes)
        self.start()
        assert self.up_to(
            lambda: all(r.state("acceptor").synced_votes for r in self.registries), 8000
        )
        told = self.apply(doc)
        assert self.up_to(lambda: told.status == 200, 6000), told
        busy = [s["name"] for s in doc["services"] if s.get("minInstances", 0) >= 2]
        ready = self.up_to(lambda: all(self.serving(s) for s in busy), 25_000)
        assert ready, "the cluster did not come up"
        self.routes = {x["path"]: x for x in doc["routes"]}

    def apply(
        self, doc: dict[str, Any], registry: int = 0, expect: int = -1, number: int = 0,
        order_id: str = "", seen: SeenValue | None = None,
    ) -> Told:  # fmt: skip
        """An operator's apply."""
        got = read_configuration(json.dumps(doc).encode(), ZONES)
        assert isinstance(got, Configuration), got
        order_id = order_id or f"a{self.draw()}"
        content = content_of(got)
        value = pack_configuration(got, content[:16] if number else order_id, number)
        told = Told("apply", self.env.now, number=number, order_id=order_id)
        told.detail, told.sent = str(doc.get("name", "")), doc
        self.cold_ms.update({x["name"]: x.get("coldMs", 2000) for x in doc["services"]})
        for each in doc["services"]:
            if each.get("coldPerS") is not None:
                self.cold_bounds[each["name"]] = COLD_FACTOR * each["coldPerS"] + COLD_PLUS
        self.told.append(told)
        node = self.registries[registry]
        node.ask(
            "operator",
            lambda s: Apply(s, value, expect, content, number, order_id, seen),
            self._teller(told),
        )
        return told

    def evacuate(
        self, zone: str, out: bool, registry: int = 0, order_id: str = "",
        seen: SeenValue | None = None,
    ) -> Told:  # fmt: skip
        """An operator's evacuation or restore."""
        told = Told("evacuate" if out else "restore", self.env.now)
        told.detail = zone
        self.told.append(told)
        node = self.registries[registry]
        named, order_id = bool(order_id), order_id or f"e{self.draw()}"
        node.ask(
            "operator",
            lambda s: Evacuate(s, zone, out, ZONES, order_id, named, seen),
            self._teller(told),
        )
        return told

    def show(self, registry: int = 0) -> Told:
        """An operator's read."""
        told = Told("show", self.env.now)
        self.told.append(told)
        self.registries[registry].ask("operator", Show, self._teller(told))
        return told

    def evacuated(self, registry: int = 0) -> Told:
        """An operator's read of the evacuated zones."""
        told = Told("evacuated", self.env.now)
        self.told.append(told)
        self.registries[registry].ask("operator", ShowEvacuated, self._teller(told))
        return told

    def entries(self, kind: str) -> list[dict[str, Any]]:
        """The ledger's entries of a kind on any disk, with the time when they came there."""
        texts: dict[str, str] = {}
        for node in self.registries:
            texts.update(node.disk.ledger if node.disk else {})
        docs = [{**json.loads(text), "atMs": self.entered[key]} for key, text in texts.items()]
        return sorted((d for d in docs if d["kind"] == kind), key=lambda d: d["key"])

    def _teller(self, told: Told) -> Callable[[Answer], None]:
        def tell(answer: Answer) -> None:
            told.done_ms, told.status = self.env.now, answer.status
            told.doc = json.loads(answer.body) if answer.body else {}

        return tell

    def call(
        self, path: str, exchange: Node | None = None, key: str = "", wait_ms: int = 5000,
        client: str = "", body: bytes = b"{}", api_key: str = "",
    ) -> Asked:  # fmt: skip
        """One caller's call."""
        if exchange is None:
            up = [e for e in self.exchanges if e.alive]
            exchange = self.rng.choice(up or self.exchanges)
        name = f"c{self.draw()}"
        route = self.routes.get(path, {"service": "", "repeatable": True})
        asked = Asked(
            name, key, path, route["service"], not route.get("repeatable"), exchange.name,
            self.env.now, wait_ms, method=route.get("methods", ["GET"])[0], client=client or name,
            api_key=api_key,
        )  # fmt: skip
        self.asked.append(asked)
        if not exchange.alive:
            asked.status, asked.kind, asked.done_ms = 0, "refused", self.env.now
            return asked

        def tell(answer: Answer) -> None:
            asked.answers += 1 if answer.status else 0
            asked.done_ms, asked.status, asked.body = self.env.now, answer.status, answer.body
            if answer.status >= 400:
                doc = json.loads(answer.body)
                asked.ran, asked.kind = doc.get("ran", ""), doc.get("kind", "")
                asked.retry_after = dict(answer.headers).get("Retry-After", "")

        credential = (("Authorization", f"Bearer {api_key}"),) if api_key else ()
        headers = (("Standin-Call", name), *((("Idempotency-Key", key),) if key else ()))
        exchange.ask(
            "calls",
            lambda slot: CallIn(
                slot,
                CallId(name),
                asked.client,
                asked.method,
                path.replace("*", "x"),
                "",
                headers,
                body,
                str(wait_ms),
                key,
                0,
                credential=credential,
            ),
            tell,
        )
        return asked

    def traffic(self, per_s: float, for_ms: float, paths: tuple[str, ...] = ()) -> None:
        """Callers for a while; a sixth of the calls are once-only, half of those keyed."""
        self.env.process(self._traffic(per_s, self.env.now + for_ms, paths))

    def _traffic(
        self, per_s: float, until_ms: float, paths: tuple[str, ...]
    ) -> Generator[Any, Any, None]:
        count = 0
        while self.env.now < until_ms:
            count += 1
            path = self.rng.choice(paths) if paths else self._choose(count)
            once = not self.routes[path].get("repeatable")
            key = f"k{self.draw()}" if once and count % 12 == 0 else ""
            self.call(path, key=key, wait_ms=self.rng.randrange(4000, 8000))
            yield self.env.timeout(self.rng.expovariate(per_s) * 1000)

    def _choose(self, count: int) -> str:
        """A sixth of the calls are once-only, a tenth of the others go to small services."""
        busy = list(self.routes)[: self.busy]
        once = [p for p in busy if not self.routes[p].get("repeatable")]
        free = [p for p in busy if self.routes[p].get("repeatable")]
        if count % 6 == 0:
            return self.rng.choice(once)
        if self.busy > 2 and count % 10 == 1:
            return self.rng.choice(list(self.routes)[self.busy :])
        return self.rng.choice(free)

    def log(self) -> Log:
        """What this run's callers, operators and instances saw."""
        drained: dict[str, float] = {}
        for at_ms, _, floor in self.floors:
            for placed in floor.instances:
                if placed.state in ("draining", "stopping"):
                    drained.setdefault(placed.id, at_ms)
        platform = self.platform
        return Log(
            self.env.now, self.asked, platform.runs, platform.answers, self.told,
            self.cold_ms, drained, platform.shown_gone_ms, platform.dead_sends, self.downs,
            platform.dials, platform.shown_empty, platform.stop_ms, platform.starts, self.returns,
            self.cold_bounds, platform.turned_cold,
        )  # fmt: skip

    def close(self) -> None:
        """Take every actor off pykka's register."""
        for node in self.nodes:
            if node.process is not None:
                node.process.close()
