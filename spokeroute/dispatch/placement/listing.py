"""What the platform's listing shows of the placement table's instances, and what in it is nobody's.

A listing is late, and has an instance only once it has started. So what it lacks counts only
for an instance that it had before, or that is up for longer than a listing may be late.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ms
from spokeroute.dispatch.placement.plan import LISTED_ENDED, LOST_AFTER_LISTINGS, going
from spokeroute.dispatch.placement.platform import PlatformCall, PlatformListed
from spokeroute.dispatch.placement.table import DRAINING, STARTING, UP, Placed, PlacementTable
from spokeroute.dispatch.placement.workbook import identity_of

ORPHAN_MS = 10_000
RATE_SHARE = 0.8  # of the platform's rate: pages grow in number, and members are replaced
LATE_LAGS = 2  # a listing this many times later than the platform promises is not reckoned with
LATE_PLUS_MS = 200


@dataclass(frozen=True, slots=True)
class Sighting:
    """What the listings said of one instance on the placement table."""

    since_ms: int  # since when it is looked for
    listed: bool = False  # some listing had it
    missing: int = 0  # newer listings in a row that lack it


def list_pause_ms(bounds: Bounds, calls: int, readers: int) -> int:
    """How long a reader waits from one listing to the next, so that all of them together keep to
    the rate that the platform takes.

    Example:
        >>> list_pause_ms(Bounds(list_ms=400, list_calls_per_s=25.0), 4, 5)
        1000
    """
    if bounds.list_calls_per_s <= 0:
        return bounds.list_ms
    pause_ms = 1000 * calls * max(1, readers) / (RATE_SHARE * bounds.list_calls_per_s)
    return max(bounds.list_ms, int(pause_ms))


def sightings_of(
    placements: PlacementTable,
    listing: PlatformListed,
    old: Map[str, Sighting],
    lag_ms: int,
    now_ms: int,
) -> Map[str, Sighting]:
    """Take a newer listing in. What starts, and what never was listed and drains, is not
    looked for: it may be booting yet.

    Example:
        len(sightings_of(EMPTY_PLACEMENT_TABLE, listing, Map(), 500, 0)) == 0
    """
    there = {p.identity for p in listing.listed}
    out: dict[str, Sighting] = {}
    for placed in placements.instances:
        before = old.get(placed.id)
        if identity_of(placed) in there:
            out[placed.id] = Sighting(before.since_ms if before else now_ms, True)
        elif placed.state != STARTING:
            seen = before or Sighting(now_ms)
            late_ms = LATE_LAGS * lag_ms + LATE_PLUS_MS
            due = placed.state == UP and now_ms - seen.since_ms >= late_ms
            more = 1 if seen.listed or due else 0
            out[placed.id] = Sighting(seen.since_ms, seen.listed, seen.missing + more)
    return Map(out)


def absent_from(
    placements: PlacementTable, listing: PlatformListed, sightings: Mapping[str, Sighting]
) -> tuple[str, ...]:
    """Instances that the table has up or draining, and the newest listing has not, or shows as
    ended or going. Every registry says so with its proofs, whoever holds the role.

    Example:
        absent_from(EMPTY_PLACEMENT_TABLE, listing, {}) == ()
    """
    listed = {p.identity: p for p in listing.listed}
    seats = {s.id: s for s in listing.seats}
    out: list[str] = []
    for placed in placements.instances:
        if placed.state == STARTING and not placed.holder:
            continue
        if placed.state not in (STARTING, UP, DRAINING):
            continue
        there = listed.get(identity_of(placed))
        sight = sightings.get(placed.id)
        lost = sight is not None and sight.missing >= LOST_AFTER_LISTINGS
        ended = there is not None and there.state in LISTED_ENDED
        if lost or ended or going(placed, there, seats.get(placed.worker)):
            out.append(placed.id)
    return tuple(out)


def orphan_stops(
    placements: PlacementTable,
    listing: PlatformListed,
    orphan_ms: Map[str, int],
    lease_until_ms: Ms,
    now_ms: Ms,
) -> tuple[list[PlatformCall], Map[str, int]]:
    """Stops for instances that are listed but on no table, such as one whose start was late.

    A table has an instance before its start is asked for, so what it lacks for this long is
    nobody's; unless a start of that service on that worker was never answered: then it may be
    the one that came of it, under a name that the placement table doesn't know yet.

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
