"""Membership policy: decides the next roster from what one member sees of the core.

Pure functions over heartbeats. The membership carries out their results; the roster's register
decides. Four things change a roster, in this order: a lost disk (another, blank member runs at a
member's address, and an address has only one process), a planned leave (the member reported that it
was asked to stop, and a blank one waits elsewhere), growth (the core has fewer members than
configured, and blank ones wait), and a permanent failure (the member is silent for long, or its
store takes no writes for as long, while a blank one waits elsewhere). The next change waits until
a member that copies is done, so that changes come one at a time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.ids import Address, Epoch, MemberId, Ms
from spokeroute.register.cells import Roster
from spokeroute.register.membership.missing_members import MissingMembers, missing_members

HEARTBEAT_MS = 500
CANDIDATE_WAIT_MS = 1_500
RECENT_HEARTBEAT_MS = 2 * HEARTBEAT_MS + 200
PROPOSAL_STAGGER_MS = 150  # members propose one after the other, to avoid duelling proposers


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The status of a core node by its last heartbeat."""

    address: Address
    at_ms: Ms
    since_ms: Ms
    epoch: int
    votes: bool
    blank: bool
    hears: tuple[str, ...]
    writable: bool = True
    leaving: bool = False
    unwritable_ms: Ms = Ms(-1)  # since when it reports that its store takes no writes
    leaving_ms: Ms = Ms(-1)  # since when it reports that it leaves


@dataclass(frozen=True, slots=True)
class CoreView:
    """What one voting member sees of the core."""

    me: MemberId
    roster: Roster
    peer_statuses: Mapping[str, PeerStatus]
    zones: Mapping[str, str]
    silent_ms: int
    target_size: int
    started_ms: Ms
    now_ms: Ms
    leaving_ms: Ms = Ms(-1)  # since when this member was asked to stop
    epoch_ms: Ms = Ms(0)  # since when this member is at the roster's epoch


def next_roster(view: CoreView) -> Roster | None:
    """Returns the roster that this member should propose; None if the current one should stay.

    Example:
        next_roster(view) is None
    """
    if still_copying(view):
        return None
    lost = lost_disks(view)
    if lost:
        return _with_changes(view, lost) if _lost_disk_turn(view, lost) else None
    replacement = leaver_replacement(view)
    if replacement:
        return _with_changes(view, replacement) if _leaver_turn(view, replacement) else None
    added = _members_to_add(view)
    if added:
        return _with_changes(view, {}, added)
    failed = _failed_member(view) if view.now_ms - view.started_ms >= view.silent_ms else {}
    return _with_changes(view, failed) if failed else None


def lost_disks(view: CoreView) -> dict[MemberId, MemberId]:
    """Returns the members whose disks are lost, each with the blank member at its address.

    Example:
        lost_disks(view) == {}
    """
    lost: dict[MemberId, MemberId] = {}
    for member, address in view.roster.members:
        old = view.peer_statuses.get(member)
        candidates = [
            n
            for n, s in view.peer_statuses.items()
            if _is_candidate(view, n, 0)
            and s.address == address
            and (old is None or old.at_ms < s.at_ms)
        ]
        if candidates and member != view.me:
            lost[member] = MemberId(max(candidates, key=lambda n: (view.peer_statuses[n].at_ms, n)))
    return lost


def leaving_members(view: CoreView) -> dict[MemberId, Ms]:
    """Returns the members that report that they leave, and since when. A member that came back and
    no longer reports it is not included.

    Example:
        leaving_members(view) == {}
    """
    leaving: dict[MemberId, Ms] = {}
    for member in view.roster.ids:
        status = view.peer_statuses.get(member)
        if member == view.me and view.leaving_ms >= 0:
            leaving[member] = view.leaving_ms
        elif member != view.me and status is not None and status.leaving:
            leaving[member] = status.leaving_ms
    return leaving


def leaver_replacement(view: CoreView) -> dict[MemberId, MemberId]:
    """Returns one leaving member with the blank one that takes its place. This needs no waiting
    time: the member itself reported that it leaves, and votes until its successor does.

    Example:
        leaver_replacement(view) == {}
    """
    leaving = leaving_members(view)
    candidates = _candidates(view, 0)
    full = [m for m in leaving if m != view.me and not view.peer_statuses[m].writable]
    if not leaving or not candidates or not _healthy(view, _silent_members(view) + full):
        return {}
    leaver = min(leaving, key=lambda m: (leaving[m], m))
    return {leaver: _nearest_candidate(view, candidates, leaver)}


def still_copying(view: CoreView) -> bool:
    """Returns whether a member that joined in the current epoch is present and still copies. The
    next change waits for its vote, though no longer than for a silent member. Otherwise the next
    newcomer would copy from a majority of a roster in which this member counts but has no data.

    Example:
        still_copying(view) is False
    """
    if view.now_ms - view.epoch_ms >= view.silent_ms:
        return False
    joining = [
        view.peer_statuses[m]
        for m in view.roster.joining
        if m in view.peer_statuses and m != view.me
    ]
    return any(
        not s.votes and not s.blank and s.writable and view.now_ms - s.at_ms < RECENT_HEARTBEAT_MS
        for s in joining
    )


def _leaver_turn(view: CoreView, replacement: Mapping[MemberId, MemberId]) -> bool:
    """Returns whether it is this member's turn to propose: the leaving member is first."""
    leaver, blank = next(iter(replacement.items()))
    since_ms = max(leaving_members(view)[leaver], view.peer_statuses[blank].since_ms)
    order = [leaver, *(m for m in view.roster.ids if m != leaver)]
    return view.now_ms - since_ms >= order.index(view.me) * PROPOSAL_STAGGER_MS


def _nearest_candidate(view: CoreView, candidates: list[str], member: MemberId) -> MemberId:
    zone = view.zones.get(member, "")
    return MemberId(min(candidates, key=lambda n: (view.zones.get(n, "") != zone, n)))


def _lost_disk_turn(view: CoreView, lost: Mapping[MemberId, MemberId]) -> bool:
    order = [m for m in view.roster.ids if m not in lost]
    since_ms = max(view.peer_statuses[n].since_ms for n in lost.values())
    return view.now_ms - since_ms >= order.index(view.me) * PROPOSAL_STAGGER_MS


def _is_candidate(view: CoreView, node: str, min_wait_ms: int) -> bool:
    """Returns whether a node is a blank registry that has been present for ``min_wait_ms``."""
    status = view.peer_statuses[node]
    return (
        status.blank
        and status.writable
        and node not in view.roster.ids
        and status.address != ""
        and view.now_ms - status.at_ms < RECENT_HEARTBEAT_MS
        and view.now_ms - status.since_ms >= min_wait_ms
    )


def _silent_members(view: CoreView) -> list[MemberId]:
    return [
        m
        for m in view.roster.ids
        if m != view.me
        and (
            m not in view.peer_statuses
            or view.now_ms - view.peer_statuses[m].at_ms > view.silent_ms
        )
    ]


def _unwritable_members(view: CoreView) -> list[MemberId]:
    """Returns the members whose stores have taken no writes for ``silent_ms``."""
    statuses = view.peer_statuses
    return [
        m
        for m in view.roster.ids
        if m != view.me
        and m in statuses
        and not statuses[m].writable
        and view.now_ms - statuses[m].unwritable_ms > view.silent_ms
    ]


def missing_majority(view: CoreView) -> MissingMembers | None:
    """Returns the missing members if too many have been silent for ``silent_ms`` to leave a
    majority; otherwise None.

    Example:
        missing_majority(view) is None
    """
    if view.now_ms - view.started_ms < view.silent_ms:
        return None
    silent = _silent_members(view)
    missing = missing_members(view.roster, [m for m in view.roster.ids if m not in silent])
    return missing if missing.needed > 0 else None


def _candidates(view: CoreView, min_wait_ms: int = CANDIDATE_WAIT_MS) -> list[str]:
    """Returns the blank registries at addresses that no member has, in order of selection."""
    taken = {a for _, a in view.roster.members}
    return sorted(
        n
        for n, s in view.peer_statuses.items()
        if _is_candidate(view, n, min_wait_ms) and s.address not in taken
    )


def _healthy(view: CoreView, away: list[MemberId]) -> bool:
    """Returns whether all members that are not away vote and take writes, and form a majority: a
    newcomer copies from them."""
    present = [view.peer_statuses[m] for m in view.roster.ids if m != view.me and m not in away]
    all_working = all(status.votes and status.writable for status in present)
    return all_working and len(present) + 1 >= view.roster.majority


def _failed_member(view: CoreView) -> dict[MemberId, MemberId]:
    """Returns one permanently failed member, and the blank one that takes its place, of the same
    zone if there is one.

    A silent member counts as failed only if no other member hears it: a member behind a network cut
    is not lost. A member whose store takes no writes reports that itself.
    """
    silent = _silent_members(view)
    unwritable = [m for m in _unwritable_members(view) if m not in silent]
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
    candidates = _candidates(view)
    away = unheard + unwritable
    if not away or not candidates or len(unheard) < len(silent):
        return {}
    failed = min(
        away, key=lambda m: (view.peer_statuses[m].at_ms if m in view.peer_statuses else -1, m)
    )
    return {failed: _nearest_candidate(view, candidates, failed)}


def _members_to_add(view: CoreView) -> list[MemberId]:
    """Returns the blank registries that join so that the core reaches its configured size, an odd
    number; taken from the zones that have the fewest members."""
    candidates = _candidates(view)
    size = len(view.roster.members)
    room = min(len(candidates), view.target_size - size)
    room -= (size + room + 1) % 2
    if room <= 0 or _silent_members(view) or not _healthy(view, []):
        return []
    count: dict[str, int] = {}
    for member in view.roster.ids:
        zone = view.zones.get(member, "")
        count[zone] = count.get(zone, 0) + 1
    added: list[MemberId] = []
    for _ in range(room):
        best = min(candidates, key=lambda n: (count.get(view.zones.get(n, ""), 0), n))
        candidates.remove(best)
        zone = view.zones.get(best, "")
        count[zone] = count.get(zone, 0) + 1
        added.append(MemberId(best))
    return added


def _with_changes(
    view: CoreView,
    replacements: Mapping[MemberId, MemberId],
    added: list[MemberId] | None = None,
) -> Roster:
    """Returns the roster of the next epoch. A member that joins, or that joined and is not yet
    known to vote, copies before it votes."""
    old = view.roster
    members: list[tuple[MemberId, Address]] = []
    for member, address in old.members:
        newcomer = replacements.get(member)
        members.append(
            (newcomer, view.peer_statuses[newcomer].address) if newcomer else (member, address)
        )
    members.extend((m, view.peer_statuses[m].address) for m in added or ())
    joining = [*replacements.values(), *(added or ())]
    ids = {m for m, _ in members}
    for member in old.joining:
        status = view.peer_statuses.get(member)
        if member in ids and member != view.me and not (status is not None and status.votes):
            joining.append(member)
    return Roster(Epoch(old.epoch + 1), tuple(members), old.ids, tuple(sorted(joining)))
