"""Semantic validation of a decoded configuration; each fault has a path and a remedy."""

from __future__ import annotations

from spokeroute.dispatch.configuration.models import (
    Configuration,
    Fault,
    Limits,
    Route,
    Service,
    Tenant,
)
from spokeroute.dispatch.configuration.tenant_keys import DIGEST
from spokeroute.dispatch.policy import (
    RANK_FIELDS,
    SHIFT_FIELDS,
    ProgramFault,
    compile_program,
)

MAX_WORKER_MB = 8_192
MAX_NAME_CHARS = 128
MAX_PRIORITY = 1_000
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")


def check_configuration(configuration: Configuration, zones: tuple[str, ...]) -> list[Fault]:
    """Validate a configuration whose fields have the right types.

    Example:
        check_configuration(Configuration((), (), ()), ()) == []
    """
    faults: list[Fault] = []
    for i, name in enumerate(configuration.zones):
        if zones and name not in zones:
            faults.append(
                Fault(f"zones[{i}]", f"unknown zone {name!r}",
                      f"known: {', '.join(zones)}")
            )  # fmt: skip
        if name in configuration.zones[:i]:
            faults.append(Fault(f"zones[{i}]", f"{name!r} stands twice", "name it once"))
    names: set[str] = set()
    for i, service in enumerate(configuration.services):
        faults.extend(_check_service(f"services[{i}]", service, names))
        names.add(service.name)
    seen: set[tuple[str, str]] = set()
    for i, route in enumerate(configuration.routes):
        faults.extend(_check_route(f"routes[{i}]", route, names, seen))
        seen.add((route.host, route.path))
    faults.extend(_check_tenants(configuration.tenants or ()))
    faults.extend(_check_limits(configuration.limits))
    limits = configuration.thresholds
    for name, value, top in (
        ("overloadPct", limits.overload_pct, 100.0),
        ("triggerPct", limits.trigger_pct, 100.0),
        ("migrationPct", limits.migration_pct, 1000.0),
    ):
        if not 1.0 <= value <= top:
            faults.append(Fault(f"thresholds.{name}", f"is {value}", f"choose 1 to {top:g}"))
    sources = (
        ("rank", configuration.programs.rank, RANK_FIELDS),
        ("shift", configuration.programs.shift, SHIFT_FIELDS),
    )
    for name, source, known in sources:
        if source:
            program = compile_program(source, known)
            if isinstance(program, ProgramFault):
                faults.append(Fault(f"programs.{name}", program.reason, program.remedy))
    return faults


def check_regions(configuration: Configuration, regions: frozenset[str]) -> list[Fault]:
    """Find routes and tenants that name a region unknown to this deployment.

    Example:
        >>> check_regions(Configuration((), (), ()), frozenset())
        []
    """
    known = ", ".join(sorted(regions)) or "none: settings name no regions"
    named = [(f"routes[{i}]", each.regions) for i, each in enumerate(configuration.routes)]
    tenants = configuration.tenants or ()
    named += [(f"tenants[{i}]", each.regions) for i, each in enumerate(tenants)]
    return [
        Fault(f"{path}.regions", f"unknown region {name!r}", f"known: {known}")
        for path, names in named
        for name in names
        if name not in regions
    ]


MAX_COLD_PER_S = 1_000_000
MAX_COLD_MS = 86_400_000


def _check_service(path: str, service: Service, names: set[str]) -> list[Fault]:
    faults: list[Fault] = []
    if not service.name or len(service.name) > 64 or not service.name.replace("-", "").isalnum():
        faults.append(Fault(f"{path}.name", "is no name", "use letters, digits and dashes, to 64"))
    if service.name in names:
        faults.append(Fault(f"{path}.name", f"{service.name!r} stands twice", "name it once"))
    if not 1 <= service.memory_mb <= MAX_WORKER_MB:
        faults.append(
            Fault(f"{path}.memoryMb", f"{service.memory_mb} MB fits no worker",
                  f"choose 1 to {MAX_WORKER_MB}")
        )  # fmt: skip
    for name, value, low, high in (
        ("limit", service.limit, 1, 1000),
        ("startMs", service.start_ms, 0, 120_000),
        ("longestRunMs", service.longest_run_ms, 10, 60_000),
        ("coldMs", service.cold_ms, 0, MAX_COLD_MS),
        ("minInstances", service.min_instances, 0, 100),
        ("spares", service.spares, 0, 3),
        ("idleMs", service.idle_ms, 1_000, 86_400_000),
        ("connections", service.connections, 1, 1_000_000),
    ):
        if not low <= value <= high:
            faults.append(Fault(f"{path}.{name}", f"is {value}", f"choose {low} to {high}"))
    if service.cold_per_s is not None and not 0 <= service.cold_per_s <= MAX_COLD_PER_S:
        faults.append(
            Fault(f"{path}.coldPerS", f"is {service.cold_per_s}", f"choose 0 to {MAX_COLD_PER_S}")
        )
    return faults


def _check_route(
    path: str, route: Route, names: set[str], seen: set[tuple[str, str]]
) -> list[Fault]:
    faults: list[Fault] = []
    if not route.path.startswith("/") or len(route.path) > 512:
        faults.append(Fault(f"{path}.path", "is no path", "begin with /, to 512 characters"))
    if "*" in route.path.removesuffix("/**").removesuffix("/*"):
        faults.append(Fault(f"{path}.path", "a star stands inside", "end a prefix with /* or /**"))
    if (route.host, route.path) in seen:
        place = f"{route.host}{route.path}"
        faults.append(Fault(f"{path}.path", f"{place!r} stands twice", "name it once"))
    for name in route.services:
        if name not in names:
            faults.append(Fault(f"{path}.service", f"no service {name!r}", "add the service"))
    if route.split and route.service:
        faults.append(Fault(f"{path}.service", "stands beside a split", "give one of the two"))
    weights = [x.weight for x in route.split]
    if any(not 0 <= w <= 1e9 for w in weights) or (weights and sum(weights) <= 0):
        faults.append(Fault(f"{path}.split", "its weights add up to nothing", "give some above 0"))
    for field_name, value, low, high in (
        ("timeoutMs", route.timeout_ms, 1, 3_600_000),
        ("aimMs", route.aim_ms, 0, 3_600_000),
        ("attempts", route.attempts, 1, 100),
        ("priority", route.priority, 0, MAX_PRIORITY),
    ):
        if not low <= value <= high:
            faults.append(Fault(f"{path}.{field_name}", f"is {value}", f"choose {low} to {high}"))
    if any(m not in METHODS for m in route.methods):
        faults.append(Fault(f"{path}.methods", "unknown method", f"use {', '.join(METHODS)}"))
    if not 0 <= route.per_client_per_s <= 100_000:
        faults.append(Fault(f"{path}.perClientPerS", "out of bounds", "choose 0 (none) to 100000"))
    return faults


def _check_tenants(tenants: tuple[Tenant, ...]) -> list[Fault]:
    """Names and keys must be unique. No fault contains a key or its digest."""
    faults: list[Fault] = []
    names: set[str] = set()
    holder: dict[str, int] = {}
    for i, tenant in enumerate(tenants):
        path, name = f"tenants[{i}]", tenant.name
        if not _is_header_value(name):
            remedy = f"use 1 to {MAX_NAME_CHARS} visible characters of ASCII, blanks between them"
            faults.append(Fault(f"{path}.name", "is no name", remedy))
        elif name in names:
            faults.append(Fault(f"{path}.name", f"{name!r} stands twice", "name it once"))
        names.add(name)
        if not 0 <= tenant.priority <= MAX_PRIORITY:
            remedy = f"choose 0 to {MAX_PRIORITY}"
            faults.append(Fault(f"{path}.priority", f"is {tenant.priority}", remedy))
        for at, digest in enumerate(tenant.key_digests):
            where = f"{path}.keyDigests[{at}]"
            if not DIGEST.fullmatch(digest):
                remedy = "write what `spokeroute client key-digest` prints"
                faults.append(Fault(where, "is no digest of a key", remedy))
            elif holder.setdefault(digest, i) != i:
                shared = f"is a key of tenants[{holder[digest]}] too"
                faults.append(Fault(where, shared, "give each tenant keys of its own"))
    return faults


def _is_header_value(name: str) -> bool:
    """Whether a name can be sent to an instance as a header value."""
    shown = name.isascii() and name.isprintable() and name == name.strip()
    return shown and 0 < len(name) <= MAX_NAME_CHARS


def _check_limits(limits: Limits) -> list[Fault]:
    return [
        Fault(f"limits.{name}", f"is {value}", f"choose {low} or more")
        for name, value, low in (
            ("maxHeaderBytes", limits.max_header_bytes, 256),
            ("maxBodyBytes", limits.max_body_bytes, 0),
            ("headerTimeoutMs", limits.header_timeout_ms, 1),
            ("idleTimeoutMs", limits.idle_timeout_ms, 1),
        )
        if value < low
    ]
