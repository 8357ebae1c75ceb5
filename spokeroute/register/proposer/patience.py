"""How long an ask is tried for, and why it was given up."""

from __future__ import annotations

from spokeroute.common.ids import Ms
from spokeroute.register.changes import Ask
from spokeroute.register.membership.missing_members import missing_members
from spokeroute.register.proposer.rounds import Op, Round, State, alone

AWAY_MS = 1_500  # a member that was silent for so long has missed something
MEETING_MS = 700  # a process that had no contact yet is still meeting the others


def op_of(ask: Ask, now_ms: Ms) -> Op:
    """An ask that begins now.

    Example:
        op_of(ask, now_ms).deadline_ms == now_ms + ask.wait_ms
    """
    alone_after_ms = Ms(now_ms + ask.no_majority_wait_ms) if ask.no_majority_wait_ms else Ms(-1)
    return Op(ask, Ms(now_ms + ask.wait_ms), alone_after_ms=alone_after_ms)


def hopeless(state: State, op: Op, now_ms: Ms) -> bool:
    """Whether an op that should not wait for contact has none.

    Example:
        hopeless(state, op, now_ms) is False
    """
    if op.alone_after_ms < 0:
        return False
    more_ms = 0 if state.contact_ms else MEETING_MS
    return now_ms >= op.alone_after_ms + more_ms and alone(state, now_ms)


def why_given_up(state: State, current: Round, now_ms: Ms) -> str:
    """Who would have been needed, in words for the asker.

    Example:
        why_given_up(State(me, 1), current, now_ms) == "this registry has no roster yet"
    """
    if state.roster is None:
        return "this registry has no roster yet"
    heard = {m for m, (_, at_ms) in state.heard.items() if now_ms - at_ms < AWAY_MS}
    here = heard | {state.me, *current.promises, *current.accepted}
    missing = missing_members(state.roster, here).text
    if alone(state, now_ms):
        return f"this registry has contact with no majority; {missing}"
    return missing
