"""Scaling of one service in a planning pass: instances to start, to drain and to route to."""

from __future__ import annotations

from spokeroute.common.ids import Address, Incarnation, InstanceId, NodeId, ServiceName
from spokeroute.common.replacing import replace
from spokeroute.dispatch.configuration.configuration import Service
from spokeroute.dispatch.placement.planning_pass import PlanningPass
from spokeroute.dispatch.placement.table import DRAINING, STARTING, UP, Placed
from spokeroute.dispatch.scaling.sizing import (
    Demand,
    best_worker,
    boot_fits,
    free_memory_of,
    idle_retention_ms,
    inactive_services_mb,
    is_counted,
    is_idle,
    spares_of,
    wanted_of,
)

SURPLUS_MS = 15_000
NO_DEMAND = Demand()
NO_NODE = NodeId("")
NO_INCARNATION = Incarnation(0)


def is_inactive(work: PlanningPass, service: Service) -> bool:
    """Whether a service needs no decision: no instance, no calls, and none to be kept. Skipping
    these saves work: most services of a large deployment are inactive most of the time.

    Example:
        is_inactive(work, service)
    """
    if work.has(service.name):
        return False
    demand = work.seen.demand.get(service.name, NO_DEMAND)
    if service.min_instances or not is_idle(service, demand, work.seen.now_ms):
        return False
    return boot_fits(service, _kept_for_ms(work, service))


def _kept_for_ms(work: PlanningPass, service: Service) -> int:
    """The lowest target latency for which an instance is kept; 0 if none."""
    kept = work.seen.switches.warm_for_short_aims
    return work.seen.table.aim_ms.get(service.name, 0) if kept else 0


def scale(work: PlanningPass, service: Service) -> None:
    """Start, drain and route the instances of one service.

    Example:
        scale(work, service)
    """
    seen = work.seen
    mine = work.of(service.name)
    here = [
        p
        for p in mine
        if is_counted(p, seen.evacuated, seen.suspects) and work.zone_allowed(service.name, p.zone)
    ]
    up = [p for p in here if p.state == UP and p.holder]
    demand = seen.demand.get(service.name, Demand())
    running = sum(1 for p in here if p.state == UP)
    lone = seen.switches.lone_spare
    kept_for_ms = _kept_for_ms(work, service)
    wanted = wanted_of(service, demand, running, seen.now_ms, kept_for_ms, _bounded(work))
    aim_ms = seen.table.aim_ms.get(service.name, 0)
    total = wanted + spares_of(service, demand, wanted, seen.now_ms, aim_ms, lone)
    if len(here) < total:
        inputs = _inputs(work, service, demand, here, running)
        _start(work, service, here, wanted, total, inputs)
    elif len(here) > total:
        work.surplus.add(service.name)
        since_ms = seen.now_ms - seen.surplus_ms.get(service.name, seen.now_ms)
        if since_ms >= min(SURPLUS_MS, idle_retention_ms(service, demand)):
            inputs = _inputs(work, service, demand, here, running)
            _drain(work, here, len(here) - total, wanted, inputs)
    _route(work, service, up, wanted)


def _bounded(work: PlanningPass) -> bool:
    """Whether the growth of a service in one step is limited."""
    return work.seen.switches.bounded_growth


def _inputs(
    work: PlanningPass, service: Service, demand: Demand, here: list[Placed], running: int
) -> dict[str, object]:
    """The inputs of a scaling decision, for its ledger entry."""
    seen = work.seen
    return {
        "service": service.to_dict(),
        "level": demand.level,
        "waiting": demand.waiting,
        "idleForMs": seen.now_ms - demand.last_arrival_ms,
        "gapMs": demand.gap_ms,
        "have": len(here),
        "up": running,
        "aimMs": _kept_for_ms(work, service),
        "boundedGrowth": _bounded(work),
    }


def _start(
    work: PlanningPass,
    service: Service,
    here: list[Placed],
    wanted: int,
    total: int,
    inputs: dict[str, object],
) -> None:
    seen = work.seen
    near = list(here)
    usable_workers = {
        worker: listed_worker
        for worker, listed_worker in seen.workers.items()
        if worker not in seen.full_workers and work.zone_allowed(service.name, listed_worker.zone)
    }
    for number in range(len(here), total):
        if work.started >= seen.starts_left:
            return
        room = free_memory_of(usable_workers, work.instances, seen.table.services, seen.evacuated)
        if number >= wanted and not room.spare_allowed(service.memory_mb):
            return
        if number >= max(1, service.min_instances) and not room.leaves_reserve(
            service.memory_mb, _kept_free_mb(work)
        ):
            return
        worker = best_worker(room, service.memory_mb, tuple(near), seen.cu_pct)
        if worker is None:
            return
        work.started += 1
        name = InstanceId(f"{service.name}-{seen.next_id}-{work.started}")
        placed = Placed(
            name, ServiceName(service.name), worker, seen.workers[worker].zone, Address(""),
            service.limit, STARTING, service.cold_ms == 0, False, NO_NODE, NO_INCARNATION,
        )  # fmt: skip
        work.instances[name] = placed
        near.append(placed)
        work.record_decision(
            "start", {**inputs, "wanted": wanted}, {"instance": name, "worker": worker}
        )


def _kept_free_mb(work: PlanningPass) -> int:
    """Memory reserved for services without an instance."""
    seen = work.seen
    if not seen.switches.room_for_sleepers:
        return 0
    return inactive_services_mb(seen.workers, work.instances, seen.table.services)


def _drain(
    work: PlanningPass, here: list[Placed], many: int, wanted: int, inputs: dict[str, object]
) -> None:
    order = sorted(here, key=lambda p: (p.routed, -work.seen.cu_pct.get(p.worker, 0.0), p.id))
    for placed in [p for p in order if p.state == UP][:many]:
        work.instances[placed.id] = replace(placed, state=DRAINING, routed=False)
        work.record_decision("drain", {**inputs, "wanted": wanted}, {"instance": placed.id})


def _route(work: PlanningPass, service: Service, up: list[Placed], wanted: int) -> None:
    """Route to as many instances as are wanted, on the least loaded workers first."""
    seen = work.seen
    live = [work.instances[p.id] for p in up if work.instances[p.id].state == UP]
    routed = [p for p in live if p.routed]
    if len(routed) < wanted:
        over = seen.table.thresholds.overload_pct
        passive = sorted(
            (p for p in live if not p.routed),
            key=lambda p: (
                (p.service, p.worker) in seen.avoid,
                seen.cu_pct.get(p.worker, 0.0) >= over,
                not p.warm,
                seen.cu_pct.get(p.worker, 0.0),
                p.id,
            ),
        )
        for placed in passive[: wanted - len(routed)]:
            kept = (placed.service, placed.worker) in seen.avoid
            if routed and (kept or seen.cu_pct.get(placed.worker, 0.0) >= over):
                break
            work.instances[placed.id] = replace(placed, routed=True)
            routed.append(placed)
            work.record_decision("route", {"instance": placed.id, "wanted": wanted}, "routed")
    elif len(routed) > max(1, wanted):
        order = sorted(routed, key=lambda p: (-seen.cu_pct.get(p.worker, 0.0), p.id))
        for placed in order[: len(routed) - max(1, wanted)]:
            if seen.now_ms - seen.surplus_ms.get(service.name, seen.now_ms) >= SURPLUS_MS // 3:
                work.instances[placed.id] = replace(placed, routed=False)
                work.record_decision("route", {"instance": placed.id, "wanted": wanted}, "passive")
        work.surplus.add(service.name)
