"""The judges of what is read back, and of the level after a fault, proven by planted faults."""

from __future__ import annotations

from typing import Any

import pytest

from spokeroute.dispatch import desired
from spokeroute.registry import operator
from tests.sim.cluster import Sim, configuration
from tools import judges, readback
from tools.log import Return


def loseWrites(sim: Sim) -> None:
    """Every disk says that it synced, and did not."""
    for node in sim.registries:
        assert node.disk is not None
        node.disk.losesWrites = True


def herd(sim: Sim) -> None:
    """Kill all registries, and wait until they are back."""
    for node in sim.registries:
        node.kill()
        node.start()
    assert sim.upTo(lambda: sim.registries[0].state("keeper").syncedVotes, 3_000)
    sim.run(2_000)


def test_ackedReadsBackSpeaksOfAChangedField(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """The right name and version, and one number of one service is another."""
    sim.settle()
    honest = desired.unpackDesired

    def changed(value: bytes) -> tuple[dict[str, Any], str]:
        doc, applyId = honest(value)
        doc["services"][1]["limit"] += 1
        return doc, applyId

    sim.show()
    sim.run(500)
    assert readback.ackedReadsBack(sim.log()) == []
    monkeypatch.setattr(operator, "unpackDesired", changed)
    sim.show()
    sim.run(500)
    assert readback.ackedReadsBack(sim.log())


def test_ackedReadsBackSpeaksOfEvacuations(sim: Sim) -> None:
    sim.settle()
    sim.evacuate("north", True)
    sim.run(500)
    sim.evacuated()
    sim.run(500)
    assert readback.ackedReadsBack(sim.log()) == []
    loseWrites(sim)
    told = sim.evacuate("south", True)
    sim.run(1_000)
    assert told.status == 200
    herd(sim)
    sim.evacuated(1)
    sim.run(2_000)
    assert readback.ackedReadsBack(sim.log())


def test_refusedNeverRulesSpeaks(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    """An apply that was written is answered as a conflict."""
    sim.settle()
    monkeypatch.setattr(operator, "_done", lambda ask, got: operator._failed(got))
    told = sim.apply(configuration(name="denied"))
    sim.run(1_000)
    assert told.status == 503
    monkeypatch.undo()
    sim.show()
    sim.run(500)
    assert readback.refusedNeverRules(sim.log())


def test_backWithinSpeaks(sim: Sim) -> None:
    """Instances are slow for good after a fault, or some of them answer nothing."""
    sim.settle()
    sim.traffic(40, 30_000)
    sim.run(6_000)
    sim.returns.append(Return(sim.env.now, sim.env.now))
    sim.platform.workMs = 200.0
    sim.run(20_000)
    assert judges.backWithin(sim.log())
    sim.returns.append(Return(sim.env.now + 60_000, sim.env.now + 60_000))
    assert "too few" in judges.backWithin(sim.log())[-1]


def test_ackedReadsBackSpeaks(sim: Sim) -> None:
    sim.settle()
    loseWrites(sim)
    told = sim.apply(configuration(name="never synced"))
    sim.run(1_000)
    assert told.status == 200
    herd(sim)
    sim.show()
    sim.run(2_000)
    assert readback.ackedReadsBack(sim.log())
