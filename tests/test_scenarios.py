"""Injects failures into the simulated cluster; the judges check the invariants afterwards."""

from __future__ import annotations

import pytest

from spokeroute.exchange.types import Stopping
from tests.sim.cluster import Sim, configuration
from tests.sim.platform import Server
from tools.judges import judge, level

SEEDS = (1, 2)


EACH = pytest.mark.parametrize("sim", SEEDS, indirect=True)


def clean(sim: Sim, drain_ms: float = 9_000) -> None:
    """Run until every wait has ended, then check the invariants."""
    sim.run(drain_ms)
    assert judge(sim.log()) == []


@EACH
def test_ordinary_traffic_succeeds(sim: Sim) -> None:
    sim.settle()
    sim.traffic(60, 6_000)
    sim.run(6_000)
    clean(sim)
    assert level(sim.log(), 0, 1e9) == 1.0
    assert len(sim.asked) > 200


@EACH
def test_worker_crash(sim: Sim) -> None:
    """Calls of the crashed worker's instances go to their successors; calls that must not be
    repeated and may have run are answered as such."""
    sim.settle()
    sim.traffic(60, 20_000)
    sim.run(5_000)
    at_ms = sim.env.now
    busy = next(s.worker for s in sim.platform.servers.values() if s.service == "readings")
    sim.platform.crash(busy)
    sim.run(15_000)
    clean(sim)
    assert level(sim.log(), at_ms, at_ms + 2_000) > 0.8
    assert level(sim.log(), at_ms + 6_000, at_ms + 15_000) > 0.99
    assert {s.worker for s in sim.platform.servers.values()} & {busy} == set()


@EACH
def test_exchange_killed_with_calls_in_flight(sim: Sim) -> None:
    sim.settle()
    sim.traffic(60, 25_000)
    sim.run(5_000)
    sim.exchanges[0].kill()
    sim.run(3_000)
    sim.exchanges[0].start()
    back_ms = sim.env.now
    sim.run(17_000)
    clean(sim)
    assert level(sim.log(), back_ms + 12_000, back_ms + 17_000) > 0.99


@EACH
def test_placement_holder_killed(sim: Sim) -> None:
    """The next placement member takes a higher term and completes pending operations."""
    sim.settle()
    sim.traffic(40, 25_000)
    sim.run(2_000)
    holder = next(r for r in sim.registries if r.state("role").term)
    term = holder.state("role").term
    holder.kill()
    sim.platform.crash("w1")
    sim.run(23_000)
    others = [r for r in sim.registries if r is not holder]
    assert max(r.state("role").term for r in others) > term
    clean(sim)
    assert level(sim.log(), sim.env.now - 20_000, sim.env.now) > 0.97


@EACH
def test_one_registry_down_leaves_applies(sim: Sim) -> None:
    sim.settle()
    sim.registries[2].kill()
    sim.traffic(30, 8_000)
    sim.run(1_000)
    told = sim.apply(configuration(name="with-two"), registry=0)
    sim.run(9_000)
    assert told.status == 200
    shown = sim.show(1)
    clean(sim)
    assert shown.doc["configuration"]["name"] == "with-two"


@EACH
def test_evacuation_under_load(sim: Sim) -> None:
    sim.settle()
    sim.traffic(60, 30_000)
    sim.run(3_000)
    told = sim.evacuate("centre", True)
    sim.run(13_000)
    assert told.status == 200
    assert not [s for s in sim.platform.servers.values() if sim.platform.seat(s.worker).zone
                == "centre"]  # fmt: skip
    sim.evacuate("centre", False, registry=1)
    sim.run(14_000)
    clean(sim)
    assert level(sim.log(), told.at_ms, told.at_ms + 27_000) > 0.97


@EACH
def test_burst_on_services_without_instances(sim: Sim) -> None:
    """Calls arrive in bulk at services without running instances."""
    sim.settle()
    for _ in range(40):
        sim.call("/small/1", wait_ms=8000)
        sim.call("/small/2", wait_ms=8000)
    sim.run(8_000)
    clean(sim)
    assert level(sim.log(), 0, 1e9) > 0.9


@EACH
def test_configuration_change_takes_effect_everywhere(sim: Sim) -> None:
    """A route moves to another service while one exchange is cut off from two of the three
    registries and another from all."""
    sim.settle()
    sim.traffic(60, 16_000)
    sim.run(2_000)
    for registry in sim.registries[:2]:
        sim.net.cuts |= {(registry.name, "ex1"), ("ex1", registry.name)}
    for registry in sim.registries:
        sim.net.cuts |= {(registry.name, "ex2"), ("ex2", registry.name)}
    moved = configuration(name="moved")
    moved["routes"][0]["service"] = "corrections"
    told = sim.apply(moved, registry=2)
    sim.run(9_000)
    assert told.status == 200
    sim.net.cuts.clear()
    sim.run(5_000)
    clean(sim)
    late = [a for a in sim.asked if a.exchange == "ex3" and a.at_ms > told.done_ms + 3_000]
    assert late and all(a.status == 200 for a in late)


@EACH
def test_two_applies_at_once_one_wins(sim: Sim) -> None:
    sim.settle()
    before = int(sim.told[0].doc["version"])
    told = [
        sim.apply(configuration(name=f"racer-{i}"), registry=i, expect=before) for i in range(3)
    ]
    sim.run(6_000)
    assert sorted(t.status for t in told) == [200, 409, 409]
    shown = sim.show(1)
    clean(sim)
    winner = next(t for t in told if t.status == 200)
    assert shown.doc["configuration"]["name"] == winner.detail
    loser = next(t for t in told if t.status == 409)
    assert "--if-version" in loser.doc["remedy"]


@EACH
def test_storm_of_applies(sim: Sim) -> None:
    """Every acknowledged apply is durable, and the newest is in force."""
    sim.settle()
    sim.traffic(30, 10_000)
    for number in range(30):
        sim.apply(configuration(name=f"storm-{number}"), registry=number % 3)
        sim.run(100)
    sim.run(9_000)
    shown = sim.show(2)
    clean(sim)
    acked = [t for t in sim.told if t.what == "apply" and t.status == 200]
    newest = max(acked, key=lambda t: int(t.doc["version"]))
    assert shown.doc["configuration"]["name"] == newest.detail


@EACH
def test_bad_answers(sim: Sim) -> None:
    """Instances that answer garbage, truncate answers, answer late, or crash after the work."""
    sim.settle()
    for how in ("garbage", "short", "late", "dies", "lost"):
        ill = [s for s in sim.platform.servers.values() if s.service in ("readings", "corrections")]
        for server in ill[:4]:
            server.behave = how
        sim.traffic(40, 4_000)
        sim.run(5_000)
        for server in ill:
            server.behave = "well"
    clean(sim)
    assert any(a.ran == "maybe" for a in sim.asked)


@EACH
def test_address_taken_over_by_another_service(sim: Sim) -> None:
    sim.settle()
    sim.traffic(60, 10_000)
    sim.run(2_000)
    for service in ("readings", "corrections"):
        old = next(s for s in sim.platform.servers.values() if s.service == service)
        sim.platform.take_over(old, "small-1")
    sim.run(10_000)
    clean(sim)
    assert level(sim.log(), sim.env.now - 15_000, sim.env.now) > 0.95


@EACH
def test_same_key_at_several_exchanges(sim: Sim) -> None:
    """At once, later, with another body, and after the crash of the first call's exchange."""
    sim.settle()
    first = [sim.call("/corrections", e, key="same") for e in sim.exchanges]
    sim.run(3_000)
    again = sim.call("/corrections", sim.exchanges[1], key="same")
    other = sim.call("/corrections", sim.exchanges[2], key="same", body=b'{"x":1}')
    lost = sim.call("/corrections", sim.exchanges[0], key="lost")
    sim.run(30)
    sim.exchanges[0].kill()
    repeated = sim.call("/corrections", sim.exchanges[1], key="lost")
    clean(sim)
    assert sorted(a.status for a in first) == [200, 409, 409]
    assert again.status == 409
    assert other.status == 422
    assert lost.status == 0 and repeated.status == 409


@EACH
def test_exchange_freezes_and_wakes(sim: Sim) -> None:
    """Frozen for longer than the lease and every wait, with calls and forwards in flight."""
    sim.settle()
    sim.traffic(60, 24_000)
    sim.run(3_000)
    sim.exchanges[1].freeze()
    sim.run(9_000)
    sim.exchanges[1].wake()
    sim.run(14_000)
    clean(sim)


@EACH
def test_placement_holder_freezes_and_wakes(sim: Sim) -> None:
    """A placement member that wakes after another took the role makes no platform calls."""
    sim.settle()
    sim.traffic(40, 20_000)
    sim.run(2_000)
    holder = next(r for r in sim.registries if r.state("role").term)
    holder.freeze()
    sim.run(9_000)
    calls = len(sim.platform.calls)
    woke_ms = sim.env.now
    sim.platform.crash("w2")
    holder.wake()
    sim.run(9_000)
    mine = [c for c in sim.platform.calls[calls:] if c[1] == holder.name and c[0] >= woke_ms]
    assert mine == []
    clean(sim)


@EACH
def test_listing_fails_and_workers_crash(sim: Sim) -> None:
    sim.settle()
    sim.traffic(40, 24_000)
    sim.run(2_000)
    sim.platform.list_fails = True
    sim.run(5_000)
    sim.platform.crash("w3")
    sim.run(5_000)
    sim.platform.list_fails = False
    sim.run(12_000)
    clean(sim)
    assert level(sim.log(), sim.env.now - 14_000, sim.env.now - 9_500) > 0.99


@EACH
def test_platform_refuses_and_starts_fail(sim: Sim) -> None:
    """The platform's rate cap is exceeded, starts fail, and starts are requested twice."""
    sim.settle()
    sim.platform.cap_per_s = 4
    services = configuration()["services"]
    for number in range(12):
        services.append({"name": f"rare-{number}", "memoryMb": 128, "limit": 1,
                         "minInstances": 1, "spares": 0})  # fmt: skip
    sim.platform.fail_starts = 6
    sim.apply(configuration(name="many", services=services))
    sim.traffic(40, 20_000)
    sim.run(20_000)
    clean(sim)
    assert sim.platform.refused > 0 and sim.platform.fail_starts == 0
    up = {s.service for s in sim.platform.servers.values() if s.state == "running"}
    assert {f"rare-{n}" for n in range(12)} <= up
    started = [c[3] for c in sim.platform.calls if c[2] == "start"]
    assert len(started) > len(set(started))  # requested again with the same id
    assert level(sim.log(), sim.env.now - 20_000, sim.env.now - 9_000) > 0.99


@EACH
def test_callers_over_their_rate_limit(sim: Sim) -> None:
    """One client exceeds its rate limit; it gets 429, and others are served."""
    routes = configuration()["routes"]
    routes[0]["perClientPerS"] = 10.0
    sim.settle(routes=routes)
    for _ in range(100):
        sim.call("/readings", sim.exchanges[0], client="greedy")
        sim.call("/readings", sim.exchanges[0])
        sim.run(20)
    clean(sim)
    greedy = sim.asked[0::2]
    assert 0.5 < sum(1 for a in greedy if a.status == 429) / len(greedy) < 0.9
    assert all(a.status == 200 for a in sim.asked[1::2])


def test_many_cold_starts_stay_under_the_start_rate_cap() -> None:
    """75 services without instances are called at once; the cap on starts per second holds."""
    sim = Sim(4, start_ms=900.0)
    try:
        sim.start()
        registries = sim.registries
        assert sim.up_to(lambda: all(r.state("acceptor").synced_votes for r in registries), 8_000)
        doc = configuration(name="sleepers")
        for number in range(75):
            doc["services"].append({"name": f"rare-{number}", "memoryMb": 128, "limit": 1,
                                    "coldMs": 500, "longestRunMs": 1000})  # fmt: skip
            doc["routes"].append({"path": f"/rare/{number}", "service": f"rare-{number}",
                                 "repeatable": True})  # fmt: skip
        sim.apply(doc)
        sim.routes = {x["path"]: x for x in doc["routes"]}
        sim.run(8_000)
        for number in range(75):
            sim.call(f"/rare/{number}", wait_ms=6_000)
        sim.run(7_000)
        clean(sim)
        assert {a.status for a in sim.asked} == {200}
        assert sim.platform.refused == 0
    finally:
        sim.close()


@EACH
def test_empty_listings_and_orphans(sim: Sim) -> None:
    """A listing that is empty for a second drops no instance; an instance that is not in the
    placement table is stopped in time; a listing sequence that starts again is accepted."""
    sim.settle()
    sim.traffic(40, 20_000)
    before = {s.id for s in sim.platform.servers.values() if s.service == "readings"}
    sim.platform.list_bare = True
    sim.run(1_200)
    sim.platform.list_bare = False
    orphan = Server("nobodys-1", "readings", "w1", 4, "running", "10.9.9.9:1")
    sim.platform.servers[orphan.id] = orphan
    sim.platform.sequence = 0
    sim.run(19_000)
    assert orphan.state == "stopped"
    assert before <= {s.id for s in sim.platform.servers.values()}
    assert level(sim.log(), 0, 1e9) == 1.0
    clean(sim)


@EACH
def test_a_stopping_exchange_hands_over_its_instances(sim: Sim) -> None:
    """After SIGTERM, others hold its instances within two seconds instead of after the lease and
    the longest run, and only calls that it queued itself are refused."""
    sim.settle()
    sim.traffic(60, 12_000)
    sim.run(2_000)
    leaving = sim.exchanges[0]
    held = set(leaving.state("holder").instances)
    assert held
    leaving.report("holder", Stopping(), leaving.births)
    leaving.report("calls", Stopping(), leaving.births)
    stopped_ms = sim.env.now
    assert sim.up_to(lambda: not leaving.state("holder").instances, 2_000)
    others = sim.exchanges[1:]

    def taken() -> bool:
        now = {i for e in others for i in e.state("holder").instances}
        return held <= now

    assert sim.up_to(taken, 2_000)
    assert sim.env.now - stopped_ms < 3_000
    leaving.kill()
    sim.run(10_000)
    clean(sim)
    elsewhere = [a for a in sim.asked if a.exchange != leaving.name]
    assert all(a.status == 200 for a in elsewhere)


@EACH
def test_a_slow_cold_instance_is_not_overloaded(sim: Sim) -> None:
    """New instances with a high limit answer nothing in their first second: each gets at most five
    calls in any second, however many arrive."""
    sim.platform.work_ms = 900.0
    services = configuration()["services"]
    services[2] = {**services[2], "limit": 20, "coldMs": 4_000}
    sim.settle(services=services)
    for _ in range(60):
        sim.call("/small/1", wait_ms=6_000)
        sim.run(15)
    clean(sim)
    assert sum(1 for a in sim.asked if a.status == 200) > 20
