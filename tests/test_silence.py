"""A holder that goes dark without resetting its connections: others notice, and go round it."""

from __future__ import annotations

import pytest

from spokeroute.common.effects import SlotId, Tick
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.call_state import State, store_call
from spokeroute.exchange.calls import step
from spokeroute.exchange.silence import (
    AGAIN_MS,
    ASK_MS,
    LEAST_SILENT_MS,
    MOST_SILENT_MS,
    Silence,
    look,
)
from tests.call_builders import call_to
from tests.sim.cluster import Sim
from tests.test_scenarios import clean


def holding(sim: Sim, service: str) -> list[str]:
    """The exchanges that hold a service's instances, most first."""
    floor = sim.floors[-1][2]
    names = [p.holder for p in floor.instances if p.service == service and p.holder]
    return sorted(set(names), key=lambda n: -names.count(n))


@pytest.mark.parametrize("how", ["frozen", "dark"])
def test_calls_go_round_a_holder_that_went_dark(how: str) -> None:
    """Neither a freeze nor a cut resets anything. Calls that come half a second later must not
    wait for it; the placement role notices it only after 2.5 s."""
    sim = Sim(11, exchanges=5)
    sim.settle()
    sim.traffic(60, 30_000, ("/readings",))
    sim.run(11_000)
    lost = next(e for e in sim.exchanges if e.name == holding(sim, "readings")[0])
    at_ms = sim.env.now
    if how == "frozen":
        lost.freeze()
    else:
        for other in sim.nodes:
            sim.net.cuts |= {(lost.name, other.name), (other.name, lost.name)}
    sim.run(2_400)
    if how == "frozen":
        lost.wake()
    else:
        sim.net.cuts.clear()
    sim.run(6_000)
    late = [
        a for a in sim.asked
        if at_ms + 600 <= a.at_ms < at_ms + 2_300 and a.exchange != lost.name
        and not (a.status == 200 and a.done_ms - a.at_ms < 400)
    ]  # fmt: skip
    asked = [a for a in sim.asked if at_ms + 600 <= a.at_ms < at_ms + 2_300]
    assert len(late) <= len(asked) // 50, [(a.at_ms - at_ms, a.status, a.kind) for a in late]
    clean(sim)
    sim.close()


def known(*took_ms: int) -> Silence:
    """What an entry knows of ex2 after questions that took so long, the last at 900 ms."""
    silence = Silence()
    for each in took_ms:
        first = silence.first_asked_ms.set("ex2", 900 - each)
        silence = replace(silence, first_asked_ms=first).heard("ex2", 900)
    return silence


@pytest.mark.parametrize(
    ("before", "silent_ms"),
    [(Silence(), MOST_SILENT_MS), (known(5, 5, 5), LEAST_SILENT_MS)],
    ids=["never heard", "heard over a short way"],
)
def test_a_holder_is_asked_before_it_counts_as_silent(before: Silence, silent_ms: int) -> None:
    call = call_to("ex2", sent_ms=Ms(1_000), slot=SlotId(1, 1))
    silence, ask, silent = look(before, (call,), "ex1", Ms(1_000 + ASK_MS - 1))
    assert (ask, silent) == ((), ())
    silence, ask, silent = look(silence, (call,), "ex1", Ms(1_000 + ASK_MS))
    assert (ask, silent) == (("ex2",), ())
    heard = silence.heard("ex2", 1_000 + ASK_MS + 3)
    late_ms = Ms(1_000 + ASK_MS + silent_ms)
    assert look(heard, (call,), "ex1", late_ms)[2] == ()
    woken = silence.woken(late_ms)
    assert look(woken, (call,), "ex1", late_ms)[2] == ()
    assert look(silence, (call,), "ex1", Ms(late_ms - 1))[2] == ()
    silence, ask, silent = look(silence, (call,), "ex1", late_ms)
    assert silent == ("ex2",)
    silence, ask, silent = look(silence, (), "ex1", Ms(late_ms + AGAIN_MS))
    assert (ask, silent) == (("ex2",), ())
    assert not silence.heard("ex2", late_ms + 500).since_ms
    assert look(Silence(), (call_to("ex1", Ms(0), SlotId(1, 1)),), "ex1", Ms(9_000))[1] == ()


def test_a_holder_that_answers_slowly_is_waited_for_as_long_as_it_was_seen_to_take() -> None:
    """TCP's timer: mean and four mean deviations, within the bounds; fast again once it is fast."""
    slow = known(*[150, 350] * 6)
    assert 400 < slow.timeout_ms("ex2") < MOST_SILENT_MS
    assert known(*[150, 350] * 6, *[5] * 30).timeout_ms("ex2") == LEAST_SILENT_MS
    assert known(700, 900, 900).timeout_ms("ex2") == MOST_SILENT_MS


def test_an_outage_says_nothing_of_the_way() -> None:
    assert known(5, 5, 5, MOST_SILENT_MS + 1).timeout_ms("ex2") == LEAST_SILENT_MS


def test_one_that_was_never_measured_is_judged_by_the_others() -> None:
    silence = known(*[150, 350] * 6).heard("ex3", 950)
    assert silence.timeout_ms("ex3") > LEAST_SILENT_MS


def test_time_in_which_this_process_was_busy_counts_against_nobody() -> None:
    call = call_to("ex2", sent_ms=Ms(1_000), slot=SlotId(1, 1))
    state = replace(
        store_call(State(NodeId("ex1"), 1, Budget(Ms(0), 0.2, 9.0, 3, 10_000)), call),
        silence=known(5, 5, 5),
    )
    state, _ = step(state, Tick(20), Ms(1_000 + ASK_MS))
    late_ms = 1_000 + ASK_MS + LEAST_SILENT_MS
    busy, _ = step(state, Tick(200), Ms(late_ms))
    assert not busy.silence.since_ms
    idle, _ = step(state, Tick(20), Ms(late_ms))
    assert "ex2" in idle.silence.since_ms
