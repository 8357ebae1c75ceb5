"""The reasons that holders and senders give entries for an attempt without an answer.

The texts travel between exchanges, and entries act on them: on the whole text, or on the cause
that it starts with. Processes of another version may send them, so they must not change.
"""

from __future__ import annotations

from enum import StrEnum

NOT_HELD = "not held here"
DRAINS = "draining"  # the instance accepts no more calls and is about to be stopped
BUSY = "busy"  # the queue is full
LEFT_QUEUE = "left the queue"
NO_ROOM_IN_TIME = "no room in time"


class Cause(StrEnum):
    """The first part of a reason.

    Example:
        >>> Cause.LOST.with_detail("its link broke")
        'lost: its link broke'
    """

    REFUSED = "refused"  # the instance rejected the call without running it
    UNREACHED = "unreached"  # no connection to the instance
    DOWN = "down"  # not tried: the instance or its holder is known to be unreachable
    LOST = "lost"  # it was sent, and no answer will arrive
    BAD_ANSWER = "bad answer"  # it was sent, and the answer is incomplete or malformed

    def with_detail(self, detail: str) -> str:
        """The reason text with a detail.

        Example:
            >>> Cause.DOWN.with_detail("it could not be reached lately")
            'down: it could not be reached lately'
        """
        return f"{self.value}: {detail}"


def caused_by(reason: str, *causes: Cause) -> bool:
    """Whether a reason has one of these causes.

    Example:
        >>> caused_by("lost: its link broke", Cause.LOST, Cause.UNREACHED)
        True
    """
    return reason.startswith(causes)
