"""Deadlines of operations, and the reason reported when one times out."""

from __future__ import annotations

from spokeroute.common.ids import Ms
from spokeroute.register.changes import Ask
from spokeroute.register.membership.missing_members import missing_members
from spokeroute.register.proposer.rounds import Operation, Round, State, lacks_majority

ABSENT_AFTER_MS = 1_500  # after this silence a member has missed some rounds
STARTUP_CONTACT_MS = 700  # extra time for a new process that has had no contact yet


def new_operation(ask: Ask, now_ms: Ms) -> Operation:
    """Start an operation for a request.

    Example:
        new_operation(ask, now_ms).deadline_ms == now_ms + ask.wait_ms
    """
    fail_fast_after_ms = Ms(now_ms + ask.no_majority_wait_ms) if ask.no_majority_wait_ms else Ms(-1)
    return Operation(ask, Ms(now_ms + ask.wait_ms), fail_fast_after_ms=fail_fast_after_ms)


def lacks_required_contact(state: State, operation: Operation, now_ms: Ms) -> bool:
    """Whether an operation that must not wait for a reachable majority has none.

    Example:
        lacks_required_contact(state, operation, now_ms) is False
    """
    if operation.fail_fast_after_ms < 0:
        return False
    more_ms = 0 if state.contact_ms else STARTUP_CONTACT_MS
    return now_ms >= operation.fail_fast_after_ms + more_ms and lacks_majority(state, now_ms)


def timeout_reason(state: State, current: Round, now_ms: Ms) -> str:
    """The reason reported to the requester: which members would have been needed.

    Example:
        timeout_reason(State(me, 1), current, now_ms) == "this registry has no roster yet"
    """
    if state.roster is None:
        return "this registry has no roster yet"
    heard = {m for m, (_, at_ms) in state.last_heard.items() if now_ms - at_ms < ABSENT_AFTER_MS}
    here = heard | {state.me, *current.promises, *current.accepted}
    missing = missing_members(state.roster, here).text
    if lacks_majority(state, now_ms):
        return f"this registry has contact with no majority; {missing}"
    return missing
