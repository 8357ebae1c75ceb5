"""The tenants of a soak: some keys are held all the time, one comes and goes with configurations,
one moves between two tenants, and one was never held."""

from __future__ import annotations

import random
from typing import Any

from spokeroute.dispatch.configuration.tenant_keys import key_digest
from tools.load import Load, now_ms
from tools.log import Asked, Told

STEADY = {"district": "soak-steady-1", "utility": "soak-steady-2"}
PASSING, MOVING, NEVER = "soak-passing", "soak-moving", "soak-never"
CHANGE_EACH = 3  # configurations
DOUBTFUL_SHARE = 0.2  # of the calls; the others show a key that is always held


def keys_at(number: int) -> dict[str, list[str]]:
    """Each tenant's keys in the configuration of a number.

    Example:
        >>> keys_at(0)["district"], keys_at(3)["district"]
        (['soak-steady-1', 'soak-passing'], ['soak-steady-1'])
    """
    even = number // CHANGE_EACH % 2 == 0
    held = {name: [key] for name, key in STEADY.items()}
    if even:
        held["district"].append(PASSING)
    else:
        held["utility"].append(MOVING)
    held["visitor"] = [MOVING] if even else []
    return held


def tenants_at(number: int) -> list[dict[str, Any]]:
    """The tenants of a configuration, as the product has them.

    Example:
        >>> [each["name"] for each in tenants_at(0)]
        ['district', 'utility', 'visitor']
    """
    return [
        {"name": name, "keyDigests": [key_digest(key) for key in keys], "priority": at}
        for at, (name, keys) in enumerate(keys_at(number).items())
    ]


def draw_key(rng: random.Random) -> str:
    """The key that a caller shows.

    Example:
        >>> draw_key(random.Random(1)) in (*STEADY.values(), PASSING, MOVING, NEVER, "")
        True
    """
    if rng.random() < DOUBTFUL_SHARE:
        return rng.choice((PASSING, MOVING, NEVER, ""))
    return rng.choice(tuple(STEADY.values()))


class KeyedLoad(Load):
    """Callers with keys, and operators whose configurations change who holds them."""

    def apply(self) -> Told:
        """Send the next configuration."""
        with self.lock:
            self.applies += 1
            number = self.applies
        sent = {**self.doc, "name": f"{self.doc['name']} {number}", "tenants": tenants_at(number)}
        return self.send_configuration(Told("apply", now_ms(), detail=sent["name"], sent=sent))

    def choose(self, number: int) -> Asked:
        """The next call, and whose it is."""
        asked = super().choose(number)
        asked.api_key = draw_key(self.rng)
        return asked
