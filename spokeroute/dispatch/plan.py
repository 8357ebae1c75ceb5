"""One planning pass: the next floor from the present one and everything seen."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from spokeroute.dial.ids import (
    Address,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceName,
    WorkerId,
)
from spokeroute.dispatch.desired import Service, Table
from spokeroute.dispatch.flare import Shift
from spokeroute.dispatch.floor import DRAINING, STARTING, STOPPING, UP, Floor, Placed
from spokeroute.dispatch.scaler import (
    Demand,
    WorkerSeat,
    bestWorker,
    counted,
    roomOf,
    wantedOf,
)

SURPLUS_MS = 15_000
LOST_AFTER_LISTINGS = 2
LISTED_DRAINING = "draining"
LISTED_ENDED = ("failed", "stopped")
NO_NODE = NodeId("")
NO_PROCESS = Incarnation(0)


@dataclass(frozen=True, slots=True)
class Listed:
    """One instance as the platform lists it."""

    id: InstanceId
    service: ServiceName
    worker: WorkerId
    address: Address
    state: str


@dataclass(frozen=True, slots=True)
class Seen:
    """Everything that a planning pass looks at, besides the floor."""

    nowMs: int
    table: Table
    evacuated: frozenset[str]
    seats: Mapping[WorkerId, WorkerSeat]
    listed: Mapping[InstanceId, Listed]
    missing: Mapping[str, int]  # instance -> newer listings in a row without it
    demand: Mapping[str, Demand]
    suspects: frozenset[str]
    holders: Mapping[NodeId, Incarnation]  # live exchanges and their incarnations
    readyMs: Mapping[str, int]  # instance without a holder -> when it may get a new one
    upSinceMs: Mapping[str, int]
    surplusMs: Mapping[str, int]  # service -> since when it has too many
    cuPct: Mapping[str, float]
    shifts: tuple[Shift, ...]
    avoid: frozenset[tuple[str, str]]  # (service, worker) that routing just left
    startsLeft: int
    nextId: str


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the ledger: its kind, what it looked at, what came of it."""

    kind: str
    inputs: dict[str, object]
    output: object


@dataclass(frozen=True, slots=True)
class Plan:
    """The next instances, the decisions behind them, and which services have too many."""

    instances: tuple[Placed, ...]
    decisions: tuple[Decision, ...]
    surplus: frozenset[str]


class Pass:
    """A pass's workbook; it lives for one call of ``plan`` and no longer."""

    def __init__(self, floor: Floor, seen: Seen) -> None:
        self.seen = seen
        self.now: dict[InstanceId, Placed] = {p.id: p for p in floor.instances}
        self.decisions: list[Decision] = []
        self.surplus: set[str] = set()
        self.started = 0

    def say(self, kind: str, inputs: dict[str, object], output: object) -> None:
        self.decisions.append(Decision(kind, inputs, output))

    def of(self, service: str) -> list[Placed]:
        return [p for p in self.now.values() if p.service == service]


def plan(floor: Floor, seen: Seen) -> Plan:
    """The next floor.

    Example:
        plan(NO_FLOOR, seen).instances
    """
    work = Pass(floor, seen)
    _takeListing(work)
    _dropUnwanted(work)
    _holders(work)
    _applyShifts(work)
    order = sorted(
        seen.table.services.values(),
        key=lambda s: (
            0 if _wakes(work, s) else 1,
            -seen.demand.get(s.name, Demand()).waiting,
            s.name,
        ),
    )
    for service in order:
        _scale(work, service)
    return Plan(tuple(work.now.values()), tuple(work.decisions), frozenset(work.surplus))


def _wakes(work: Pass, service: Service) -> bool:
    waiting = work.seen.demand.get(service.name, Demand()).waiting
    return waiting > 0 and not any(p.state == UP for p in work.of(service.name))


def _takeListing(work: Pass) -> None:
    """What the platform lists as up comes up; what it lost goes."""
    seen = work.seen
    for placed in list(work.now.values()):
        listed = seen.listed.get(placed.id)
        if placed.state == STARTING and listed and listed.state == "running":
            seat = seen.seats.get(listed.worker)
            work.now[placed.id] = replace(
                placed,
                state=UP,
                address=listed.address,
                worker=listed.worker,
                locality=seat.locality if seat else placed.locality,
            )
            work.say("up", {"instance": placed.id, "address": listed.address}, "up")
        elif listed is None and placed.state != STARTING:
            without = seen.missing.get(placed.id, 0)
            if without >= LOST_AFTER_LISTINGS or (without and placed.id in seen.suspects):
                del work.now[placed.id]
                work.say("vanished", {"instance": placed.id, "state": placed.state}, "removed")
        elif listed is not None and listed.state in LISTED_ENDED:
            del work.now[placed.id]
            work.say("gone", {"instance": placed.id, "listed": listed.state}, "removed")
    for placed in list(work.now.values()):
        if placed.state == UP and not placed.warm:
            service = seen.table.services.get(placed.service)
            sinceMs = seen.upSinceMs.get(placed.id)
            if service and sinceMs is not None and seen.nowMs - sinceMs >= service.coldMs:
                work.now[placed.id] = replace(placed, warm=True)


def _holders(work: Pass) -> None:
    """Fence instances of lost holders; give those that waited long enough a new one."""
    seen = work.seen
    counts: dict[NodeId, int] = {node: 0 for node in seen.holders}
    for placed in work.now.values():
        if placed.holder in counts:
            counts[placed.holder] += 1
    for placed in list(work.now.values()):
        if placed.state not in (UP, DRAINING):
            continue
        if placed.holder:
            if seen.holders.get(placed.holder) != placed.holderIncarnation:
                work.now[placed.id] = replace(placed, holder=NO_NODE, holderIncarnation=NO_PROCESS)
                work.say("fence", {"instance": placed.id, "holder": placed.holder}, "no holder")
            continue
        if placed.state != UP or seen.nowMs < seen.readyMs.get(placed.id, seen.nowMs + 1):
            continue
        same: dict[str, int] = {}
        for other in work.of(placed.service):
            same[other.holder] = same.get(other.holder, 0) + 1
        if counts:
            node = min(counts, key=lambda n: (same.get(n, 0), counts[n], n))
            counts[node] += 1
            work.now[placed.id] = replace(placed, holder=node, holderIncarnation=seen.holders[node])
            work.say("holder", {"instance": placed.id}, node)


def _applyShifts(work: Pass) -> None:
    for shift in work.seen.shifts:
        for placed in work.of(shift.service):
            if placed.worker == shift.fromWorker and placed.routed:
                work.now[placed.id] = replace(placed, routed=False)
            elif placed.worker == shift.toWorker and placed.state == UP:
                work.now[placed.id] = replace(placed, routed=True)


def _scale(work: Pass, service: Service) -> None:
    seen = work.seen
    mine = work.of(service.name)
    here = [p for p in mine if counted(p, seen.evacuated, seen.suspects)]
    up = [p for p in here if p.state == UP and p.holder]
    demand = seen.demand.get(service.name, Demand())
    wanted = wantedOf(service, demand, len(here), seen.nowMs)
    total = wanted + (service.spares if wanted else 0)
    inputs: dict[str, object] = {
        "service": service.to_dict(),
        "level": demand.level,
        "waiting": demand.waiting,
        "idleForMs": seen.nowMs - demand.lastArrivalMs,
        "have": len(here),
    }
    if len(here) < total:
        _start(work, service, here, wanted, total, inputs)
    elif len(here) > total:
        work.surplus.add(service.name)
        if seen.nowMs - seen.surplusMs.get(service.name, seen.nowMs) >= SURPLUS_MS:
            _drain(work, here, len(here) - total, wanted, inputs)
    _route(work, service, up, wanted)


def _start(
    work: Pass,
    service: Service,
    here: list[Placed],
    wanted: int,
    total: int,
    inputs: dict[str, object],
) -> None:
    seen = work.seen
    near = list(here)
    for number in range(len(here), total):
        if work.started >= seen.startsLeft:
            return
        room = roomOf(seen.seats, work.now, seen.table.services, seen.evacuated)
        if number >= wanted and not room.spareAllowed(service.memoryMb):
            return
        worker = bestWorker(room, service.memoryMb, tuple(near), seen.cuPct)
        if worker is None:
            return
        work.started += 1
        name = InstanceId(f"{service.name}-{seen.nextId}-{work.started}")
        placed = Placed(
            name, ServiceName(service.name), worker, seen.seats[worker].locality, Address(""),
            service.limit, STARTING, service.coldMs == 0, False, NO_NODE, NO_PROCESS,
        )  # fmt: skip
        work.now[name] = placed
        near.append(placed)
        work.say("start", {**inputs, "wanted": wanted}, {"instance": name, "worker": worker})


def _drain(
    work: Pass, here: list[Placed], many: int, wanted: int, inputs: dict[str, object]
) -> None:
    order = sorted(here, key=lambda p: (p.routed, -work.seen.cuPct.get(p.worker, 0.0), p.id))
    for placed in [p for p in order if p.state == UP][:many]:
        work.now[placed.id] = replace(placed, state=DRAINING, routed=False)
        work.say("drain", {**inputs, "wanted": wanted}, {"instance": placed.id})


def _route(work: Pass, service: Service, up: list[Placed], wanted: int) -> None:
    """Keep as many routed as are wanted; promote where the load is least."""
    seen = work.seen
    live = [work.now[p.id] for p in up if work.now[p.id].state == UP]
    routed = [p for p in live if p.routed]
    if len(routed) < wanted:
        over = seen.table.thresholds.overloadPct
        passive = sorted(
            (p for p in live if not p.routed),
            key=lambda p: (
                (p.service, p.worker) in seen.avoid,
                seen.cuPct.get(p.worker, 0.0) >= over,
                not p.warm,
                seen.cuPct.get(p.worker, 0.0),
                p.id,
            ),
        )
        for placed in passive[: wanted - len(routed)]:
            kept = (placed.service, placed.worker) in seen.avoid
            if routed and (kept or seen.cuPct.get(placed.worker, 0.0) >= over):
                break
            work.now[placed.id] = replace(placed, routed=True)
            routed.append(placed)
            work.say("route", {"instance": placed.id, "wanted": wanted}, "routed")
    elif len(routed) > max(1, wanted):
        order = sorted(routed, key=lambda p: (-seen.cuPct.get(p.worker, 0.0), p.id))
        for placed in order[: len(routed) - max(1, wanted)]:
            if seen.nowMs - seen.surplusMs.get(service.name, seen.nowMs) >= SURPLUS_MS // 3:
                work.now[placed.id] = replace(placed, routed=False)
                work.say("route", {"instance": placed.id, "wanted": wanted}, "passive")
        work.surplus.add(service.name)


def _dropUnwanted(work: Pass) -> None:
    """Services that are gone, localities that are empty, and what the platform empties drain."""
    seen = work.seen
    for placed in list(work.now.values()):
        if placed.state not in (UP, STARTING):
            continue
        cause = ""
        if placed.service not in seen.table.services:
            cause = "service gone"
        elif placed.locality in seen.evacuated:
            cause = "locality evacuated"
        elif going(placed, seen.listed.get(placed.id), seen.seats.get(placed.worker)):
            cause = "the platform drains it"
        if cause:
            state = DRAINING if placed.state == UP else STOPPING
            work.now[placed.id] = replace(placed, state=state, routed=False)
            work.say("drain", {"instance": placed.id}, cause)


def going(placed: Placed, listed: Listed | None, seat: WorkerSeat | None) -> bool:
    """Whether a listing shows an instance, or its worker, as on its way out.

    Example:
        going(placed, None, None) is False
    """
    if seat is not None and seat.draining:
        return True
    return listed is not None and listed.state == LISTED_DRAINING
