"""The desired state: one whole, versioned configuration. mashumaro reads it; every
fault is listed with its path and remedy, and nothing changes while one stands."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from functools import cache
from typing import Any, get_type_hints

from mashumaro import DataClassDictMixin
from mashumaro.config import BaseConfig
from mashumaro.exceptions import (
    ExtraKeysError,
    InvalidFieldValue,
    MissingField,
)

from spokeroute.dispatch.policy import (
    RANK_FIELDS,
    SHIFT_FIELDS,
    ProgramFault,
    compileProgram,
)

MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
MAX_WORKER_MB = 8_192
MAX_LANES = 100_000
MAX_SERVICES = 2_000
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD")


class Strict(DataClassDictMixin):
    """A part of the desired state that takes no unknown field."""

    class Config(BaseConfig):
        forbid_extra_keys = True


@dataclass(frozen=True)
class Service(Strict):
    """A function: what an instance of it needs and how it behaves."""

    name: str
    memoryMb: int
    limit: int
    startMs: int = 1_000
    longestRunMs: int = 2_000
    coldMs: int = 2_000
    minInstances: int = 0
    spares: int = 1
    idleMs: int = 60_000


@dataclass(frozen=True)
class Lane(Strict):
    """A path, or a prefix that ends in ``/*``, its methods, and where its calls go."""

    path: str
    service: str
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = False
    perAgentPerS: float = 20.0


@dataclass(frozen=True)
class Programs(Strict):
    """Policy programs; empty means FLARe itself."""

    rank: str = ""
    shift: str = ""


@dataclass(frozen=True)
class Thresholds(Strict):
    """FLARe's numbers, in percent of a worker."""

    overloadPct: float = 70.0
    triggerPct: float = 10.0
    migrationPct: float = 120.0


@dataclass(frozen=True)
class DesiredState(Strict):
    """The whole configuration."""

    localities: tuple[str, ...]
    services: tuple[Service, ...]
    lanes: tuple[Lane, ...]
    programs: Programs = field(default_factory=Programs)
    thresholds: Thresholds = field(default_factory=Thresholds)
    name: str = ""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an operator's configuration."""

    path: str
    reason: str
    remedy: str


_KINDS: dict[Any, tuple[tuple[type, ...], str]] = {
    int: ((int,), "a whole number"),
    float: ((int, float), "a number"),
    str: ((str,), "a text"),
    bool: ((bool,), "true or false"),
}


@cache
def _scalars(kind: Any) -> tuple[tuple[str, tuple[type, ...], str], ...]:
    hints = get_type_hints(kind)
    return tuple((f.name, *_KINDS[hints[f.name]]) for f in fields(kind) if hints[f.name] in _KINDS)


def _typed(path: str, raw: Any, kind: Any, faults: list[Fault]) -> Any:
    """Read one part; the first fault mashumaro finds and every scalar of a wrong type."""
    if not isinstance(raw, dict):
        faults.append(Fault(path, "must be an object", "write {...}"))
        return None
    before = len(faults)
    for name, accepted, said in _scalars(kind):
        if name in raw:
            value = raw[name]
            if not isinstance(value, accepted) or (
                isinstance(value, bool) and bool not in accepted
            ):
                faults.append(Fault(f"{path}.{name}", f"must be {said}", f"write {said}"))
    if len(faults) > before:
        return None
    try:
        return kind.from_dict(raw)
    except ExtraKeysError as fault:
        for key in sorted(fault.extra_keys):
            known = ", ".join(f.name for f in fields(kind))
            faults.append(Fault(f"{path}.{key}", "unknown field", f"remove it; known: {known}"))
    except MissingField as fault:
        faults.append(Fault(f"{path}.{fault.field_name}", "is missing", "add it"))
    except (InvalidFieldValue, ValueError, TypeError) as fault:
        name = getattr(fault, "field_name", "")
        faults.append(Fault(f"{path}.{name}", "has a wrong value", "see docs/operator.md"))
    return None


def _list(path: str, raw: Any, kind: Any, most: int, faults: list[Fault]) -> tuple[Any, ...]:
    if not isinstance(raw, list):
        faults.append(Fault(path, "must be a list", "write [...]"))
        return ()
    if len(raw) > most:
        faults.append(Fault(path, f"has {len(raw)} entries", f"keep it to {most}"))
        return ()
    read = (_typed(f"{path}[{i}]", item, kind, faults) for i, item in enumerate(raw))
    return tuple(item for item in read if item is not None)


def readDesired(body: bytes, localities: tuple[str, ...]) -> DesiredState | tuple[Fault, ...]:
    """An operator's whole configuration, or every fault in it.

    Example:
        readDesired(b"{}", ()) lists localities, services and lanes as missing.
    """
    if len(body) > MAX_CONFIGURATION_BYTES:
        return (Fault("", f"{len(body)} bytes", f"keep it to {MAX_CONFIGURATION_BYTES} bytes"),)
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as fault:
        return (Fault("", f"not JSON: {fault}", "send one JSON object"),)
    if not isinstance(raw, dict):
        return (Fault("", "must be an object", "send one JSON object"),)
    faults: list[Fault] = []
    known = [f.name for f in fields(DesiredState)]
    for key in sorted(set(raw) - set(known)):
        faults.append(Fault(key, "unknown field", f"remove it; known: {', '.join(known)}"))
    for key in ("localities", "services", "lanes"):
        if key not in raw:
            faults.append(Fault(key, "is missing", "add it"))
    named = raw.get("localities", [])
    if not isinstance(named, list) or not all(isinstance(x, str) for x in named):
        faults.append(Fault("localities", "must be a list of texts", 'write ["north", ...]'))
        named = []
    if not isinstance(raw.get("name", ""), str):
        faults.append(Fault("name", "must be a text", "write a text"))
    services = _list("services", raw.get("services", []), Service, MAX_SERVICES, faults)
    lanes = _list("lanes", raw.get("lanes", []), Lane, MAX_LANES, faults)
    programs = _typed("programs", raw.get("programs", {}), Programs, faults)
    thresholds = _typed("thresholds", raw.get("thresholds", {}), Thresholds, faults)
    if faults:
        return tuple(faults)
    desired = DesiredState(tuple(named), services, lanes, programs, thresholds, raw.get("name", ""))
    faults.extend(checkDesired(desired, localities))
    return tuple(faults) if faults else desired


def checkDesired(desired: DesiredState, localities: tuple[str, ...]) -> list[Fault]:
    """What is read well but can't rule.

    Example:
        checkDesired(DesiredState((), (), ()), ()) == []
    """
    faults: list[Fault] = []
    for i, name in enumerate(desired.localities):
        if localities and name not in localities:
            faults.append(
                Fault(f"localities[{i}]", f"unknown locality {name!r}",
                      f"known: {', '.join(localities)}")
            )  # fmt: skip
        if name in desired.localities[:i]:
            faults.append(Fault(f"localities[{i}]", f"{name!r} stands twice", "name it once"))
    names: set[str] = set()
    for i, service in enumerate(desired.services):
        faults.extend(_checkService(f"services[{i}]", service, names))
        names.add(service.name)
    seen: set[str] = set()
    for i, lane in enumerate(desired.lanes):
        faults.extend(_checkLane(f"lanes[{i}]", lane, names, seen))
        seen.add(lane.path)
    limits = desired.thresholds
    for name, value, top in (
        ("overloadPct", limits.overloadPct, 100.0),
        ("triggerPct", limits.triggerPct, 100.0),
        ("migrationPct", limits.migrationPct, 1000.0),
    ):
        if not 1.0 <= value <= top:
            faults.append(Fault(f"thresholds.{name}", f"is {value}", f"choose 1 to {top:g}"))
    sources = (
        ("rank", desired.programs.rank, RANK_FIELDS),
        ("shift", desired.programs.shift, SHIFT_FIELDS),
    )
    for name, source, known in sources:
        if source:
            program = compileProgram(source, known)
            if isinstance(program, ProgramFault):
                faults.append(Fault(f"programs.{name}", program.reason, program.remedy))
    return faults


def _checkService(path: str, service: Service, names: set[str]) -> list[Fault]:
    faults: list[Fault] = []
    if not service.name or len(service.name) > 64 or not service.name.replace("-", "").isalnum():
        faults.append(Fault(f"{path}.name", "is no name", "use letters, digits and dashes, to 64"))
    if service.name in names:
        faults.append(Fault(f"{path}.name", f"{service.name!r} stands twice", "name it once"))
    if not 1 <= service.memoryMb <= MAX_WORKER_MB:
        faults.append(
            Fault(f"{path}.memoryMb", f"{service.memoryMb} MB fits no worker",
                  f"choose 1 to {MAX_WORKER_MB}")
        )  # fmt: skip
    for name, value, low, high in (
        ("limit", service.limit, 1, 1000),
        ("startMs", service.startMs, 0, 120_000),
        ("longestRunMs", service.longestRunMs, 10, 60_000),
        ("coldMs", service.coldMs, 0, 120_000),
        ("minInstances", service.minInstances, 0, 100),
        ("spares", service.spares, 0, 3),
        ("idleMs", service.idleMs, 1_000, 86_400_000),
    ):
        if not low <= value <= high:
            faults.append(Fault(f"{path}.{name}", f"is {value}", f"choose {low} to {high}"))
    return faults


def _checkLane(path: str, lane: Lane, names: set[str], seen: set[str]) -> list[Fault]:
    faults: list[Fault] = []
    if not lane.path.startswith("/") or len(lane.path) > 512:
        faults.append(Fault(f"{path}.path", "is no path", "begin with /, to 512 characters"))
    if "*" in lane.path.removesuffix("/*"):
        faults.append(Fault(f"{path}.path", "a star stands inside", "end a prefix with /*"))
    if lane.path in seen:
        faults.append(Fault(f"{path}.path", f"{lane.path!r} stands twice", "name it once"))
    if lane.service not in names:
        faults.append(Fault(f"{path}.service", f"no service {lane.service!r}", "add the service"))
    if not lane.methods or any(m not in METHODS for m in lane.methods):
        faults.append(Fault(f"{path}.methods", "unknown method", f"use {', '.join(METHODS)}"))
    if not 0 < lane.perAgentPerS <= 100_000:
        faults.append(Fault(f"{path}.perAgentPerS", "out of bounds", "choose 0.1 to 100000"))
    return faults


@dataclass(frozen=True, slots=True)
class Table:
    """A desired state, ready to decide by."""

    version: int
    digest: str
    exact: Mapping[str, Mapping[str, Any]]  # path -> the lane as it is written
    prefixes: Mapping[str, Mapping[str, Any]]
    services: Mapping[str, Service]
    thresholds: Thresholds
    programs: Programs
    name: str = ""

    def lane(self, path: str) -> Lane | None:
        """The lane of a path: an exact one first, then the longest prefix.

        Example:
            table.lane("/readings/7")
        """
        found = self.exact.get(path)
        if found is not None:
            return Lane.from_dict(found)
        at = path
        while True:
            found = self.prefixes.get(at)
            if found is not None:
                return Lane.from_dict(found)
            cutAt = at.rfind("/")
            if cutAt < 0:
                return None
            at = at[:cutAt]


def packDesired(desired: DesiredState, applyId: str) -> bytes:
    """A desired state as a register's value; the apply's id keeps two sends apart.

    Example:
        unpackDesired(packDesired(DesiredState((), (), ()), "a"))[1] == "a"
    """
    doc = {"applyId": applyId, "configuration": desired.to_dict()}
    return zlib.compress(json.dumps(doc, separators=(",", ":")).encode(), 3)


def unpackDesired(value: bytes) -> tuple[dict[str, Any], str]:
    """The configuration as it was sent, and its apply's id.

    Example:
        unpackDesired(value)[0]["services"]
    """
    doc = json.loads(zlib.decompress(value))
    return doc["configuration"], doc["applyId"]


def buildTable(version: int, digest: str, value: bytes) -> Table:
    """Read a register's value into tables; for an edge thread, not for the loop.

    Example:
        buildTable(1, "", packDesired(DesiredState((), (), ()), "a")).services == {}
    """
    raw, _ = unpackDesired(value)
    lanes: list[dict[str, Any]] = raw["lanes"]
    exact = {x["path"]: x for x in lanes if not x["path"].endswith("/*")}
    prefixes = {x["path"].removesuffix("/*"): x for x in lanes if x["path"].endswith("/*")}
    rest = DesiredState.from_dict({**raw, "lanes": []})
    services = {service.name: service for service in rest.services}
    return Table(
        version, digest, exact, prefixes, services,
        rest.thresholds, rest.programs, rest.name,
    )  # fmt: skip
