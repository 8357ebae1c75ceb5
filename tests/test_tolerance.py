"""The core is as large as what a deployment must bear: where two machines with disks may be lost at
once, five disks have to hold what was acknowledged. Found by a hunted day of ``dense``."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.register.acceptor.acceptor import State as Keeper
from tests.sim.cluster import Sim, configuration
from tests.test_losses import apply_acked, shows_configuration

FOLDER = Path(__file__).parent.parent / "platform"


def told(losses: int) -> Bounds:
    """The bounds of a machine that is told how many losses must be borne."""
    from settings_file import bounds_of

    fields = {"fault-tolerance.machine-losses": str(losses), "bounds.catch-up-s": "3.5"}
    return bounds_of(fields)


@pytest.fixture(autouse=True)
def adapter(monkeypatch: pytest.MonkeyPatch) -> None:
    """The adapter's folder on the path, as its own start has it."""
    monkeypatch.syspath_prepend(str(FOLDER))


@pytest.mark.parametrize(("losses", "members"), [(1, 3), (2, 5), (3, 7)])
def test_the_core_grows_to_what_the_losses_ask_for(losses: int, members: int) -> None:
    assert told(losses).members == members


def test_a_configuration_outlives_the_two_disks_that_may_be_lost() -> None:
    """Two members lose their disks right after an acknowledgement, and everything else its power:
    the operator reads back what was acknowledged, and callers are served by it."""
    sim = Sim(3, 3, sync_ms=1.5, registries=5, bounds=replace(told(2), stale_ms=2_000))
    sim.start()
    sim.run(8_000)
    keeper: Keeper = sim.registries[0].state("acceptor")
    assert keeper.roster is not None
    lost = [r for r in sim.registries if r.state("acceptor").me in keeper.roster.ids][:2]
    apply_acked(sim, configuration(name="kept"), sim.registries.index(lost[0]))
    for node in sim.nodes:
        node.kill()
    sim.run(900)
    for node in sim.nodes:
        node.start(blank=node in lost)
    sim.run(12_000)
    assert all(shows_configuration(sim, "kept", i) for i in range(5))
    assert sim.serving()
    sim.close()
