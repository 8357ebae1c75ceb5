"""Deployments with many small services that sleep, one route each."""

from __future__ import annotations

from typing import Any

from tests.sim.cluster import configuration


def with_rare_services(name: str, count: int, boot_ms: float, aim_ms: int = 0) -> dict[str, Any]:
    """The small deployment, and services ``rare-0``, ``rare-1`` and on at ``/rare/0`` and on."""
    document = configuration(name=name)
    document["services"] += [
        {"name": f"rare-{i}", "memoryMb": 64, "limit": 1, "coldMs": 0, "longestRunMs": 1000,
         "startMs": int(boot_ms), "idleMs": 1000, "spares": 0}
        for i in range(count)
    ]  # fmt: skip
    aim = {"aimMs": aim_ms} if aim_ms else {}
    document["routes"] += [
        {"path": f"/rare/{i}", "service": f"rare-{i}", "repeatable": True, **aim}
        for i in range(count)
    ]
    return document
