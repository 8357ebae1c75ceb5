"""Guards against calls that stay queued behind a long run while another instance has room.

Seen with a function that runs calls of 70 ms and of 2 s in one slot.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.cluster import Sim, configuration
from tests.test_scenarios import SEEDS

SAFE = Bounds(stale_ms=20_000, rejection_safe=True, stop_drains=True)


@pytest.fixture
def sim(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = Sim(int(request.param), exchanges=5, bounds=SAFE)
    made.platform.own_names = made.platform.turns_away = True
    made.platform.start_small_ms = 200.0
    doc = configuration()
    doc["services"].append({
        "name": "look", "memoryMb": 64, "limit": 1, "coldMs": 0, "startMs": 200,
        "longestRunMs": 9_000, "idleMs": 2_000, "spares": 0,
    })  # fmt: skip
    doc["routes"].append({
        "path": "/look", "service": "look", "repeatable": True, "aimMs": 900, "timeoutMs": 6_000,
        "attempts": 2, "perClientPerS": 1000.0,
    })  # fmt: skip
    made.settle(doc)
    yield made
    made.close()


@pytest.mark.parametrize("sim", SEEDS, indirect=True)
def test_calls_queued_behind_a_long_run_move_to_an_instance_with_room(sim: Sim) -> None:
    """One slot is taken for 2 s; a second instance is up half a second after calls begin to wait,
    and serves them."""
    sim.call("/look")
    sim.run(2_000)  # one instance is up, and idle
    sim.platform.work_ms = 2_500.0
    long = sim.call("/look", wait_ms=9_000)
    sim.run(100)
    sim.platform.work_ms = 70.0
    short = [sim.call("/look", wait_ms=6_000) for _ in range(3)]
    sim.run(5_000)
    assert long.status == 200 and [a.status for a in short] == [200] * 3
    took = sorted(round(a.done_ms - a.at_ms) for a in short)
    assert took[-1] < 1_200, took
    assert sum(1 for r in sim.platform.runs if r.call in {a.call for a in short}) == 3
