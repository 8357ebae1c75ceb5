"""Compiles stored configurations into tables, reusing the rows of the previous configuration.

A configuration has thousands of rows, and a change affects one or a few of them. Parsing all rows
at each change, on each node, would take most of a small machine's processor.
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
from spokeroute.register.packed import unpack
from spokeroute.register.stamps import NUMBER

LIST_BEGINS, LIST_ENDS = "[\n", "\n]"
# The adapter's original document is not needed in tables.
DOCUMENT_FIELD = f',"document":{LIST_BEGINS}'


@dataclass(frozen=True, slots=True)
class Rows:
    """The rows of one list of a configuration: JSON text to parsed value."""

    read: Mapping[str, Any]
    new_count: int = 0
    """The number of rows that had to be parsed."""


def read_rows(texts: Iterable[str], known: Mapping[str, Any], read: Callable[[Any], Any]) -> Rows:
    """Parse the rows of a list, reusing known rows.

    Example:
        >>> read_rows(["1", "2"], {"1": "one"}, str)
        Rows(read={'1': 'one', '2': '2'}, new_count=1)
    """
    found: dict[str, Any] = {}
    new_count = 0
    for text in texts:
        row = known.get(text)
        if row is None:
            row = read(json.loads(text))
            new_count += 1
        found[text] = row
    return Rows(found, new_count)


class TableReader:
    """Compiles configurations; keeps the rows of the last one for reuse.

    Example:
        TableReader().read(Version(1), "", value).services == {}
    """

    def __init__(self) -> None:
        self._routes = Rows({})
        self._services = Rows({})
        self._tenants = Rows({})

    @property
    def rows(self) -> int:
        """The number of rows of the last table.

        Example:
            >>> TableReader().rows
            0
        """
        return sum(len(each.read) for each in (self._routes, self._services, self._tenants))

    @property
    def rows_read(self) -> int:
        """The number of rows parsed for the last table.

        Example:
            >>> TableReader().rows_read
            0
        """
        return sum(each.new_count for each in (self._routes, self._services, self._tenants))

    def read(self, version: Version, digest: str, value: bytes) -> Table:
        """Compile a register value. Run it on an I/O thread, because it may block the event loop.

        Example:
            reader.read(copy.version, copy.digest, value)
        """
        text = unpack(value, NUMBER.size).decode()
        without_document, found, _ = text.partition(DOCUMENT_FIELD)
        routes, without_document = _split_off_list(without_document, "routes")
        services, without_document = _split_off_list(without_document, "services")
        tenants, without_document = _split_off_list(without_document, "tenants")
        raw = json.loads(without_document + "}" if found else without_document)["configuration"]
        routes = routes or _json_rows(raw["routes"])
        services = services or _json_rows(raw["services"])
        self._routes = read_rows(routes, self._routes.read, _route_of)
        self._services = read_rows(services, self._services.read, Service.from_dict)
        self._tenants = read_rows(tenants, self._tenants.read, _tenant_of)
        table = _table_of(
            version, digest, raw, self._routes.read.values(), self._services.read.values()
        )
        # Earlier releases stored no tenants; an empty list means that no key is valid.
        if raw.get("tenants") is None:
            return table
        return replace(table, tenants=TenantKeys.of(self._tenants.read.values()))


def build_table(version: Version, digest: str, value: bytes) -> Table:
    """Compile a register value without reuse.

    Example:
        build_table(Version(1), "", value).services == {}
    """
    return TableReader().read(version, digest, value)


def _split_off_list(text: str, name: str) -> tuple[list[str], str]:
    """Split off the rows of a list with one entry per line; returns them and the text without them.

    Values stored by earlier releases have no such lists and are returned unchanged.
    """
    begin = f'"{name}":{LIST_BEGINS}'
    before, found, rest = text.partition(begin)
    if not found:
        return [], text
    rows, _, after = rest.partition(LIST_ENDS)
    return rows.split(",\n") if rows else [], f'{before}"{name}":[]{after}'


def _json_rows(entries: list[Any]) -> list[str]:
    return [json.dumps(entry) for entry in entries]


def _route_of(raw: Mapping[str, Any]) -> Route:
    """Build a route from stored, validated JSON, without validating it again."""
    split = tuple(Share(x["service"], x["weight"]) for x in raw["split"])
    return Route(
        raw["path"], raw["service"], tuple(raw["methods"]), raw["repeatable"],
        raw["perClientPerS"], raw["host"], split, raw["attempts"], raw["timeoutMs"],
        raw["aimMs"], raw["priority"], tuple(raw.get("regions", ())),
        raw.get("public", False),
    )  # fmt: skip


def _tenant_of(raw: Mapping[str, Any]) -> Tenant:
    """Build a tenant from stored, validated JSON."""
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
    """The regions for a service's instances: those that all its routes allow or, if there are none,
    those that any route allows."""
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
