"""Disks are lost right after an acknowledgement, while all other machines lose power.

No process is left that remembers an address, a view or a proof: only what is on the remaining disks
can be found again.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.changing import votes
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told

PLACES = {"north": "n", "centre": "c", "south": "s"}
BACK_MS = 1_500
RECOVERY_MS = 15_000


@pytest.fixture(params=[1, 2, 3, 4])
def five(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """Five members over three regions, with slow disks, and traffic."""
    bounds = Bounds(members=5, rejection_safe=True, stale_ms=9_000)
    made = Sim(request.param, 6, sync_ms=5.0, registries=5, bounds=bounds, regions=PLACES)
    made.settle()
    made.traffic(40, 60_000)
    made.run(1_500)
    yield made
    made.close()


def acknowledged(sim: Sim, reply: Told) -> None:
    while reply.status == -1:
        sim.run(1)
    assert reply.status == 200, reply


def power_cycle(sim: Sim, wiped: tuple[Node, ...]) -> None:
    """Cuts the power of every machine at once; the wiped ones lose their disks too."""
    for node in sim.nodes:
        node.machine_up = False
        node.kill()
    sim.run(BACK_MS)
    for node in sim.nodes:
        node.machine_up = True
        node.start(blank=node in wiped)


def read_back(sim: Sim, within_ms: float) -> str:
    """Returns the configuration's name, asking one member after the other as an operator does."""
    until_ms = sim.env.now + within_ms
    turn = 0
    while sim.env.now < until_ms:
        reply = sim.show(turn % len(sim.registries))
        sim.run(500)
        if reply.status == 200:
            return str(reply.doc["configuration"]["name"])
        turn += 1
    return "none"


LOST = [(0, 1), (0, 3), (2, 4), (3, 4), (1, 2)]


@pytest.mark.parametrize("lost", LOST)
def test_two_lost_disks_and_a_power_loss_lose_nothing(five: Sim, lost: tuple[int, int]) -> None:
    """An evacuation and a configuration that were just acknowledged are read back, and calls are
    served again within the time to recover."""
    acknowledged(five, five.evacuate("south", True, lost[0]))
    acknowledged(five, five.apply(configuration(name="the newest"), lost[1]))
    power_cycle(five, tuple(five.registries[number] for number in lost))
    assert five.up_to(lambda: sum(votes(r) for r in five.registries) >= 3, RECOVERY_MS)
    assert read_back(five, 6_000) == "the newest"
    for reply in (five.evacuated(number) for number in range(5)):
        five.run(500)
        assert reply.status != 200 or reply.doc["evacuated"] == ["south"]
    assert five.up_to(lambda: five.serving("readings", 1), RECOVERY_MS)
    assert five.up_to(lambda: all(votes(r) for r in five.registries), RECOVERY_MS)


def test_three_lost_disks_give_no_made_up_answer(five: Sim) -> None:
    """Without a majority of the disks, no member answers with a configuration."""
    acknowledged(five, five.apply(configuration(name="lost for good"), 1))
    power_cycle(five, tuple(five.registries[:3]))
    assert read_back(five, 10_000) == "none"
    assert not any(votes(r) for r in five.registries[:3])
