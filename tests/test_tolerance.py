"""The core has as many members as the deployment's fault tolerance needs: to survive the loss of
two disks at once, five members must hold what was acknowledged."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.register.acceptor.acceptor import State as AcceptorState
from tests.sim.cluster import Sim, configuration
from tests.test_losses import acked, shown

FOLDER = Path(__file__).parent.parent / "platform"


def bounds_for(losses: int) -> Bounds:
    """The bounds of a deployment that must tolerate this many machine losses."""
    from settings_file import bounds_of

    fields = {"fault-tolerance.machine-losses": str(losses), "bounds.catch-up-s": "3.5"}
    return bounds_of(fields)


@pytest.fixture(autouse=True)
def adapter(monkeypatch: pytest.MonkeyPatch) -> None:
    """Put the adapter's folder on the import path, as its start script does."""
    monkeypatch.syspath_prepend(str(FOLDER))


@pytest.mark.parametrize(("losses", "members"), [(1, 3), (2, 5), (3, 7)])
def test_the_core_size_follows_the_tolerated_losses(losses: int, members: int) -> None:
    assert bounds_for(losses).members == members


def test_a_configuration_survives_the_loss_of_two_disks() -> None:
    """Two members lose their disks right after an acknowledgement, and all other processes restart:
    the operator reads back what was acknowledged, and callers are served by it."""
    sim = Sim(3, 3, sync_ms=1.5, registries=5, bounds=replace(bounds_for(2), stale_ms=2_000))
    sim.start()
    sim.run(8_000)
    acceptor: AcceptorState = sim.registries[0].state("acceptor")
    assert acceptor.roster is not None
    lost = [r for r in sim.registries if r.state("acceptor").me in acceptor.roster.ids][:2]
    acked(sim, configuration(name="kept"), sim.registries.index(lost[0]))
    for node in sim.nodes:
        node.kill()
    sim.run(900)
    for node in sim.nodes:
        node.start(blank=node in lost)
    sim.run(12_000)
    assert all(shown(sim, "kept", i) for i in range(5))
    assert sim.serving()
    sim.close()
