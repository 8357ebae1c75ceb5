"""Calls leave a holder's queue for an instance of their service that has room.

A holder tells an entry which of its calls wait, and the core hears of them sooner. The entry
does not know what others sent to the other instances, so it first asks their holders for room.
For each place that is told it asks one call back, and a holder gives back what is still in its
queue, and nothing else. That was never sent to an instance: it goes to the place at once, and
costs nothing of the retry budget.
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

ROOM_REQUEST_INTERVAL_MS = 100  # how often an entry asks for room for a service
MAX_ROOM_REQUESTS = 3  # instances at a time


def mark_queued(state: State, attempt_id: str, now_ms: Ms) -> State:
    """A holder says that a call waits in its queue. The core hears of it with the next report.

    Example:
        state = mark_queued(state, "c1.0", now_ms)
    """
    call = state.calls.get(state.slot_of_attempt.get(attempt_id, -1))
    if call is None or attempt_id not in call.attempts:
        return state
    each = replace(call.attempts[attempt_id], queued=True)
    call = replace(call, attempts=call.attempts.set(attempt_id, each))
    report_ms = min(state.next_report_ms, Ms(now_ms + URGENT_REPORT_MS))
    return store_call(replace(state, next_report_ms=report_ms), call)


def request_room(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ask for room for the services whose calls wait in queues.

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
        asked = _may_have_room(state, service, now_ms)[:MAX_ROOM_REQUESTS]
        if not asked:
            continue
        effects.extend(
            Send(placed.holder, RoomAsk(placed.id), placed.holder_address) for placed in asked
        )
        state = replace(state, room_asked_ms=state.room_asked_ms.set(service, now_ms))
    return state, tuple(effects)


def recall_queued(state: State, instance: str, free: int) -> tuple[State, Effects]:
    """An instance has room: ask as many calls back, first the most urgent, then by their age.

    Example:
        state, effects = recall_queued(state, "a", 1)
    """
    placed = state.tables.by_id.get(instance)
    if placed is None:
        return state, ()
    here = [
        (call, attempt_id, each)
        for call, attempt_id, each in _queued(state)
        if call.service.name == placed.service and each.instance != instance
    ]
    here.sort(key=lambda found: (found[0].rank, found[0].start_ms, found[1]))
    effects: list[Effect] = []
    for call, attempt_id, each in here[:free]:
        asked = call.attempts.set(attempt_id, replace(each, recalled=True))
        state = store_call(state, replace(call, attempts=asked, requeue_target=instance))
        effects.append(Send(each.holder, ForwardDrop(attempt_id, queued_only=True)))
    return state, tuple(effects)


def _queued(state: State) -> Iterator[tuple[Call, str, Attempt]]:
    """Calls whose only attempt is known to wait, and was not asked back."""
    for call in state.calls.values():
        if call.tried_instances or call.caller_gone_ms >= 0 or len(call.attempts) != 1:
            continue
        attempt_id, each = next(iter(call.attempts.items()))
        if each.queued and not each.recalled:
            yield call, attempt_id, each


def _may_have_room(state: State, service: str, now_ms: Ms) -> list[Placed]:
    """Routed instances, and those that start, that have room as far as this entry's own calls
    tell, in an order that changes with time. A holder knows first that one is up."""
    lost = lost_instances(state, now_ms)
    found = [
        placed
        for placed in state.tables.by_service.get(service, ())
        if ((placed.routed and usable(placed, state.tables)) or soon_usable(placed, state.tables))
        and not lost(placed)
        and state.outstanding.get(placed.id, 0) < placed.limit
        and state.avoided_until_ms.get(placed.id, -1) <= now_ms
    ]
    return sorted(found, key=lambda placed: zlib.crc32(f"{state.me}/{placed.id}/{now_ms}".encode()))
