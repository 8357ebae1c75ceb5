"""A holder of the placement role that is partitioned off, or frozen and resumed under an older
term, must not call the platform after its lease."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from spokeroute.dispatch.placement import placement, role
from spokeroute.dispatch.placement.platform import PlatformCall
from spokeroute.register.changes import Outcome
from tests.sim.acts import cut, holder_of
from tests.sim.cluster import Sim
from tests.sim.sides import Cut, made
from tests.sim.world import Node
from tools import judges

LEASE_MS = role.TERM_LEASE_MS


@pytest.fixture
def partition(request: pytest.FixtureRequest) -> Iterator[Cut]:
    got = made(*request.param)
    yield got
    got.sim.close()


RUNS = pytest.mark.parametrize("partition", [(1, 3), (2, 3), (3, 5)], indirect=True)
ONE = pytest.mark.parametrize("partition", [(1, 3)], indirect=True)
WAYS = pytest.mark.parametrize("way", ["both", "out", "in"])


def calls_of(sim: Sim, node: Node, since_ms: float) -> list[tuple[float, str, str, str]]:
    return [c for c in sim.platform.calls if c[1] == node.name and c[0] > since_ms]


def drains(holder: Node) -> bool:
    return any(p.state == "draining" for p in holder.state("placement").placements.instances)


def partitioned_role_holder(partition: Cut, way: str, for_ms: float) -> tuple[Node, float, int]:
    """Partition off the holder of the role while there is much to start and to stop. Instances that
    it marked as draining just before become due for a stop after its lease."""
    sim = partition.sim
    holder = holder_of(sim)
    term = holder.state("role").term
    sim.evacuate("south", True)
    assert sim.up_to(lambda: drains(holder), 3_000)
    others = [n for n in sim.nodes if n is not holder]
    if way == "in":
        cut(sim, others, [holder], back=False)
    else:
        cut(sim, [holder], others, back=way == "both")
    cut_ms = sim.env.now
    registry = next(i for i, r in enumerate(sim.registries) if r is not holder)
    until_ms = cut_ms + for_ms
    out = True
    while sim.env.now < until_ms:
        sim.evacuate("north", out, registry)
        out = not out
        sim.run(2_500)
    return holder, cut_ms, term


@WAYS
@RUNS
def test_a_partitioned_role_holder_stops_when_its_lease_expires(partition: Cut, way: str) -> None:
    sim = partition.sim
    sim.traffic(60, 30_000)
    sim.run(1_000)
    holder, cut_ms, term = partitioned_role_holder(partition, way, 20_000)
    assert calls_of(sim, holder, cut_ms + LEASE_MS + 50) == []
    assert any(c[1] != holder.name and c[0] > cut_ms + LEASE_MS for c in sim.platform.calls)
    new = [f for at_ms, t, f in sim.floors if t > term]
    assert new, "nobody took the role"
    first_ms = min(at_ms for at_ms, t, _ in sim.floors if t > term)
    assert not [f for at_ms, t, f in sim.floors if at_ms > first_ms and t <= term]
    sim.net.cuts.clear()
    sim.run(3_000)
    assert holder.state("placement").placements.term > term
    assert judges.vanished_get_nothing(sim.log()) == []


def inject_endless_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: a lease without end, and a placement table treated as known although its
    write failed. Either check alone keeps a partitioned holder from calling the platform."""
    honest = placement._on_placements_settled

    def kept(state, outcome, *rest):  # type: ignore[no-untyped-def]
        if outcome != Outcome.DONE:
            return replace(state, placements_op_id=""), ()
        return honest(state, outcome, *rest)

    monkeypatch.setattr(role, "TERM_LEASE_MS", 10**9)
    monkeypatch.setattr(placement, "_on_placements_settled", kept)


@ONE
def test_an_endless_lease_is_detected(partition: Cut, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_endless_lease(monkeypatch)
    sim = partition.sim
    sim.traffic(60, 30_000)
    sim.run(1_000)
    holder, cut_ms, _ = partitioned_role_holder(partition, "both", 20_000)
    assert calls_of(sim, holder, cut_ms + LEASE_MS + 50)


def frozen_at_a_call(sim: Sim) -> Node:
    """The holder of the role, frozen after it launched a platform call and before it is sent."""
    holder = holder_of(sim)
    honest = holder.launch

    def launch(actor: str, job: object) -> None:
        honest(actor, job)
        if isinstance(job, PlatformCall):
            holder.freeze()

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(holder, "launch", launch)
        readings = [s.worker for s in sim.platform.servers.values() if s.service == "readings"]
        for worker in dict.fromkeys(readings):  # until one is replaced: there may be a surplus
            sim.platform.crash(worker)
            if sim.up_to(lambda: holder.frozen, 4_000):
                break
        assert holder.frozen
        sim.platform.down_workers.clear()
    return holder


def calls_after_resume(partition: Cut) -> list[tuple[float, str, str, str]]:
    """Freeze a holder at a platform call until another node holds the role, then resume it."""
    sim = partition.sim
    holder = frozen_at_a_call(sim)
    term = holder.state("role").term
    frozen_ms = sim.env.now
    sim.run(4_000)
    assert max(t for _, t, _ in sim.floors) > term
    holder.wake()
    sim.run(60)
    return calls_of(sim, holder, frozen_ms)


@RUNS
def test_a_frozen_holder_resumes_under_an_older_term(partition: Cut) -> None:
    """Its pending platform call is not sent, and its open register rounds have no effect."""
    sim = partition.sim
    sim.traffic(60, 50_000)
    sim.run(2_000)
    for _ in range(3):
        assert calls_after_resume(partition) == []
        sim.run(6_000)
    terms = [t for _, t, _ in sorted(sim.floors, key=lambda x: x[0])]
    assert terms == sorted(terms)
    sim.run(9_000)
    assert judges.vanished_get_nothing(sim.log()) == []


@ONE
def test_a_call_after_resume_is_detected(partition: Cut, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(role, "TERM_LEASE_MS", 10**9)
    partition.sim.traffic(60, 20_000)
    partition.sim.run(2_000)
    assert calls_after_resume(partition)
