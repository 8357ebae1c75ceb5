"""Placement's memory between passes: since when things stand, and what was called.

None of it must survive a change of term: a new holder begins each wait anew, which errs
on the safe side.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.ids import Ms
from spokeroute.dispatch.desired import Table
from spokeroute.dispatch.floor import DRAINING, STARTING, STOPPING, UP, Floor, Placed
from spokeroute.dispatch.plan import LISTED_ENDED, LOST_AFTER_LISTINGS, going
from spokeroute.dispatch.platform import PlatformCall, PlatformDone, PlatformListed
from spokeroute.dispatch.reports import Reported
from spokeroute.register.copies import LEASE_MS

RECALL_MS = 4_000
MARGIN_MS = 300
DEFAULT_RUN_MS = 10_000
ORPHAN_MS = 10_000


@dataclass(frozen=True, slots=True)
class Marks:
    """Times by instance or service, all of this process's clock."""

    ackedMs: Map[str, int] = field(default_factory=Map)  # id/state/holder -> when it was chosen
    readyMs: Map[str, int] = field(default_factory=Map)
    upSinceMs: Map[str, int] = field(default_factory=Map)
    surplusMs: Map[str, int] = field(default_factory=Map)
    calledMs: Map[str, int] = field(default_factory=Map)  # op/instance -> when it was called
    stoppedOk: frozenset[str] = frozenset()
    lastHolder: Map[str, tuple[str, int]] = field(default_factory=Map)  # of the fenced
    neverHeld: frozenset[str] = frozenset()  # seen starting in this term, not held since

    def done(self, done: PlatformDone, nowMs: Ms) -> Marks:
        """A platform call ended: a refused or late one may be tried again at once.

        Example:
            Marks().done(PlatformDone("stop", "a", "ok", ""), 5).stoppedOk
        """
        if done.outcome == "ok":
            if done.op == "stop":
                return replace(self, stoppedOk=self.stoppedOk | {done.instance})
            return self
        key = f"{done.op}/{done.instance}"
        return replace(self, calledMs=self.calledMs.set(key, nowMs - RECALL_MS + 500))

    def acked(self, old: Floor, new: Floor, nowMs: Ms) -> Marks:
        """A floor is chosen: note since when each instance stands as it does.

        Example:
            Marks().acked(NO_FLOOR, NO_FLOOR, 0) == Marks()
        """
        acked = self.ackedMs.mutate()
        now = {f"{p.id}/{p.state}/{p.holder}" for p in new.instances}
        for key in now:
            if key not in acked:
                acked[key] = nowMs
        for key in list(self.ackedMs):
            if key not in now:
                del acked[key]
        before: dict[str, tuple[str, int]] = {
            p.id: (p.holder, p.holderIncarnation) for p in old.instances if p.holder
        }
        fenced = {p.id for p in new.instances if not p.holder}
        last: dict[str, tuple[str, int]] = {**self.lastHolder, **before}
        last = {name: holder for name, holder in last.items() if name in fenced}
        return replace(self, ackedMs=acked.finish(), lastHolder=Map(last))

    def surplus(self, services: frozenset[str], nowMs: Ms) -> Marks:
        """Since when services have too many instances.

        Example:
            Marks().surplus(frozenset({"a"}), 3).surplusMs["a"] == 3
        """
        kept = {s: self.surplusMs.get(s, nowMs) for s in services}
        return replace(self, surplusMs=Map(kept))

    def stopped(self, instances: tuple[Placed, ...], table: Table, nowMs: Ms) -> tuple[Placed, ...]:
        """Drained instances go to stopping; stopped ones leave the floor.

        Example:
            Marks().stopped((), table, 0) == ()
        """
        out: list[Placed] = []
        for placed in instances:
            if placed.state == DRAINING:
                sinceMs = self.ackedMs.get(f"{placed.id}/{placed.state}/{placed.holder}")
                if sinceMs is not None and nowMs - sinceMs >= quietMs(placed, table):
                    out.append(replace(placed, state=STOPPING))
                    continue
            if placed.state == STOPPING and placed.id in self.stoppedOk:
                continue
            out.append(placed)
        return tuple(out)


def runMs(placed: Placed, table: Table | None) -> int:
    """The longest time a handed call may run at an instance.

    Example:
        runMs(placed, None) == DEFAULT_RUN_MS
    """
    service = table.services.get(placed.service) if table else None
    return service.longestRunMs if service else DEFAULT_RUN_MS


def quietMs(placed: Placed, table: Table | None) -> int:
    """How long after a chosen mark nothing can run at an instance any more: the lease, the
    longest run, and a margin.

    Example:
        quietMs(placed, table) > LEASE_MS
    """
    return LEASE_MS + runMs(placed, table) + MARGIN_MS


def takeListing(floor: Floor, listing: PlatformListed, missing: Map[str, int]) -> Map[str, int]:
    """Count the newer listings in a row that lack an instance.

    Example:
        len(takeListing(NO_FLOOR, listing, Map())) == 0
    """
    there = {p.id for p in listing.listed}
    return Map({p.id: missing.get(p.id, 0) + 1 for p in floor.instances if p.id not in there})


def absentFrom(
    floor: Floor, listing: PlatformListed, missing: Mapping[str, int]
) -> tuple[str, ...]:
    """Instances that the floor has up or draining, and the newest listing has not, or shows as
    ended or going. Every registry says so with its proofs, whoever holds the role.

    Example:
        absentFrom(NO_FLOOR, listing, {}) == ()
    """
    listed = {p.id: p for p in listing.listed}
    seats = {s.id: s for s in listing.seats}
    out: list[str] = []
    for placed in floor.instances:
        if placed.state not in (UP, DRAINING):
            continue
        there = listed.get(placed.id)
        lost = missing.get(placed.id, 0) >= LOST_AFTER_LISTINGS
        ended = there is not None and there.state in LISTED_ENDED
        if lost or ended or going(placed, there, seats.get(placed.worker)):
            out.append(placed.id)
    return tuple(out)


def remark(
    marks: Marks,
    floor: Floor,
    reports: Mapping[str, Reported],
    table: Table | None,
    nowMs: Ms,
) -> Marks:
    """Bring the waits up to date with the chosen floor.

    An instance that this term saw start, and that none held since, may be held at once; so may
    one whose last holder is leaving, hands nothing on any more, and has nothing running there.
    Any other without a holder waits out the lease and the longest run.

    Example:
        remark(Marks(), NO_FLOOR, {}, None, 0).neverHeld == frozenset()
    """
    ready: dict[str, int] = {}
    upSince: dict[str, int] = {}
    starting = {p.id for p in floor.instances if p.state == STARTING}
    unheld = {p.id for p in floor.instances if not p.holder}
    neverHeld = frozenset((marks.neverHeld | starting) & unheld)
    for placed in floor.instances:
        if placed.state != UP:
            continue
        upSince[placed.id] = marks.upSinceMs.get(placed.id, nowMs)
        if not placed.holder:
            waitMs = 0 if placed.id in neverHeld else quietMs(placed, table)
            ready[placed.id] = marks.readyMs.get(placed.id, nowMs + waitMs)
            if released(marks, reports, placed.id):
                ready[placed.id] = min(ready[placed.id], nowMs)
    live = {p.id for p in floor.instances}
    called = {k: atMs for k, atMs in marks.calledMs.items() if k.split("/", 1)[1] in live}
    return replace(
        marks,
        readyMs=Map(ready),
        upSinceMs=Map(upSince),
        calledMs=Map(called),
        stoppedOk=frozenset(i for i in marks.stoppedOk if i in live),
        neverHeld=neverHeld,
    )


def released(marks: Marks, reports: Mapping[str, Reported], instance: str) -> bool:
    """Whether the last holder itself says that it sends no more and has nothing in flight.

    Example:
        released(Marks(), {}, "a") is False
    """
    node, incarnation = marks.lastHolder.get(instance, ("", 0))
    known = reports.get(node)
    return (
        known is not None
        and known.incarnation == incarnation
        and known.leaving
        and instance not in known.busy
    )


def platformCalls(
    floor: Floor,
    table: Table,
    marks: Marks,
    evacuated: frozenset[str],
    tokens: float,
    leaseUntilMs: Ms,
    nowMs: Ms,
) -> tuple[list[PlatformCall], Marks, float]:
    """Starts and stops that the chosen floor asks for, under the cap, starts first. A start
    that the floor still has, and that is not wanted any more, is not asked for.

    Example:
        platformCalls(NO_FLOOR, table, Marks(), frozenset(), 10.0, 1000, 0)[0] == []
    """
    calls: list[PlatformCall] = []
    order = sorted(floor.instances, key=lambda p: (p.state != STARTING, p.id))
    for placed in order:
        op = {STARTING: "start", STOPPING: "stop"}.get(placed.state)
        if op is None or placed.id in marks.stoppedOk:
            continue
        if op == "start" and (placed.locality in evacuated or placed.service not in table.services):
            continue
        key = f"{op}/{placed.id}"
        if nowMs - marks.calledMs.get(key, -RECALL_MS) < RECALL_MS:
            continue
        if tokens < 1.0:
            break
        tokens -= 1.0
        service = table.services.get(placed.service)
        marks = replace(marks, calledMs=marks.calledMs.set(key, nowMs))
        calls.append(
            PlatformCall(
                op, placed.id, placed.service, placed.worker,
                service.memoryMb if service else 0, placed.limit, leaseUntilMs,
            )
        )  # fmt: skip
    return calls, marks, tokens


def orphanStops(
    floor: Floor,
    listing: PlatformListed,
    orphanMs: Map[str, int],
    leaseUntilMs: Ms,
    nowMs: Ms,
) -> tuple[list[PlatformCall], Map[str, int]]:
    """Stops for instances that are listed but on no floor, such as one whose start was late.

    A floor has an instance before its start is asked for, so what it lacks for this long is
    nobody's.

    Example:
        orphanStops(NO_FLOOR, listing, Map(), 1000, 0)[0] == []
    """
    there = {p.id for p in floor.instances}
    since: dict[str, int] = {}
    calls: list[PlatformCall] = []
    for listed in listing.listed:
        if listed.id in there:
            continue
        since[listed.id] = orphanMs.get(listed.id, nowMs)
        if nowMs - since[listed.id] >= ORPHAN_MS:
            since[listed.id] = nowMs
            calls.append(
                PlatformCall("stop", listed.id, listed.service, listed.worker, 0, 0, leaseUntilMs)
            )
    return calls, Map(since)
