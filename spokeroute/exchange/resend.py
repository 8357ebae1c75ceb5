"""The only place that decides whether a call may be sent again, and the counts of the reasons."""

from __future__ import annotations

from enum import StrEnum

from immutables import Map

from spokeroute.common.effects import Note
from spokeroute.exchange.types import Call


class ResendReason(StrEnum):
    """Why another send of a call is safe."""

    NEVER_SENT = "never sent"
    """The previous attempt never left this process, or was never sent to an instance."""
    NOT_RUN = "not run"
    """Whoever had the previous attempt confirmed that it did not and will not run."""
    REPEATABLE = "repeatable"
    """The previous attempt may have run, but the call may run more than once."""


def resend_reason(call: Call) -> ResendReason | None:
    """Why a call that was sent before may be sent again; None if it may not.

    Example:
        resend_reason(call) is ResendReason.NOT_RUN
    """
    if call.may_have_run or call.attempts:
        return None if call.at_most_once else ResendReason.REPEATABLE
    return ResendReason.NEVER_SENT if call.unsent else ResendReason.NOT_RUN


def count_resend(
    resends: Map[str, int], call: Call, why: ResendReason, instance: str
) -> tuple[Map[str, int], Note]:
    """The counts by reason with one more resend, and a line for the log.

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
