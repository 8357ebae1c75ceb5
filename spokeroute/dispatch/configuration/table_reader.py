"""Reads configurations into tables, row by row: a row that stood in the configuration before is not
read again.

A configuration has thousands of rows and changes by one or a few at a time. Read whole at each
change, on each node, it would take most of a small machine's processor.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from spokeroute.common.ids import Version
from spokeroute.common.replacing import replace
from spokeroute.dispatch.configuration.models import (
    Limits,
    Programs,
    Route,
    Service,
    Share,
    Tenant,
    Thresholds,
)
from spokeroute.dispatch.configuration.route_table import HostRoutes, Table
from spokeroute.dispatch.configuration.tenant_keys import TenantKeys
from spokeroute.register.packing import unpack
from spokeroute.register.value_metadata import NUMBER_FORMAT

LIST_BEGINS, LIST_ENDS = "[\n", "\n]"
DOCUMENT = f',"document":{LIST_BEGINS}'  # what an adapter was sent: nothing is decided by it


@dataclass(frozen=True, slots=True)
class Rows:
    """One list of a configuration by its rows: a JSON text, and what was read of it."""

    read: Mapping[str, Any]
    anew: int = 0
    """How many of them were not known before."""


def read_rows(texts: Iterable[str], known: Mapping[str, Any], read: Callable[[Any], Any]) -> Rows:
    """The rows of a list; those that are known are taken as they are.

    Example:
        >>> read_rows(["1", "2"], {"1": "one"}, str)
        Rows(read={'1': 'one', '2': '2'}, anew=1)
    """
    found: dict[str, Any] = {}
    anew = 0
    for text in texts:
        row = known.get(text)
        if row is None:
            row = read(json.loads(text))
            anew += 1
        found[text] = row
    return Rows(found, anew)


class TableReader:
    """One process's reader of configurations; it keeps the rows of the last one.

    Example:
        TableReader().read(Version(1), "", value).services == {}
    """

    def __init__(self) -> None:
        self._routes = Rows({})
        self._services = Rows({})
        self._tenants = Rows({})

    @property
    def rows(self) -> int:
        """How many rows the last table has.

        Example:
            >>> TableReader().rows
            0
        """
        return sum(len(each.read) for each in (self._routes, self._services, self._tenants))

    @property
    def rows_read(self) -> int:
        """How many rows the last table took to read.

        Example:
            >>> TableReader().rows_read
            0
        """
        return sum(each.anew for each in (self._routes, self._services, self._tenants))

    def read(self, version: Version, digest: str, value: bytes) -> Table:
        """A register's value as tables; for an edge thread, not for the loop.

        Example:
            reader.read(copy.version, copy.digest, value)
        """
        text = unpack(value, NUMBER_FORMAT.size).decode()
        decided, found, _ = text.partition(DOCUMENT)
        routes, decided = _cut_list(decided, "routes")
        services, decided = _cut_list(decided, "services")
        tenants, decided = _cut_list(decided, "tenants")
        raw = json.loads(decided + "}" if found else decided)["configuration"]
        routes = routes or _texts_of(raw["routes"])
        services = services or _texts_of(raw["services"])
        self._routes = read_rows(routes, self._routes.read, _route_of)
        self._services = read_rows(services, self._services.read, Service.from_dict)
        self._tenants = read_rows(tenants, self._tenants.read, _tenant_of)
        table = _table_of(
            version, digest, raw, self._routes.read.values(), self._services.read.values()
        )
        # Configurations of earlier releases have no tenants; one that lists none has no keys.
        if raw.get("tenants") is None:
            return table
        return replace(table, tenants=TenantKeys.of(self._tenants.read.values()))


def build_table(version: Version, digest: str, value: bytes) -> Table:
    """A register's value as tables, read whole.

    Example:
        build_table(Version(1), "", value).services == {}
    """
    return TableReader().read(version, digest, value)


def _cut_list(text: str, name: str) -> tuple[list[str], str]:
    """The rows of a list that stands an entry a line, and the text with that list empty. Values
    that were kept by earlier releases have no such lists: there is nothing to cut."""
    begin = f'"{name}":{LIST_BEGINS}'
    before, found, rest = text.partition(begin)
    if not found:
        return [], text
    rows, _, after = rest.partition(LIST_ENDS)
    return rows.split(",\n") if rows else [], f'{before}"{name}":[]{after}'


def _texts_of(entries: list[Any]) -> list[str]:
    return [json.dumps(entry) for entry in entries]


def _route_of(raw: Mapping[str, Any]) -> Route:
    """A route that was checked before it was kept, built without the checks."""
    split = tuple(Share(x["service"], x["weight"]) for x in raw["split"])
    return Route(
        raw["path"], raw["service"], tuple(raw["methods"]), raw["repeatable"],
        raw["perClientPerS"], raw["host"], split, raw["attempts"], raw["timeoutMs"],
        raw["aimMs"], raw["priority"], tuple(raw.get("regions", ())),
        raw.get("public", False),
    )  # fmt: skip


def _tenant_of(raw: Mapping[str, Any]) -> Tenant:
    """A tenant that was checked before it was kept."""
    return Tenant(raw["name"], tuple(raw["keyDigests"]), raw["priority"], tuple(raw["regions"]))


def _table_of(
    version: Version,
    digest: str,
    raw: Mapping[str, Any],
    routes: Iterable[Route],
    services: Iterable[Service],
) -> Table:
    by_host: dict[str, list[Route]] = {}
    aim_ms: dict[str, int] = {}
    regions: dict[str, list[frozenset[str]]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
        for name in route.services if route.aim_ms else ():
            aim_ms[name] = min(route.aim_ms, aim_ms.get(name, route.aim_ms))
        for name in route.services if route.regions else ():
            regions.setdefault(name, []).append(frozenset(route.regions))
    return Table(
        version, digest, {host: _host_routes(each) for host, each in by_host.items()},
        {service.name: service for service in services}, Thresholds.from_dict(raw["thresholds"]),
        Programs.from_dict(raw["programs"]), raw["name"], Limits.from_dict(raw["limits"]), aim_ms,
        {name: _regions_of(each) for name, each in regions.items()},
    )  # fmt: skip


def _regions_of(named: list[frozenset[str]]) -> frozenset[str]:
    """Where a service's instances stand: in the regions that all its routes allow, or, where these
    have none in common, in those of any."""
    return frozenset.intersection(*named) or frozenset.union(*named)


def _host_routes(routes: list[Route]) -> HostRoutes:
    exact: dict[str, Route] = {}
    prefixes: dict[str, Route] = {}
    below: dict[str, Route] = {}
    for route in routes:
        if route.path.endswith("/**"):
            below[route.path.removesuffix("/**")] = route
        elif route.path.endswith("/*"):
            prefixes[route.path.removesuffix("/*")] = route
        else:
            exact[route.path] = route
    return HostRoutes(exact, prefixes, below)
