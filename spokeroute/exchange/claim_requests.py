"""The asks of members for what a call's key needs: whom, and when another one.

A claim takes two rounds, each behind a sync. Another member that is asked meanwhile begins a round
of its own on the same register, and stops the first. So the next ask waits for what claims took
lately, and twice as long after each ask without an answer.
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
MAX_RETRY_MS = 2_000  # a member gives a claim up by itself then


def send_claim_request(state: State, call: Call, to: str, now_ms: Ms) -> tuple[State, Effects]:
    """Ask a registry for what a call's key needs: its claim, or that it is freed.

    Example:
        state, effects = send_claim_request(state, call, "claim", now_ms)
    """
    op_id = f"{call.request.call_id}/{to}/{state.operation_count}"
    state = replace(state, operation_count=state.operation_count + 1)
    asked = (*call.claim_requests, ClaimRequest(op_id, now_ms))
    call = replace(call, claim_requests=asked, claim_request_count=call.claim_request_count + 1)
    state = replace(
        store_call(state, call),
        slot_of_claim=state.slot_of_claim.set(op_id, call.request.slot.index),
    )
    registries = state.registries
    if not registries:
        return state, ()
    first = sum(call.request.call_id.encode())  # each ask goes to the next registry
    node = registries[(first + call.claim_request_count) % len(registries)]
    return state, (Send(node, claim_message(call, op_id, to, now_ms)),)


def retry_due(state: State, call: Call, now_ms: Ms) -> bool:
    """Whether another member is to be asked, as the last one asked has not answered in time.

    Example:
        retry_due(state, call, now_ms)
    """
    if not call.claim_requests:
        return True
    waited_ms = now_ms - call.claim_requests[-1].sent_ms
    return waited_ms >= retry_after_ms(state.claim_round_trip, call.claim_request_count)


def retry_after_ms(trip: RoundTrip | None, tries: int) -> float:
    """How long the last of so many asks is waited for.

    Example:
        >>> [retry_after_ms(None, tries) for tries in (1, 2, 3, 4)]
        [300.0, 600.0, 1200.0, 2000.0]
    """
    seen_ms = trip.timeout_ms if trip is not None else 0.0
    first_ms = max(float(MIN_RETRY_MS), seen_ms)
    return min(float(MAX_RETRY_MS), first_ms * 2.0 ** (tries - 1))


def claim_answered(state: State, got: ClaimGot, now_ms: Ms) -> tuple[State, Call | None]:
    """The state after a member's answer, and the call if the answer counts for it. A claim that was
    won counts whichever ask won it; any other answer counts if it is to the last ask, as a later
    one may have won what an earlier one found taken.

    Example:
        state, call = claim_answered(state, got, now_ms)
    """
    call = state.calls.get(state.slot_of_claim.get(got.op_id, -1))
    if call is None:
        return state, None
    state = replace(state, slot_of_claim=state.slot_of_claim.delete(got.op_id))
    asked = next((each for each in call.claim_requests if each.op_id == got.op_id), None)
    if asked is None:
        return state, None
    if not got.reason:
        state = _record_round_trip(state, float(now_ms - asked.sent_ms))
    is_last = asked is call.claim_requests[-1]
    left = tuple(each for each in call.claim_requests if each is not asked)
    call = replace(call, claim_requests=left)
    state = store_call(state, call)
    counts = is_last or (call.phase == Phase.CLAIMING and got.won)
    return state, call if counts else None


def _record_round_trip(state: State, took_ms: float) -> State:
    trip = state.claim_round_trip
    sampled = trip.sampled(took_ms) if trip is not None else RoundTrip.first(took_ms)
    return replace(state, claim_round_trip=sampled)
