"""Expiry of registers: claims by age, configuration numbers by how many newer ones exist."""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from spokeroute.common.ids import CLAIM_PREFIX, NUMBER_PREFIX, Ms
from spokeroute.register.configuration_numbers import prunable_numbers

CLAIM_RETENTION_MS = 900_000
EXPIRING_PREFIXES = (CLAIM_PREFIX, NUMBER_PREFIX)


def expire(
    names: Iterable[str], first_seen_ms: Map[str, Ms], in_force: int, now_ms: Ms
) -> tuple[Map[str, Ms], tuple[str, ...]]:
    """Return when each expiring register was first seen, and the names that expire now.

    ``in_force`` is a configuration number that is proved to have been in force.

    Example:
        >>> expire(["claim/k1"], Map({"claim/k1": Ms(0)}), 0, Ms(CLAIM_RETENTION_MS + 1))[1]
        ('claim/k1',)
    """
    first_seen = first_seen_ms.mutate()
    numbers: list[str] = []
    expired: list[str] = []
    for name in names:
        if not name.startswith(EXPIRING_PREFIXES):
            continue
        since_ms = first_seen.get(name, now_ms)
        if name not in first_seen:
            first_seen[name] = now_ms
        if name.startswith(NUMBER_PREFIX):
            numbers.append(name)
        elif now_ms - since_ms > CLAIM_RETENTION_MS:
            expired.append(name)
    known = first_seen.finish()
    expired.extend(prunable_numbers(tuple(numbers), in_force, known, now_ms))
    kept = known.mutate()
    for name in expired:
        del kept[name]
    return kept.finish(), tuple(expired)
