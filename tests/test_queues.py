"""Queues of holders: which calls may join, which are recalled, and which are refused at once."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from immutables import Map

from spokeroute.common.effects import From, Launch, Note, Reply, Send, SlotId
from spokeroute.common.ids import Incarnation, Ms, NodeId, Version
from spokeroute.dispatch.configuration.configuration import Programs, Table, Thresholds
from spokeroute.dispatch.placement.table import STARTING, UP, Placed
from spokeroute.exchange import call_state, calls, holder, requeue
from spokeroute.exchange.backlog import MIN_QUEUE_CALLS, MIN_QUEUE_MS, Backlog
from spokeroute.exchange.budget import Budget
from spokeroute.exchange.call_transitions import NO_ROOM_LIMIT_MS
from spokeroute.exchange.held_instance import (
    QUEUED_NOTICE_MS,
    DispatchedAttempt,
    HeldInstance,
    QueuedCall,
)
from spokeroute.exchange.reasons import BUSY, LEFT_QUEUE, NO_ROOM_IN_TIME
from spokeroute.exchange.types import Call, Phase, Revoke, Tables
from spokeroute.transport.call_messages import (
    Forward,
    ForwardDrop,
    Forwarded,
    RoomAsk,
    RoomTold,
)
from tests.call_builders import call_to

ENTRY = NodeId("ex1")
HOLDER = NodeId("ex2")
ONE = Map({"i": 1})  # the call's own attempt


def placed(name: str, limit: int = 1, **changes: Any) -> Placed:
    row: list[Any] = [name, "s", "w", "north", "h:1", limit, UP, True, True, HOLDER, 1]
    return replace(Placed(*row), **changes)


def waiting(name: str, left_ms: int = 5_000) -> QueuedCall:
    forward = Forward(name, "s", "i", 1, "GET", "/x", (), b"", left_ms, "")
    return QueuedCall(forward, ENTRY, Ms(left_ms))


def held(*queue: QueuedCall, run_ms: float = 500.0) -> HeldInstance:
    """An instance with one slot, which is taken by a running call."""
    handed = Map({"runs": DispatchedAttempt("runs", ENTRY, Ms(0))})
    return HeldInstance(placed("i"), queue=queue, in_flight=handed, run_ms=run_ms)


def entry_with(
    call: Call, *instances: Placed, outstanding: Map[str, int] = ONE
) -> call_state.State:
    tables = Tables(by_service=Map({"s": instances}), by_id=Map({p.id: p for p in instances}))
    attempt_of = Map({name: call.request.slot.index for name in call.attempts})
    state = call_state.State(ENTRY, 1, Budget(0), tables=tables, slot_of_attempt=attempt_of)
    return call_state.store_call(replace(state, outstanding=outstanding), call)


def no(reason: str) -> From:
    return From(HOLDER, Incarnation(1), Forwarded("c1.0", "no", reason, 0, (), b""))


def test_a_call_joins_a_queue_only_if_its_turn_comes_well_within_its_wait() -> None:
    def without_room(left_ms: int, run_ms: float = 500.0) -> HeldInstance | None:
        last = waiting("c4", left_ms)
        queue = (*(waiting(f"c{n}") for n in range(4)), last)
        return held(*queue, run_ms=run_ms).without_unservable(last.forward)

    assert held().estimated_wait_ms(4) == 2_250.0
    assert without_room(2_900) is None
    left = without_room(2_700)
    assert left is not None and [w.forward.attempt_id for w in left.queue] == [
        "c0",
        "c1",
        "c2",
        "c3",
    ]
    assert (
        without_room(200, run_ms=0.0) is None
    )  # no run has ended yet: there is no estimate, so it may join


def test_a_queued_call_is_reported_once_but_not_while_its_instance_starts() -> None:
    instance = held(waiting("c"))
    call = instance.queue[0]
    assert not instance.should_notify_entry(call, Ms(QUEUED_NOTICE_MS - 1))
    assert instance.should_notify_entry(call, Ms(QUEUED_NOTICE_MS))
    assert not instance.should_notify_entry(
        replace(call, entry_notified=True), Ms(QUEUED_NOTICE_MS)
    )
    starting = replace(instance, placed=placed("i", state=STARTING))
    assert not starting.should_notify_entry(call, Ms(QUEUED_NOTICE_MS))


def test_only_a_call_that_is_still_queued_is_given_back() -> None:
    state = holder.State(HOLDER, 1, instances=Map({"i": held(waiting("queued"))}))
    same, effects = holder.step(
        state, From(ENTRY, Incarnation(1), ForwardDrop("runs", queued_only=True)), Ms(300)
    )
    assert (same, effects) == (state, ())
    _, effects = holder.step(state, From(ENTRY, Incarnation(1), ForwardDrop("runs")), Ms(300))
    assert isinstance(effects[0], Launch) and isinstance(effects[0].job, Revoke)
    after, effects = holder.step(
        state, From(ENTRY, Incarnation(1), ForwardDrop("queued", queued_only=True)), Ms(300)
    )
    assert effects == (Send(ENTRY, Forwarded("queued", "no", LEFT_QUEUE, 0, (), b"")),)
    assert after.instances["i"].queue == () and "runs" in after.instances["i"].in_flight


def test_room_is_requested_only_where_it_is_likely_and_not_at_every_tick() -> None:
    call = call_to(HOLDER, sent_ms=Ms(0), slot=SlotId(1, 1))
    instances = (placed("i"), placed("other"))
    at_ms = Ms(250)
    full = entry_with(call, *instances, outstanding=Map({"i": 1, "other": 1}))
    full = requeue.mark_queued(full, "c1.0", at_ms)
    assert requeue.request_room(full, at_ms) == (full, ())
    unrouted = entry_with(call, instances[0], placed("other", routed=False))
    unrouted = requeue.mark_queued(unrouted, "c1.0", at_ms)
    assert requeue.request_room(unrouted, at_ms) == (unrouted, ())
    free = entry_with(call, *instances)
    assert requeue.request_room(free, at_ms) == (free, ())  # the call may be running
    free = requeue.mark_queued(free, "c1.0", at_ms)
    asked, effects = requeue.request_room(free, at_ms)
    assert effects == (Send(HOLDER, RoomAsk("other")),)
    again_ms = Ms(at_ms + requeue.ROOM_REQUEST_INTERVAL_MS)
    assert requeue.request_room(asked, Ms(again_ms - 1))[1] == ()
    assert requeue.request_room(asked, again_ms)[1] == effects


def test_a_holder_reports_room_only_if_a_call_would_not_wait() -> None:
    def told(instance: HeldInstance, tables: Tables) -> object:
        state = holder.State(HOLDER, 1, tables=tables, instances=Map({"i": instance}))
        return holder.step(state, From(ENTRY, Incarnation(1), RoomAsk("i")), Ms(300))[1]

    instances = placed("i", limit=2)
    table = Table(Version(1), "", {}, {}, Thresholds(), Programs())
    fresh = Tables(Ms(300), table=table, by_id=Map({"i": instances}))
    one = replace(held(), placed=instances)
    assert told(one, fresh) == (Send(ENTRY, RoomTold("i", 1)),)
    assert told(replace(one, queue=(waiting("c"),)), fresh) == ()
    assert told(replace(one, placed=placed("i")), fresh) == ()  # its only slot is taken
    assert told(one, replace(fresh, proved_ms=Ms(-(10**6)))) == ()


def test_one_call_is_recalled_for_each_free_place() -> None:
    first = call_to(HOLDER, sent_ms=Ms(0), slot=SlotId(1, 1))
    at_ms = Ms(250)
    runs = entry_with(first, placed("i"), placed("other"))
    assert requeue.recall_queued(runs, "other", 1) == (runs, ())
    state = requeue.mark_queued(runs, "c1.0", at_ms)
    assert requeue.recall_queued(state, "other", 0) == (state, ())
    assert requeue.recall_queued(state, "i", 1) == (state, ())
    asked, effects = calls.step(state, From(HOLDER, Incarnation(1), RoomTold("other", 1)), at_ms)
    assert effects == (Send(HOLDER, ForwardDrop("c1.0", queued_only=True)),)
    assert asked.calls[1].requeue_target == "other"
    assert requeue.recall_queued(asked, "other", 1) == (asked, ())


def test_a_recalled_call_goes_to_the_free_place_and_is_no_resend() -> None:
    call = call_to(HOLDER, sent_ms=Ms(0), slot=SlotId(1, 1))
    call = replace(call, send_count=1, requeue_target="other")
    state = entry_with(call, placed("i"), placed("other"))
    table = Table(Version(1), "", {}, {}, Thresholds(), Programs())
    state = replace(state, tables=replace(state.tables, proved_ms=Ms(300), table=table))
    after, effects = calls.step(state, no(LEFT_QUEUE), Ms(300))
    (note, sent) = effects
    assert isinstance(note, Note) and "not run (left the queue)" in note.text
    assert isinstance(sent, Send) and isinstance(sent.message, Forward)
    assert sent.message.instance == "other"
    moved = after.calls[1]
    assert (moved.tried_instances, moved.failed, moved.was_refused) == (frozenset(), (), False)
    assert after.budget == Budget(0)


def test_an_entry_node_without_recent_answers_refuses_what_holders_refuse() -> None:
    """Its own callers got no recent answers of the service, which is no sign of room."""
    for reason in (BUSY, NO_ROOM_IN_TIME):
        call = call_to(HOLDER, sent_ms=Ms(0), slot=SlotId(1, 1))
        first, effects = calls.step(entry_with(call, placed("i")), no(reason), Ms(3))
        assert effects == () and first.calls[1].phase == Phase.WAITING
        again = replace(first.calls[1], attempts=call.attempts, phase=Phase.TRYING)
        state = entry_with(again, placed("i"))
        later, effects = calls.step(state, no(reason), Ms(3 + NO_ROOM_LIMIT_MS - 1))
        assert effects == () and 1 in later.calls
        later, effects = calls.step(state, no(reason), Ms(3 + NO_ROOM_LIMIT_MS))
        assert isinstance(effects[0], Reply) and effects[0].answer.status == 503
        assert "Retry-After" in dict(effects[0].answer.headers) and 1 not in later.calls
        starting = entry_with(again, placed("i"), placed("new", state=STARTING))
        assert calls.step(starting, no(reason), Ms(3 + NO_ROOM_LIMIT_MS))[1] == ()


def test_a_backlog_estimates_a_wait_only_for_a_lasting_queue() -> None:
    backlog = Backlog().answered("s", Ms(0))
    for _ in range(MIN_QUEUE_CALLS):
        backlog = backlog.opened("s", Ms(1_000))
    assert backlog.count("s") == MIN_QUEUE_CALLS
    assert backlog.expected_wait_ms("s", 1.0, Ms(1_000 + MIN_QUEUE_MS - 1)) == 0
    assert backlog.expected_wait_ms("s", 1.0, Ms(1_000 + MIN_QUEUE_MS)) == MIN_QUEUE_CALLS * 2_000
    assert backlog.expected_wait_ms("s", 2.0, Ms(1_000 + MIN_QUEUE_MS)) == MIN_QUEUE_CALLS * 1_000
    fewer = backlog.closed("s")
    assert fewer.expected_wait_ms("s", 1.0, Ms(1_000 + MIN_QUEUE_MS)) == 0
    for _ in range(MIN_QUEUE_CALLS):
        fewer = fewer.closed("s")
    assert fewer.count("s") == 0
