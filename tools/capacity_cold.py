"""A cold start, hop by hop: when each thing that has to happen between a call to a function
without an instance and its answer happened, in simulated time."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.dispatch.placement_table import UP
from tools.capacity_fleet import Run, rounded
from tools.capacity_size import Size, service_name
from tools.capacity_world import HollowNode

LOOK_MS = 1.0
MOST_MS = 8_000.0
HOPS = (
    "the holder of the role hears of it",
    "its start is on the chosen floor",
    "the platform is asked",
    "the instance is up",
    "the role has it in a listing",
    "it is up on the chosen floor",
    "the entry has that floor, proved",
    "the call is handed to the instance",
    "the answer is back",
)
"""Each from the one before; the first from the call's arrival."""
COLD_SIZE = Size(nodes=10, functions=160, instances=40, each=4, seconds=1.0)


@dataclass(frozen=True, slots=True)
class Hop:
    """One hop's times over many cold starts."""

    name: str
    median_ms: float
    p99_ms: float
    mean_ms: float


def _reached(run: Run, hop: int, service: str, entry: HollowNode) -> bool:
    """Whether a cold start has come to the end of a hop, as far as states tell."""
    holder = run.holder()
    if holder is None:
        return False
    placement = holder.state("placement")
    here = [p for p in placement.floor.instances if p.service == service]
    if hop == 0:
        return any(
            d.service == service and (d.waiting or d.arrived or d.in_flight)
            for r in placement.reports.values()
            for d in r.demand
        ) or bool(here)
    if hop == 1:
        return bool(here)
    if hop == 3:
        servers = run.fleet.platform.servers.values()
        return any(s.service == service and s.state == "running" for s in servers)
    if hop == 4:
        return any(p.service == service and p.state == "running" for p in placement.listing.listed)
    if hop == 5:
        return any(p.state == UP for p in here)
    tables = entry.state("calls").tables
    return any(p.state == UP for p in tables.by_service.get(service, ()))


def cold_starts(count: int, size: Size = COLD_SIZE) -> tuple[Hop, ...]:
    """Wake so many functions, one after the other, and time each hop.

    Example:
        cold_starts(3)[0].median_ms
    """
    run = Run(size)
    run.settle()
    run.fleet.stamping = True
    run.meter.on = True
    times: list[list[float]] = [[] for _ in HOPS]
    for number in range(count):
        run.fleet.clock.run(300.0 + run.rng.random() * 400.0)
        _one(run, size.awake + number, times)
    run.close()
    whole = [sum(each) for each in zip(*times, strict=True)]
    return (*(_hop(n, t) for n, t in zip(HOPS, times, strict=True)), _hop("all of it", whole))


def _one(run: Run, function: int, times: list[list[float]]) -> None:
    service = service_name(function)
    clock, stamps = run.fleet.clock, run.fleet.stamps
    stamps.clear()
    run.call(function)
    entry = run.exchanges[run.calls % len(run.exchanges)]
    before_ms, began_ms = clock.now_ms, clock.now_ms
    named = {2: "platform start", 7: "attempt", 8: "answer"}
    for hop in range(len(HOPS)):
        while clock.now_ms - began_ms < MOST_MS:
            what = named.get(hop)
            found = [s.at_ms for s in stamps if (s.what, s.name) == (what, service)]
            if found:
                at_ms = max(before_ms, found[0])
                break
            if what is None and _reached(run, hop, service, entry):
                at_ms = clock.now_ms
                break
            clock.run(LOOK_MS)
        else:
            raise RuntimeError(f"{service}: {HOPS[hop]}: not within {MOST_MS} ms")
        times[hop].append(max(0.0, at_ms - before_ms))
        before_ms = max(before_ms, at_ms)


def _hop(name: str, times_ms: list[float]) -> Hop:
    ordered = sorted(times_ms)
    return Hop(
        name,
        rounded(ordered[len(ordered) // 2]),
        rounded(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]),
        rounded(sum(ordered) / len(ordered)),
    )


__all__ = ["HOPS", "Hop", "cold_starts"]
