"""Since when a process hears a majority of the core without a gap.

Who hears no majority goes on by its last proof for long, as the core may be gone. Who does hear one
can't claim that: where its configuration stays unproved all the same, something is wrong here, and
an older configuration must not rule for longer than a change may take to be in force.
"""

from __future__ import annotations

from collections.abc import Iterable

from spokeroute.common.ids import CONFIGURATION, Ms
from spokeroute.common.replacing import replace
from spokeroute.register.replica.state import Answer, MajorityContact, State

GAP_MS = 2_000  # without a majority's answers for so long, contact was lost
TOLD_EVERY_MS = 200


def hears_majority(answers: Iterable[Answer], majority: int, now_ms: Ms) -> bool:
    """Whether a majority of the members was heard lately.

    Example:
        >>> hears_majority((), 2, Ms(0))
        False
    """
    return sum(1 for each in answers if now_ms - each.heard_ms <= GAP_MS) >= majority


def with_answer(state: State, node: str, answer: Answer, majority: int) -> State:
    """With a member's newest answer, and since when a majority is heard.

    Example:
        state = with_answer(state, "m1", answer, 3)
    """
    now_ms = answer.heard_ms
    before = hears_majority(state.answers.values(), majority, now_ms)
    answers = state.answers.set(node, answer)
    if before or not hears_majority(answers.values(), majority, now_ms):
        return replace(state, answers=answers)
    return replace(state, answers=answers, contact_ms=now_ms)


def told_contact(state: State, majority: int, now_ms: Ms) -> tuple[State, MajorityContact | None]:
    """What whoever decides hears while the configuration stays unproved in spite of contact.

    Example:
        state, told = told_contact(state, 3, now_ms)
    """
    proved_ms = state.proved_of.get(CONFIGURATION, Ms(-1))
    young = now_ms - proved_ms <= state.bounds.lease_ms
    if proved_ms < 0 or young or now_ms - state.told_contact_ms < TOLD_EVERY_MS:
        return state, None
    if not hears_majority(state.answers.values(), majority, now_ms):
        return state, None
    return replace(state, told_contact_ms=now_ms), MajorityContact(state.contact_ms, now_ms)
