"""Leaving: what a member that was asked to stop still owes the core.

While its place is being taken, or the core had no majority without it, it goes on voting. Out of
the roster it gives its cells to the newcomers until all of them vote. Where no successor waits, it
hands over what it alone may hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from spokeroute.common.ids import MemberId
from spokeroute.register.handover import Hand, Hold
from spokeroute.register.membership_policy import RECENT_MS, CoreView, leavers, succession
from spokeroute.register.membership_policy import still_copying as newcomer_copies

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


def parting(sight: CoreView, votes: bool, proposing: bool) -> tuple[Standing, Hand | Hold]:
    """Whether this member, which leaves, may end, and the order for its handover.

    Example:
        parting(sight, True, False)[0] is Standing.HANDING
    """
    if sight.me not in sight.roster.ids:
        return (Standing.NEEDED if _newcomers(sight) else Standing.FREE), Hold()
    if not votes:
        return Standing.FREE, Hold()  # it copies itself: nothing is on its disk alone
    staying = stayers(sight)
    if not staying:
        return Standing.HANDING, Hand(())
    waited_ms = sight.now_ms - sight.leaving_ms
    taken = bool(succession(sight)) or proposing or newcomer_copies(sight)
    if taken or waited_ms < SUCCESSOR_MS or len(_here(sight)) < sight.roster.majority:
        return Standing.NEEDED, Hold()
    return Standing.HANDING, Hand(staying)


def stayers(sight: CoreView) -> tuple[MemberId, ...]:
    """The other members that did not say that they leave, too.

    Example:
        stayers(sight) == ()
    """
    leaving = leavers(sight)
    return tuple(m for m in sight.roster.ids if m != sight.me and m not in leaving)


def _here(sight: CoreView) -> list[MemberId]:
    """The other members that vote and were heard of lately, those that leave, too."""
    signs = sight.signs
    return [
        m
        for m in sight.roster.ids
        if m in signs and signs[m].votes and sight.now_ms - signs[m].at_ms < RECENT_MS
    ]


def _newcomers(sight: CoreView) -> list[MemberId]:
    """Members that joined by the epoch that this one left by, and are not known to vote in it."""
    epoch = sight.roster.epoch
    signs = sight.signs
    return [
        m
        for m in sight.roster.joining
        if m not in signs or not (signs[m].votes and signs[m].epoch >= epoch)
    ]
