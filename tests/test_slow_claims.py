"""Guards against a livelock of claims on slow disks.

With 300 ms a sync, the two rounds of a claim took longer than the 300 ms after which an entry asked
another member. That member's round on the same register pre-empted the first one, whose answer
would have been discarded anyway. 28 rounds were started for each call and none was won: all 120 of
120 keyed calls failed after 5 s with "no_core", although every member answered.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import pytest

from spokeroute.common.effects import Effects, From, Reply, Send, Tick
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.exchange import calls
from spokeroute.exchange.call_state import State
from spokeroute.exchange.types import Call, Phase
from spokeroute.transport.messages import ClaimAsk, ClaimGot
from tests.sim.cluster import Sim

CALLS = 60
GAP_MS = 50.0
WAIT_MS = 5_000
ROUNDS = 2  # of a claim: prepare and accept
FAST_SYNC_MS = 1.0


def keyed(seed: int, sync_ms: float) -> tuple[Counter[int], list[float]]:
    """Statuses and durations of keyed calls while each sync of the core's disks takes this long."""
    sim = Sim(seed)
    sim.settle()
    for node in sim.registries:
        assert node.disk is not None
        node.disk.sync_ms = sync_ms
    asked = []
    for number in range(CALLS):
        exchange = sim.exchanges[number % len(sim.exchanges)]
        asked.append(sim.call("/corrections", exchange, key=f"k{number}", wait_ms=WAIT_MS))
        sim.run(GAP_MS)
    sim.run(2 * WAIT_MS)
    sim.close()
    return Counter(each.status for each in asked), sorted(e.done_ms - e.at_ms for e in asked)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("sync_ms", [FAST_SYNC_MS, 150.0, 300.0, 400.0])
def test_keyed_calls_are_served_although_claims_are_slow(seed: int, sync_ms: float) -> None:
    statuses, took_ms = keyed(seed, sync_ms)
    assert statuses[200] == CALLS, statuses
    # Two rounds, each behind a sync in progress, and early retries until the time is learned.
    assert took_ms[len(took_ms) // 2] <= 2 * ROUNDS * sync_ms + 300, took_ms[len(took_ms) // 2]


@pytest.fixture
def sim() -> Iterator[Sim]:
    made = Sim(4)
    made.settle()
    yield made
    made.close()


def claiming(sim: Sim) -> State:
    """The state of an entry with one keyed call that waits for its claim."""
    sim.call("/corrections", sim.exchanges[0], key="k", wait_ms=20_000)
    for _ in range(100):
        state: State = sim.exchanges[0].state("calls")
        if any(call.claim_requests for call in state.calls.values()):
            return state
        sim.run(1)
    raise AssertionError("no claim was asked for")


def only(state: State) -> Call:
    (call,) = state.calls.values()
    return call


def asks(effects: Effects) -> list[ClaimAsk]:
    found = [each.message for each in effects if isinstance(each, Send)]
    return [each for each in found if isinstance(each, ClaimAsk)]


def waited(state: State, for_ms: int) -> tuple[State, list[tuple[int, ClaimAsk]]]:
    """The state after a time without answers, and each request with its time."""
    from_ms = only(state).start_ms
    asked: list[tuple[int, ClaimAsk]] = []
    for after_ms in range(0, for_ms, 20):
        state, effects = calls.step(state, Tick(), Ms(from_ms + after_ms))
        asked.extend((after_ms, each) for each in asks(effects))
    return state, asked


def told(state: State, op_id: str, won: bool, holder: str, now_ms: Ms) -> tuple[State, Effects]:
    call = only(state)
    got = ClaimGot(op_id, won, call.fingerprint, holder, "in progress", "")
    return calls.step(state, From(NodeId("reg1"), Incarnation(1), got), now_ms)


def test_the_wait_doubles_after_each_unanswered_request(sim: Sim) -> None:
    _, asked = waited(claiming(sim), 6_500)
    assert [after_ms for after_ms, _ in asked] == [300, 900, 2_100, 4_100, 6_100]


def test_a_claim_won_by_an_earlier_request_counts(sim: Sim) -> None:
    state, _ = waited(claiming(sim), 1_000)
    call = only(state)
    now_ms = Ms(call.start_ms + 1_000)
    assert len(call.claim_requests) == 3
    state, effects = told(state, call.claim_requests[0].op_id, True, call.request.call_id, now_ms)
    assert only(state).claimed and only(state).phase != Phase.CLAIMING
    assert not state.slot_of_claim, "the other requests are forgotten"
    assert not any(isinstance(each, Reply) for each in effects)


def test_an_earlier_request_that_lost_the_claim_is_not_final(sim: Sim) -> None:
    """The claim may have been freed since and won by the request that is still open."""
    state, _ = waited(claiming(sim), 400)
    call = only(state)
    now_ms = Ms(call.start_ms + 400)
    first, last = call.claim_requests
    state, effects = told(state, first.op_id, False, "another", now_ms)
    assert only(state).phase == Phase.CLAIMING
    assert not effects
    state, effects = told(state, last.op_id, False, "another", now_ms)
    (reply,) = [each for each in effects if isinstance(each, Reply)]
    assert reply.answer.status == 409
    assert not state.calls and not state.slot_of_claim


def test_the_wait_adapts_to_recent_claim_times(sim: Sim) -> None:
    state, _ = waited(claiming(sim), 1_000)
    call = only(state)
    state, _ = told(
        state, call.claim_requests[0].op_id, True, call.request.call_id, Ms(call.start_ms + 1_000)
    )
    assert state.claim_round_trip is not None
    assert state.claim_round_trip.smoothed_ms == 1_000


def test_calls_that_wait_for_claims_are_not_counted_as_queued(sim: Sim) -> None:
    state = claiming(sim)
    service = only(state).service.name
    assert state.backlog.open[service].admitted == 0
    call = only(state)
    state, _ = told(
        state, call.claim_requests[0].op_id, True, call.request.call_id, Ms(call.start_ms + 20)
    )
    assert state.backlog.open[service].admitted == state.backlog.count(service) == 1
