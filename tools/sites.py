"""What a deployment of our own is described by, and the checks on it.

The words are ours: zones and distances, front and core machines, workers, functions, kinds of
requests, what befalls it, days. ``tools.make_site`` writes the bench's site file from it.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from mashumaro import DataClassDictMixin
from mashumaro.config import BaseConfig
from mashumaro.exceptions import ExtraKeysError, InvalidFieldValue, MissingField

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


def read_site(path: Path) -> Site:
    """Read and check a description.

    Example:
        read_site(Path("tests/sites/slow.toml")).name == "slow"
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise SiteError(f"{path} can't be read ({fault}): give a TOML file") from fault
    return site_of(raw)


def site_of(raw: Mapping[str, object]) -> Site:
    """A checked deployment of a description's parts.

    Example:
        site_of(tomllib.loads(text)).zones[0].name
    """
    try:
        site = Site.from_dict(raw)
    except ExtraKeysError as fault:
        unknown = ", ".join(sorted(str(k) for k in fault.extra_keys))
        raise SiteError(f"unknown fields: {unknown}: remove them") from fault
    except MissingField as fault:
        owner = getattr(fault.holder_class, "__name__", "")
        raise SiteError(f"{owner}.{fault.field_name} is missing: add it") from fault
    except InvalidFieldValue as fault:
        cause = fault.__cause__ or fault.__context__
        if isinstance(cause, MissingField | ExtraKeysError | InvalidFieldValue):
            raise SiteError(f"{fault.field_name}: {cause}: mend that part") from fault
        raise SiteError(f"{fault.field_name} has a wrong value: mend it") from fault
    faults = faults_of(site)
    if faults:
        raise SiteError("; ".join(faults))
    return site


def faults_of(site: Site) -> list[str]:
    """All that is wrong with a deployment, each with its remedy.

    Example:
        faults_of(site) == []
    """
    return [*_places(site), *_load(site), *_days(site)]


def _twice(kind: str, names: Sequence[str]) -> list[str]:
    again = sorted({n for n in names if names.count(n) > 1})
    return [f"{kind} {n} is named twice: rename one" for n in again]


def _places(site: Site) -> list[str]:
    faults = _twice("zone", [z.name for z in site.zones])
    for zone in site.zones:
        if min(zone.fronts, zone.cores, zone.workers) < 0 or zone.callers < 0:
            faults.append(f"zone {zone.name} has a count below 0: give 0 or more")
    cores = [z.cores for z in site.zones]
    if not sum(z.fronts for z in site.zones) or not sum(z.workers for z in site.zones):
        faults.append("there are no front machines or no workers: give some zone one")
    if not sum(z.callers for z in site.zones):
        faults.append("no zone has callers: give some zone a share above 0")
    if 2 * site.losses.machines >= sum(cores):
        faults.append("losses.machines leaves no majority of the core: lower it")
    if site.losses.zones and 2 * max(cores, default=0) >= sum(cores):
        faults.append(
            "losses.zones: a zone has half of the core: spread it, or bear no zone's loss"
        )
    if site.losses.zones and len(site.zones) <= site.losses.zones:
        faults.append("losses.zones leaves no zone: lower it")
    return [*faults, *_regions(site)]


def region_of(site: Site, zone: Zone) -> str:
    """A zone's region.

    Example:
        region_of(site, site.zones[0])
    """
    return zone.region or site.region


def _regions(site: Site) -> list[str]:
    """What a deployment that bears the loss of a region lacks."""
    if not site.losses.regions:
        return []
    cores: dict[str, int] = {}
    for zone in site.zones:
        region = region_of(site, zone)
        cores[region] = cores.get(region, 0) + zone.cores
    if len(cores) <= site.losses.regions:
        return ["losses.regions leaves no region: lower it"]
    if 2 * max(cores.values()) >= sum(cores.values()):
        return ["losses.regions: a region has half of the core: spread it, or bear none's loss"]
    return []


def _load(site: Site) -> list[str]:
    functions = {f.name: f for f in site.functions}
    faults = _twice("function", [f.name for f in site.functions])
    faults += _twice("request", [r.name for r in site.requests])
    for each in site.functions:
        if each.slots < 1 or each.services < 1 or each.memory_mb < 1 or each.boot_ms <= 0:
            faults.append(
                f"function {each.name} needs slots, services, memory and a boot: give them"
            )
        if each.memory_mb > site.workers.memory_mb:
            faults.append(f"function {each.name} fits on no worker: lower its memory_mb")
    for request in site.requests:
        if request.function not in functions:
            faults.append(f"request {request.name} names no known function: name one of them")
        if not 0 < request.work_ms < request.aim_ms < request.deadline_ms:
            faults.append(f"request {request.name}: work, aim and deadline must rise in that order")
    if not sum(r.share for r in site.requests):
        faults.append("no request has a share: give some a share above 0")
    if site.traffic.per_s <= 0:
        faults.append("traffic.per_s must be above 0: raise it")
    return faults


def _trouble(site: Site, where: str, trouble: Trouble) -> list[str]:
    faults: list[str] = []
    if trouble.what not in TROUBLES:
        faults.append(f"{where}: {trouble.what!r} is no trouble: name one of {', '.join(TROUBLES)}")
    known = (
        ("request", trouble.request, [r.name for r in site.requests]),
        ("function", trouble.function, [f.name for f in site.functions]),
        ("zone", trouble.zone, [z.name for z in site.zones]),
    )
    for kind, name, names in known:
        if name and name not in names:
            faults.append(f"{where}: {kind} {name} is unknown: name one of {', '.join(names)}")
    return faults


def _days(site: Site) -> list[str]:
    faults = _twice("day", [d.name for d in site.days])
    for slot in SLOTS:
        if slot not in [d.slot for d in site.days]:
            faults.append(f"there is no day of slot {slot}: the score weighs each, so add one")
    for trouble in site.troubles:
        faults += _trouble(site, "troubles", trouble)
    for day in site.days:
        where = f"day {day.name}"
        if day.slot not in SLOTS:
            faults.append(f"{where}: slot {day.slot} is unknown: name one of {', '.join(SLOTS)}")
        if not 0 <= day.zero < day.one <= 1 or not 0 < day.floor < 1 or day.load <= 0:
            faults.append(
                f"{where}: zero < one <= 1, a floor below 1 and a load above 0 are needed"
            )
        if day.ending and day.ending.what not in ENDINGS:
            faults.append(f"{where}: its ending must be one of {', '.join(ENDINGS)}")
        for planned, troubles in ((True, day.plan), (False, day.faults)):
            for trouble in troubles:
                faults += _trouble(site, where, trouble)
                if not 0 <= trouble.at_s < site.seconds:
                    faults.append(f"{where}: {trouble.what} needs an at_s within the day")
                if planned and trouble.what not in PLANNED:
                    faults.append(f"{where}: {trouble.what} is not planned work: move it to faults")
    return faults
