"""Compares the platform's listing with the placement table: missing, ended and orphan instances.

A listing lags behind, and contains an instance only once it has started. Absence therefore counts
only for an instance that was listed before, or that has been up for longer than the listing lag.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ms
from spokeroute.dispatch.placement.plan import LISTED_ENDED, LOST_AFTER_LISTINGS, is_leaving
from spokeroute.dispatch.placement.planning_pass import identity_of
from spokeroute.dispatch.placement.platform import PlatformCall, PlatformListed
from spokeroute.dispatch.placement.table import DRAINING, STARTING, UP, Placed, PlacementTable

ORPHAN_MS = 10_000  # how long an instance is listed but unknown before it is stopped
RATE_SHARE = 0.8  # headroom below the platform's rate: listings grow, members are replaced
LAG_TOLERANCE_FACTOR = (
    2  # tolerated listing delay, in multiples of the lag that the platform states
)
LAG_TOLERANCE_EXTRA_MS = 200


@dataclass(frozen=True, slots=True)
class ListingPresence:
    """Whether recent listings contained one instance of the placement table."""

    since_ms: int  # when it was first looked for
    listed: bool = False  # a listing contained it
    missing: int = 0  # consecutive newer listings without it


def list_pause_ms(bounds: Bounds, calls: int, readers: int) -> int:
    """The pause between two listings of one reader, so that all readers together stay below the
    platform's rate limit.

    Example:
        >>> list_pause_ms(Bounds(list_ms=400, list_calls_per_s=25.0), 4, 5)
        1000
    """
    if bounds.list_calls_per_s <= 0:
        return bounds.list_ms
    pause_ms = 1000 * calls * max(1, readers) / (RATE_SHARE * bounds.list_calls_per_s)
    return max(bounds.list_ms, int(pause_ms))


def update_presence(
    placements: PlacementTable,
    listing: PlatformListed,
    old: Map[str, ListingPresence],
    lag_ms: int,
    now_ms: int,
) -> Map[str, ListingPresence]:
    """Update each instance's presence from a newer listing.

    An instance that is starting, or that drains and was never listed, is not counted as missing:
    it may still be booting.

    Example:
        len(update_presence(EMPTY_PLACEMENT_TABLE, listing, Map(), 500, 0)) == 0
    """
    there = {p.identity for p in listing.listed}
    found: dict[str, ListingPresence] = {}
    for placed in placements.instances:
        earlier = old.get(placed.id)
        if identity_of(placed) in there:
            found[placed.id] = ListingPresence(earlier.since_ms if earlier else now_ms, True)
        elif placed.state != STARTING:
            seen = earlier or ListingPresence(now_ms)
            tolerated_lag_ms = LAG_TOLERANCE_FACTOR * lag_ms + LAG_TOLERANCE_EXTRA_MS
            due = placed.state == UP and now_ms - seen.since_ms >= tolerated_lag_ms
            newly_missing = 1 if seen.listed or due else 0
            found[placed.id] = ListingPresence(
                seen.since_ms, seen.listed, seen.missing + newly_missing
            )
    return Map(found)


def absent_instances(
    placements: PlacementTable, listing: PlatformListed, presence: Mapping[str, ListingPresence]
) -> tuple[str, ...]:
    """Instances that the table has up or draining, and the newest listing lacks or shows as
    ended or draining. Every core node reports them with its proofs, whoever holds the role.

    Example:
        absent_instances(EMPTY_PLACEMENT_TABLE, listing, {}) == ()
    """
    listed = {p.identity: p for p in listing.listed}
    workers = {s.id: s for s in listing.workers}
    found: list[str] = []
    for placed in placements.instances:
        if placed.state == STARTING and not placed.holder:
            continue
        if placed.state not in (STARTING, UP, DRAINING):
            continue
        there = listed.get(identity_of(placed))
        record = presence.get(placed.id)
        lost = record is not None and record.missing >= LOST_AFTER_LISTINGS
        ended = there is not None and there.state in LISTED_ENDED
        if lost or ended or is_leaving(placed, there, workers.get(placed.worker)):
            found.append(placed.id)
    return tuple(found)


def orphan_stops(
    placements: PlacementTable,
    listing: PlatformListed,
    orphan_ms: Map[str, int],
    lease_until_ms: Ms,
    now_ms: Ms,
) -> tuple[list[PlatformCall], Map[str, int]]:
    """Stops for orphans: listed instances that no table contains, such as one of a late start.

    A table contains an instance before its start is requested, so an instance that is missing
    there for ORPHAN_MS is an orphan. The exception: a start of that service on that worker was
    never answered, so that the instance may be its result under an id not known yet.

    Example:
        orphan_stops(EMPTY_PLACEMENT_TABLE, listing, Map(), 1000, 0)[0] == []
    """
    there = {identity_of(p) for p in placements.instances}
    open_starts = {(p.service, p.worker) for p in placements.instances if _unanswered(p)}
    since: dict[str, int] = {}
    calls: list[PlatformCall] = []
    for listed in listing.listed:
        name = listed.identity
        if name in there:
            continue
        since[name] = orphan_ms.get(name, now_ms)
        if (listed.service, listed.worker) in open_starts:
            continue
        if now_ms - since[name] >= ORPHAN_MS:
            since[name] = now_ms
            calls.append(
                PlatformCall(
                    "stop",
                    name,
                    listed.service,
                    listed.worker,
                    0,
                    0,
                    lease_until_ms,
                    name,
                    placements.term,
                )
            )
    return calls, Map(since)


def _unanswered(placed: Placed) -> bool:
    return placed.state == STARTING and not placed.identity
