"""The models of a configuration.

mashumaro decodes what an operator sends (``configuration.py``). Stored configurations are already
validated and are built without mashumaro, so that front nodes need not load it.
"""

from __future__ import annotations

from dataclasses import Field, dataclass, field, fields
from typing import Any, Self


def _aliased(name: str) -> dict[str, Any]:
    """Field metadata that sets the name in JSON."""
    return {"alias": name}


def json_name(part: Field[Any]) -> str:
    """The name of a field in JSON.

    Example:
        [json_name(f) for f in fields(Thresholds)][0] == "overloadPct"
    """
    return str(part.metadata.get("alias", part.name))


def _to_json(value: Any) -> Any:
    if isinstance(value, ConfigurationPart):
        return value.to_dict()
    return [_to_json(each) for each in value] if isinstance(value, tuple) else value


class ConfigurationPart:
    """Base of the configuration models, with conversion to JSON and back from stored JSON."""

    def to_dict(self) -> dict[str, Any]:
        """Convert to a JSON object.

        Example:
            >>> Share("s", 1.0).to_dict()
            {'service': 's', 'weight': 1.0}
        """
        kept: Any = self
        return {json_name(f): _to_json(getattr(self, f.name)) for f in fields(kept)}

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Self:
        """Build a part without nested parts from validated JSON.

        Example:
            >>> Share.from_dict({"service": "s", "weight": 1.0})
            Share(service='s', weight=1.0)
        """
        kind: Any = cls
        return cls(**{f.name: raw[json_name(f)] for f in fields(kind) if json_name(f) in raw})


@dataclass(frozen=True)
class Service(ConfigurationPart):
    """A function, with the resources that an instance needs and its timing."""

    name: str
    memory_mb: int = field(metadata=_aliased("memoryMb"))
    limit: int
    start_ms: int = field(default=1_000, metadata=_aliased("startMs"))
    longest_run_ms: int = field(default=2_000, metadata=_aliased("longestRunMs"))
    cold_ms: int = field(default=2_000, metadata=_aliased("coldMs"))
    min_instances: int = field(default=0, metadata=_aliased("minInstances"))
    spares: int = 1
    idle_ms: int = field(default=60_000, metadata=_aliased("idleMs"))
    connections: int = 1_000
    cold_per_s: float | None = field(default=None, metadata=_aliased("coldPerS"))
    """Calls a second that an instance handles while it is cold; None: found by what it answers."""


@dataclass(frozen=True)
class Share(ConfigurationPart):
    """A service's share of a split route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(ConfigurationPart):
    """Maps a host (empty: any), a path and methods (none: all) to a service.

    A path is exact, or ends in ``/*`` (the path itself and everything below) or ``/**`` (only what
    is below).
    """

    path: str
    service: str = ""
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = False
    per_client_per_s: float = field(default=20.0, metadata=_aliased("perClientPerS"))
    host: str = ""
    split: tuple[Share, ...] = ()
    attempts: int = 2
    timeout_ms: int = field(default=60_000, metadata=_aliased("timeoutMs"))
    aim_ms: int = field(default=0, metadata=_aliased("aimMs"))
    priority: int = 0
    regions: tuple[str, ...] = ()  # where calls may run and bodies may go; empty: anywhere
    public: bool = False  # callable without a key

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that the route's calls may go to.

        Example:
            >>> Route("/a", "s").services
            ('s',)
        """
        return tuple(x.service for x in self.split) or (self.service,)


@dataclass(frozen=True)
class Tenant(ConfigurationPart):
    """A caller identified by its keys. Only SHA-256 digests of keys are stored."""

    name: str
    key_digests: tuple[str, ...] = field(default=(), metadata=_aliased("keyDigests"))
    priority: int = 0  # 0 is the most urgent; precedes the route's priority
    regions: tuple[str, ...] = ()  # applies in addition to the route's regions


@dataclass(frozen=True)
class Limits(ConfigurationPart):
    """Size and time limits of requests."""

    max_header_bytes: int = field(default=65_536, metadata=_aliased("maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=_aliased("maxBodyBytes"))
    header_timeout_ms: int = field(default=60_000, metadata=_aliased("headerTimeoutMs"))
    idle_timeout_ms: int = field(default=60_000, metadata=_aliased("idleTimeoutMs"))


@dataclass(frozen=True)
class Programs(ConfigurationPart):
    """Policy programs; empty means FLARe's own rule."""

    rank: str = ""
    shift: str = ""


@dataclass(frozen=True)
class Thresholds(ConfigurationPart):
    """FLARe's thresholds in percent of a worker."""

    overload_pct: float = field(default=70.0, metadata=_aliased("overloadPct"))
    trigger_pct: float = field(default=10.0, metadata=_aliased("triggerPct"))
    migration_pct: float = field(default=120.0, metadata=_aliased("migrationPct"))


@dataclass(frozen=True)
class Configuration(ConfigurationPart):
    """A complete configuration."""

    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    programs: Programs = field(default_factory=Programs)
    thresholds: Thresholds = field(default_factory=Thresholds)
    name: str = ""
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] | None = None
    """None: no call needs a key. An empty list: no key is valid, only public routes are open."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an operator's configuration."""

    path: str
    reason: str
    remedy: str
