"""The urgency of a call: by its tenant's priority, then by its route's; 0 is the most urgent.

Ranks decide the order in a holder's queue (``held_instance.dispatch_order``), not admission to it:
under load, urgent calls wait for a shorter time, but no more of them are admitted.
"""

from __future__ import annotations

MAX_PRIORITY = 9  # lower priorities count as this one
PRIORITY_LEVELS = MAX_PRIORITY + 1


def rank_of(tenant_priority: int, route_priority: int) -> int:
    """The rank of a call.

    Example:
        >>> rank_of(0, 2), rank_of(1, 0), rank_of(500, 500)
        (2, 10, 99)
    """
    tenant, route = min(tenant_priority, MAX_PRIORITY), min(route_priority, MAX_PRIORITY)
    return tenant * PRIORITY_LEVELS + route
