"""Memory of hollow nodes by role: what is freed when a role's nodes are let go, and the most that
one turn of a node's loop took on top. The interpreter and its libraries are not in it."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict

from tools.capacity_fleet import Point, Run, resident_mb, rounded
from tools.capacity_size import Size
from tools.capacity_world import HollowNode

MB = 2**20


def _watched(node: HollowNode, role: str, most: dict[str, float]) -> None:
    turn = node.turn

    def watching(act: Callable[[], None]) -> None:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        turn(act)
        _, peak = tracemalloc.get_traced_memory()
        most[role] = max(most.get(role, 0.0), (peak - before) / MB)

    node.turn = watching  # type: ignore[method-assign]


def _freed(nodes: list[HollowNode]) -> float:
    """Megabytes that a node of these held."""
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    many = len(nodes)
    for node in nodes:
        node.process.close()
        node.process.actors.clear()
        del node.process
        del node.turn
    nodes.clear()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    return (before - after) / many / MB if many else 0.0


def measure_memory(size: Size) -> Point:
    """Run a fleet of a size, with its events, and weigh its nodes by role.

    Example:
        measure_memory(Size(nodes=4, instances=16, functions=4, seconds=1.0)).notes
    """
    began = time.monotonic()
    tracemalloc.start()
    run = Run(size)
    most: dict[str, float] = {}
    for node in run.exchanges:
        _watched(node, "exchange", most)
    for node in run.registries:
        _watched(node, "registry", most)
    run.settle()
    run.happen()
    run.fleet.clock.run(size.seconds * 1000)
    run.meter.on = False
    run.fleet.clock.due.clear()
    run.fleet.net.nodes.clear()
    run.meter.stack.clear()
    holder = run.holder()
    others = [n for n in run.registries if n is not holder]
    exchanges, holders = run.exchanges, [holder] if holder is not None else []
    run.registries, run.exchanges = [], []
    del holder
    notes = {f"peak {role}": rounded(mb) for role, mb in most.items()}
    notes["memory exchange"] = rounded(_freed(exchanges))
    notes["memory registry"] = rounded(_freed(others))
    notes["memory holder"] = rounded(_freed(holders))
    notes["ns per count"] = 0.0
    tracemalloc.stop()
    return Point(
        asdict(size), {}, {}, notes, rounded(resident_mb()), rounded(time.monotonic() - began)
    )
