"""Moves calls from a holder's queue to another instance of their service that has room.

A holder reports which calls of an entry node are queued, and the next demand report to the core is
sent earlier. The entry node does not know the load that others put on the other instances, so it
first asks their holders for room. For each free place it recalls one call. A holder gives a call
back only if it is still queued. Such a call was never sent to an instance: it is sent to the free
place at once, and does not count against the retry budget.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from spokeroute.common.effects import Effect, Effects, Send
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import Placed
from spokeroute.exchange.call_state import URGENT_REPORT_MS, State, lost_instances, store_call
from spokeroute.exchange.pick import soon_usable, usable
from spokeroute.exchange.types import Attempt, Call
from spokeroute.transport.call_messages import (
    ForwardDrop,
    RoomAsk,
)

ROOM_REQUEST_INTERVAL_MS = 100  # between two requests for the same service
MAX_ROOM_REQUESTS = 3  # instances asked at a time


def mark_queued(state: State, attempt_id: str, now_ms: Ms) -> State:
    """A holder reports that a call is queued. The next report to the core is sent earlier.

    Example:
        state = mark_queued(state, "c1.0", now_ms)
    """
    call = state.calls.get(state.slot_of_attempt.get(attempt_id, -1))
    if call is None or attempt_id not in call.attempts:
        return state
    attempt = replace(call.attempts[attempt_id], queued=True)
    call = replace(call, attempts=call.attempts.set(attempt_id, attempt))
    report_ms = min(state.next_report_ms, Ms(now_ms + URGENT_REPORT_MS))
    return store_call(replace(state, next_report_ms=report_ms), call)


def request_room(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ask other holders for room for the services that have queued calls.

    Example:
        state, effects = request_room(state, now_ms)
    """
    effects: list[Effect] = []
    for service in sorted({call.service.name for call, _, _ in _queued(state)}):
        if (
            now_ms - state.room_asked_ms.get(service, -ROOM_REQUEST_INTERVAL_MS)
            < ROOM_REQUEST_INTERVAL_MS
        ):
            continue
        targets = _may_have_room(state, service, now_ms)[:MAX_ROOM_REQUESTS]
        if not targets:
            continue
        effects.extend(
            Send(placed.holder, RoomAsk(placed.id), placed.holder_address) for placed in targets
        )
        state = replace(state, room_asked_ms=state.room_asked_ms.set(service, now_ms))
    return state, tuple(effects)


def recall_queued(state: State, instance: str, free: int) -> tuple[State, Effects]:
    """An instance has room for some calls: recall as many, the most urgent and then oldest first.

    Example:
        state, effects = recall_queued(state, "a", 1)
    """
    placed = state.tables.by_id.get(instance)
    if placed is None:
        return state, ()
    queued = [
        (call, attempt_id, attempt)
        for call, attempt_id, attempt in _queued(state)
        if call.service.name == placed.service and attempt.instance != instance
    ]
    queued.sort(key=lambda item: (item[0].rank, item[0].start_ms, item[1]))
    effects: list[Effect] = []
    for call, attempt_id, attempt in queued[:free]:
        attempts = call.attempts.set(attempt_id, replace(attempt, recalled=True))
        state = store_call(state, replace(call, attempts=attempts, requeue_target=instance))
        effects.append(Send(attempt.holder, ForwardDrop(attempt_id, queued_only=True)))
    return state, tuple(effects)


def _queued(state: State) -> Iterator[tuple[Call, str, Attempt]]:
    """Calls whose only attempt is known to be queued, and was not recalled."""
    for call in state.calls.values():
        if call.tried_instances or call.caller_gone_ms >= 0 or len(call.attempts) != 1:
            continue
        attempt_id, attempt = next(iter(call.attempts.items()))
        if attempt.queued and not attempt.recalled:
            yield call, attempt_id, attempt


def _may_have_room(state: State, service: str, now_ms: Ms) -> list[Placed]:
    """Routed and starting instances that have room as far as this node's own calls tell, in an
    order that changes with time. Starting ones are included as their holder is the first to know
    when they are up."""
    lost = lost_instances(state, now_ms)
    candidates = [
        placed
        for placed in state.tables.by_service.get(service, ())
        if ((placed.routed and usable(placed, state.tables)) or soon_usable(placed, state.tables))
        and not lost(placed)
        and state.outstanding.get(placed.id, 0) < placed.limit
        and state.avoided_until_ms.get(placed.id, -1) <= now_ms
    ]
    return sorted(
        candidates, key=lambda placed: zlib.crc32(f"{state.me}/{placed.id}/{now_ms}".encode())
    )
