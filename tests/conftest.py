"""The simulated cluster that most tests run on."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.sim.cluster import Sim


@pytest.fixture
def sim(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A cluster; of the seed that a test names (``indirect``), else of one fixed seed."""
    made = Sim(int(getattr(request, "param", 7)))
    yield made
    made.close()
