"""Membership: whose disks should count next, by what one member sees of the core.

Pure functions over signs of life. The steward carries their answers out; the roster's
register decides. Three things change a roster, in this order: a lost disk (another, blank
member runs at a member's very address, and an address has one process), growth (the core
has fewer members than it should, and blank ones wait), and a member that went for good
(silent for long, or its store takes no writes for as long, while a blank one waits elsewhere).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import Address, Epoch, MemberId, Ms
from spokeroute.register.cells import Roster

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


@dataclass(frozen=True, slots=True)
class CoreView:
    """What one voting member sees."""

    me: MemberId
    roster: Roster
    signs: Mapping[str, PeerStatus]
    zones: Mapping[str, str]
    silent_ms: int
    members: int
    started_ms: Ms
    now_ms: Ms


def next_roster(sight: CoreView) -> Roster | None:
    """The roster that should come next; None where the present one should stay.

    Example:
        next_roster(sight) is None
    """
    lost = lost_disks(sight)
    if lost:
        return _changed(sight, lost) if _my_turn(sight, lost) else None
    grown = _grown(sight)
    if grown:
        return _changed(sight, {}, grown)
    gone = _gone(sight) if sight.now_ms - sight.started_ms >= sight.silent_ms else {}
    return _changed(sight, gone) if gone else None


def lost_disks(sight: CoreView) -> dict[MemberId, MemberId]:
    """Members whose disks are lost, and the blank member that runs at the address of each.

    Example:
        lost_disks(sight) == {}
    """
    found: dict[MemberId, MemberId] = {}
    for member, address in sight.roster.members:
        old = sight.signs.get(member)
        there = [
            n
            for n, s in sight.signs.items()
            if _waits(sight, n, 0) and s.address == address and (old is None or old.at_ms < s.at_ms)
        ]
        if there and member != sight.me:
            found[member] = MemberId(max(there, key=lambda n: (sight.signs[n].at_ms, n)))
    return found


def _my_turn(sight: CoreView, lost: Mapping[MemberId, MemberId]) -> bool:
    living = [m for m in sight.roster.ids if m not in lost]
    since_ms = max(sight.signs[n].since_ms for n in lost.values())
    return sight.now_ms - since_ms >= living.index(sight.me) * TURN_MS


def _waits(sight: CoreView, node: str, for_ms: int) -> bool:
    """Whether a blank registry is here now, and was for a while."""
    sign = sight.signs[node]
    return (
        sign.blank
        and sign.writable
        and node not in sight.roster.ids
        and sign.address != ""
        and sight.now_ms - sign.at_ms < RECENT_MS
        and sight.now_ms - sign.since_ms >= for_ms
    )


def _silent(sight: CoreView) -> list[MemberId]:
    return [
        m
        for m in sight.roster.ids
        if m != sight.me
        and (m not in sight.signs or sight.now_ms - sight.signs[m].at_ms > sight.silent_ms)
    ]


def _unwritable(sight: CoreView) -> list[MemberId]:
    """Members that are here, and whose stores have taken no writes for long."""
    signs = sight.signs
    return [
        m
        for m in sight.roster.ids
        if m != sight.me
        and m in signs
        and not signs[m].writable
        and sight.now_ms - signs[m].unwritable_ms > sight.silent_ms
    ]


def _free(sight: CoreView) -> list[str]:
    """Blank registries that wait at addresses of their own, in the order to be taken."""
    taken = {a for _, a in sight.roster.members}
    return sorted(
        n
        for n, s in sight.signs.items()
        if _waits(sight, n, CANDIDATE_MS) and s.address not in taken
    )


def _healthy(sight: CoreView, away: list[MemberId]) -> bool:
    """Whether all that are not away vote and take writes, and are a majority: a newcomer copies
    from them."""
    here = [sight.signs[m] for m in sight.roster.ids if m != sight.me and m not in away]
    whole = all(sign.votes and sign.writable for sign in here)
    return whole and len(here) + 1 >= sight.roster.majority


def _gone(sight: CoreView) -> dict[MemberId, MemberId]:
    """One member that went for good, and the blank one that takes its place, of its own zone
    if there is one.

    None of the others hears it: a member behind a cut is not a lost one. One whose store takes
    no writes says so itself.
    """
    silent = _silent(sight)
    unwritable = [m for m in _unwritable(sight) if m not in silent]
    if not _healthy(sight, silent + unwritable):
        return {}
    unheard = [
        m
        for m in silent
        if not any(
            m in sight.signs[other].hears
            for other in sight.roster.ids
            if other in sight.signs and other not in silent
        )
    ]
    blanks = _free(sight)
    away = unheard + unwritable
    if not away or not blanks or len(unheard) < len(silent):
        return {}
    gone = min(away, key=lambda m: (sight.signs[m].at_ms if m in sight.signs else -1, m))
    zone = sight.zones.get(gone, "")
    blank = min(blanks, key=lambda n: (sight.zones.get(n, "") != zone, n))
    return {gone: MemberId(blank)}


def _grown(sight: CoreView) -> list[MemberId]:
    """Blank registries to be taken in so that the core has as many members as it should, an odd
    number; from the zones that have the fewest."""
    blanks = _free(sight)
    size = len(sight.roster.members)
    room = min(len(blanks), sight.members - size)
    room -= (size + room + 1) % 2
    if room <= 0 or _silent(sight) or not _healthy(sight, []):
        return []
    count: dict[str, int] = {}
    for member in sight.roster.ids:
        zone = sight.zones.get(member, "")
        count[zone] = count.get(zone, 0) + 1
    taken: list[MemberId] = []
    for _ in range(room):
        best = min(blanks, key=lambda n: (count.get(sight.zones.get(n, ""), 0), n))
        blanks.remove(best)
        zone = sight.zones.get(best, "")
        count[zone] = count.get(zone, 0) + 1
        taken.append(MemberId(best))
    return taken


def _changed(
    sight: CoreView, instead: Mapping[MemberId, MemberId], more: list[MemberId] | None = None
) -> Roster:
    """The next epoch. Whoever joins, or joined and is not yet known to vote, copies first."""
    old = sight.roster
    members: list[tuple[MemberId, Address]] = []
    for member, address in old.members:
        newcomer = instead.get(member)
        members.append((newcomer, sight.signs[newcomer].address) if newcomer else (member, address))
    members.extend((m, sight.signs[m].address) for m in more or ())
    joining = [*instead.values(), *(more or ())]
    ids = {m for m, _ in members}
    for member in old.joining:
        sign = sight.signs.get(member)
        if member in ids and member != sight.me and not (sign is not None and sign.votes):
            joining.append(member)
    return Roster(Epoch(old.epoch + 1), tuple(members), old.ids, tuple(sorted(joining)))
