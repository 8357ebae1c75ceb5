"""Each judge proven by a planted fault: with it the judge speaks, so silence means something."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from spokeroute.dial.effects import SlotId
from spokeroute.dial.verdict import Verdict
from spokeroute.dispatch import placement, plan, scaler, upkeep
from spokeroute.exchange import budget, holder, types
from spokeroute.exchange.types import TryDone
from spokeroute.register import copies
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools import judges


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
    sim.lanes["/corrections"]["repeatable"] = False
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


@pytest.mark.parametrize("how", ["dropped", "broken"])
def test_oneVerdictInTimeSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """A verdict that is never given, and a connection that ends without one."""
    sim.settle()

    def reply(self: Node, slot: SlotId, verdict: Verdict) -> None:
        told = self.slots.pop(slot.index, None)
        if told is not None and how == "broken":
            told(Verdict(0, (), b""))

    monkeypatch.setattr(Node, "reply", reply)
    sim.call("/readings", sim.exchanges[0], waitMs=500)
    sim.run(1_000)
    assert judges.oneVerdictInTime(sim.log())


def test_aFreezeExcusesOnlyCallsThatLayInIt(sim: Sim) -> None:
    sim.settle()
    frozen = sim.exchanges[0]
    inIt = sim.call("/readings", frozen, waitMs=500)
    frozen.freeze()
    sim.run(2_000)
    frozen.wake()
    sim.run(3_000)
    later = sim.call("/readings", frozen, waitMs=500)
    sim.run(1_000)
    assert judges.oneVerdictInTime(sim.log()) == []
    inIt.doneMs, later.doneMs = inIt.atMs + 2_400, later.atMs + 700
    found = judges.oneVerdictInTime(sim.log())
    assert len(found) == 1 and later.call in found[0]


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


def movedBehindACut(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """Exchanges that never stop believing their copies, cut off while a lane moves to another
    service and another lane is added."""
    neverStale(monkeypatch)
    cutOffWithCalls(sim)
    sim.net.cuts |= {("ex3", "ex1"), ("ex3", "ex2")}
    moved = configuration(name="moved")
    moved["lanes"][0]["service"] = "corrections"
    moved["lanes"].append({"path": "/new", "service": "readings", "repeatable": True})
    told = sim.apply(moved)
    sim.run(5_000)
    assert told.status == 200


def test_rightServiceSpeaksOfWhatIsNotInForce(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    movedBehindACut(sim, monkeypatch)
    for _ in range(20):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.rightService(sim.log())


def test_newestRulesSpeaksOfRefusals(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    movedBehindACut(sim, monkeypatch)
    assert judges.newestRules(sim.log()) == []
    sim.call("/new", sim.exchanges[0])
    sim.run(1_000)
    assert sim.asked[-1].status == 404
    assert judges.newestRules(sim.log())


def test_newestRulesSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    movedBehindACut(sim, monkeypatch)
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


def test_evacuatedGetNothingSpeaksOfStarts(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    sim.evacuate("north", True)
    sim.run(6_000)
    assert judges.evacuatedGetNothing(sim.log()) == []
    monkeypatch.setattr(plan, "roomOf", lambda seats, now, services, evacuated: scaler.roomOf(
        seats, now, services, frozenset()))  # fmt: skip
    monkeypatch.setattr(placement, "platformCalls", lambda floor, table, marks, out, *rest:
                        upkeep.platformCalls(floor, table, marks, frozenset(), *rest))  # fmt: skip
    for _ in range(60):
        sim.call("/small/1")
        sim.call("/readings")
    sim.run(3_000)
    assert judges.evacuatedGetNothing(sim.log())


def test_drainedGetNothingSpeaksOfEmptiedWorkers(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """The floor never marks what the platform says it drains."""
    sim.settle()
    monkeypatch.setattr(plan, "going", lambda *_: False)
    monkeypatch.setattr(upkeep, "going", lambda *_: False)
    sim.platform.emptied.update(s.id for s in sim.platform.seats)
    sim.run(4_500)
    for _ in range(10):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.drainedGetNothing(sim.log())


def test_drainedGetNothingSpeaksOfEarlyStops(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """Instances are stopped before their drain could be known everywhere."""
    sim.settle()
    monkeypatch.setattr(upkeep, "quietMs", lambda *_: 0)
    neverStale(monkeypatch)
    cutOffWithCalls(sim)
    sim.traffic(60, 3_000, ("/readings",))
    fewer = configuration(name="fewer")
    fewer["services"] = fewer["services"][1:]
    fewer["lanes"] = fewer["lanes"][1:]
    sim.apply(fewer)
    sim.run(2_500)
    assert any("stopped" in x for x in judges.drainedGetNothing(sim.log()))


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


def test_secondsWithinShareCountsTenSeconds(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """A share of two fifths: too much for the window, not for two of them."""
    sim.settle()
    monkeypatch.setattr(budget, "EARN", 0.4)
    behave(sim, "lost", "readings")
    sim.traffic(60, 26_000, ("/readings",))
    sim.run(26_000)
    assert judges.secondsWithinShare(sim.log())


@pytest.mark.parametrize("plus", [3, 99])
def test_coldWithinRateSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch, plus: int) -> None:
    sim.settle()
    honest = holder._coldRoom
    if plus == 99:
        monkeypatch.setattr(holder, "_coldRoom", lambda seat, nowMs: True)
    else:
        monkeypatch.setattr(holder, "COLD_PLUS_PER_S", holder.COLD_PLUS_PER_S + plus)
        assert holder._coldRoom is honest
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
