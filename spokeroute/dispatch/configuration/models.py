"""What a configuration is made of. mashumaro reads an operator's (``configuration.py``); what was
checked and kept once is built without it, so that front nodes need not load it."""

from __future__ import annotations

from dataclasses import Field, dataclass, field, fields
from typing import Any, Self


def _written(name: str) -> dict[str, Any]:
    """The metadata of a field whose name in JSON is ``name``."""
    return {"alias": name}


def written(part: Field[Any]) -> str:
    """How a field is named in JSON.

    Example:
        [written(f) for f in fields(Thresholds)][0] == "overloadPct"
    """
    return str(part.metadata.get("alias", part.name))


def _plain(value: Any) -> Any:
    if isinstance(value, Part):
        return value.to_dict()
    return [_plain(each) for each in value] if isinstance(value, tuple) else value


class Part:
    """A part of the configuration, as JSON and back from what was checked and kept."""

    def to_dict(self) -> dict[str, Any]:
        """The part by its names in JSON.

        Example:
            >>> Share("s", 1.0).to_dict()
            {'service': 's', 'weight': 1.0}
        """
        kept: Any = self
        return {written(f): _plain(getattr(self, f.name)) for f in fields(kept)}

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Self:
        """A part without parts of its own, which was checked before.

        Example:
            >>> Share.from_dict({"service": "s", "weight": 1.0})
            Share(service='s', weight=1.0)
        """
        kind: Any = cls
        return cls(**{f.name: raw[written(f)] for f in fields(kind) if written(f) in raw})


@dataclass(frozen=True)
class Service(Part):
    """A function: what an instance of it needs and how it behaves."""

    name: str
    memory_mb: int = field(metadata=_written("memoryMb"))
    limit: int
    start_ms: int = field(default=1_000, metadata=_written("startMs"))
    longest_run_ms: int = field(default=2_000, metadata=_written("longestRunMs"))
    cold_ms: int = field(default=2_000, metadata=_written("coldMs"))
    min_instances: int = field(default=0, metadata=_written("minInstances"))
    spares: int = 1
    idle_ms: int = field(default=60_000, metadata=_written("idleMs"))
    connections: int = 1_000
    cold_per_s: float = field(default=0.0, metadata=_written("coldPerS"))


@dataclass(frozen=True)
class Share(Part):
    """A service's share of a split route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(Part):
    """A host (empty: any) and a path, its methods (none: all), and where its calls go. A path
    is exact, or ends in ``/*`` (it and what is below) or ``/**`` (only what is below)."""

    path: str
    service: str = ""
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = False
    per_client_per_s: float = field(default=20.0, metadata=_written("perClientPerS"))
    host: str = ""
    split: tuple[Share, ...] = ()
    attempts: int = 2
    timeout_ms: int = field(default=60_000, metadata=_written("timeoutMs"))
    aim_ms: int = field(default=0, metadata=_written("aimMs"))
    priority: int = 0
    regions: tuple[str, ...] = ()  # its calls run, and their bodies go, only there; none: anywhere
    public: bool = False  # its calls need no key, where others do

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that its calls may go to.

        Example:
            >>> Route("/a", "s").services
            ('s',)
        """
        return tuple(x.service for x in self.split) or (self.service,)


@dataclass(frozen=True)
class Tenant(Part):
    """Who holds one of these keys calls in this name. Of keys only digests are kept (SHA-256)."""

    name: str
    key_digests: tuple[str, ...] = field(default=(), metadata=_written("keyDigests"))
    priority: int = 0  # 0 is the most urgent; it goes before the route's
    regions: tuple[str, ...] = ()  # its calls run only there, besides what their route says


@dataclass(frozen=True)
class Limits(Part):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = field(default=65_536, metadata=_written("maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=_written("maxBodyBytes"))
    header_timeout_ms: int = field(default=60_000, metadata=_written("headerTimeoutMs"))
    idle_timeout_ms: int = field(default=60_000, metadata=_written("idleTimeoutMs"))


@dataclass(frozen=True)
class Programs(Part):
    """Policy programs; empty means FLARe itself."""

    rank: str = ""
    shift: str = ""


@dataclass(frozen=True)
class Thresholds(Part):
    """FLARe's numbers, in percent of a worker."""

    overload_pct: float = field(default=70.0, metadata=_written("overloadPct"))
    trigger_pct: float = field(default=10.0, metadata=_written("triggerPct"))
    migration_pct: float = field(default=120.0, metadata=_written("migrationPct"))


@dataclass(frozen=True)
class Configuration(Part):
    """The whole configuration."""

    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    programs: Programs = field(default_factory=Programs)
    thresholds: Thresholds = field(default_factory=Thresholds)
    name: str = ""
    limits: Limits = field(default_factory=Limits)
    tenants: tuple[Tenant, ...] | None = None
    """None: calls need no key. An empty list: nobody has one, and only public routes are open."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an operator's configuration."""

    path: str
    reason: str
    remedy: str
