"""Which registers a member lets go: claims by their age, numbers by how many came after."""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from spokeroute.common.ids import CLAIM_PREFIX, NUMBER_PREFIX, Ms
from spokeroute.register.configuration_numbers import prunable_numbers

CLAIM_KEEP_MS = 900_000
AGEING = (CLAIM_PREFIX, NUMBER_PREFIX)


def age(
    names: Iterable[str], born: Map[str, Ms], in_force: int, now_ms: Ms
) -> tuple[Map[str, Ms], tuple[str, ...]]:
    """When this process first met each register that ages, and those that go now.

    ``in_force`` is an operator's number that is proved to have been in force.

    Example:
        >>> age(["claim/k1"], Map({"claim/k1": Ms(0)}), 0, Ms(CLAIM_KEEP_MS + 1))[1]
        ('claim/k1',)
    """
    met = born.mutate()
    numbers: list[str] = []
    drops: list[str] = []
    for name in names:
        if not name.startswith(AGEING):
            continue
        since_ms = met.get(name, now_ms)
        if name not in met:
            met[name] = now_ms
        if name.startswith(NUMBER_PREFIX):
            numbers.append(name)
        elif now_ms - since_ms > CLAIM_KEEP_MS:
            drops.append(name)
    known = met.finish()
    drops.extend(prunable_numbers(tuple(numbers), in_force, known, now_ms))
    kept = known.mutate()
    for name in drops:
        del kept[name]
    return kept.finish(), tuple(drops)
