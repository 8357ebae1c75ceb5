"""Scaling of one service in a planning pass: instances to start, to drain and to route to."""

from __future__ import annotations

from spokeroute.common.ids import Address, Incarnation, InstanceId, NodeId, ServiceName
from spokeroute.common.replacing import replace
from spokeroute.dispatch.configuration.configuration import Service
from spokeroute.dispatch.placement.planning_pass import PlanningPass
from spokeroute.dispatch.placement.table import DRAINING, STARTING, UP, Placed
from spokeroute.dispatch.scaling.cold_rate import cold_rate_of
from spokeroute.dispatch.scaling.sizing import (
    ALL_WARM,
    Demand,
    Warming,
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
    return boot_fits(service, _kept_warm_aim_ms(work, service))


def _kept_warm_aim_ms(work: PlanningPass, service: Service) -> int:
    """The lowest target latency for which an instance is kept; 0 if none."""
    keep_warm = work.seen.switches.warm_for_short_aims
    return work.seen.table.aim_ms.get(service.name, 0) if keep_warm else 0


def scale(work: PlanningPass, service: Service) -> None:
    """Start, drain and route the instances of one service.

    Example:
        scale(work, service)
    """
    seen = work.seen
    all_instances = work.of(service.name)
    counted_instances = [
        p
        for p in all_instances
        if is_counted(p, seen.evacuated, seen.suspects) and work.zone_allowed(service.name, p.zone)
    ]
    up = [p for p in counted_instances if p.state == UP and p.holder]
    demand = seen.demand.get(service.name, Demand())
    running = sum(1 for p in counted_instances if p.state == UP)
    lone = seen.switches.lone_spare
    warm_aim_ms = _kept_warm_aim_ms(work, service)
    warming = _warming(work, service, counted_instances)
    wanted = wanted_of(service, demand, running, seen.now_ms, warm_aim_ms, _bounded(work), warming)
    aim_ms = seen.table.aim_ms.get(service.name, 0)
    total = wanted + spares_of(service, demand, wanted, seen.now_ms, aim_ms, lone)
    if len(counted_instances) < total:
        inputs = _inputs(work, service, demand, counted_instances, running)
        _start(work, service, counted_instances, wanted, total, inputs)
    elif len(counted_instances) > total:
        work.surplus.add(service.name)
        since_ms = seen.now_ms - seen.surplus_ms.get(service.name, seen.now_ms)
        if since_ms >= min(SURPLUS_MS, idle_retention_ms(service, demand)):
            inputs = _inputs(work, service, demand, counted_instances, running)
            _drain(work, counted_instances, len(counted_instances) - total, wanted, inputs)
    _route(work, service, up, wanted)


def _bounded(work: PlanningPass) -> bool:
    """Whether the growth of a service in one step is limited."""
    return work.seen.switches.bounded_growth


def _warming(work: PlanningPass, service: Service, counted_instances: list[Placed]) -> Warming:
    """How many instances are warm, for a service that states what a cold one handles."""
    rate = cold_rate_of(service, work.seen.bounds)
    if rate is None:
        return ALL_WARM
    return Warming(sum(1 for p in counted_instances if p.state == UP and p.warm), rate.most_per_s)


def _inputs(
    work: PlanningPass,
    service: Service,
    demand: Demand,
    counted_instances: list[Placed],
    running: int,
) -> dict[str, object]:
    """The inputs of a scaling decision, for its ledger entry."""
    seen = work.seen
    warming = _warming(work, service, counted_instances)
    limited = {"warm": warming.warm, "coldPerS": warming.cold_per_s} if warming.cold_per_s else {}
    return {
        **limited,
        "service": service.to_dict(),
        "level": demand.level,
        "waiting": demand.waiting,
        "idleForMs": seen.now_ms - demand.last_arrival_ms,
        "gapMs": demand.gap_ms,
        "have": len(counted_instances),
        "up": running,
        "aimMs": _kept_warm_aim_ms(work, service),
        "boundedGrowth": _bounded(work),
    }


def _start(
    work: PlanningPass,
    service: Service,
    counted_instances: list[Placed],
    wanted: int,
    total: int,
    inputs: dict[str, object],
) -> None:
    seen = work.seen
    service_instances = list(counted_instances)
    usable_workers = {
        worker: listed_worker
        for worker, listed_worker in seen.workers.items()
        if worker not in seen.full_workers and work.zone_allowed(service.name, listed_worker.zone)
    }
    for number in range(len(counted_instances), total):
        if work.started >= seen.starts_left:
            return
        free_memory = free_memory_of(
            usable_workers, work.instances, seen.table.services, seen.evacuated
        )
        if number >= wanted and not free_memory.spare_allowed(service.memory_mb):
            return
        if number >= max(1, service.min_instances) and not free_memory.leaves_reserve(
            service.memory_mb, _kept_free_mb(work)
        ):
            return
        worker = best_worker(free_memory, service.memory_mb, tuple(service_instances), seen.cu_pct)
        if worker is None:
            return
        work.started += 1
        name = InstanceId(f"{service.name}-{seen.next_id}-{work.started}")
        placed = Placed(
            name, ServiceName(service.name), worker, seen.workers[worker].zone, Address(""),
            service.limit, STARTING, service.cold_ms == 0, False, NO_NODE, NO_INCARNATION,
        )  # fmt: skip
        work.instances[name] = placed
        service_instances.append(placed)
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
    work: PlanningPass,
    counted_instances: list[Placed],
    count: int,
    wanted: int,
    inputs: dict[str, object],
) -> None:
    order = sorted(
        counted_instances, key=lambda p: (p.routed, -work.seen.cu_pct.get(p.worker, 0.0), p.id)
    )
    for placed in [p for p in order if p.state == UP][:count]:
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
            recently_moved = (placed.service, placed.worker) in seen.avoid
            if routed and (recently_moved or seen.cu_pct.get(placed.worker, 0.0) >= over):
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
