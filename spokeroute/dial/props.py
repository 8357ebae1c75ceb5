"""Props: what a process is told at its start, by a TOML file, by flags, or by both.

Flags win. Every fault ends the start with one line that names the remedy.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any


class PropsFault(Exception):
    """The props can't be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Props:
    """A process's place."""

    name: str = ""
    locality: str = ""
    trunk: str = ""
    http: str = ""
    seeds: tuple[str, ...] = ()
    data: str = ""
    diskMb: int = 1024
    platform: str = ""
    found: bool = False


def readProps(path: str, flags: dict[str, Any]) -> Props:
    """The file's props, with the flags that were given over them.

    Example:
        readProps("", {"name": "ex1"}).name == "ex1"
    """
    raw: dict[str, Any] = {}
    if path:
        try:
            raw = tomllib.loads(Path(path).read_text())
        except OSError as fault:
            raise PropsFault(f"props file {path} can't be read ({fault}): check --props") from fault
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
            raise PropsFault(f"props file {path} is no TOML ({fault}): mend it") from fault
    known = {f.name: f for f in fields(Props)}
    kinds = {"seeds": list, "diskMb": int, "found": bool}
    for key, value in raw.items():
        if key not in known:
            names = ", ".join(known)
            raise PropsFault(f"unknown prop {key!r} in {path}: remove it; known: {names}")
        kind = kinds.get(key, str)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise PropsFault(f"prop {key!r} in {path} must be a {kind.__name__}: mend it")
    if "seeds" in raw:
        raw["seeds"] = tuple(str(s) for s in raw["seeds"])
    props = Props(**raw)
    given = {k: v for k, v in flags.items() if v not in (None, (), "")}
    return replace(props, **given)


def checkAddress(name: str, address: str) -> None:
    """An address is ``host:port``; a PropsFault says what is wrong.

    Example:
        checkAddress("trunk", "127.0.0.1:7001")
    """
    host, _, port = address.rpartition(":")
    numbers = host.split(".")
    good = len(numbers) == 4 and all(n.isascii() and n.isdigit() and int(n) < 256 for n in numbers)
    if not good or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise PropsFault(
            f"prop {name!r} is {address!r}: give an IP number and a port, such as 127.0.0.1:7001"
        )


def checkProps(props: Props, role: str) -> None:
    """What every daemon needs, before it serves.

    Example:
        checkProps(props, "exchange")
    """
    needed = ["name", "locality", "trunk", "http"]
    if role == "registry":
        needed += ["data", "platform"]
    for name in needed:
        if not getattr(props, name):
            raise PropsFault(f"prop {name!r} is missing: give --{name} or add it to the file")
    checkAddress("trunk", props.trunk)
    checkAddress("http", props.http)
    if props.trunk == props.http:
        raise PropsFault(f"trunk and http share {props.trunk}: give each a port of its own")
    if not props.seeds:
        raise PropsFault("prop 'seeds' is empty: name up to three trunk addresses of others")
    for seed in props.seeds:
        checkAddress("seeds", seed)
        if seed == props.http:
            raise PropsFault(f"seed {seed} is this process's http port: seeds are trunk addresses")
    if role == "registry":
        checkAddress("platform", props.platform)
        if not 16 <= props.diskMb <= 65_536:
            raise PropsFault(f"prop 'diskMb' is {props.diskMb}: choose 16 to 65536")
