"""The one program; the role is a subcommand."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
from absl import logging

from spokeroute.desk import commands as desk
from spokeroute.dial.props import PropsFault, checkProps, readProps
from spokeroute.doctor.command import Doctor

EXIT_PROPS = 2


@cappa.command(name="exchange", help="Run a front node: takes calls, ferries and sends them.")
@dataclass
class Exchange:
    props: Annotated[str, cappa.Arg(long="props", help="TOML props file")] = ""
    name: Annotated[str, cappa.Arg(long="name", help="unique name of this exchange")] = ""
    locality: Annotated[str, cappa.Arg(long="locality", help="its locality")] = ""
    trunk: Annotated[str, cappa.Arg(long="trunk", help="IP:port for colleagues")] = ""
    http: Annotated[str, cappa.Arg(long="http", help="IP:port for callers")] = ""
    seeds: Annotated[
        str, cappa.Arg(long="seeds", help="trunk addresses of others, with commas")
    ] = ""

    def __call__(self) -> None:
        sys.exit(_daemon("exchange", self.props, _flags(self)))


@cappa.command(
    name="registry",
    help="Run a core node: durable registers, operator API, placement, scaler, ledger.",
)
@dataclass
class Registry:
    props: Annotated[str, cappa.Arg(long="props", help="TOML props file")] = ""
    name: Annotated[str, cappa.Arg(long="name", help="name in logs")] = ""
    locality: Annotated[str, cappa.Arg(long="locality", help="its locality")] = ""
    trunk: Annotated[str, cappa.Arg(long="trunk", help="IP:port for colleagues")] = ""
    http: Annotated[str, cappa.Arg(long="http", help="IP:port for operators")] = ""
    seeds: Annotated[
        str, cappa.Arg(long="seeds", help="trunk addresses of the registries, with commas")
    ] = ""
    data: Annotated[str, cappa.Arg(long="data", help="data folder, of its own")] = ""
    diskMb: Annotated[int, cappa.Arg(long="disk-mb", help="most megabytes on disk")] = 0
    platform: Annotated[str, cappa.Arg(long="platform", help="IP:port of the platform")] = ""
    found: Annotated[
        bool, cappa.Arg(long="found", help="may found a core when every seed is blank")
    ] = False

    def __call__(self) -> None:
        sys.exit(_daemon("registry", self.props, _flags(self)))


def _flags(command: Exchange | Registry) -> dict[str, object]:
    flags: dict[str, object] = {
        k: v for k, v in vars(command).items() if k != "props" and v not in ("", 0, False)
    }
    if "seeds" in flags:
        flags["seeds"] = tuple(s.strip() for s in str(flags["seeds"]).split(",") if s.strip())
    return flags


def _daemon(role: str, path: str, flags: dict[str, object]) -> int:
    logging.use_absl_handler()
    logging.set_verbosity(logging.WARNING)
    try:
        props = readProps(path, flags)
        checkProps(props, role)
        from spokeroute.daemon import runExchange, runRegistry

        return runExchange(props) if role == "exchange" else runRegistry(props)
    except PropsFault as fault:
        print(f"spokeroute {role}: {fault}", file=sys.stderr)
        return EXIT_PROPS


@cappa.command(
    name="spokeroute",
    help="A platform front and scaler for functions, with load-aware adaptive failover.",
)
@dataclass
class Spokeroute:
    role: cappa.Subcommands[Exchange | Registry | desk.Desk | Doctor]


def main() -> None:
    """The program's entry.

    Example:
        spokeroute desk status --registry 127.0.0.1:8101
    """
    cappa.invoke(Spokeroute, completion=False)
