"""How urgent a call is: its tenant's priority first, then its route's; 0 is the most urgent.

Ranks decide whose turn it is in a holder's queue (``held_instance.in_turn``), not who may join it:
in a crowd urgent calls wait less, and are not more.
"""

from __future__ import annotations

MAX_PRIORITY = 9  # what is less urgent than this counts as this
PRIORITY_LEVELS = MAX_PRIORITY + 1


def rank_of(tenant_priority: int, route_priority: int) -> int:
    """A call's rank.

    Example:
        >>> rank_of(0, 2), rank_of(1, 0), rank_of(500, 500)
        (2, 10, 99)
    """
    tenant, route = min(tenant_priority, MAX_PRIORITY), min(route_priority, MAX_PRIORITY)
    return tenant * PRIORITY_LEVELS + route
