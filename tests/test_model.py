"""The model checker: the cores hold over all orders to a small depth and over some random runs,
and each planted fault is found."""

from __future__ import annotations

import pytest

from tools.model.__main__ import script
from tools.model.faults import FAULTS, planted
from tools.model.history import Invariant
from tools.model.scenarios import SCENARIOS
from tools.model.search import explore, replay, shrink, walks

SECONDS = 600.0  # a machine that is busy changes nothing but the time
DEPTHS = {
    "rounds": 5, "disks": 4, "lives": 4, "lives-late": 5, "lives-again": 5, "numbers": 5,
    "overtaken": 5, "replaced": 3, "joining": 3, "handed": 3, "grown": 2, "grown-voting": 2,
    "founding": 2, "second-blank": 2,
}  # fmt: skip
WALKS = {"everything": 4, "replace": 12, "grow": 6, "disks": 40, "lives": 40, "found": 12,
         "leaving": 20, "succession": 10}  # fmt: skip
MOST_WALKS = 2_000  # in which a planted fault must be found

BROKEN_BY = {
    "prepare-any-epoch": Invariant.OWN_EPOCH,
    "accept-any-epoch": Invariant.OWN_EPOCH,
    "handover-any-epoch": Invariant.OWN_EPOCH,
    "handover-below-promise": Invariant.NOT_BELOW,
    "accept-below-promise": Invariant.NOT_BELOW,
    "promise-before-sync": Invariant.ON_DISK,
    "accept-before-sync": Invariant.ON_DISK,
    "copy-from-silent": Invariant.GOOD_SOURCE,
    "copy-from-unmoved": Invariant.GOOD_SOURCE,
    "copy-from-minority": Invariant.CAUGHT_UP,
    "vote-before-copy": Invariant.CAUGHT_UP,
    "blind-roster": Invariant.ONE_ROSTER,
    "memory-after-failure": Invariant.ON_DISK,
    "found-beside-members": Invariant.ONE_ROSTER,
    "found-on-old-signs": Invariant.ONE_ROSTER,
    "copied-votes": Invariant.ONE_VALUE,
    "leave-at-once": Invariant.LEFT_WHOLE,
    "refused-for-unsure": Invariant.REFUSED_STAYS_OUT,
    "epoch-back": Invariant.EPOCH_FORWARD,
}
"""What a fault breaks at first; the others break one of several, by the order of events."""


def hush(text: str) -> None:
    """No progress is shown."""


@pytest.mark.parametrize("name", DEPTHS)
def test_nothing_breaks_in_any_order_to_a_small_depth(name: str) -> None:
    found = explore(SCENARIOS[name], DEPTHS[name], SECONDS, hush)
    assert found.failure is None
    assert found.depth == DEPTHS[name]


@pytest.mark.parametrize("name", WALKS)
def test_nothing_breaks_in_random_runs(name: str) -> None:
    found = walks(SCENARIOS[name], 1, WALKS[name], 250, SECONDS, hush)
    assert found.failure is None
    assert found.whole


@pytest.mark.parametrize("name", FAULTS)
def test_a_planted_fault_is_found_and_shrinks_to_a_script(name: str) -> None:
    fault = FAULTS[name]
    scenario = SCENARIOS[fault.scenario]
    with planted(fault):
        found = walks(scenario, 1, MOST_WALKS, 250, SECONDS, hush).failure
        assert found is not None
        least = shrink(scenario, found)
        again = replay(scenario, script("\n".join(least.actions)))
    assert again is not None
    assert again.invariant == least.invariant == BROKEN_BY.get(name, least.invariant)
    assert len(least.actions) <= len(found.actions)
    assert replay(scenario, least.actions) is None  # without the fault, the same run is clean
