"""Membership: whose disks should count next, by what one member sees of the core.

Pure functions over heartbeats. The membership carries their answers out; the roster's
register decides. Four things change a roster, in this order: a lost disk (another, blank
member runs at a member's very address, and an address has one process), a planned leaver
(it said that it was asked to stop, and a blank one waits elsewhere), growth (the core
has fewer members than it should, and blank ones wait), and a member that went for good
(silent for long, or its store takes no writes for as long, while a blank one waits elsewhere).
A member that copies is waited for before the next change, so that changes come one at a time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import Address, Epoch, MemberId, Ms
from spokeroute.register.cells import Roster
from spokeroute.register.membership.missing_members import MissingMembers, missing_members

HEARTBEAT_MS = 500
CANDIDATE_MS = 1_500
RECENT_MS = 2 * HEARTBEAT_MS + 200
TURN_MS = 150  # members propose one after the other, so that they don't duel


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A core node's last heartbeat."""

    address: Address
    at_ms: Ms
    since_ms: Ms
    epoch: int
    votes: bool
    blank: bool
    hears: tuple[str, ...]
    writable: bool = True
    leaving: bool = False
    unwritable_ms: Ms = Ms(-1)  # since when it says that its store takes no writes
    leaving_ms: Ms = Ms(-1)  # since when it says that it leaves


@dataclass(frozen=True, slots=True)
class CoreView:
    """What one voting member sees."""

    me: MemberId
    roster: Roster
    peer_statuses: Mapping[str, PeerStatus]
    zones: Mapping[str, str]
    silent_ms: int
    members: int
    started_ms: Ms
    now_ms: Ms
    leaving_ms: Ms = Ms(-1)  # since when this member was asked to stop
    epoch_ms: Ms = Ms(0)  # since when this member is at the roster's epoch


def next_roster(view: CoreView) -> Roster | None:
    """The roster that should come next; None where the present one should stay.

    Example:
        next_roster(view) is None
    """
    if still_copying(view):
        return None
    lost = lost_disks(view)
    if lost:
        return _changed(view, lost) if _my_turn(view, lost) else None
    left = leaver_replacement(view)
    if left:
        return _changed(view, left) if _successor_turn(view, left) else None
    grown = _grown(view)
    if grown:
        return _changed(view, {}, grown)
    gone = _gone(view) if view.now_ms - view.started_ms >= view.silent_ms else {}
    return _changed(view, gone) if gone else None


def lost_disks(view: CoreView) -> dict[MemberId, MemberId]:
    """Members whose disks are lost, and the blank member that runs at the address of each.

    Example:
        lost_disks(view) == {}
    """
    found: dict[MemberId, MemberId] = {}
    for member, address in view.roster.members:
        old = view.peer_statuses.get(member)
        there = [
            n
            for n, s in view.peer_statuses.items()
            if _waits(view, n, 0) and s.address == address and (old is None or old.at_ms < s.at_ms)
        ]
        if there and member != view.me:
            found[member] = MemberId(max(there, key=lambda n: (view.peer_statuses[n].at_ms, n)))
    return found


def leavers(view: CoreView) -> dict[MemberId, Ms]:
    """Members that said that they leave, and since when. One that came back and says so no more
    is none.

    Example:
        leavers(view) == {}
    """
    found: dict[MemberId, Ms] = {}
    for member in view.roster.ids:
        sign = view.peer_statuses.get(member)
        if member == view.me and view.leaving_ms >= 0:
            found[member] = view.leaving_ms
        elif member != view.me and sign is not None and sign.leaving:
            found[member] = sign.leaving_ms
    return found


def leaver_replacement(view: CoreView) -> dict[MemberId, MemberId]:
    """One member that leaves, and the blank one that waits and takes its place: at once, since
    the leaver itself said that it goes, and goes on voting until its successor does.

    Example:
        leaver_replacement(view) == {}
    """
    leaving = leavers(view)
    blanks = _free(view, 0)
    full = [m for m in leaving if m != view.me and not view.peer_statuses[m].writable]
    if not leaving or not blanks or not _healthy(view, _silent(view) + full):
        return {}
    leaver = min(leaving, key=lambda m: (leaving[m], m))
    return {leaver: _nearest(view, blanks, leaver)}


def still_copying(view: CoreView) -> bool:
    """Whether a member that joined by the present epoch is here and copies: the next change
    waits for its vote, though no longer than for a silent member. Else the next newcomer had
    to copy from a majority of a roster in which this one counts and has nothing.

    Example:
        still_copying(view) is False
    """
    if view.now_ms - view.epoch_ms >= view.silent_ms:
        return False
    signs = [
        view.peer_statuses[m]
        for m in view.roster.joining
        if m in view.peer_statuses and m != view.me
    ]
    return any(
        not s.votes and not s.blank and s.writable and view.now_ms - s.at_ms < RECENT_MS
        for s in signs
    )


def _successor_turn(view: CoreView, left: Mapping[MemberId, MemberId]) -> bool:
    """The leaver proposes its successor first, the others after it."""
    leaver, blank = next(iter(left.items()))
    since_ms = max(leavers(view)[leaver], view.peer_statuses[blank].since_ms)
    others = [leaver, *(m for m in view.roster.ids if m != leaver)]
    return view.now_ms - since_ms >= others.index(view.me) * TURN_MS


def _nearest(view: CoreView, blanks: list[str], member: MemberId) -> MemberId:
    zone = view.zones.get(member, "")
    return MemberId(min(blanks, key=lambda n: (view.zones.get(n, "") != zone, n)))


def _my_turn(view: CoreView, lost: Mapping[MemberId, MemberId]) -> bool:
    living = [m for m in view.roster.ids if m not in lost]
    since_ms = max(view.peer_statuses[n].since_ms for n in lost.values())
    return view.now_ms - since_ms >= living.index(view.me) * TURN_MS


def _waits(view: CoreView, node: str, for_ms: int) -> bool:
    """Whether a blank registry is here now, and was for a while."""
    sign = view.peer_statuses[node]
    return (
        sign.blank
        and sign.writable
        and node not in view.roster.ids
        and sign.address != ""
        and view.now_ms - sign.at_ms < RECENT_MS
        and view.now_ms - sign.since_ms >= for_ms
    )


def _silent(view: CoreView) -> list[MemberId]:
    return [
        m
        for m in view.roster.ids
        if m != view.me
        and (
            m not in view.peer_statuses
            or view.now_ms - view.peer_statuses[m].at_ms > view.silent_ms
        )
    ]


def _unwritable(view: CoreView) -> list[MemberId]:
    """Members that are here, and whose stores have taken no writes for long."""
    signs = view.peer_statuses
    return [
        m
        for m in view.roster.ids
        if m != view.me
        and m in signs
        and not signs[m].writable
        and view.now_ms - signs[m].unwritable_ms > view.silent_ms
    ]


def missing_majority(view: CoreView) -> MissingMembers | None:
    """Who is missing, where a majority was silent for longer than a silent member is waited for.

    Example:
        missing_majority(view) is None
    """
    if view.now_ms - view.started_ms < view.silent_ms:
        return None
    silent = _silent(view)
    missing = missing_members(view.roster, [m for m in view.roster.ids if m not in silent])
    return missing if missing.needed > 0 else None


def _free(view: CoreView, for_ms: int = CANDIDATE_MS) -> list[str]:
    """Blank registries that wait at addresses of their own, in the order to be taken."""
    taken = {a for _, a in view.roster.members}
    return sorted(
        n
        for n, s in view.peer_statuses.items()
        if _waits(view, n, for_ms) and s.address not in taken
    )


def _healthy(view: CoreView, away: list[MemberId]) -> bool:
    """Whether all that are not away vote and take writes, and are a majority: a newcomer copies
    from them."""
    here = [view.peer_statuses[m] for m in view.roster.ids if m != view.me and m not in away]
    whole = all(sign.votes and sign.writable for sign in here)
    return whole and len(here) + 1 >= view.roster.majority


def _gone(view: CoreView) -> dict[MemberId, MemberId]:
    """One member that went for good, and the blank one that takes its place, of its own zone
    if there is one.

    None of the others hears it: a member behind a cut is not a lost one. One whose store takes
    no writes says so itself.
    """
    silent = _silent(view)
    unwritable = [m for m in _unwritable(view) if m not in silent]
    if not _healthy(view, silent + unwritable):
        return {}
    unheard = [
        m
        for m in silent
        if not any(
            m in view.peer_statuses[other].hears
            for other in view.roster.ids
            if other in view.peer_statuses and other not in silent
        )
    ]
    blanks = _free(view)
    away = unheard + unwritable
    if not away or not blanks or len(unheard) < len(silent):
        return {}
    gone = min(
        away, key=lambda m: (view.peer_statuses[m].at_ms if m in view.peer_statuses else -1, m)
    )
    return {gone: _nearest(view, blanks, gone)}


def _grown(view: CoreView) -> list[MemberId]:
    """Blank registries to be taken in so that the core has as many members as it should, an odd
    number; from the zones that have the fewest."""
    blanks = _free(view)
    size = len(view.roster.members)
    room = min(len(blanks), view.members - size)
    room -= (size + room + 1) % 2
    if room <= 0 or _silent(view) or not _healthy(view, []):
        return []
    count: dict[str, int] = {}
    for member in view.roster.ids:
        zone = view.zones.get(member, "")
        count[zone] = count.get(zone, 0) + 1
    taken: list[MemberId] = []
    for _ in range(room):
        best = min(blanks, key=lambda n: (count.get(view.zones.get(n, ""), 0), n))
        blanks.remove(best)
        zone = view.zones.get(best, "")
        count[zone] = count.get(zone, 0) + 1
        taken.append(MemberId(best))
    return taken


def _changed(
    view: CoreView, instead: Mapping[MemberId, MemberId], more: list[MemberId] | None = None
) -> Roster:
    """The next epoch. Whoever joins, or joined and is not yet known to vote, copies first."""
    old = view.roster
    members: list[tuple[MemberId, Address]] = []
    for member, address in old.members:
        newcomer = instead.get(member)
        members.append(
            (newcomer, view.peer_statuses[newcomer].address) if newcomer else (member, address)
        )
    members.extend((m, view.peer_statuses[m].address) for m in more or ())
    joining = [*instead.values(), *(more or ())]
    ids = {m for m, _ in members}
    for member in old.joining:
        sign = view.peer_statuses.get(member)
        if member in ids and member != view.me and not (sign is not None and sign.votes):
            joining.append(member)
    return Roster(Epoch(old.epoch + 1), tuple(members), old.ids, tuple(sorted(joining)))
