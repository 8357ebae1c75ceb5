"""Leaving: what a member that was asked to stop still owes the core.

While its place is being taken, or the core had no majority without it, it goes on voting. Out of
the roster it gives its cells to the newcomers until all of them vote. Where no successor waits, it
hands over what it alone may hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from spokeroute.common.ids import MemberId
from spokeroute.register.membership.handover import Hand, Hold
from spokeroute.register.membership.policy import RECENT_MS, CoreView, leavers, succession
from spokeroute.register.membership.policy import still_copying as newcomer_copies

SUCCESSOR_MS = 1_200  # a successor that was started with the stop is met within this
MARGIN_MS = 600  # of the grace time, for the end itself


@dataclass(frozen=True, slots=True)
class Leave:
    """To membership: the process is asked to stop."""


class Standing(Enum):
    """Whether a member that leaves may end."""

    NEEDED = "it votes, or newcomers copy from it"
    HANDING = "it may end once the handover is done"
    FREE = "nothing depends on it"


def parting(view: CoreView, votes: bool, proposing: bool) -> tuple[Standing, Hand | Hold]:
    """Whether this member, which leaves, may end, and the order for its handover.

    Example:
        parting(view, True, False)[0] is Standing.HANDING
    """
    if view.me not in view.roster.ids:
        return (Standing.NEEDED if _newcomers(view) else Standing.FREE), Hold()
    if not votes:
        return Standing.FREE, Hold()  # it copies itself: nothing is on its disk alone
    staying = stayers(view)
    if not staying:
        return Standing.HANDING, Hand(())
    waited_ms = view.now_ms - view.leaving_ms
    taken = bool(succession(view)) or proposing or newcomer_copies(view)
    if taken or waited_ms < SUCCESSOR_MS or len(_here(view)) < view.roster.majority:
        return Standing.NEEDED, Hold()
    return Standing.HANDING, Hand(staying)


def stayers(view: CoreView) -> tuple[MemberId, ...]:
    """The other members that did not say that they leave, too.

    Example:
        stayers(view) == ()
    """
    leaving = leavers(view)
    return tuple(m for m in view.roster.ids if m != view.me and m not in leaving)


def _here(view: CoreView) -> list[MemberId]:
    """The other members that vote and were heard of lately, those that leave, too."""
    signs = view.signs
    return [
        m
        for m in view.roster.ids
        if m in signs and signs[m].votes and view.now_ms - signs[m].at_ms < RECENT_MS
    ]


def _newcomers(view: CoreView) -> list[MemberId]:
    """Members that joined by the epoch that this one left by, and are not known to vote in it."""
    epoch = view.roster.epoch
    signs = view.signs
    return [
        m
        for m in view.roster.joining
        if m not in signs or not (signs[m].votes and signs[m].epoch >= epoch)
    ]
