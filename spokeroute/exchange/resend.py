"""Why a call may be sent once more: the one place that allows it, and what is noted of it."""

from __future__ import annotations

from enum import StrEnum

from immutables import Map

from spokeroute.common.effects import Note
from spokeroute.exchange.types import Call


class ResendReason(StrEnum):
    """What makes one more send of a call harmless."""

    NEVER_SENT = "never sent"
    """The send before never left this process, or was never handed to an instance."""
    NOT_RUN = "not run"
    """Whoever had the send before said that it did not run and will not."""
    REPEATABLE = "repeatable"
    """The send before may have run, and the call may run more than once."""


def resend_reason(call: Call) -> ResendReason | None:
    """Why a call that was sent before may be sent again; None where it may not.

    Example:
        resend_reason(call) is ResendReason.NOT_RUN
    """
    if call.may_have_run or call.attempts:
        return None if call.at_most_once else ResendReason.REPEATABLE
    return ResendReason.NEVER_SENT if call.unsent else ResendReason.NOT_RUN


def count_resend(
    resends: Map[str, int], call: Call, why: ResendReason, instance: str
) -> tuple[Map[str, int], Note]:
    """The count by reason with one more, and the line for the ring log.

    Example:
        resends, note = count_resend(resends, call, ResendReason.NOT_RUN, "i1")
    """
    count = resends.get(why, 0) + 1
    last = f" ({call.reason})" if call.reason else ""
    text = (
        f"send {call.send_count + 1} of {call.request.call_id} to {instance}: "
        f"{why.value}{last}; {count}"
    )
    return resends.set(why, count), Note(text)
