"""Each judge proven by a planted fault: with it the judge speaks, so silence means something."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from spokeroute.common.answers import Answer, Ran
from spokeroute.common.effects import SlotId
from spokeroute.dispatch.placement import listing, placement, plan, timers
from spokeroute.dispatch.scaling import service_scaling, sizing
from spokeroute.exchange import budget, held_instance, holder_state, types
from spokeroute.exchange.held_instance import HeldInstance
from spokeroute.exchange.types import AttemptDone
from spokeroute.register.replica import replica
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


def never_stale(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lease without end: copies decide although nothing proves them."""
    monkeypatch.setattr(replica, "LEASE_MS", 10**9)
    monkeypatch.setattr(holder_state, "FRESH_MARGIN_MS", -(10**9))
    monkeypatch.setattr(types.Tables, "fresh", lambda self, now_ms: self.table is not None)
    monkeypatch.setattr(types.Tables, "routes_current", lambda tables, now_ms: True)


def test_once_never_twice_speaks(sim: Sim) -> None:
    routes = configuration()["routes"]
    routes[1]["repeatable"] = True  # the rule is not told to the product
    sim.settle(routes=routes)
    sim.routes["/corrections"]["repeatable"] = False
    sim.run(11_000)  # past the first window, so that there is a share of second sends
    behave(sim, "lost", "corrections")
    for _ in range(5):
        sim.call("/corrections")
    sim.run(7_000)
    assert judges.once_never_twice(sim.log())


def test_not_run_holds_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    def change(event: object) -> object:
        if isinstance(event, AttemptDone) and event.ran == "maybe":
            return replace(event, ran=Ran.NO)
        return event

    sim.settle()
    behave(sim, "lost", "corrections")
    lie(monkeypatch, change)
    for _ in range(30):  # some are between two attempts when their wait ends
        sim.call("/corrections")
    sim.run(7_000)
    assert judges.not_run_holds(sim.log())


@pytest.mark.parametrize("how", ["dropped", "broken"])
def test_one_answer_in_time_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """An answer that is never given, and a connection that ends without one."""
    sim.settle()

    def reply(self: Node, slot: SlotId, answer: Answer) -> None:
        told = self.slots.pop(slot.index, None)
        if told is not None and how == "broken":
            told(Answer(0, (), b""))

    monkeypatch.setattr(Node, "reply", reply)
    sim.call("/readings", sim.exchanges[0], wait_ms=500)
    sim.run(1_000)
    assert judges.one_answer_in_time(sim.log())


def test_a_freeze_excuses_only_calls_that_lay_in_it(sim: Sim) -> None:
    sim.settle()
    frozen = sim.exchanges[0]
    in_it = sim.call("/readings", frozen, wait_ms=500)
    frozen.freeze()
    sim.run(2_000)
    frozen.wake()
    sim.run(3_000)
    later = sim.call("/readings", frozen, wait_ms=500)
    sim.run(1_000)
    assert judges.one_answer_in_time(sim.log()) == []
    in_it.done_ms, later.done_ms = in_it.at_ms + 2_400, later.at_ms + 700
    found = judges.one_answer_in_time(sim.log())
    assert len(found) == 1 and later.call in found[0]


def test_success_is_whole_speaks(sim: Sim) -> None:
    sim.settle()
    sim.skip_whole = True
    behave(sim, "short", "readings")
    sim.call("/readings")
    sim.run(2_000)
    assert judges.success_is_whole(sim.log())


def test_right_service_speaks(sim: Sim) -> None:
    sim.settle()
    sim.skip_who = True
    for old in [s for s in sim.platform.servers.values() if s.service == "readings"]:
        sim.platform.take_over(old, "small-1")
    sim.call("/readings")
    sim.run(2_000)
    assert judges.right_service(sim.log())


def moved_behind_a_cut(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """Exchanges that never stop believing their copies, cut off while a route moves to another
    service and another route is added."""
    never_stale(monkeypatch)
    cut_off_with_calls(sim)
    sim.net.cuts |= {("ex3", "ex1"), ("ex3", "ex2")}
    moved = configuration(name="moved")
    moved["routes"][0]["service"] = "corrections"
    moved["routes"].append({"path": "/new", "service": "readings", "repeatable": True})
    told = sim.apply(moved)
    sim.run(5_000)
    assert told.status == 200


def test_right_service_speaks_of_what_is_not_in_force(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    sim.settle()
    moved_behind_a_cut(sim, monkeypatch)
    for _ in range(20):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.right_service(sim.log())


def test_newest_rules_speaks_of_refusals(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    moved_behind_a_cut(sim, monkeypatch)
    assert judges.newest_rules(sim.log()) == []
    sim.call("/new", sim.exchanges[0])
    sim.run(1_000)
    assert sim.asked[-1].status == 404
    assert judges.newest_rules(sim.log())


def test_newest_rules_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    moved_behind_a_cut(sim, monkeypatch)
    for _ in range(20):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.newest_rules(sim.log())


def cut_off_with_calls(sim: Sim) -> None:
    """Two exchanges without a core go on sending, from one to the other and to its own."""
    for registry in sim.registries:
        for name in ("ex1", "ex2"):
            sim.net.cuts |= {(registry.name, name), (name, registry.name)}


def test_evacuated_get_nothing_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    never_stale(monkeypatch)
    cut_off_with_calls(sim)
    for zone in ("north", "centre", "south"):
        sim.evacuate(zone, True)
    sim.run(5_600)
    for _ in range(30):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.evacuated_get_nothing(sim.log())


def test_evacuated_get_nothing_speaks_of_starts(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    sim.evacuate("north", True)
    sim.run(6_000)
    assert judges.evacuated_get_nothing(sim.log()) == []
    monkeypatch.setattr(service_scaling, "free_memory_of", lambda workers, now, services, evacuated:
                        sizing.free_memory_of(workers, now, services, frozenset()))  # fmt: skip
    monkeypatch.setattr(placement, "platform_calls", lambda floor, table, marks, out, *rest:
                        timers.platform_calls(floor, table, marks, frozenset(), *rest))  # fmt: skip
    for _ in range(60):
        sim.call("/small/1")
        sim.call("/readings")
    sim.run(3_000)
    assert judges.evacuated_get_nothing(sim.log())


def test_drained_get_nothing_speaks_of_emptied_workers(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The floor never marks what the platform says it drains."""
    sim.settle()
    monkeypatch.setattr(plan, "is_leaving", lambda *_: False)
    monkeypatch.setattr(listing, "is_leaving", lambda *_: False)
    sim.platform.emptied.update(s.id for s in sim.platform.seats)
    sim.run(4_500)
    for _ in range(10):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.drained_get_nothing(sim.log())


def test_drained_get_nothing_speaks_of_early_stops(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Instances are stopped before their drain could be known everywhere."""
    sim.settle()
    monkeypatch.setattr(timers, "drain_wait_ms", lambda *_: 0)
    never_stale(monkeypatch)
    cut_off_with_calls(sim)
    sim.traffic(60, 3_000, ("/readings",))
    fewer = configuration(name="fewer")
    fewer["services"] = fewer["services"][1:]
    fewer["routes"] = fewer["routes"][1:]
    sim.apply(fewer)
    sim.run(2_500)
    assert any("stopped" in x for x in judges.drained_get_nothing(sim.log()))


def test_drained_get_nothing_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    never_stale(monkeypatch)
    cut_off_with_calls(sim)
    fewer = configuration(name="fewer")
    fewer["services"] = fewer["services"][1:]
    fewer["routes"] = fewer["routes"][1:]
    sim.apply(fewer)
    assert sim.up_to(lambda: any(
        p.state == "draining" for _, _, f in sim.floors for p in f.instances), 3_000)  # fmt: skip
    sim.run(3_050)
    for _ in range(30):
        sim.call("/readings", sim.exchanges[0])
    sim.run(2_000)
    assert judges.drained_get_nothing(sim.log())


def test_vanished_get_nothing_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    monkeypatch.setattr(plan, "LOST_AFTER_LISTINGS", 10**9)
    for worker in ("w1", "w2", "w3", "w4", "w5", "w6"):
        sim.platform.crash(worker)
    sim.run(4_000)
    for _ in range(10):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.vanished_get_nothing(sim.log())


def test_seconds_within_share_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    monkeypatch.setattr(budget.Budget, "allows", lambda *_: True)
    behave(sim, "lost", "readings")
    for _ in range(150):
        sim.call("/readings")
        sim.run(80)
    sim.run(3_000)
    assert judges.seconds_within_share(sim.log())


def test_seconds_within_share_counts_ten_seconds(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """A share of two fifths: too much for the window, not for two of them."""
    sim.settle()
    monkeypatch.setattr(budget.Budget, "earned", lambda self, firsts: 0.4 * firsts)
    behave(sim, "lost", "readings")
    sim.traffic(60, 26_000, ("/readings",))
    sim.run(26_000)
    assert judges.seconds_within_share(sim.log())


@pytest.mark.parametrize("plus", [3, 99])
def test_cold_within_rate_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch, plus: int) -> None:
    sim.settle()
    honest = HeldInstance._warm_up_allows
    if plus == 99:
        monkeypatch.setattr(HeldInstance, "_warm_up_allows", lambda seat, now_ms: True)
    else:
        monkeypatch.setattr(
            held_instance, "WARM_UP_EXTRA_PER_S", held_instance.WARM_UP_EXTRA_PER_S + plus
        )
        assert HeldInstance._warm_up_allows is honest
    services = configuration()["services"]
    services[0] = {**services[0], "name": "fresh", "coldMs": 8_000}
    routes = [{"path": "/readings", "service": "fresh", "methods": ["POST"], "repeatable": True,
              "perClientPerS": 1000.0}]  # fmt: skip
    sim.apply(configuration(name="fresh", services=services, routes=routes))
    sim.run(3_000)
    for _ in range(300):
        sim.call("/readings")
        sim.run(10)
    assert judges.cold_within_rate(sim.log())


def test_within_limit_speaks(sim: Sim) -> None:
    sim.settle()
    for server in sim.platform.servers.values():
        server.limit = 1  # the platform's instances can do less than was declared
    for _ in range(40):
        sim.call("/readings")
    sim.run(2_000)
    assert judges.within_limit(sim.log())
