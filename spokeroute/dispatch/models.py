"""What a configuration is made of, as mashumaro reads it. JSON names stand as aliases."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig


class Strict(DataClassDictMixin):
    """A part of the configuration that takes no unknown field."""

    class Config(BaseConfig):
        forbid_extra_keys = True
        serialize_by_alias = True


def _written(name: str) -> dict[str, Any]:
    """The metadata of a field whose name in JSON is ``name``."""
    return field_options(alias=name)


@dataclass(frozen=True)
class Service(Strict):
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
class Share(Strict):
    """A service's share of a split route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route(Strict):
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

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that its calls may go to.

        Example:
            >>> Route("/a", "s").services
            ('s',)
        """
        return tuple(x.service for x in self.split) or (self.service,)


@dataclass(frozen=True)
class Limits(Strict):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = field(default=65_536, metadata=_written("maxHeaderBytes"))
    max_body_bytes: int = field(default=262_144, metadata=_written("maxBodyBytes"))
    header_timeout_ms: int = field(default=60_000, metadata=_written("headerTimeoutMs"))
    idle_timeout_ms: int = field(default=60_000, metadata=_written("idleTimeoutMs"))


@dataclass(frozen=True)
class Programs(Strict):
    """Policy programs; empty means FLARe itself."""

    rank: str = ""
    shift: str = ""


@dataclass(frozen=True)
class Thresholds(Strict):
    """FLARe's numbers, in percent of a worker."""

    overload_pct: float = field(default=70.0, metadata=_written("overloadPct"))
    trigger_pct: float = field(default=10.0, metadata=_written("triggerPct"))
    migration_pct: float = field(default=120.0, metadata=_written("migrationPct"))


@dataclass(frozen=True)
class Configuration(Strict):
    """The whole configuration."""

    zones: tuple[str, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    programs: Programs = field(default_factory=Programs)
    thresholds: Thresholds = field(default_factory=Thresholds)
    name: str = ""
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an operator's configuration."""

    path: str
    reason: str
    remedy: str
