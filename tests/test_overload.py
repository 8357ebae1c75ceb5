"""Overload, shifts of load, repeated calls and lost holders in clusters of realistic size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.sim.acts import client_repeats
from tests.sim.cluster import Sim, brief_sim, configuration
from tests.test_scenarios import EACH, clean
from tools.judges import level


@pytest.fixture
def day(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = brief_sim(*request.param)
    yield made
    made.close()


@EACH
@pytest.mark.parametrize("after_ms", [9, 16, 25])
def test_a_keyed_call_whose_exchange_is_killed(sim: Sim, after_ms: int) -> None:
    """The exchange is killed between the claim and the send, or right after. The caller repeats the
    call at other exchanges, quickly and often, beyond the first call's wait."""
    sim.sync_ms = 5.0
    sim.settle()
    sim.call("/corrections", sim.exchanges[0], key="mine", wait_ms=4_000)
    sim.run(after_ms)
    sim.exchanges[0].kill()
    client_repeats(sim, "mine", 300, 20)
    clean(sim)
    first = sim.asked[0]
    for asked in sim.asked[1:]:
        if asked.status == 409 and asked.done_ms > first.at_ms + first.wait_ms + 600:
            assert b"in progress" not in asked.body, asked.body


@EACH
def test_a_killed_exchange_held_the_only_instances(sim: Sim) -> None:
    """Small services with one instance, all held by the exchange that is killed: a new instance
    starts in a fraction of the time that a new holder has to wait."""
    services = configuration()["services"]
    for i in (2, 3):
        services[i] = {**services[i], "spares": 0, "longestRunMs": 4_000}
    sim.settle(services=services)
    sim.traffic(20, 30_000, ("/small/1", "/small/2"))
    sim.run(8_000)
    small = [p for p in sim.floors[-1][2].instances if p.service.startswith("small")]
    victim = next(e for e in sim.exchanges if any(p.holder == e.name for p in small))
    victim.kill()
    killed_ms = sim.env.now
    sim.run(20_000)
    clean(sim)
    asked = [
        a for a in sim.asked
        if a.exchange != victim.name and killed_ms < a.at_ms < killed_ms + 10_000
    ]  # fmt: skip
    lost = [a for a in asked if a.status != 200 and a.ran == "no"]
    assert lost == [], (len(lost), len(asked), lost[0])


@EACH
def test_the_same_call_at_several_exchanges_with_the_budget_spent(sim: Sim) -> None:
    """Thirteen exchanges; instances of a busy service do not answer for a while, so that hedges and
    successors use up the retry budget; callers send each call three times."""
    sim.close()
    made = Sim(int(sim.rng.random() * 1e6), exchanges=13)
    try:
        made.settle()
        made.traffic(100, 24_000)
        made.run(11_000)
        made.platform.misbehave["readings"] = "lost"
        ill = [s for s in made.platform.servers.values() if s.service == "readings"]
        for server, how in zip(ill, ("late", "lost", "lost", "lost"), strict=False):
            server.behave = how
        for number in range(60):
            for exchange in made.rng.sample(made.exchanges, 3):
                made.call("/corrections", exchange, key=f"again-{number}")
                made.call("/readings", exchange)
            made.run(100)
        made.platform.misbehave.clear()
        for server in made.platform.servers.values():
            server.behave = "well"
        made.run(7_000)
        clean(made)
        seconds = {a.call for a in made.asked} & {
            c for c in {d.call for d in made.platform.dials}
            if len({d.instance for d in made.platform.dials if d.call == c}) > 1
        }  # fmt: skip
        assert len(seconds) > 12
    finally:
        made.close()


ONE_EACH = pytest.mark.parametrize(
    ("day", "times"), [(("tooluur", 3), 10), (("organismo", 4), 5)], indirect=["day"]
)


@ONE_EACH
def test_overload_of_one_service(day: Sim, times: int) -> None:
    """One service suddenly gets many times its load beside the usual traffic. What fits is served,
    the rest is refused at once with a Retry-After, and other services are not affected."""
    day.traffic(150, 18_000)
    day.run(3_000)
    path = next(iter(p for p, x in day.routes.items() if x.get("repeatable")))
    from_ms = day.env.now
    day.traffic(30 * times, 8_000, (path,))
    day.run(15_000)
    clean(day, 5_000)
    burst = [a for a in day.asked if a.path == path and from_ms <= a.at_ms < from_ms + 8_000]
    others = [a for a in day.asked if a.path != path and from_ms <= a.at_ms < from_ms + 15_000]
    good = [a for a in burst if a.status == 200]
    assert sum(1 for a in others if a.status == 200) > 0.99 * len(others)
    refused = [a for a in burst if a.status in (429, 503)]
    assert len(good) + len(refused) == len(burst)
    assert all(a.retry_after for a in refused)
    assert len(good) > 0.9 * len(burst)


@pytest.mark.parametrize("day", [("organismo", 4)], indirect=True)
def test_overload_beyond_the_capacity_of_all_workers(day: Sim) -> None:
    """A small service with one slot per instance and runs of half a second gets more calls than all
    workers could run. Refusals come at once, not at the end of the wait."""
    day.platform.work_ms = 500.0
    day.platform.seats = [replace(s, memory_mb=2_560) for s in day.platform.seats]
    path = list(day.routes)[-1]
    from_ms = day.env.now
    day.traffic(400, 7_000, (path,))
    day.run(8_000)
    clean(day)
    burst = [a for a in day.asked if a.path == path and a.at_ms >= from_ms + 4_000]
    refused = [a for a in burst if a.status in (429, 503)]
    assert refused and all(a.retry_after for a in refused)
    slow = [a for a in refused if a.done_ms - a.at_ms > 1_500]
    good = [a for a in burst if a.status == 200]
    late = [
        a for a in burst if a.status == 504
    ]  # sent to an instance in time, but not answered in time
    assert len(good) + len(refused) + len(late) == len(burst)
    assert len(good) > 100 and len(late) < 0.05 * len(burst)
    assert len(slow) < 0.05 * len(refused), (len(slow), len(refused))


@pytest.mark.parametrize("day", [("tooluur", 3)], indirect=True)
def test_load_shifts_between_services(day: Sim) -> None:
    """The load of one service drops to almost none while that of another rises fivefold."""
    one, two = [p for p in list(day.routes)[:4] if day.routes[p].get("repeatable")][:2]
    for path, other in ((one, two), (two, one), (one, two)):
        day.traffic(200, 4_000, (path,))
        day.traffic(10, 4_000, (other,))
        day.run(4_000)
    clean(day)
    assert level(day.log(), 0, 1e9) > 0.97
