"""Runs that the model checker found, each of a real fault that was mended: replayed for good.

``*`` stands for any text. Each step must still be possible where it stands, so that a script
which no longer fits the cores is seen, up to the step that the mend shut out.
"""

from __future__ import annotations

import pytest

from tools.model.faults import FAULTS, planted
from tools.model.history import BrokenInvariantError
from tools.model.preludes import agreed_round
from tools.model.scenario import Scenario, begin
from tools.model.scenarios import SCENARIOS
from tools.model.search import advance
from tools.model.world import World


def play(scenario: Scenario, actions: tuple[str, ...]) -> World:
    """The world after a script, each step of which must happen."""
    world = begin(scenario)
    for action in actions:
        after = advance(world, action, scenario.asks)
        assert after is not None, action
        world = after
    return world


LATE_PROMISES_AGAIN = (
    "deliver m2.*>m1:Prepare(*",
    "ask r",
    "deliver m2.*>m1:Promise(*placement,*",
    "deliver m3.*>m1:Promise(*placement,*",
)
"""A register's first round ends; the next one there is begun while this member's own disk is
busy, and gets the first one's promises once more."""


FOUNDED_TWICE = (
    "deliver m1.*>m3:RosterNews(*",
    "ask a",
    "deliver m3.*>m1:Prepare(*",
    "deliver m1.*>m3:Promise(*",
    "deliver m3.*>m1:Accept(*",
    "deliver m1.*>m3:Accepted(*",
    "wipe m1",
    "tick m2 1500",
    "tick m2 1500",
    "deliver n1.*>m2:Heartbeat(*",
    "tick m2 1500",
)
"""m1 and m3 are founded and write; m2, cut off, has heard of nothing when m1's disk is lost."""

SCRIPTS = {
    "found-on-old-signs": FOUNDED_TWICE,
    "ballots-forgotten": LATE_PROMISES_AGAIN,
    "ballots-of-another-life": LATE_PROMISES_AGAIN,
    "copied-votes": ("tick m2 round", *agreed_round("m2", ("m3", "n1"), "configuration", 2)),
}


def test_a_promise_of_an_earlier_round_counts_in_no_later_one() -> None:
    """docs/incidents/ballots-drawn-twice.md"""
    world = play(SCENARIOS["lives-late"], SCRIPTS["ballots-forgotten"])
    assert world.history.floors["placement"] == 1
    assert "r" in world.history.asked  # the read is not answered by what it never asked for


def test_a_promise_of_an_earlier_life_counts_in_no_later_one() -> None:
    """docs/incidents/ballots-drawn-twice.md"""
    world = play(SCENARIOS["lives-again"], SCRIPTS["ballots-of-another-life"])
    assert "r" in world.history.asked


def test_a_value_that_was_copied_is_no_vote_for_it() -> None:
    """docs/incidents/copies-counted-as-votes.md"""
    first = begin(SCENARIOS["grown-copied"])
    assert first.history.voters >= {"n1", "n2"}
    assert not first.history.decided.get(("configuration", 1))
    world = play(SCENARIOS["grown-copied"], SCRIPTS["copied-votes"])
    assert world.history.decided[("configuration", 1)]


def test_a_lost_disk_is_no_reason_to_found_a_second_core() -> None:
    """docs/incidents/founded-twice.md"""
    world = play(SCENARIOS["founding"], FOUNDED_TWICE)
    assert world.history.floors["configuration"] == 1
    assert set(world.history.rosters) == {1}
    assert "n1" not in world.history.rosters[1].ids


@pytest.mark.parametrize("name", SCRIPTS)
def test_the_script_breaks_an_invariant_where_the_mend_is_taken_out(name: str) -> None:
    fault = FAULTS[name]
    with planted(fault), pytest.raises(BrokenInvariantError):
        play(SCENARIOS[fault.scenario], SCRIPTS[name])
