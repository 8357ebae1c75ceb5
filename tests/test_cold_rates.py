"""Cold instances of a service that states what one handles while it is cold: over all processes, in
any second, none gets more than the bound, and a crowd is served all the same."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ms
from spokeroute.dispatch.configuration.configuration import Configuration, Service
from spokeroute.dispatch.configuration.configuration import read_document as read
from spokeroute.dispatch.scaling import cold_rate
from spokeroute.dispatch.scaling.cold_rate import ColdRate, cold_rate_of, is_never_cold
from spokeroute.dispatch.scaling.sizing import Demand, Warming, wanted_of
from spokeroute.exchange import holder_state, unheld
from spokeroute.exchange.held_instance import HeldInstance
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tests.test_adapter import adapter, document
from tools import judges

__all__ = ["adapter"]

SAFE = Bounds(stale_ms=20_000, rejection_safe=True, stop_drains=True)
COLD_MS = 8_000
COLD_PER_S = 10.0
BOUND = 20.0
CROWD_PER_S = 80.0


def cold_services(**changes: Any) -> dict[str, Any]:
    """A service with a long cold time, for the first route; the others as they are."""
    doc = configuration()
    fresh = {**doc["services"][0], "coldMs": COLD_MS, "coldPerS": COLD_PER_S, "minInstances": 1,
             "spares": 0, **changes}  # fmt: skip
    return {"services": [fresh, *doc["services"][1:]]}


def make(seed: int, **changes: Any) -> Sim:
    sim = Sim(seed, exchanges=6, work_ms=45.0, bounds=SAFE)
    sim.platform.turns_away = sim.platform.own_names = True
    sim.platform.cold_falls["readings"] = (COLD_MS, 2 * BOUND)
    sim.settle(**cold_services(**changes))
    return sim


@pytest.fixture(params=[3, 4])
def sim(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = make(request.param)
    yield made
    made.close()


def held_cold(sim: Sim) -> dict[str, Node]:
    """The holders of the service's cold instances."""
    tables = next(node for node in sim.exchanges if node.alive).state("calls").tables
    by_name = {node.name: node for node in sim.exchanges}
    cold = [p for p in tables.by_service.get("readings", ()) if p.holder and not p.warm]
    return {p.id: by_name[p.holder] for p in cold}


def held_cold_elsewhere(sim: Sim, alone: Node) -> bool:
    """Whether what a node holds, as far as it knows, has another holder that is still cold."""
    here = set(alone.state("holder").instances)
    others = [node for node in sim.exchanges if node is not alone]
    found = [set(node.state("holder").instances) & here for node in others]
    cold = {name for name, node in held_cold(sim).items() if node is not alone}
    return bool(set().union(*found) & cold)


def crowd(sim: Sim, for_ms: float, per_s: float = CROWD_PER_S) -> None:
    sim.traffic(per_s, for_ms, ("/readings",))


def stated_rate_is_kept(sim: Sim) -> None:
    assert judges.cold_within_stated_rate(sim.log()) == []
    assert judges.once_never_twice(sim.log()) == []


def served_share(sim: Sim) -> float:
    done = [a for a in sim.asked if a.path == "/readings" and a.status >= 0]
    return sum(1 for a in done if a.status == 200) / len(done)


def test_a_crowd_at_cold_instances_is_within_the_bound_and_served(sim: Sim) -> None:
    """It grew with what an instance answered: up to 42 a second where 20 is the most, and instance
    after instance fell over."""
    crowd(sim, 12_000)
    sim.run(16_000)
    stated_rate_is_kept(sim)
    assert served_share(sim) > 0.97
    assert not [s for s in sim.platform.known.values() if s.service == "readings"
                and s.state == "stopped" and s.id not in sim.platform.stop_ms]  # fmt: skip


def test_holders_that_are_killed_in_turn_share_the_bound(sim: Sim) -> None:
    """What a killed holder sent in its last second counts for its successor."""
    crowd(sim, 12_000)
    for _ in range(5):
        sim.run(1_200)
        holders = list(held_cold(sim).values())
        if holders:
            holders[0].kill()
            sim.run(300)
            holders[0].start()
    sim.run(12_000)
    stated_rate_is_kept(sim)
    assert served_share(sim) > 0.75


def lose_the_core_while_it_holds(seed: int) -> list[str]:
    """A holder is cut off from the core but not from its callers nor from its instances; what the
    judge finds."""
    sim = make(seed, coldMs=20_000, memoryMb=7_000)
    crowd(sim, 12_000, 60.0)
    sim.run(1_500)
    alone = next(iter(held_cold(sim).values()))
    for registry in sim.registries:
        sim.net.cuts |= {(alone.name, registry.name), (registry.name, alone.name)}
    taken_over = False
    for _ in range(400):
        sim.call("/readings", exchange=alone)
        sim.run(20)
        taken_over = taken_over or held_cold_elsewhere(sim, alone)
    sim.run(6_000)
    assert taken_over
    found = judges.cold_within_stated_rate(sim.log())
    sim.close()
    return found


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_holder_that_lost_the_core_and_its_successor_share_the_bound(seed: int) -> None:
    """The one goes on by its last proof, while the other holds the instance already."""
    assert lose_the_core_while_it_holds(seed) == []


def test_cold_instances_are_not_starved_without_a_core(sim: Sim) -> None:
    crowd(sim, 10_000, 20.0)
    sim.run(1_000)
    for registry in sim.registries:
        registry.kill()
    sim.run(1_500)  # the last proof is old now
    before = len(sim.platform.runs)
    sim.run(3_000)
    assert len(sim.platform.runs) > before + 5
    for registry in sim.registries:
        registry.start()
    sim.run(12_000)
    stated_rate_is_kept(sim)


def test_an_instance_that_turns_cold_again_is_held_back() -> None:
    """Only the platform's list tells it, and it was not read."""
    sim = make(5, coldMs=1_000, minInstances=2)
    sim.platform.cold_falls.clear()
    sim.run(4_000)
    crowd(sim, 12_000)
    sim.run(2_000)
    for name in [s.id for s in sim.platform.servers.values() if s.service == "readings"]:
        sim.platform.turn_cold(name, 8_000)
    sim.run(16_000)
    runs = [r for r in sim.platform.runs if r.service == "readings"]
    assert len(runs) > 400
    stated_rate_is_kept(sim)
    sim.close()


# planted faults: the judge speaks, and each part of the mend is needed


def no_takeover_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeldInstance, "with_takeover_wait", lambda self, now_ms: self)


def no_trickle(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cold_rate, "COLD_PROOF_MS", 10**9)
    monkeypatch.setattr(holder_state, "COLD_PROOF_MS", 10**9)


def no_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(holder_state, "cold_rate_of", lambda service, bounds: None)


@pytest.mark.parametrize(
    ("fault", "scenario"),
    [
        (no_rate, test_a_crowd_at_cold_instances_is_within_the_bound_and_served),
        (no_takeover_wait, test_holders_that_are_killed_in_turn_share_the_bound),
    ],
)
def test_each_part_is_needed(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[Sim], None],
) -> None:  # fmt: skip
    fault(monkeypatch)
    found: list[str] = []
    for seed in (3, 4):
        sim = make(seed)
        with contextlib.suppress(AssertionError):
            scenario(sim)
        found += judges.cold_within_stated_rate(sim.log())
        sim.close()
    assert found


def test_a_holder_that_does_not_slow_down_without_a_core_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    no_trickle(monkeypatch)
    assert lose_the_core_while_it_holds(3)


# the rates by themselves


def test_the_rate_follows_the_bounds_and_leaves_room_for_predecessors() -> None:
    service = Service("s", 128, 4, cold_ms=6_000, cold_per_s=10.0)
    assert cold_rate_of(service, Bounds()) == ColdRate(16, 2)
    assert cold_rate_of(service, Bounds(cold_overshoot=2.0, cold_start_slack=20.0)) == ColdRate(
        30, 5
    )
    for bound in range(4, 200):
        rate = ColdRate.within(float(bound))
        assert rate.most_per_s + 2 * rate.trickle_per_s <= bound
        assert rate.trickle_per_s >= 1


def test_no_rate_is_another_thing_than_a_rate_of_zero() -> None:
    """Zero beside a cold time is a rate: the slack alone. Zero without one is never cold."""
    assert cold_rate_of(Service("s", 128, 4), Bounds()) is None
    assert cold_rate_of(Service("s", 128, 4, cold_ms=0, cold_per_s=0.0), Bounds()) is None
    assert cold_rate_of(Service("s", 128, 4, cold_per_s=0.0), Bounds()) == ColdRate(3, 1)
    assert is_never_cold(Service("s", 128, 4, cold_ms=0, cold_per_s=0.0))
    assert not is_never_cold(Service("s", 128, 4, cold_ms=0, cold_per_s=2.0))
    assert not is_never_cold(Service("s", 128, 4, cold_ms=10, cold_per_s=0.0))


def test_calls_in_flight_count_until_a_second_after_their_end() -> None:
    ends = (Ms(0), Ms(500), Ms(999))
    assert cold_rate.arrivals_in_second(ends, 3, Ms(1_000)) == 5
    assert cold_rate.arrivals_in_second(ends, 0, Ms(2_000)) == 0


def test_cold_instances_are_counted_by_their_rate() -> None:
    service = Service("s", 128, 4, cold_ms=6_000, cold_per_s=10.0)
    demand = Demand(level=9.0, last_arrival_ms=0, gap_ms=10.0)  # 100 a second
    assert wanted_of(service, demand, 3, 0) == 3
    assert wanted_of(service, demand, 3, 0, warming=Warming(0, 16)) == 7
    assert wanted_of(service, demand, 3, 0, warming=Warming(2, 16)) == 5
    assert wanted_of(service, demand, 3, 0, warming=Warming(3, 16)) == 3
    assert Warming(0, 16).needed(replace(demand, gap_ms=0.0), 3) == 3


def test_what_the_platform_says_of_cold_instances_is_read() -> None:
    from cloud import listed_of
    from documents import translate
    from settings_file import bounds_of

    bounds = bounds_of({"bounds.cold-overshoot": "1.25", "bounds.cold-start-slack": "7"})
    assert (bounds.cold_overshoot, bounds.cold_start_slack) == (1.25, 7.0)
    raw = {"identifier": "i", "service": "s", "address": "a:1", "state": "ready"}
    assert listed_of({**raw, "cold-remaining-ms": 2_500}).cold_remaining_ms == 2_500
    assert listed_of(raw).cold_remaining_ms == 0
    doc = document()
    doc["services"][0].update({"cold-start-s": 400.0, "cold-per-s": 10.0})
    got = read(translate(doc), ())
    assert isinstance(got, Configuration), got
    assert (got.services[0].cold_ms, got.services[0].cold_per_s) == (400_000, 10.0)
    assert got.services[1].cold_per_s == 0.0


@pytest.mark.parametrize("rate", [-1.0, 1e12])
def test_an_absurd_rate_is_refused_with_its_remedy(rate: float) -> None:
    doc = {"name": "x", **cold_services(coldPerS=rate), "zones": ["north"]}
    doc["routes"] = configuration()["routes"]
    got = read(doc, ())
    assert isinstance(got, tuple) and got[0].path == "services[0].coldPerS" and got[0].remedy


def test_entries_without_a_holder_leave_cold_instances_alone(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each entry may send to an instance that nobody holds; they can't share a rate."""
    asked: list[bool] = []
    honest = cold_rate.is_held_only

    def seen(placed: Any, table: Any) -> bool:
        asked.append(honest(placed, table))
        return asked[-1]

    monkeypatch.setattr(unheld, "is_held_only", seen)
    crowd(sim, 6_000, 10.0)
    sim.run(1_500)
    for node in (*sim.registries, *set(held_cold(sim).values())):
        node.kill()  # so that no holder is assigned anew
    sim.run(4_000)
    assert any(asked)
    stated_rate_is_kept(sim)
