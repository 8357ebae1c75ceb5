"""A holder that becomes unreachable without resetting its connections is detected and avoided."""

from __future__ import annotations

import pytest

from spokeroute.common.effects import SlotId, Tick
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.call_state import State, store_call
from spokeroute.exchange.calls import step
from spokeroute.exchange.silent_holders import (
    MAX_TIMEOUT_MS,
    MIN_TIMEOUT_MS,
    PING_AFTER_MS,
    PING_INTERVAL_MS,
    SilentHolders,
    check_holders,
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
def test_calls_avoid_an_unreachable_holder(how: str) -> None:
    """Neither a freeze nor a network cut resets connections. Calls that arrive half a second later
    must not wait for the holder; the placement role notices it only after 2.5 s."""
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


def silence_after(*took_ms: int) -> SilentHolders:
    """The state after ex2 answered pings in these times, the last at 900 ms."""
    silence = SilentHolders()
    for each in took_ms:
        first = silence.first_ping_ms.set("ex2", 900 - each)
        silence = replace(silence, first_ping_ms=first).with_message("ex2", 900)
    return silence


@pytest.mark.parametrize(
    ("before", "silent_ms"),
    [(SilentHolders(), MAX_TIMEOUT_MS), (silence_after(5, 5, 5), MIN_TIMEOUT_MS)],
    ids=["never heard", "short round trips"],
)
def test_a_holder_is_pinged_before_it_counts_as_silent(
    before: SilentHolders, silent_ms: int
) -> None:
    call = call_to("ex2", sent_ms=Ms(1_000), slot=SlotId(1, 1))
    silence, ask, silent = check_holders(before, (call,), "ex1", Ms(1_000 + PING_AFTER_MS - 1))
    assert (ask, silent) == ((), ())
    silence, ask, silent = check_holders(silence, (call,), "ex1", Ms(1_000 + PING_AFTER_MS))
    assert (ask, silent) == (("ex2",), ())
    heard = silence.with_message("ex2", 1_000 + PING_AFTER_MS + 3)
    late_ms = Ms(1_000 + PING_AFTER_MS + silent_ms)
    assert check_holders(heard, (call,), "ex1", late_ms)[2] == ()
    restarted = silence.with_timers_restarted(late_ms)
    assert check_holders(restarted, (call,), "ex1", late_ms)[2] == ()
    assert check_holders(silence, (call,), "ex1", Ms(late_ms - 1))[2] == ()
    silence, ask, silent = check_holders(silence, (call,), "ex1", late_ms)
    assert silent == ("ex2",)
    silence, ask, silent = check_holders(silence, (), "ex1", Ms(late_ms + PING_INTERVAL_MS))
    assert (ask, silent) == (("ex2",), ())
    assert not silence.with_message("ex2", late_ms + 500).silent_since_ms
    assert (
        check_holders(SilentHolders(), (call_to("ex1", Ms(0), SlotId(1, 1)),), "ex1", Ms(9_000))[1]
        == ()
    )


def test_the_timeout_of_a_slow_holder_follows_its_round_trips() -> None:
    """As TCP's timer: mean plus four mean deviations, within bounds; it shrinks again later."""
    slow = silence_after(*[150, 350] * 6)
    assert 400 < slow.timeout_ms("ex2") < MAX_TIMEOUT_MS
    assert silence_after(*[150, 350] * 6, *[5] * 30).timeout_ms("ex2") == MIN_TIMEOUT_MS
    assert silence_after(700, 900, 900).timeout_ms("ex2") == MAX_TIMEOUT_MS


def test_an_outage_is_no_round_trip_sample() -> None:
    assert silence_after(5, 5, 5, MAX_TIMEOUT_MS + 1).timeout_ms("ex2") == MIN_TIMEOUT_MS


def test_a_holder_without_samples_has_the_timeout_of_the_others() -> None:
    silence = silence_after(*[150, 350] * 6).with_message("ex3", 950)
    assert silence.timeout_ms("ex3") > MIN_TIMEOUT_MS


def test_time_in_which_this_process_was_busy_extends_timeouts() -> None:
    call = call_to("ex2", sent_ms=Ms(1_000), slot=SlotId(1, 1))
    state = replace(
        store_call(State(NodeId("ex1"), 1, Budget(Ms(0), 0.2, 9.0, 3, 10_000)), call),
        silence=silence_after(5, 5, 5),
    )
    state, _ = step(state, Tick(20), Ms(1_000 + PING_AFTER_MS))
    late_ms = 1_000 + PING_AFTER_MS + MIN_TIMEOUT_MS
    busy, _ = step(state, Tick(200), Ms(late_ms))
    assert not busy.silence.silent_since_ms
    idle, _ = step(state, Tick(20), Ms(late_ms))
    assert "ex2" in idle.silence.silent_since_ms
