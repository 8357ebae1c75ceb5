"""Settings: what a process is told at its start, by a TOML file, by flags, or by both.

Flags win. Every fault ends the start with one line that names the remedy.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from spokeroute.common.bounds import Bounds
from spokeroute.common.places import Places
from spokeroute.common.replacing import replace
from spokeroute.common.switches import SwitchError, Switches, read_switches


class SettingsError(Exception):
    """The settings can't be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Settings:
    """A process's place."""

    name: str = ""
    zone: str = ""
    trunk: str = ""
    http: str = ""
    seeds: tuple[str, ...] = ()
    data: str = ""
    disk_mb: int = 1024
    platform: str = ""
    found: bool = False
    ready: str = ""
    """IP:port that answers readiness alone; empty: only ``http`` does."""
    bounds: Bounds = Bounds()
    regions: Mapping[str, str] = field(default_factory=dict)
    """The region of each zone; empty: all zones are of one region."""
    log_outcomes: bool = False
    """Whether calls that ended late, refused or failed are logged each second, by reason."""
    policy: Switches = Switches()
    """Mechanisms that can be turned off to measure them (``common/switches.py``)."""

    @property
    def places(self) -> Places:
        """Where this process stands.

        Example:
            >>> Settings(zone="north").places.zone
            'north'
        """
        return Places(self.zone, self.regions)


def _read_toml(path: str) -> dict[str, Any]:
    if not path:
        return {}
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as fault:
        raise SettingsError(
            f"settings file {path} can't be read ({fault}): check --settings"
        ) from fault
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise SettingsError(f"settings file {path} is no TOML ({fault}): mend it") from fault


def _read_bounds(path: str, raw: dict[str, Any]) -> Bounds:
    known: dict[str, Any] = {f.name: type(f.default) for f in fields(Bounds)}
    for key, value in raw.items():
        kind = known.get(key)
        if kind is None:
            names = ", ".join(known)
            raise SettingsError(f"unknown bound {key!r} in {path}: remove it; known: {names}")
        if isinstance(value, bool) != (kind is bool) or not isinstance(value, int | float):
            raise SettingsError(f"bound {key!r} in {path} must be a {kind.__name__}: mend it")
        if kind is not bool and value < 0:
            raise SettingsError(f"bound {key!r} in {path} is {value}: choose 0 or more")
    return Bounds(**{key: known[key](value) for key, value in raw.items()})


def read_settings(path: str, flags: dict[str, Any]) -> Settings:
    """The file's settings, with the flags that were given over them.

    Example:
        read_settings("", {"name": "ex1"}).name == "ex1"
    """
    raw = _read_toml(path)
    known = {f.name: f for f in fields(Settings)}
    kinds = {
        "seeds": list,
        "disk_mb": int,
        "found": bool,
        "log_outcomes": bool,
        "bounds": dict,
        "regions": dict,
    }
    kinds |= {"policy": dict}
    for key, value in raw.items():
        if key not in known:
            names = ", ".join(known)
            raise SettingsError(f"unknown setting {key!r} in {path}: remove it; known: {names}")
        kind = kinds.get(key, str)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise SettingsError(f"setting {key!r} in {path} must be a {kind.__name__}: mend it")
    if "bounds" in raw:
        raw["bounds"] = _read_bounds(path, raw["bounds"])
    if "policy" in raw:
        try:
            raw["policy"] = read_switches(raw["policy"], path)
        except SwitchError as fault:
            raise SettingsError(str(fault)) from fault
    for zone, region in raw.get("regions", {}).items():
        if not isinstance(region, str) or not region:
            raise SettingsError(f"region of zone {zone!r} in {path} must be a name: mend it")
    if "seeds" in raw:
        raw["seeds"] = tuple(str(s) for s in raw["seeds"])
    settings = Settings(**raw)
    given = {k: v for k, v in flags.items() if v not in (None, (), "")}
    return replace(settings, **given)


def check_address(name: str, address: str) -> None:
    """An address is ``host:port``; a SettingsError says what is wrong.

    Example:
        check_address("trunk", "127.0.0.1:7001")
    """
    host, _, port = address.rpartition(":")
    numbers = host.split(".")
    good = len(numbers) == 4 and all(n.isascii() and n.isdigit() and int(n) < 256 for n in numbers)
    if not good or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(
            f"setting {name!r} is {address!r}: give an IP number and a port, such as 127.0.0.1:7001"
        )


def check_settings(settings: Settings, role: str) -> None:
    """What every daemon needs, before it serves.

    Example:
        check_settings(settings, "exchange")
    """
    needed = ["name", "zone", "trunk", "http"]
    if role == "registry":
        needed += ["data", "platform"]
    for name in needed:
        if not getattr(settings, name):
            raise SettingsError(f"setting {name!r} is missing: give --{name} or add it to the file")
    if settings.regions and settings.zone not in settings.regions:
        raise SettingsError(
            f"setting 'regions' does not name zone {settings.zone!r}: give each zone its region"
        )
    check_address("trunk", settings.trunk)
    check_address("http", settings.http)
    if settings.trunk == settings.http:
        raise SettingsError(f"trunk and http share {settings.trunk}: give each a port of its own")
    if not settings.seeds:
        raise SettingsError("setting 'seeds' is empty: name up to three trunk addresses of others")
    for seed in settings.seeds:
        check_address("seeds", seed)
        if seed == settings.http:
            raise SettingsError(
                f"seed {seed} is this process's http port: seeds are trunk addresses"
            )
    if role == "registry":
        check_address("platform", settings.platform)
        if not 16 <= settings.disk_mb <= 65_536:
            raise SettingsError(f"setting 'disk_mb' is {settings.disk_mb}: choose 16 to 65536")


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Where the operator's client and the doctor look."""

    registries: tuple[str, ...] = ()
    exchanges: tuple[str, ...] = ()


def read_client_settings(path: str) -> ClientSettings:
    """The client's settings file; a SettingsError says what is wrong with it.

    Example:
        read_client_settings("").registries == ()
    """
    raw = _read_toml(path)
    for key, value in raw.items():
        if key not in ("registries", "exchanges"):
            raise SettingsError(
                f"unknown setting {key!r} in {path}: remove it; known: registries, exchanges"
            )
        if not isinstance(value, list):
            raise SettingsError(f"setting {key!r} in {path} must be a list of addresses: mend it")
        for address in value:
            check_address(key, str(address))
    return ClientSettings(tuple(raw.get("registries", ())), tuple(raw.get("exchanges", ())))
