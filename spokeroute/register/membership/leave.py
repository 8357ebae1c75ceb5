"""Leaving: decides what a member that was asked to stop still has to do for the core.

While its place is being taken, or if the core had no majority without it, it goes on voting. Once
out of the roster, it serves its cells to the newcomers until all of them vote. If there is no
successor, it hands over what only it may hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from spokeroute.common.ids import MemberId
from spokeroute.register.membership.handover import CancelHandover, StartHandover
from spokeroute.register.membership.policy import (
    RECENT_HEARTBEAT_MS,
    CoreView,
    leaver_replacement,
    leaving_members,
)
from spokeroute.register.membership.policy import still_copying as newcomer_copies

SUCCESSOR_WAIT_MS = 1_200  # a successor that is started along with the stop is heard within this
STOP_MARGIN_MS = 600  # of the grace time, reserved for stopping the process


@dataclass(frozen=True, slots=True)
class Leave:
    """To membership: the process was asked to stop."""


class LeaveStatus(Enum):
    """Whether a leaving member may stop."""

    NEEDED = "it votes, or newcomers copy from it"
    HANDING_OVER = "it may stop once the handover is done"
    MAY_STOP = "nothing depends on it"


def leave_decision(
    view: CoreView, votes: bool, proposing: bool
) -> tuple[LeaveStatus, StartHandover | CancelHandover]:
    """Returns whether this leaving member may stop, and the order for its handover.

    Example:
        leave_decision(view, True, False)[0] is LeaveStatus.HANDING_OVER
    """
    if view.me not in view.roster.ids:
        return (LeaveStatus.NEEDED if _newcomers(view) else LeaveStatus.MAY_STOP), CancelHandover()
    if not votes:
        # It is still copying: nothing is on its disk alone.
        return LeaveStatus.MAY_STOP, CancelHandover()
    staying = staying_members(view)
    if not staying:
        return LeaveStatus.HANDING_OVER, StartHandover(())
    waited_ms = view.now_ms - view.leaving_ms
    taken = bool(leaver_replacement(view)) or proposing or newcomer_copies(view)
    if taken or waited_ms < SUCCESSOR_WAIT_MS or len(_voting_members(view)) < view.roster.majority:
        return LeaveStatus.NEEDED, CancelHandover()
    return LeaveStatus.HANDING_OVER, StartHandover(staying)


def staying_members(view: CoreView) -> tuple[MemberId, ...]:
    """Returns the other members that have not reported that they leave too.

    Example:
        staying_members(view) == ()
    """
    leaving = leaving_members(view)
    return tuple(m for m in view.roster.ids if m != view.me and m not in leaving)


def _voting_members(view: CoreView) -> list[MemberId]:
    """Returns the other members that vote and were heard recently, including leaving ones."""
    statuses = view.peer_statuses
    return [
        m
        for m in view.roster.ids
        if m in statuses
        and statuses[m].votes
        and view.now_ms - statuses[m].at_ms < RECENT_HEARTBEAT_MS
    ]


def _newcomers(view: CoreView) -> list[MemberId]:
    """Returns the members that joined in the epoch in which this one left the roster, and that are
    not known to vote in it."""
    epoch = view.roster.epoch
    statuses = view.peer_statuses
    return [
        m
        for m in view.roster.joining
        if m not in statuses or not (statuses[m].votes and statuses[m].epoch >= epoch)
    ]
