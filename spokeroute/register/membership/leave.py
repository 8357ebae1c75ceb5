"""Leaving: what a member that was asked to stop still owes the core.

While its place is being taken, or the core had no majority without it, it goes on voting. Out of
the roster it gives its cells to the newcomers until all of them vote. Where no successor waits, it
hands over what it alone may hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from spokeroute.common.ids import MemberId
from spokeroute.register.membership.handover import CancelHandover, StartHandover
from spokeroute.register.membership.policy import RECENT_MS, CoreView, leaver_replacement, leavers
from spokeroute.register.membership.policy import still_copying as newcomer_copies

SUCCESSOR_MS = 1_200  # a successor that was started with the stop is met within this
STOP_MARGIN_MS = 600  # of the grace time, for the end itself


@dataclass(frozen=True, slots=True)
class Leave:
    """To membership: the process is asked to stop."""


class LeaveStatus(Enum):
    """Whether a member that leaves may end."""

    NEEDED = "it votes, or newcomers copy from it"
    HANDING_OVER = "it may end once the handover is done"
    MAY_STOP = "nothing depends on it"


def parting(
    view: CoreView, votes: bool, proposing: bool
) -> tuple[LeaveStatus, StartHandover | CancelHandover]:
    """Whether this member, which leaves, may end, and the order for its handover.

    Example:
        parting(view, True, False)[0] is LeaveStatus.HANDING_OVER
    """
    if view.me not in view.roster.ids:
        return (LeaveStatus.NEEDED if _newcomers(view) else LeaveStatus.MAY_STOP), CancelHandover()
    if not votes:
        return (
            LeaveStatus.MAY_STOP,
            CancelHandover(),
        )  # it copies itself: nothing is on its disk alone
    staying = stayers(view)
    if not staying:
        return LeaveStatus.HANDING_OVER, StartHandover(())
    waited_ms = view.now_ms - view.leaving_ms
    taken = bool(leaver_replacement(view)) or proposing or newcomer_copies(view)
    if taken or waited_ms < SUCCESSOR_MS or len(_here(view)) < view.roster.majority:
        return LeaveStatus.NEEDED, CancelHandover()
    return LeaveStatus.HANDING_OVER, StartHandover(staying)


def stayers(view: CoreView) -> tuple[MemberId, ...]:
    """The other members that did not say that they leave, too.

    Example:
        stayers(view) == ()
    """
    leaving = leavers(view)
    return tuple(m for m in view.roster.ids if m != view.me and m not in leaving)


def _here(view: CoreView) -> list[MemberId]:
    """The other members that vote and were heard of lately, those that leave, too."""
    signs = view.peer_statuses
    return [
        m
        for m in view.roster.ids
        if m in signs and signs[m].votes and view.now_ms - signs[m].at_ms < RECENT_MS
    ]


def _newcomers(view: CoreView) -> list[MemberId]:
    """Members that joined by the epoch that this one left by, and are not known to vote in it."""
    epoch = view.roster.epoch
    signs = view.peer_statuses
    return [
        m
        for m in view.roster.joining
        if m not in signs or not (signs[m].votes and signs[m].epoch >= epoch)
    ]
