"""`spokeroute desk …`: apply, show, evacuate, restore, ledger, replay, status."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from spokeroute.desk.client import Said, Unreached, Where, ask
from spokeroute.desk.gateway import lay
from spokeroute.logbook.replay import Replayed, replay

EXIT_REFUSED = 1
EXIT_PROPS = 2
EXIT_UNREACHED = 3

Registry = Annotated[
    str,
    cappa.Arg(
        long="registry",
        help="registries' operator addresses, with commas (or SPOKEROUTE_REGISTRIES)",
    ),
]


PropsFile = Annotated[
    str, cappa.Arg(long="props", help="TOML file with a list `registries`; flags win")
]


def _finish(got: Said | Unreached) -> None:
    if isinstance(got, Unreached):
        print(f"spokeroute desk: no registry answered: {got.reason}", file=sys.stderr)
        sys.exit(EXIT_UNREACHED)
    doc = got.doc()
    if got.status >= 400:
        print(f"refused ({got.status}): {doc.get('title')}: {doc.get('detail')}", file=sys.stderr)
        for fault in doc.get("faults", []):
            print(f"  {fault['path']}: {fault['reason']}; {fault['remedy']}", file=sys.stderr)
        print(f"remedy: {doc.get('remedy')}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    print(json.dumps(doc, indent=2))


@cappa.command(name="apply", help="Hand over a whole configuration (JSON file, - for stdin).")
@dataclass
class Apply:
    file: Annotated[str, cappa.Arg(help="the configuration")]
    ifVersion: Annotated[
        int, cappa.Arg(long="if-version", help="only if this version rules now")
    ] = -1
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        try:
            body = sys.stdin.buffer.read() if self.file == "-" else Path(self.file).read_bytes()
        except OSError as fault:
            print(f"spokeroute desk: {self.file} can't be read: {fault}", file=sys.stderr)
            sys.exit(EXIT_PROPS)
        headers = {"Content-Type": "application/json"}
        if self.ifVersion >= 0:
            headers["If-Match"] = f'"{self.ifVersion}"'
        _finish(
            ask(
                Where(self.registry, self.props),
                "PUT",
                "/desired-state",
                body,
                headers,
                onlyOnce=True,
            )
        )


@cappa.command(name="show", help="Print the configuration that rules, whole and newest.")
@dataclass
class Show:
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        _finish(ask(Where(self.registry, self.props), "GET", "/desired-state"))


@cappa.command(name="evacuate", help="Empty a locality: its instances get nothing more.")
@dataclass
class Evacuate:
    locality: Annotated[str, cappa.Arg(help="the locality")]
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        _finish(ask(Where(self.registry, self.props), "PUT", f"/evacuation/{self.locality}"))


@cappa.command(name="restore", help="Take a locality back into use.")
@dataclass
class Restore:
    locality: Annotated[str, cappa.Arg(help="the locality")]
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        _finish(ask(Where(self.registry, self.props), "DELETE", f"/evacuation/{self.locality}"))


@cappa.command(name="status", help="Print what a registry sees: core, versions, instances.")
@dataclass
class Status:
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        _finish(ask(Where(self.registry, self.props), "GET", "/status"))


def _pages(where: Where, after: str) -> Iterator[str]:
    while True:
        got = ask(where, "GET", f"/ledger?after={after}&limit=1000")
        if isinstance(got, Unreached) or got.status != 200:
            _finish(got)
            return
        lines = got.body.decode().splitlines()
        yield from lines
        if len(lines) < 1000:
            return
        after = json.loads(lines[-1])["key"]


@cappa.command(name="ledger", help="Print decisions, oldest first, one JSON object a line.")
@dataclass
class Ledger:
    after: Annotated[str, cappa.Arg(long="after", help="only entries after this key")] = ""
    kind: Annotated[str, cappa.Arg(long="kind", help="only this kind of decision")] = ""
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        for line in _pages(Where(self.registry, self.props), self.after):
            if not self.kind or json.loads(line).get("kind") == self.kind:
                print(line)


@cappa.command(name="replay", help="Recompute the ledger's decisions; report the first difference.")
@dataclass
class Replay:
    file: Annotated[
        str, cappa.Arg(long="file", help="a saved ledger, - for stdin; else the registry's")
    ] = ""
    registry: Registry = ""
    props: PropsFile = ""

    def __call__(self) -> None:
        got: Replayed
        if self.file == "-":
            got = replay(sys.stdin)
        elif self.file:
            try:
                with open(self.file) as lines:
                    got = replay(lines)
            except OSError as fault:
                print(f"spokeroute desk: {self.file} can't be read: {fault}", file=sys.stderr)
                sys.exit(EXIT_PROPS)
        else:
            got = replay(_pages(Where(self.registry, self.props), ""))
        print(f"{got.read} entries read, {got.recomputed} decisions recomputed")
        if got.difference:
            print(f"difference at {got.difference.key}: {got.difference.reason}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print("no difference")


@cappa.command(
    name="gateway",
    help="Print a configuration whose lanes come from Gateway API manifests (YAML).",
)
@dataclass
class Gateway:
    manifests: Annotated[str, cappa.Arg(help="YAML file with Gateway and HTTPRoute")]
    onto: Annotated[str, cappa.Arg(long="onto", help="JSON configuration with the services")]

    def __call__(self) -> None:
        try:
            text = Path(self.manifests).read_text()
            base = json.loads(Path(self.onto).read_text())
            got = lay(text, base)
        except (OSError, ValueError, AttributeError) as fault:
            print(f"spokeroute desk: can't be read: {fault}", file=sys.stderr)
            sys.exit(EXIT_PROPS)
        if isinstance(got, list):
            for each in got:
                print(f"{each.path}: {each.reason}; {each.remedy}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print(json.dumps(got, indent=1))


@cappa.command(name="desk", help="The operator's client.")
@dataclass
class Desk:
    command: cappa.Subcommands[
        Apply | Show | Evacuate | Restore | Status | Ledger | Replay | Gateway
    ]
