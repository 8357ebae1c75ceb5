"""Front nodes with a small share of a core and a thousand functions: frequent configuration changes
must leave most of the processor to the calls."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from tests.sim.cluster import Sim
from tests.sim.processor import Processor
from tests.sim.storms import paths_of, storm, watched, wide_sim
from tools.log import Told

FUNCTIONS = 1_000
STORM_GAP_MS = 60.0
CALM_MS = 3_000
STORM_MS = 4_000
PATHS = paths_of(FUNCTIONS)
MOST_OF_PROCESSOR = 0.6
SHARES = (0.27, 0.13)


@dataclass
class SmallNodes:
    """A cluster whose front nodes have a share of a core each, with their processor usage."""

    sim: Sim
    share: float

    def used_ms(self) -> list[float]:
        return [node.processor.used_ms for node in self.sim.exchanges if node.processor]

    def cores_used_during(self, for_ms: float) -> list[float]:
        """The cores that each front node uses while the simulation runs for this long."""
        before = self.used_ms()
        self.sim.run(for_ms)
        return [(now - then) / for_ms for now, then in zip(self.used_ms(), before, strict=True)]

    def median_latency_ms(self, from_ms: float, to_ms: float) -> float:
        """The median latency of the served calls that were made in an interval."""
        asked = [a for a in self.sim.asked if from_ms <= a.at_ms < to_ms and a.status == 200]
        took = sorted(each.done_ms - each.at_ms for each in asked)
        return took[len(took) // 2]


@pytest.fixture
def small(request: pytest.FixtureRequest) -> Iterator[SmallNodes]:
    seed, share = request.param
    sim = wide_sim(seed, FUNCTIONS)
    for node in sim.exchanges:
        node.processor = Processor(sim.env, share)
    sim.traffic(40, 20_000, PATHS)
    sim.run(2_000)
    yield SmallNodes(sim, share)
    sim.close()


EACH = pytest.mark.parametrize(
    "small", [(seed, share) for seed in (1, 2) for share in SHARES], indirect=True
)


@EACH
def test_frequent_changes_leave_most_of_a_small_processor_to_calls(
    small: SmallNodes,
) -> None:
    sim = small.sim
    told: list[Told] = []
    late: list[str] = []
    sim.env.process(watched(sim, told, late))
    calm = small.cores_used_during(CALM_MS)
    began_ms = sim.env.now
    sim.env.process(storm(sim, told, FUNCTIONS, STORM_MS, STORM_GAP_MS))
    cores = small.cores_used_during(STORM_MS)
    sim.run(5_000)
    before_ms = small.median_latency_ms(began_ms - CALM_MS, began_ms)
    during_ms = small.median_latency_ms(began_ms, began_ms + STORM_MS)
    assert len([t for t in told if t.status == 200]) >= 20, told
    assert late == [], (len(late), late[:4])
    assert max(cores) <= MOST_OF_PROCESSOR * small.share, (calm, cores)
    assert during_ms <= before_ms + 150, (before_ms, during_ms)
