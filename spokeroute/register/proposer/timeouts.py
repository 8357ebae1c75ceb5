"""How long an ask is tried for, and why it was given up."""

from __future__ import annotations

from spokeroute.common.ids import Ms
from spokeroute.register.changes import Ask
from spokeroute.register.membership.missing import missing_of
from spokeroute.register.proposer.rounds import Operation, Round, State, lacks_majority

ABSENT_AFTER_MS = 1_500  # a member that was silent for so long has missed something
STARTUP_CONTACT_MS = 700  # a process that had no contact yet is still meeting the others


def new_operation(ask: Ask, now_ms: Ms) -> Operation:
    """An ask that begins now.

    Example:
        op_of(ask, now_ms).deadline_ms == now_ms + ask.wait_ms
    """
    fail_fast_after_ms = Ms(now_ms + ask.alone_ms) if ask.alone_ms else Ms(-1)
    return Operation(ask, Ms(now_ms + ask.wait_ms), fail_fast_after_ms=fail_fast_after_ms)


def lacks_required_contact(state: State, op: Operation, now_ms: Ms) -> bool:
    """Whether an op that should not wait for contact has none.

    Example:
        lacks_required_contact(state, op, now_ms) is False
    """
    if op.fail_fast_after_ms < 0:
        return False
    more_ms = 0 if state.contact_ms else STARTUP_CONTACT_MS
    return now_ms >= op.fail_fast_after_ms + more_ms and lacks_majority(state, now_ms)


def timeout_reason(state: State, current: Round, now_ms: Ms) -> str:
    """Who would have been needed, in words for the asker.

    Example:
        timeout_reason(State(me, 1), current, now_ms) == "this registry has no roster yet"
    """
    if state.roster is None:
        return "this registry has no roster yet"
    heard = {m for m, (_, at_ms) in state.last_heard.items() if now_ms - at_ms < ABSENT_AFTER_MS}
    here = heard | {state.me, *current.promises, *current.accepted}
    missing = missing_of(state.roster, here).text
    if lacks_majority(state, now_ms):
        return f"this registry has contact with no majority; {missing}"
    return missing
