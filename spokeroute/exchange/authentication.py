"""In whose name a call runs: decided where it enters, and again before each of its sends.

A call may wait for seconds, and its key may be withdrawn meanwhile. The node that it entered at
decides, each time by its newest tables; the one that holds the instance passes on what it was told.
"""

from __future__ import annotations

from spokeroute.dispatch.configuration.configuration import Route, Table, Tenant
from spokeroute.transport.call_messages import Pairs

ANONYMOUS = Tenant("")
"""Whose name a call has that needs none: its route is public, or no configuration names tenants."""
CHALLENGE = (("WWW-Authenticate", "Bearer"),)


def tenant_of(table: Table, route: Route, credential: Pairs) -> Tenant | None:
    """The tenant in whose name a call runs; None where it needs one and shows no key of any.

    Example:
        tenant_of(table, route, (("Authorization", "Bearer k1"),))
    """
    if table.tenants is None:
        return ANONYMOUS
    found = table.tenants.tenant(credential[0][1]) if credential else None
    return ANONYMOUS if found is None and route.public else found


def headers_for_instance(table: Table | None, headers: Pairs, credential: Pairs) -> Pairs:
    """The headers that an instance is shown. A credential is between the caller and the instance
    where no configuration has tenants, and only there.

    Example:
        >>> headers_for_instance(None, (("A", "1"),), (("Authorization", "Bearer k1"),))
        (('A', '1'),)
    """
    between_them = table is not None and table.tenants is None
    return (*headers, *credential) if between_them else headers
