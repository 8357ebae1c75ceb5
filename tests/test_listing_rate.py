"""All nodes together keep to the platform's rate limit for listing calls."""

from __future__ import annotations

from dataclasses import replace

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import Effects, Launch, Tick
from spokeroute.common.ids import Ms, NodeId
from spokeroute.dispatch.placement import placement
from spokeroute.dispatch.placement.listing import list_pause_ms
from spokeroute.dispatch.placement.platform import ListPlatform, PlatformListed
from spokeroute.dispatch.placement.state import State

RATE = 27.0


def asks(effects: Effects) -> int:
    return sum(1 for e in effects if isinstance(e, Launch) and isinstance(e.job, ListPlatform))


def calls_in(readers: int, calls: int, ok: bool, for_ms: int) -> int:
    """The number of calls by all readers, if each listing takes 30 ms."""
    bounds = Bounds(list_ms=400, list_calls_per_s=RATE)
    core = frozenset(f"m{number}" for number in range(readers))
    state = replace(State(NodeId("m0"), core, bounds=bounds), list_calls=calls)
    asked_ms, made = -1, 0
    for now_ms in range(10_000, 10_000 + for_ms, 20):
        state, effects = placement.step(state, Tick(), Ms(now_ms))
        if asks(effects):
            asked_ms, made = now_ms, made + calls
        if 0 <= asked_ms <= now_ms - 30:
            listing = PlatformListed(ok, now_ms, (), (), calls=calls)
            state, _ = placement.step(state, listing, Ms(now_ms))
            asked_ms = -1
    return made * readers


@pytest.mark.parametrize(("readers", "calls"), [(3, 2), (5, 4), (6, 12), (9, 5)])
@pytest.mark.parametrize("ok", [True, False])
def test_all_readers_together_stay_below_the_rate(readers: int, calls: int, ok: bool) -> None:
    made = calls_in(readers, calls, ok, 20_000)
    assert made <= RATE * 20 + readers * calls  # the first call of each reader is immediate
    assert made >= min(0.5 * RATE * 20, readers * calls * 20)


def test_a_platform_without_a_rate_is_listed_at_the_configured_interval() -> None:
    assert list_pause_ms(Bounds(list_ms=400), 12, 9) == 400
