"""Requests to the core to claim a call's idempotency key or to release it, and their retries.

A claim takes two rounds, each of which waits for a disk sync. Another member that is asked in the
meantime starts a round of its own on the same register, and makes the first one fail. So the next
request is sent only after the time that recent claims took, with exponential backoff.
"""

from __future__ import annotations

from spokeroute.common.effects import Effects, Send
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.call_state import State, store_call
from spokeroute.exchange.claim_messages import claim_message
from spokeroute.exchange.round_trip import RoundTrip
from spokeroute.exchange.types import Call, ClaimRequest, Phase
from spokeroute.transport.messages import ClaimGot

MIN_RETRY_MS = 300
MAX_RETRY_MS = 2_000  # by then, a member gives up the claim by itself


def send_claim_request(state: State, call: Call, action: str, now_ms: Ms) -> tuple[State, Effects]:
    """Ask a registry to claim a call's key, or to release it.

    Example:
        state, effects = send_claim_request(state, call, "claim", now_ms)
    """
    op_id = f"{call.request.call_id}/{action}/{state.operation_count}"
    state = replace(state, operation_count=state.operation_count + 1)
    requests = (*call.claim_requests, ClaimRequest(op_id, now_ms))
    call = replace(call, claim_requests=requests, claim_request_count=call.claim_request_count + 1)
    state = replace(
        store_call(state, call),
        slot_of_claim=state.slot_of_claim.set(op_id, call.request.slot.index),
    )
    registries = state.registries
    if not registries:
        return state, ()
    first = sum(call.request.call_id.encode())  # each request goes to the next registry
    node = registries[(first + call.claim_request_count) % len(registries)]
    return state, (Send(node, claim_message(call, op_id, action, now_ms)),)


def retry_due(state: State, call: Call, now_ms: Ms) -> bool:
    """Whether to ask another member, as the last one did not answer in time.

    Example:
        retry_due(state, call, now_ms)
    """
    if not call.claim_requests:
        return True
    waited_ms = now_ms - call.claim_requests[-1].sent_ms
    return waited_ms >= retry_after_ms(state.claim_round_trip, call.claim_request_count)


def retry_after_ms(round_trip: RoundTrip | None, count: int) -> float:
    """How long to wait for the answer to the last of so many requests.

    Example:
        >>> [retry_after_ms(None, count) for count in (1, 2, 3, 4)]
        [300.0, 600.0, 1200.0, 2000.0]
    """
    measured_ms = round_trip.timeout_ms if round_trip is not None else 0.0
    first_ms = max(float(MIN_RETRY_MS), measured_ms)
    return min(float(MAX_RETRY_MS), first_ms * 2.0 ** (count - 1))


def claim_answered(state: State, got: ClaimGot, now_ms: Ms) -> tuple[State, Call | None]:
    """The state after a member's answer, and the call if the answer decides its claim. A claim that
    was won counts whichever request won it. Any other answer counts only for the last request, as
    a later request may have won what an earlier one found taken.

    Example:
        state, call = claim_answered(state, got, now_ms)
    """
    call = state.calls.get(state.slot_of_claim.get(got.op_id, -1))
    if call is None:
        return state, None
    state = replace(state, slot_of_claim=state.slot_of_claim.delete(got.op_id))
    request = next((each for each in call.claim_requests if each.op_id == got.op_id), None)
    if request is None:
        return state, None
    if not got.reason:
        state = _record_round_trip(state, float(now_ms - request.sent_ms))
    is_last = request is call.claim_requests[-1]
    open_requests = tuple(each for each in call.claim_requests if each is not request)
    call = replace(call, claim_requests=open_requests)
    state = store_call(state, call)
    counts = is_last or (call.phase == Phase.CLAIMING and got.won)
    return state, call if counts else None


def _record_round_trip(state: State, took_ms: float) -> State:
    round_trip = state.claim_round_trip
    sampled = (
        round_trip.with_sample(took_ms) if round_trip is not None else RoundTrip.first(took_ms)
    )
    return replace(state, claim_round_trip=sampled)
