"""Tracks since when this process has heard a majority of the core without interruption.

A process that hears no majority keeps using its last proof for a long time, because the core may be
down. A process that does hear a majority can't rely on that: if its configuration still stays
unproved, the fault is on this side, and an outdated configuration must not stay in force for longer
than a change may take to come into force.
"""

from __future__ import annotations

from collections.abc import Iterable

from spokeroute.common.ids import CONFIGURATION, Ms
from spokeroute.common.replacing import replace
from spokeroute.register.replica.state import Answer, MajorityContact, State

CONTACT_TIMEOUT_MS = 2_000
NOTICE_INTERVAL_MS = 200


def hears_majority(answers: Iterable[Answer], majority: int, now_ms: Ms) -> bool:
    """Returns whether a majority of the members answered within the contact timeout.

    Example:
        >>> hears_majority((), 2, Ms(0))
        False
    """
    return sum(1 for each in answers if now_ms - each.heard_ms <= CONTACT_TIMEOUT_MS) >= majority


def with_answer(state: State, node: str, answer: Answer, majority: int) -> State:
    """Records a member's newest answer, and when contact with a majority began.

    Example:
        state = with_answer(state, "m1", answer, 3)
    """
    now_ms = answer.heard_ms
    before = hears_majority(state.answers.values(), majority, now_ms)
    answers = state.answers.set(node, answer)
    if before or not hears_majority(answers.values(), majority, now_ms):
        return replace(state, answers=answers)
    return replace(state, answers=answers, contact_since_ms=now_ms)


def contact_notice(state: State, majority: int, now_ms: Ms) -> tuple[State, MajorityContact | None]:
    """Returns the notice for the listeners while the configuration stays unproved for longer than
    the lease although a majority is heard; None if none is due.

    Example:
        state, notice = contact_notice(state, 3, now_ms)
    """
    proved_ms = state.proved_ms_by_register.get(CONFIGURATION, Ms(-1))
    recent = now_ms - proved_ms <= state.bounds.lease_ms
    if proved_ms < 0 or recent or now_ms - state.contact_notified_ms < NOTICE_INTERVAL_MS:
        return state, None
    if not hears_majority(state.answers.values(), majority, now_ms):
        return state, None
    return replace(state, contact_notified_ms=now_ms), MajorityContact(
        state.contact_since_ms, now_ms
    )
