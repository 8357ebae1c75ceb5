"""The judges of what is read back, and of the level after a fault, proven by planted faults."""

from __future__ import annotations

from typing import Any

import pytest

from spokeroute.dispatch.configuration import configuration as configurations
from spokeroute.registry import operator
from tests.sim.cluster import Sim, configuration
from tools import judges, readback
from tools.log import Return


def lose_writes(sim: Sim) -> None:
    """Every disk says that it synced, and did not."""
    for node in sim.registries:
        assert node.disk is not None
        node.disk.loses_writes = True


def herd(sim: Sim) -> None:
    """Kill all registries, and wait until they are back."""
    for node in sim.registries:
        node.kill()
        node.start()
    assert sim.up_to(lambda: sim.registries[0].state("acceptor").synced_votes, 3_000)
    sim.run(2_000)


def test_acked_reads_back_speaks_of_a_changed_field(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The right name and version, and one number of one service is another."""
    sim.settle()
    honest = configurations.unpack_configuration

    def changed(value: bytes) -> tuple[dict[str, Any], str]:
        doc, apply_id = honest(value)
        doc["services"][1]["limit"] += 1
        return doc, apply_id

    sim.show()
    sim.run(500)
    assert readback.acked_reads_back(sim.log()) == []
    monkeypatch.setattr(operator, "unpack_configuration", changed)
    sim.show()
    sim.run(500)
    assert readback.acked_reads_back(sim.log())


def test_acked_reads_back_speaks_of_evacuations(sim: Sim) -> None:
    sim.settle()
    sim.evacuate("north", True)
    sim.run(500)
    sim.evacuated()
    sim.run(500)
    assert readback.acked_reads_back(sim.log()) == []
    lose_writes(sim)
    told = sim.evacuate("south", True)
    sim.run(1_000)
    assert told.status == 200
    herd(sim)
    sim.evacuated(1)
    sim.run(2_000)
    assert readback.acked_reads_back(sim.log())


def test_refused_never_rules_speaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """An apply that was written is answered as a conflict."""
    sim.settle()
    monkeypatch.setattr(operator, "_done", lambda ask, got: operator._failed(got))
    told = sim.apply(configuration(name="denied"))
    sim.run(1_000)
    assert told.status == 503
    monkeypatch.undo()
    sim.show()
    sim.run(500)
    assert readback.refused_never_rules(sim.log())


def test_back_within_speaks(sim: Sim) -> None:
    """Instances are slow for good after a fault, or some of them answer nothing."""
    sim.settle()
    sim.traffic(40, 30_000)
    sim.run(6_000)
    sim.returns.append(Return(sim.env.now, sim.env.now))
    sim.platform.work_ms = 200.0
    sim.run(20_000)
    assert judges.back_within(sim.log())
    sim.returns.append(Return(sim.env.now + 60_000, sim.env.now + 60_000))
    assert "too few" in judges.back_within(sim.log())[-1]


def test_acked_reads_back_speaks(sim: Sim) -> None:
    sim.settle()
    lose_writes(sim)
    told = sim.apply(configuration(name="never synced"))
    sim.run(1_000)
    assert told.status == 200
    herd(sim)
    sim.show()
    sim.run(2_000)
    assert readback.acked_reads_back(sim.log())
