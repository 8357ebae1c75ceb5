"""Why an attempt ended without an answer, as holders and senders say it to entries.

The texts travel between exchanges, and an entry decides by them: by the whole text, or by the
cause that it begins with. Another life of the program may say them, so they stay as they are.
"""

from __future__ import annotations

from enum import StrEnum

NOT_HELD = "not held here"
DRAINS = "draining"  # its instance takes no calls any more, and is stopped
BUSY = "busy"  # a queue is as long as it may be
LEFT_QUEUE = "left the queue"
NO_ROOM_IN_TIME = "no room in time"


class Cause(StrEnum):
    """What a reason begins with.

    Example:
        >>> Cause.LOST.with_detail("its link broke")
        'lost: its link broke'
    """

    REFUSED = "refused"  # the instance turned it away, and did not run it
    UNREACHED = "unreached"  # no connection to the instance
    DOWN = "down"  # nothing was tried: the instance or its holder is known to be out of reach
    LOST = "lost"  # it was sent, and no answer comes any more
    BAD_ANSWER = "bad answer"  # it was sent, and the answer is not whole

    def with_detail(self, detail: str) -> str:
        """The reason with its detail.

        Example:
            >>> Cause.DOWN.with_detail("it could not be reached lately")
            'down: it could not be reached lately'
        """
        return f"{self.value}: {detail}"


def caused_by(reason: str, *causes: Cause) -> bool:
    """Whether a reason begins with one of these causes.

    Example:
        >>> caused_by("lost: its link broke", Cause.LOST, Cause.UNREACHED)
        True
    """
    return reason.startswith(causes)
