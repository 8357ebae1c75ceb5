"""Diagnostics that a process logs when something goes wrong: traffic, and why it has no proof."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest
from immutables import Map

from spokeroute import figures
from spokeroute.common.effects import From
from spokeroute.common.ids import FLOOR, Incarnation, Ms, NodeId
from spokeroute.figures import Figures, Work, WorkCounter, told
from spokeroute.register.replica import replica
from spokeroute.register.replica.diagnostics import overdue_proof_message, proof_summary
from spokeroute.register.replica.state import PendingProof
from spokeroute.transport.messages import ProbeAck
from spokeroute.transport.traffic import Traffic, TrafficCounter
from tests.sim.cluster import Sim
from tests.sim.world import Node


def test_the_message_kinds_with_most_traffic_are_listed_first() -> None:
    counter = TrafficCounter()
    for kind, size_bytes in (("Probe", 100), ("ProbeAck", 50_000), ("Probe", 100)):
        counter.count(kind, size_bytes)
    assert counter.taken() == {"Probe": Traffic(2, 200), "ProbeAck": Traffic(1, 50_000)}
    assert counter.taken() == {}
    counts = {f"k{number}": Traffic(1, 1024 * number) for number in range(6)}
    assert told(counts, 1.0).split()[0] == "k5=5.0kB/s/1.0"
    assert "k1=" not in told(counts, 1.0)


def alarms(sim: Sim, node: Node) -> list[str]:
    return [text for _, name, text in sim.notes if name == node.name and "proof" in text]


def test_an_overdue_proof_and_the_next_proof_are_each_logged_once(sim: Sim) -> None:
    sim.settle()
    lone = sim.exchanges[0]
    sim.net.cuts |= {(each.name, lone.name) for each in sim.registries}
    sim.run(6_000)
    assert len(alarms(sim, lone)) == 1
    assert "answers since: 0 of 3 members" in alarms(sim, lone)[0]
    sim.net.cuts.clear()
    sim.run(1_000)
    assert "proof again after" in alarms(sim, lone)[-1] and len(alarms(sim, lone)) == 2


def test_a_missing_value_is_named(sim: Sim) -> None:
    sim.settle()
    state = sim.exchanges[0].state("replica")
    here = state.local_copies[FLOOR].copy.version
    newer = replace(state.local_copies[FLOOR].copy, version=here + 1, digest="other")
    target = PendingProof(Ms(state.proved_ms + 400), Map({FLOOR: newer}))
    text = overdue_proof_message(
        replace(state, pending_proofs=(target,)), Ms(state.proved_ms + 2_500)
    )
    assert f"missing values: {FLOOR} {here + 1} (local: {here})" in text


def test_compiling_is_counted_with_its_processor_time() -> None:
    counter = WorkCounter()
    counter.count(0.25)
    counter.count(0.5)
    assert counter.taken() == Work(2, 0.75)
    assert counter.taken() == Work()


class Clock:
    """The clocks used for figures."""

    def __init__(self) -> None:
        self.now_s, self.used_s = 100.0, 1.0

    def monotonic(self) -> float:
        return self.now_s

    def process_time(self) -> float:
        return self.used_s


def figures_at(monkeypatch: pytest.MonkeyPatch, clock: Clock) -> tuple[Figures, list[str]]:
    """Figures on the test's clock, and the lines logged as alarms."""
    monkeypatch.setattr(figures, "time", clock)
    written: list[str] = []
    ring = SimpleNamespace(note=lambda text, alarm: written.append(text) if alarm else None)
    counters = SimpleNamespace(sent=TrafficCounter(), got=TrafficCounter())
    loop = SimpleNamespace(out={})
    made = Figures(counters, loop, ring, WorkCounter())  # type: ignore[arg-type]
    return made, written


def test_a_stalled_loop_logs_its_figures_once(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    made, written = figures_at(monkeypatch, clock)
    made.compiled.count(0.3)
    for gap_s in (0.02, 0.6, 2.0, 0.7, 2.0):
        clock.now_s += gap_s
        clock.used_s += gap_s / 4
        made.look()
    assert len(written) == 1
    assert "beat_ms=2000 cores=0.250 compiled=1 in 300ms" in written[0]


def test_ticks_on_time_log_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    made, written = figures_at(monkeypatch, clock)
    for _ in range(500):
        clock.now_s += 0.02
        made.look()
    assert written == []


def test_a_reply_to_a_forgotten_probe_is_counted_and_reported(sim: Sim) -> None:
    sim.settle()
    node = sim.exchanges[0]
    state = node.state("replica")
    before = state.late_answers
    forgotten = ProbeAck(-1, state.roster.epoch, (), (), ())
    life = Incarnation(1)
    after, _ = replica.step(state, From(NodeId("m1"), life, forgotten), node.now_ms())
    assert after.late_answers == before + 1
    assert f"late_answers={before + 1}" in proof_summary(after, node.now_ms())


def test_the_figures_include_the_age_of_the_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    made, written = figures_at(monkeypatch, clock)
    made.proof = lambda: "proof_ms=70"
    for gap_s in (0.6, 2.0):
        clock.now_s += gap_s
        made.look()
    assert written[0].endswith("proof_ms=70")
