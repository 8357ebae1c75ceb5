"""Reads a description of a deployment of our own, and says all that is wrong with it."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path

from mashumaro.exceptions import ExtraKeysError, InvalidFieldValue, MissingField

from tools.sites import ENDINGS, PLANNED, SLOTS, TROUBLES, Site, SiteError, Trouble, region_of


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
