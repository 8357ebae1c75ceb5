"""Exchanges behind 2 Mbit/s links with hundreds of functions: their configuration keeps up with the
operator's changes while instances start and stop all the time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.sim.cluster import Sim
from tests.sim.storms import paths_of, storm, watched, wide_sim
from tools.log import Told

FUNCTIONS = 400
STORM_GAP_MS = 100.0
PATHS = paths_of(FUNCTIONS)


@pytest.fixture
def narrow(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = wide_sim(request.param, FUNCTIONS)
    yield made
    made.close()


EACH = pytest.mark.parametrize("narrow", [1, 2, 3], indirect=True)


@EACH
def test_a_configuration_takes_effect_in_time_while_functions_start_and_stop(narrow: Sim) -> None:
    told: list[Told] = []
    late: list[str] = []
    narrow.traffic(160, 12_000, PATHS)
    narrow.run(3_000)
    narrow.env.process(storm(narrow, told, FUNCTIONS, 4_000, STORM_GAP_MS))
    narrow.env.process(watched(narrow, told, late))
    narrow.run(9_000)
    assert len([t for t in told if t.status == 200]) >= 10, told
    assert late == [], (len(late), late[:4])


@EACH
def test_proofs_stay_recent_while_functions_start_and_stop(narrow: Sim) -> None:
    """A proof may be delayed by one value on a narrow link, but not by the next one too."""
    narrow.traffic(160, 8_000, PATHS)
    narrow.run(2_000)
    ages: list[int] = []
    for _ in range(60):
        narrow.run(100)
        ages.extend(node.now_ms() - node.state("replica").proved_ms for node in narrow.exchanges)
    assert max(ages) <= 2_000, max(ages)
    served = [a for a in narrow.asked if a.status == 200]
    assert len(served) >= 0.9 * len([a for a in narrow.asked if a.status != -1])
