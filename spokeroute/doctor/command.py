"""`spokeroute doctor`."""

from __future__ import annotations

import json
import socket
import sys
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import cappa
import urllib3

from spokeroute.desk.client import registries
from spokeroute.dial.props import PropsFault, checkProps, readProps
from spokeroute.doctor.checks import Sight, examine

EXIT_FOUND = 1
WAIT_S = 3.0


def _get(address: str, path: str) -> tuple[int, bytes] | None:
    try:
        got = urllib3.PoolManager(retries=False).request(
            "GET", f"http://{address}{path}", timeout=WAIT_S, redirect=False
        )
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
    return got.status, got.data


def _status(address: str) -> dict[str, Any] | None:
    got = _get(address, "/status")
    if got is None or got[0] != 200:
        return None
    doc = json.loads(got[1])
    return doc if isinstance(doc, dict) else None


def _ready(address: str) -> bool | None:
    got = _get(address, "/spokeroute/ready")
    return None if got is None else got[0] == 200


def _listens(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except (OSError, ValueError):
        return False
    return True


def look(registryFlag: str, exchangeFlag: str, propsPath: str, role: str) -> Sight:
    """See the fleet, and a props file where one is given.

    Example:
        look("127.0.0.1:8101", "", "", "registry")
    """
    dead: tuple[str, ...] = ()
    fault = ""
    if propsPath:
        try:
            props = readProps(propsPath, {})
            checkProps(props, role)
            dead = tuple(s for s in props.seeds if s != props.trunk and not _listens(s))
        except PropsFault as found:
            fault = str(found)
    asked = registries(registryFlag) if registryFlag or not propsPath else ()
    exchanges = [a.strip() for a in exchangeFlag.split(",") if a.strip()]
    return Sight({a: _status(a) for a in asked}, {a: _ready(a) for a in exchanges}, dead, fault)


@cappa.command(name="doctor", help="Look for common faults; name the remedy of each.")
@dataclass
class Doctor:
    registry: Annotated[
        str, cappa.Arg(long="registry", help="registries' operator addresses, with commas")
    ] = ""
    exchange: Annotated[
        str, cappa.Arg(long="exchange", help="exchanges' caller addresses, with commas")
    ] = ""
    props: Annotated[str, cappa.Arg(long="props", help="check this props file and its seeds")] = ""
    role: Annotated[str, cappa.Arg(long="role", help="the props file's role")] = "registry"
    json: Annotated[bool, cappa.Arg(long="json", help="print findings as JSON")] = False

    def __call__(self) -> None:
        found = examine(look(self.registry, self.exchange, self.props, self.role))
        if self.json:
            print(json.dumps([asdict(f) for f in found], indent=2))
        else:
            for each in found:
                print(f"{each.kind}: {each.where}: {each.what}\n  remedy: {each.remedy}")
            print(f"{len(found)} findings" if found else "nothing found")
        sys.exit(EXIT_FOUND if found else 0)
