"""Lookup tables compiled from a configuration."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from spokeroute.common.ids import Version
from spokeroute.dispatch.configuration.models import Limits, Programs, Route, Service, Thresholds
from spokeroute.dispatch.configuration.tenant_keys import TenantKeys


@dataclass(frozen=True, slots=True)
class HostRoutes:
    """The routes of one host, by path."""

    exact: Mapping[str, Route]
    prefixes: Mapping[str, Route]  # the path's part before /*
    below: Mapping[str, Route]  # the path's part before /**

    def route(self, path: str) -> Route | None:
        """Find the route of a path: an exact match first, then the longest prefix.

        Example:
            HostRoutes({}, {}, {}).route("/a") is None
        """
        found = self.exact.get(path) or self.prefixes.get(path)
        at = path
        while found is None:
            cut_at = at.rfind("/")
            if cut_at < 0:
                return None
            at = at[:cut_at]
            found = self.below.get(at) or self.prefixes.get(at)
        return found


@dataclass(frozen=True, slots=True)
class Table:
    """A compiled configuration."""

    version: Version
    digest: str
    hosts: Mapping[str, HostRoutes]
    services: Mapping[str, Service]
    thresholds: Thresholds
    programs: Programs
    name: str = ""
    limits: Limits = Limits()
    aim_ms: Mapping[str, int] = field(default_factory=dict)
    """The lowest target latency of the routes to a service; absent if no route has one."""
    regions: Mapping[str, frozenset[str]] = field(default_factory=dict)
    """The allowed regions of services whose routes name any."""
    tenants: TenantKeys | None = None
    """None: no call needs a key."""

    def route(self, path: str, host: str = "") -> Route | None:
        """Find the route of a path: routes of the host first, then those of any host.

        Example:
            table.route("/readings/7")
        """
        own = self.hosts.get(host)
        found = own.route(path) if own is not None else None
        if found is None and host and "" in self.hosts:
            found = self.hosts[""].route(path)
        return found


DEFAULT_RUN_MS = 10_000


def run_ms(service: str, table: Table | None) -> int:
    """The longest time that a call may run at an instance of a service.

    Example:
        >>> run_ms("readings", None)
        10000
    """
    known = table.services.get(service) if table else None
    return known.longest_run_ms if known else DEFAULT_RUN_MS


def service_of(route: Route, call_id: str) -> str:
    """The service for a call on a route, chosen by weight if the route is split.

    Example:
        >>> service_of(Route("/a", "s"), "c1")
        's'
    """
    if not route.split:
        return route.service
    at = zlib.crc32(call_id.encode()) / 2**32 * sum(x.weight for x in route.split)
    for share in route.split:
        at -= share.weight
        if at < 0:
            return share.service
    return next(x.service for x in reversed(route.split) if x.weight > 0)
