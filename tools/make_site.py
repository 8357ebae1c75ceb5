"""Writes the bench's site file of a deployment of our own.

    python -m tools.make_site tests/sites/slow.toml --wire WIRE.json --out build/slow.toml

WIRE.json is the file with the platform's words that lies beside the users' site files; it stays
where it is, and its place goes into the site file. ``--out`` names an untracked folder's file.
"""

from __future__ import annotations

import sys
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from tools.site_checks import read_site
from tools.sites import (
    Day,
    Function,
    Request,
    Site,
    SiteError,
    Trouble,
    Zone,
    region_of,
)

EXIT_FAULT = 2
CONTRACTS = ("base", "drain", "config", "cost", "retry", "recover", "functions", "places")
KINDS: Mapping[str, str] = {
    "apply": "config_change",
    "storm": "config_storm",
    "race": "config_race",
    "invalid": "bad_config",
    "routes": "big_config",
    "seeds": "seed_turnover",
    "empty": "worker_drain",
    "roll": "roll_term",
    "machines": "add_nodes",
    "crowd": "burst",
    "impatience": "retry_abuse",
    "answers lost": "answer_lost",
    "ill": "garble",
    "kill": "node_kill",
    "freeze": "node_freeze",
    "herd": "herd_kill",
    "dark after ack": "after_ack_kill",
    "blank after ack": "after_ack_wipe",
    "slow disk": "disk_slow",
    "stalled disk": "disk_stall",
    "clock": "clock_step",
    "cut": "core_cut",
    "worker": "worker_crash",
}
ENDINGS: Mapping[str, str] = {
    "dark": "power_off_all",
    "blank": "wipe_after_ack",
    "kill": "kill_all",
}
PRICES: Mapping[str, str] = {
    "machine_s": "machine_s",
    "processor_s": "cpu_s",
    "memory_gb_s": "memory_gb_s",
    "between_zones_gb": "cross_zone_gb",
    "between_regions_gb": "cross_region_gb",
    "probe": "probe",
    "connection": "handshake",
    "late_refusal": "late_refusal",
    "missed_duty": "duty",
    "platform_call": "cloud_call",
    "instance_gb_s": "instance_gb_s",
    "start": "start",
}
GOAL: Mapping[str, str] = {
    "day": "mean",
    "seconds": "window",
    "request": "class",
    "zone": "zone",
    "served": "nines",
    "served_best": "nines_best",
}


def spread(mean: float, wide: float, most: float) -> dict[str, float]:
    """A drawn figure, as the bench writes it.

    Example:
        >>> spread(10.0, 0.5, 6.0)["max"]
        60.0
    """
    return {"mean": mean, "spread": wide, "tail": 0.0, "tail_x": 1.0, "max": mean * most}


def trouble_of(trouble: Trouble) -> dict[str, Any]:
    """A trouble in the bench's words; what is not said is left to its defaults.

    Example:
        >>> trouble_of(Trouble("kill", at_s=3.0, core=True))
        {'at': 3.0, 'kind': 'node_kill', 'on': 'core'}
    """
    said = {
        "at": trouble.at_s if trouble.at_s >= 0 else None,
        "kind": KINDS[trouble.what],
        "on": "core" if trouble.core else None,
        "class": trouble.request,
        "service": trouble.function,
        "zone": trouble.zone,
        "share": trouble.share,
        "count": trouble.count,
        "x": trouble.strength,
        "for_s": trouble.for_s,
        "gap_s": trouble.gap_s,
        "how": trouble.how,
    }
    return {key: value for key, value in said.items() if value not in (None, "", 0, 0.0)} | (
        {"at": 0.0} if trouble.at_s == 0 else {}
    )


def _machines(site: Site) -> list[dict[str, Any]]:
    front, core = site.front, site.core
    made: list[dict[str, Any]] = []
    for zone in site.zones:
        if zone.fronts:
            made.append({
                "class": "front", "cpu_share": front.speed, "cores": front.cores,
                "memory_mb": front.memory_mb, "fds": front.descriptors,
                "link_mbps": front.link_mbps, "zone": zone.name, "count": zone.fronts,
                "spare": front.spare,
            })  # fmt: skip
    for zone in site.zones:
        if zone.cores:
            made.append({
                "class": "core", "zone": zone.name, "count": zone.cores, "spare": core.spare,
                "cpu_share": core.speed, "cores": core.cores, "memory_mb": core.memory_mb,
                "fds": core.descriptors, "link_mbps": core.link_mbps,
                "disk": {"mb": core.disk_mb, "sync_ms": core.sync_ms,
                         "mb_per_s": core.disk_mb_per_s},
            })  # fmt: skip
    return made


def _service(each: Function) -> dict[str, Any]:
    return {
        "name": each.name, "servers": [], "copies": each.services, "slots": each.slots,
        "queue": 0, "conn_cap": each.connections, "health": False,
        "function": {"memory_mb": each.memory_mb, "boot_ms": spread(each.boot_ms, 0.3, 6.0)},
    }  # fmt: skip


def _class(each: Request) -> dict[str, Any]:
    made: dict[str, Any] = {
        "name": each.name, "aim_ms": each.aim_ms, "deadline_ms": each.deadline_ms,
        "worth": each.worth, "late_worth": each.late, "priority": each.rank,
        "retries": each.further, "service": each.function,
        "work_ms": spread(each.work_ms, 0.5, 6.0),
        "resp_bytes": spread(each.answer_bytes, 0.6, 6.0),
    }  # fmt: skip
    if each.skew:
        made["copy_skew"] = each.skew
    if each.once:
        made |= {"method": "POST", "kind": "unsafe", "attempts": 1}
    if each.body_bytes:
        made["req_bytes"] = spread(each.body_bytes, 0.5, 6.0)
    return made


def traffic_of(site: Site, load: float) -> list[dict[str, Any]]:
    """The traffic of each zone at a share of the deployment's load.

    Example:
        sum(t["per_s"] for t in traffic_of(site, 1.0)) == site.traffic.per_s
    """
    traffic, whole = site.traffic, sum(z.callers for z in site.zones)
    mix = {r.name: r.share for r in site.requests}

    def of(zone: Zone) -> dict[str, Any]:
        per_s = traffic.per_s * zone.callers / whole
        phase = zlib.crc32(f"{site.name}/{zone.name}".encode()) % 100 / 100
        return {
            "zone": zone.name, "mix": mix, "per_s": round(per_s * load, 2),
            "clients": max(1, round(per_s / traffic.per_client)), "users": 1,
            "shape": {"kind": "wave", "swing": traffic.swing, "period_s": traffic.period_s,
                      "phase": phase},
        }  # fmt: skip

    return [of(zone) for zone in site.zones if zone.callers]


def _day(site: Site, day: Day) -> dict[str, Any]:
    made: dict[str, Any] = {
        "name": day.name,
        "slot": day.slot,
        "seed": zlib.crc32(f"{site.name}/{day.name}".encode()) % 2**28,
        "one": day.one,
        "zero": day.zero,
        "goal": {"floor": day.floor},
        "floor_classes": [day.floor],
        "floor_zones": [day.floor],
        "labels": [],
        "light": day.quick,
        "plan": [trouble_of(t) for t in day.plan],
        "faults": [trouble_of(t) for t in day.faults],
        "traffic": traffic_of(site, day.load),
    }
    if day.ending:
        made["closing"] = {"kind": ENDINGS[day.ending.what], "down_s": day.ending.down_s}
        if day.ending.how:
            made["closing"]["how"] = day.ending.how
    return made


def _named(kind: str, figures: Mapping[str, float], words: Mapping[str, str]) -> dict[str, float]:
    unknown = sorted(set(figures) - set(words))
    if unknown:
        known = ", ".join(words)
        raise SiteError(f"{kind}.{unknown[0]} is unknown: name one of {known}")
    return {words[name]: figure for name, figure in figures.items()}


def bench_site(site: Site, wire: str) -> dict[str, Any]:
    """The bench's site of a deployment; ``wire`` is the place of the file with its words.

    Example:
        bench_site(read_site(path), "/tmp/wire.json")["name"]
    """
    times, far = site.times, site.distances
    return {
        "name": site.name,
        "wire": wire,
        "family": "functions",
        "contracts": list(CONTRACTS),
        "lead_s": site.lead_s,
        "length_s": site.seconds,
        "zones": [{"name": z.name, "region": region_of(site, z)} for z in site.zones],
        "machines": _machines(site),
        "services": [_service(f) for f in site.functions],
        "classes": [_class(r) for r in site.requests],
        "traffic": traffic_of(site, 1.0),
        "workers": [
            {"zone": z.name, "count": z.workers, "spare": site.workers.spare,
             "memory_mb": site.workers.memory_mb}
            for z in site.zones if z.workers
        ],
        "troubles": [trouble_of(t) for t in site.troubles],
        "timing": {"catch_up_s": times.catch_up_s, "limit_slack": times.refusals},
        "net": {"in_zone_ms": far.in_zone_ms, "cross_zone_ms": far.between_zones_ms,
                "cross_region_ms": far.between_regions_ms or 2 * far.between_zones_ms,
                "client_ms": far.to_callers_ms},
        "discovery": {"source": "cloud", "beat_ms": site.workers.beat_ms,
                      "lag_ms": site.workers.listing_late_ms, "page": 200,
                      "per_s": site.workers.listings_per_s},
        "entry": {"kind": "vip"},
        "config": {"idle_routes": site.idle_routes, "patch": True,
                   "body_bytes": site.body_bytes, "mode": "highest"},
        "tolerate": {"machines": site.losses.machines, "zones": site.losses.zones,
                     "regions": site.losses.regions},
        "bounds": {
            "drain_ms": times.drain_ms, "config_ms": times.configuration_ms, "closed": False,
            "fenced": True, "touch_ms": times.contact_ms, "ack_ms": times.acknowledge_ms,
            "outer_ms": times.stretch_ms, "grace_s": times.grace_s,
            "recover_s": times.recover_s, "budget_slack": times.second_tries,
        },
        "prices": {"cross_region_gb": 0.0, **_named("prices", site.prices, PRICES)},
        "goal": _named("goal", site.goal, GOAL),
        "cloud": {"zone": site.zones[0].name, "duties": ["start"],
                  "per_s": site.workers.starts_per_s},
        "day": [_day(site, d) for d in site.days],
    }  # fmt: skip


def written(value: Any) -> str:
    """A value as TOML has it on one line.

    Example:
        >>> written({"a": [1, True], "b": "c"})
        '{ a = [1, true], b = "c" }'
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, Mapping):
        parts = ", ".join(f"{key} = {written(each)}" for key, each in value.items())
        return f"{{ {parts} }}" if parts else "{}"
    if isinstance(value, Sequence):
        return f"[{', '.join(written(each) for each in value)}]"
    return repr(value)


def _lines(table: Mapping[str, Any]) -> list[str]:
    """One table's own lines; a list of tables has one a line."""
    lines: list[str] = []
    for key, value in table.items():
        if isinstance(value, list) and value and isinstance(value[0], Mapping):
            lines += [f"{key} = [", *(f"  {written(each)}," for each in value), "]"]
        else:
            lines.append(f"{key} = {written(value)}")
    return lines


def text_of(site: Mapping[str, Any]) -> str:
    """The text of a site file.

    Example:
        >>> text_of({"a": 1, "b": {"c": 2}, "day": [{"d": 3}]}).split()
        ['a', '=', '1', '[b]', 'c', '=', '2', '[[day]]', 'd', '=', '3']
    """
    plain = {k: v for k, v in site.items() if not isinstance(v, Mapping) and k != "day"}
    lines = _lines(plain)
    for key, value in site.items():
        if isinstance(value, Mapping):
            lines += ["", f"[{key}]", *_lines(value)]
    for day in site.get("day", ()):
        lines += ["", "[[day]]", *_lines(day)]
    return "\n".join(lines) + "\n"


@cappa.command(name="make_site", help="Write the bench's site file of a deployment of our own.")
@dataclass
class MakeSite:
    """The command's arguments."""

    description: Annotated[str, cappa.Arg(help="TOML file that describes the deployment")]
    wire: Annotated[str, cappa.Arg(long="wire", help="the bench's file with the platform's words")]
    out: Annotated[str, cappa.Arg(long="out", help="the site file to write, untracked")]

    def __call__(self) -> None:
        """Carry the command out."""
        site = read_site(Path(self.description))
        wire, out = Path(self.wire).resolve(), Path(self.out)
        if not wire.is_file():
            raise SiteError(f"{wire} is no file: give the place of the bench's wire file")
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(text_of(bench_site(site, str(wire))))
        print(f"{out}: {site.name}, {len(site.days)} days, {len(site.troubles)} troubles")


def main() -> None:
    """The command's entry.

    Example:
        python -m tools.make_site tests/sites/slow.toml --wire WIRE.json --out build/slow.toml
    """
    try:
        cappa.invoke(MakeSite, completion=False)
    except SiteError as fault:
        print(f"make_site: {fault}", file=sys.stderr)
        sys.exit(EXIT_FAULT)


if __name__ == "__main__":
    main()
