"""Transitions of a call that its events share: to an instance, into waiting, or to its answer."""

from __future__ import annotations

from spokeroute.common.answers import Answer, Kind, Ran, refusal
from spokeroute.common.effects import Effect, Effects, Reply, Send
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.places import Distance
from spokeroute.common.replacing import replace
from spokeroute.exchange.authentication import headers_for_instance
from spokeroute.exchange.call_state import (
    State,
    avoid_instance,
    end_attempt,
    expected_wait_ms,
    has_starting_instance,
    hedge_delay_ms,
    lost_instances,
    record_successor,
    remove_call,
    report_urgently,
    store_call,
)
from spokeroute.exchange.claim_messages import claim_message, not_run_refusal
from spokeroute.exchange.claim_requests import send_claim_request
from spokeroute.exchange.filters import queue_refusal
from spokeroute.exchange.outcomes import Outcome, is_late, late_reason, refusal_reason
from spokeroute.exchange.pick import STARTING_RULE, UNHELD_RULE, Picked, pick, pick_with_room
from spokeroute.exchange.reasons import Cause, caused_by
from spokeroute.exchange.resend import count_resend, resend_reason
from spokeroute.exchange.types import (
    WAIT_SHARE,
    Attempt,
    Call,
    Phase,
)
from spokeroute.exchange.unheld import pick_unheld
from spokeroute.exchange.waits import Wait
from spokeroute.exchange.withdrawal import WITHDRAWAL_REASONS, key_fault
from spokeroute.transport.call_messages import Forward, ForwardDrop

PICK_RETRY_MS = 30  # between two looks for an instance for a call that waits for one
END_MARGIN_MS = 40  # before the end of its wait, a call is answered
MIN_RESEND_MS = 100  # of its wait must be left for a call to be sent again
AVOID_MS = 60
NO_ROOM_LIMIT_MS = 500  # by then, starts for the calls that wait have been decided
NO_ROOM_RETRY_MS = 90


def send_call(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """Pick an instance and forward the call to its holder, or let the call wait.

    Example:
        state, effects = send_call(state, call, now_ms)
    """
    if not state.tables.fresh(now_ms):
        return refuse(state, call, Kind.NOT_FRESH, "", now_ms)
    fault = key_fault(state, call)
    if fault is not None:
        return refuse(state, call, fault, WITHDRAWAL_REASONS[fault], now_ms)
    picked = pick(
        call, state.tables, state.lists, state.outstanding, state.avoided_until_ms,
        state.me, now_ms, state.places, lost_instances(state, now_ms),
    )  # fmt: skip
    if call.requeue_target and not call.tried_instances:
        picked = pick_with_room(call, state.tables, state.places) or picked
        call = replace(call, requeue_target="")
    if picked is None and state.bounds.rejection_safe and state.switches.unheld_sends:
        picked = pick_unheld(state, call, now_ms)
    if picked is None and _all_zones_evacuated(state, call):
        why = f"every zone of {', '.join(call.route.regions)} is evacuated"
        return refuse(state, call, Kind.NO_ROOM, why, now_ms)
    if picked is None:
        return _await_instance(state, call, now_ms)
    resend_allowed = resend_reason(call)
    if resend_allowed is None:
        return answer_unknown(state, call, now_ms)
    service = call.service.name
    if call.was_refused or (call.tried_instances and picked.placed.id not in call.tried_instances):
        attempts_used_up = len(call.tried_instances) >= call.route.attempts
        if attempts_used_up or not state.budget.allows(service, now_ms):
            return _deny_resend(state, call, attempts_used_up, now_ms)
        call = replace(call, was_refused=False)
        state = replace(state, budget=state.budget.count_resend(service, now_ms))
        state = record_successor(state, call, picked.placed.id, picked.rule, now_ms)
    elif not call.failed and not call.attempts and call.send_count == 0:
        state = replace(state, budget=state.budget.count_first(service, now_ms))
    notes: tuple[Effect, ...] = ()
    if call.send_count:
        resends, note = count_resend(state.resends, call, resend_allowed, picked.placed.id)
        state, notes = replace(state, resends=resends), (note,)
    state, sent = _forward_call(state, call, picked, now_ms)
    return state, (*notes, sent)


def _all_zones_evacuated(state: State, call: Call) -> bool:
    """Whether every zone that a call's route allows is evacuated, and no instance was tried yet."""
    zones = state.places.zones_of(call.route.regions)
    return bool(zones) and zones <= state.tables.evacuated and not call.tried_instances


def _await_instance(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """There is no instance for a call now: it waits, or is answered if it may have run."""
    if call.tried_instances and not call.attempts and call.may_have_run:
        return answer_unknown(state, call, now_ms)
    waiting = replace(call, phase=Phase.WAITING, next_ms=Ms(now_ms + PICK_RETRY_MS))
    return report_urgently(store_call(state, waiting), call.service.name, now_ms)


def _deny_resend(
    state: State, call: Call, attempts_used_up: bool, now_ms: Ms
) -> tuple[State, Effects]:
    """A call can't be sent again: its route's attempts or the retry budget are used up."""
    if call.may_have_run:
        return answer_unknown(state, call, now_ms)
    limit = "as often as the route allows" if attempts_used_up else "budget spent"
    return refuse(state, call, Kind.UNREACHED, f"{call.reason}; {limit}", now_ms)


def _forward_call(state: State, call: Call, picked: Picked, now_ms: Ms) -> tuple[State, Effect]:
    """Start an attempt of a call: forward it to the holder of the picked instance."""
    placed = picked.placed
    attempt_id = f"{call.request.call_id}.{call.send_count}"
    attempt = Attempt(
        placed.id, placed.worker, placed.holder, placed.holder_incarnation, now_ms,
        rule=picked.rule, zone=placed.zone,
    )  # fmt: skip
    call = replace(
        call, phase=Phase.TRYING, unsent=False, send_count=call.send_count + 1,
        attempts=call.attempts.set(attempt_id, attempt), next_ms=Ms(now_ms + hedge_delay_ms(call)),
    )  # fmt: skip
    request = call.request
    with_query = f"{request.path}?{request.query}" if request.query else request.path
    path = request.target or with_query
    forward = Forward(
        attempt_id, call.service.name, placed.id, placed.holder_incarnation, request.method, path,
        headers_for_instance(state.tables.table, request.headers, request.credential), request.body,
        max(0, call.deadline_ms - now_ms), request.attempt, call.tenant, call.rank,
        picked.rule == UNHELD_RULE,
    )  # fmt: skip
    count = state.outstanding.get(placed.id, 0) + 1
    waits = state.waits
    if picked.rule == STARTING_RULE and len(call.attempts) == call.send_count == 1:
        waits = waits.ended(Wait.PLACED, now_ms - call.start_ms)
    state = replace(
        store_call(state, call),
        waits=waits,
        slot_of_attempt=state.slot_of_attempt.set(attempt_id, request.slot.index),
        outstanding=state.outstanding.set(placed.id, count),
    )
    return state, Send(NodeId(placed.holder), forward, placed.holder_address)


def attempt_may_have_run(
    state: State, call: Call, attempt: Attempt, why: str, now_ms: Ms
) -> tuple[State, Effects]:
    """An attempt ended without a conclusive answer.

    Example:
        state, effects = attempt_may_have_run(state, call, attempt, "lost: reset", now_ms)
    """
    call = replace(
        call, may_have_run=True, reason=why, failed=(*call.failed, attempt),
        tried_instances=call.tried_instances | {attempt.instance},
    )  # fmt: skip
    state = replace(
        state,
        avoided_until_ms=avoid_instance(state.avoided_until_ms, attempt.instance, now_ms, AVOID_MS),
    )
    return continue_call(store_call(state, call), call, now_ms)


def continue_call(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """After an attempt without an answer: try a successor, wait, or answer the call.

    Example:
        state, effects = continue_call(state, call, now_ms)
    """
    if call.attempts:
        return store_call(state, call), ()
    if call.caller_gone_ms >= 0 or now_ms >= call.deadline_ms - END_MARGIN_MS:
        return end_call(state, call, now_ms)
    if call.may_have_run:
        if call.at_most_once or call.deadline_ms - now_ms < MIN_RESEND_MS:
            return answer_unknown(state, call, now_ms)
        return send_call(state, call, now_ms)
    if call.tried_instances:
        return send_call(state, call, now_ms)
    waiting = replace(call, phase=Phase.WAITING, next_ms=Ms(now_ms + PICK_RETRY_MS))
    return store_call(state, waiting), ()


def no_room_at_holder(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """A holder has no room for a call in time. Another holder is tried, unless the estimated wait
    for the service is too long as well, or holders have had no room for as long as it takes to
    decide a start and nothing is starting: then the call is refused at once, with a Retry-After.

    Example:
        state, effects = no_room_at_holder(state, call, now_ms)
    """
    if call.tried_instances:
        return continue_call(state, call, now_ms)
    if call.no_room_since_ms < 0:
        call = replace(call, no_room_since_ms=now_ms)
    service, left_ms = call.service.name, call.deadline_ms - now_ms
    backlog_ms = expected_wait_ms(state, service, now_ms)
    if now_ms - call.no_room_since_ms >= NO_ROOM_LIMIT_MS and not has_starting_instance(
        state.tables, service
    ):
        backlog_ms = max(backlog_ms, left_ms)
    if backlog_ms > WAIT_SHARE * left_ms:
        why, retry_after_s = queue_refusal(backlog_ms, left_ms)
        return refuse(state, replace(call, retry_after_s=retry_after_s), Kind.NO_ROOM, why, now_ms)
    waiting = replace(call, phase=Phase.WAITING, next_ms=Ms(now_ms + NO_ROOM_RETRY_MS))
    return store_call(state, waiting), ()


def answer_unknown(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """Answer a call that may have run: its outcome is unknown.

    Example:
        state, effects = answer_unknown(state, call, now_ms)
    """
    why = call.reason
    kind = Kind.BAD_ANSWER if caused_by(why, Cause.BAD_ANSWER) else Kind.UNKNOWN
    if caused_by(why, Cause.LOST):
        kind = Kind.LOST
    return answer_call(state, call, refusal(kind, Ran.MAYBE, why), now_ms)


def refuse(state: State, call: Call, kind: Kind, why: str, now_ms: Ms) -> tuple[State, Effects]:
    """Refuse a call that did not run; its claim is released before the caller is told.

    Example:
        state, effects = refuse(state, call, now_ms)
    """
    if call.may_have_run or call.attempts:
        return answer_unknown(state, call, now_ms)
    if (
        call.request.key
        and call.phase != Phase.FREEING
        and (call.claimed or call.phase == Phase.CLAIMING)
    ):
        call = replace(call, phase=Phase.FREEING, reason=f"{kind.name}|{why}", next_ms=now_ms)
        return send_claim_request(state, call, "free", now_ms)
    return answer_call(state, call, not_run_refusal(call, kind, why), now_ms)


def end_call(state: State, call: Call, now_ms: Ms) -> tuple[State, Effects]:
    """The wait of a call is over, or its caller is gone: answer it.

    Example:
        state, effects = end_call(state, call, now_ms)
    """
    if call.attempts:
        drops = tuple(
            Send(NodeId(attempt.holder), ForwardDrop(attempt_id))
            for attempt_id, attempt in call.attempts.items()
        )
        call = replace(call, reason=call.reason or "no answer within the wait")
        state, effects = answer_unknown(state, call, now_ms)
        return state, (*drops, *effects)
    if call.may_have_run:
        return answer_unknown(state, call, now_ms)
    kind = Kind.NO_CORE if call.phase == Phase.CLAIMING else Kind.NO_ROOM
    return refuse(state, call, kind, call.reason, now_ms)


def answer_call(
    state: State, call: Call, answer: Answer, now_ms: Ms, by: Attempt | None = None
) -> tuple[State, Effects]:
    """Send the only answer and free the slot. ``by`` is the attempt that an instance answered.

    Example:
        state, effects = answer_call(state, call, now_ms)
    """
    for attempt_id in call.attempts:
        state, _, _ = end_attempt(state, attempt_id)
    state = count_outcome(state, call, answer, by, now_ms)
    effects: list[Effect] = []
    if call.claimed and call.phase != Phase.FREEING and state.registries:
        known = "may have run" if answer.status in (502, 504) else f"ended {answer.status}"
        op_id = f"{call.request.call_id}/end/{state.operation_count}"
        effects.append(Send(state.registries[0], claim_message(call, op_id, known, now_ms)))
    state = replace(
        remove_call(state, call),
        answer_count=state.answer_count + 1,
        operation_count=state.operation_count + 1,
    )
    return state, (Reply(call.request.slot, answer), *effects)


def count_outcome(
    state: State, call: Call, answer: Answer, by: Attempt | None, now_ms: Ms
) -> State:
    """Count a call that ends late, refused or failed, by its reason.

    Example:
        state = count_outcome(state, call, answer, attempt, now_ms)
    """
    service = call.service.name
    if by is not None and by.rule == STARTING_RULE:
        waits = state.waits.ended(Wait.ANSWERED, now_ms - by.sent_ms)
        state = replace(state, waits=waits)
    if answer.kind is not None:
        outcome, reason = refusal_reason(answer, call.reason)
        return replace(state, outcomes=state.outcomes.count(service, outcome, reason))
    if by is None or not is_late(call, now_ms):
        return state
    far = state.places.distance(by.zone) == Distance.OTHER_REGION
    reason = late_reason(call, by, far, now_ms)
    return replace(state, outcomes=state.outcomes.count(service, Outcome.LATE, reason))


def lose_attempt(state: State, attempt_id: str, why: str, now_ms: Ms) -> tuple[State, Effects]:
    """An attempt will get no answer any more, and may have run.

    Example:
        state, effects = lose_attempt(state, "c1.0", "lost: its link broke", now_ms)
    """
    state, call, attempt = end_attempt(state, attempt_id)
    if call is None or attempt is None:
        return state, ()
    return attempt_may_have_run(state, call, attempt, why, now_ms)


def unsent_attempt(state: State, attempt_id: str, now_ms: Ms) -> tuple[State, Effects]:
    """An attempt was never sent: the call continues as if it had not been made.

    Example:
        state, effects = unsent_attempt(state, "c1.0", now_ms)
    """
    state, call, attempt = end_attempt(state, attempt_id)
    if call is None or attempt is None:
        return state, ()
    call = replace(call, unsent=True, reason=Cause.DOWN.with_detail("its holder can't be reached"))
    return continue_call(state, call, now_ms)
