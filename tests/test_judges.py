"""Each judge proven by a planted fault: with it the judge speaks, so silence means something."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from spokeroute.dispatch import plan
from spokeroute.exchange import budget, holder, types
from spokeroute.exchange.types import TryDone
from spokeroute.register import copies
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools import judges


@pytest.fixture
def sim() -> Iterator[Sim]:
    made = Sim(7)
    yield made
    made.close()


def behave(sim: Sim, how: str, *services: str) -> None:
    """Every instance of these services, and each that comes up later."""
    sim.platform.misbehave.update({service: how for service in services})
    for server in sim.platform.servers.values():
        if server.service in services:
            server.behave = how


def lie(monkeypatch: pytest.MonkeyPatch, change: Any) -> None:
    """An edge whose reports are doctored."""
    honest = Node.report

    def report(self: Node, actor: str, event: object, born: int) -> None:
        honest(self, actor, change(event), born)

    monkeypatch.setattr(Node, "report", report)


def neverStale(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lease without end: copies decide although nothing proves them."""
    for module in (types, holder, copies):
        monkeypatch.setattr(module, "LEASE_MS", 10**9)


def test_onceNeverTwiceSpeaks(sim: Sim) -> None:
    lanes = configuration()["lanes"]
    lanes[1]["repeatable"] = True  # the rule is not told to the product
    sim.settle(lanes=lanes)
    sim.run(11_000)  # past the first window, so that there is a share of second sends
    behave(sim, "lost", "corrections")
    for _ in range(5):
        sim.call("/corrections")
    sim.run(7_000)
    assert judges.onceNeverTwice(sim.log())


def test_notRunHoldsSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    def change(event: object) -> object:
        if isinstance(event, TryDone) and event.ran == "maybe":
            return replace(event, ran="no")
        return event

    sim.settle()
    behave(sim, "lost", "corrections")
    lie(monkeypatch, change)
    for _ in range(30):  # some are between two tries when their wait ends
        sim.call("/corrections")
    sim.run(7_000)
    assert judges.notRunHolds(sim.log())


def test_oneVerdictInTimeSpeaks(sim: Sim) -> None:
    sim.settle()
    sim.exchanges[0].freeze()
    sim.call("/readings", sim.exchanges[0], waitMs=500)
    sim.run(1_000)
    assert judges.oneVerdictInTime(sim.log())


def test_successIsWholeSpeaks(sim: Sim) -> None:
    sim.settle()
    sim.skipWhole = True
    behave(sim, "short", "readings")
    sim.call("/readings")
    sim.run(2_000)
    assert judges.successIsWhole(sim.log())


def test_rightServiceSpeaks(sim: Sim) -> None:
    sim.settle()
    sim.skipWho = True
    for old in [s for s in sim.platform.servers.values() if s.service == "readings"]:
        sim.platform.takeOver(old, "small-1")
    sim.call("/readings")
    sim.run(2_000)
    assert judges.rightService(sim.log())


def test_newestRulesSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    neverStale(monkeypatch)
    for registry in sim.registries:
        for name in ("ex1", "ex2"):
            sim.net.cuts |= {(registry.name, name), (name, registry.name)}
    moved = configuration(name="moved")
    moved["lanes"][0]["service"] = "corrections"
    sim.net.cuts |= {("ex3", "ex1"), ("ex3", "ex2")}
    told = sim.apply(moved)
    sim.run(5_000)
    assert told.status == 200
    for _ in range(20):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.newestRules(sim.log())


def cutOffWithCalls(sim: Sim) -> None:
    """Two exchanges without a core go on sending, from one to the other and to its own."""
    for registry in sim.registries:
        for name in ("ex1", "ex2"):
            sim.net.cuts |= {(registry.name, name), (name, registry.name)}


def test_evacuatedGetNothingSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    neverStale(monkeypatch)
    cutOffWithCalls(sim)
    for locality in ("north", "centre", "south"):
        sim.evacuate(locality, True)
    sim.run(5_600)
    for _ in range(30):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.evacuatedGetNothing(sim.log())


def test_drainedGetNothingSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    neverStale(monkeypatch)
    cutOffWithCalls(sim)
    fewer = configuration(name="fewer")
    fewer["services"] = fewer["services"][1:]
    fewer["lanes"] = fewer["lanes"][1:]
    sim.apply(fewer)
    assert sim.upTo(lambda: any(
        p.state == "draining" for _, _, f in sim.floors for p in f.instances), 3_000)  # fmt: skip
    sim.run(3_050)
    for _ in range(30):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.drainedGetNothing(sim.log())


def test_vanishedGetNothingSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    monkeypatch.setattr(plan, "LOST_AFTER_LISTINGS", 10**9)
    for worker in ("w1", "w2", "w3", "w4", "w5", "w6"):
        sim.platform.crash(worker)
    sim.run(4_000)
    for _ in range(10):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.vanishedGetNothing(sim.log())


def test_secondsWithinShareSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    monkeypatch.setattr(budget.Budget, "allows", lambda *_: True)
    behave(sim, "lost", "readings")
    for _ in range(150):
        sim.call("/readings")
        sim.run(80)
    sim.run(3_000)
    assert judges.secondsWithinShare(sim.log())


def test_coldWithinRateSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    monkeypatch.setattr(holder, "_coldRoom", lambda seat, nowMs: True)
    services = configuration()["services"]
    services[0] = {**services[0], "name": "fresh", "coldMs": 8_000}
    lanes = [{"path": "/readings", "service": "fresh", "methods": ["POST"], "repeatable": True,
              "perAgentPerS": 1000.0}]  # fmt: skip
    sim.apply(configuration(name="fresh", services=services, lanes=lanes))
    sim.run(3_000)
    for _ in range(300):
        sim.call("/readings")
        sim.run(10)
    assert judges.coldWithinRate(sim.log())


def test_withinLimitSpeaks(sim: Sim) -> None:
    sim.settle()
    for server in sim.platform.servers.values():
        server.limit = 1  # the platform's instances can do less than was declared
    for _ in range(40):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.withinLimit(sim.log())


def test_ackedReadsBackSpeaks(sim: Sim) -> None:
    sim.settle()
    for node in sim.registries:
        assert node.disk is not None
        node.disk.losesWrites = True
    told = sim.apply(configuration(name="never synced"))
    sim.run(1_000)
    assert told.status == 200
    for node in sim.registries:
        node.kill()
        node.start()
    assert sim.upTo(lambda: sim.registries[0].state("keeper").syncedVotes, 3_000)
    sim.run(2_000)
    sim.show()
    sim.run(2_000)
    assert judges.ackedReadsBack(sim.log())
