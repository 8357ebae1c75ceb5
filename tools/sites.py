"""What a deployment of our own is described by. ``tools.site_checks`` reads and checks it.

The words are ours: zones and distances, front and core machines, workers, functions, kinds of
requests, what befalls it, days. ``tools.make_site`` writes the bench's site file from it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mashumaro import DataClassDictMixin
from mashumaro.config import BaseConfig

SLOTS = ("quiet", "trouble", "scale")
PLANNED = (
    "apply", "storm", "race", "invalid", "routes", "seeds", "empty", "roll", "machines",
)  # fmt: skip
TROUBLES = (
    *PLANNED, "crowd", "impatience", "answers lost", "ill", "kill", "freeze", "herd",
    "dark after ack", "blank after ack", "slow disk", "stalled disk", "clock", "cut", "worker",
)  # fmt: skip
ENDINGS = ("dark", "blank", "kill")


class SiteError(Exception):
    """A description that can't be used; the message names the place and the remedy."""


class Part(DataClassDictMixin):
    """A part of a description. Unknown fields are refused."""

    class Config(BaseConfig):
        """Names in the file, and no others."""

        forbid_extra_keys = True


@dataclass(frozen=True)
class Zone(Part):
    """A zone, its machines and workers, and its share of the callers."""

    name: str
    fronts: int
    cores: int
    workers: int
    callers: float
    region: str = ""  # empty: the deployment's


@dataclass(frozen=True)
class Distances(Part):
    """One-way times."""

    in_zone_ms: float
    between_zones_ms: float
    to_callers_ms: float
    between_regions_ms: float = 0.0  # 0: twice as far as between zones


@dataclass(frozen=True)
class Front(Part):
    """A front machine: ``cores`` of ``speed`` each, the speed of one of ours being 1."""

    cores: int
    speed: float
    memory_mb: int
    descriptors: int
    link_mbps: float
    spare: int = 1


@dataclass(frozen=True)
class Core(Part):
    """A core machine and its disk."""

    cores: int
    speed: float
    memory_mb: int
    descriptors: int
    link_mbps: float
    disk_mb: int
    sync_ms: float
    disk_mb_per_s: float
    spare: int = 1


@dataclass(frozen=True)
class Workers(Part):
    """A worker, and what the platform takes of starts, stops and listings a second."""

    memory_mb: int
    starts_per_s: float
    listings_per_s: float
    listing_late_ms: int
    beat_ms: int
    spare: int = 1


@dataclass(frozen=True)
class Losses(Part):
    """What may be lost at once."""

    machines: int
    zones: int
    regions: int = 0


@dataclass(frozen=True)
class Function(Part):
    """A function, and for how many services it stands."""

    name: str
    services: int
    memory_mb: int
    slots: int
    boot_ms: float
    connections: int


@dataclass(frozen=True)
class Request(Part):
    """A kind of request. ``share`` is its weight among all of them; ``skew`` how unevenly its
    calls spread over the function's services."""

    name: str
    function: str
    share: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late: float
    rank: int
    once: bool = False
    body_bytes: float = 0.0
    answer_bytes: float = 1_200.0
    further: int = 2
    skew: float = 0.0


@dataclass(frozen=True)
class Traffic(Part):
    """How many requests a second, and how they swing."""

    per_s: float
    swing: float
    period_s: float
    per_client: float


@dataclass(frozen=True)
class Times(Part):
    """What the platform's rules allow."""

    drain_ms: int
    configuration_ms: int
    contact_ms: int
    acknowledge_ms: int
    stretch_ms: int
    grace_s: float
    recover_s: float
    catch_up_s: float
    second_tries: float
    refusals: float


@dataclass(frozen=True)
class Trouble(Part):
    """What befalls the deployment. ``how`` holds the words of the bench's page of kinds."""

    what: str
    at_s: float = -1.0
    for_s: float = 0.0
    gap_s: float = 0.0
    share: float = 0.0
    count: int = 0
    strength: float = 0.0
    how: str = ""
    request: str = ""
    function: str = ""
    zone: str = ""
    core: bool = False


@dataclass(frozen=True)
class Ending(Part):
    """The fault that ends a day."""

    what: str
    down_s: float
    how: str = ""


@dataclass(frozen=True)
class Day(Part):
    """A standard day. ``load`` is the share of the deployment's traffic; between ``zero`` and
    ``one`` lies its score, and its gate is ``floor``."""

    name: str
    slot: str
    load: float
    floor: float
    zero: float
    one: float
    quick: bool = False
    ending: Ending | None = None
    plan: Sequence[Trouble] = ()
    faults: Sequence[Trouble] = ()


@dataclass(frozen=True)
class Site(Part):
    """A deployment."""

    name: str
    region: str
    seconds: float
    lead_s: float
    zones: Sequence[Zone]
    distances: Distances
    front: Front
    core: Core
    workers: Workers
    losses: Losses
    functions: Sequence[Function]
    requests: Sequence[Request]
    traffic: Traffic
    times: Times
    prices: Mapping[str, float]
    goal: Mapping[str, float]
    troubles: Sequence[Trouble]
    days: Sequence[Day]
    idle_routes: int = 8
    body_bytes: int = 262_144


def region_of(site: Site, zone: Zone) -> str:
    """A zone's region.

    Example:
        region_of(site, site.zones[0])
    """
    return zone.region or site.region
