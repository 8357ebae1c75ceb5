"""The tenant of a call: determined when it enters, and again before each attempt.

A call may wait for seconds, and its API key may be withdrawn in that time. The entry node decides,
each time by its newest tables; the holder of the instance passes on the tenant that it was given.
"""

from __future__ import annotations

from spokeroute.dispatch.configuration.configuration import Route, Table, Tenant
from spokeroute.transport.call_messages import Pairs

ANONYMOUS = Tenant("")
"""The tenant of calls that need none: the route is public, or the configuration has no tenants."""
CHALLENGE = (("WWW-Authenticate", "Bearer"),)


def tenant_of(table: Table, route: Route, credential: Pairs) -> Tenant | None:
    """The tenant of a call; None if it needs one and has no valid key.

    Example:
        tenant_of(table, route, (("Authorization", "Bearer k1"),))
    """
    if table.tenants is None:
        return ANONYMOUS
    found = table.tenants.tenant(credential[0][1]) if credential else None
    return ANONYMOUS if found is None and route.public else found


def headers_for_instance(table: Table | None, headers: Pairs, credential: Pairs) -> Pairs:
    """The headers that are sent to an instance. The credential is passed on only if the
    configuration has no tenants: it is then meant for the instance.

    Example:
        >>> headers_for_instance(None, (("A", "1"),), (("Authorization", "Bearer k1"),))
        (('A', '1'),)
    """
    meant_for_instance = table is not None and table.tenants is None
    return (*headers, *credential) if meant_for_instance else headers
