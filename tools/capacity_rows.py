"""The page's rows: what each role spends on each mechanism, fitted and carried to the aim."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from tools.capacity_aim import AIM, MECHANISMS, RATES, sizes_of
from tools.capacity_fit import Line, Prediction, fit, is_flat

CPU, IN, OUT, BYTES_IN, BYTES_OUT = "cpu", "msg in", "msg out", "bytes in", "bytes out"
MEMORY = "memory"
UNITS = {
    MEMORY: "MB",
    CPU: "s/s", IN: "msg/s", OUT: "msg/s", BYTES_IN: "B/s", BYTES_OUT: "B/s", "bytes": "B/s",
    "disk": "B/s",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Row:
    """One cost of one role. ``parts`` are what is added up (empty: the mechanism's own parts),
    ``per`` the event that it is divided by (empty: a second), ``rate`` how often that happens at
    the aim. ``slope_only``: another row has the base."""

    role: str
    mechanism: str
    what: str
    sweeps: tuple[str, ...]
    size: str
    parts: tuple[str, ...] = ()
    per: str = ""
    rate: str = ""
    slope_only: bool = False


@dataclass(frozen=True, slots=True)
class Fitted:
    """A row's line, what it says at the aim, and how it did beyond its points."""

    row: Row
    points: tuple[tuple[float, float], ...]
    line: Line
    flat: bool
    at_aim: float
    beyond: tuple[Prediction, ...]


def mechanism_of(part: str) -> str:
    """Whose a part of the counts is; the longest pattern that fits.

    Example:
        >>> mechanism_of("peers Tick"), mechanism_of("nothing known")
        ('views and gossip', 'other')
    """
    best, found = "", "other"
    for name, patterns in MECHANISMS.items():
        for pattern in patterns:
            if fnmatchcase(part, pattern) and len(pattern) > len(best):
                best, found = pattern, name
    return found


def _sum(row: Row, point: dict[str, Any]) -> float:
    if row.what in ("bytes", MEMORY):
        return float(sum(point["notes"].get(part, 0.0) for part in row.parts))
    if row.what == CPU:
        parts = point["cpu"].get(row.role, {})
        return float(point["pace"]) * float(sum(
            seconds for part, (seconds, _) in parts.items()
            if (part in row.parts if row.parts else mechanism_of(part) == row.mechanism)
        ))  # fmt: skip
    wire = point["wire"].get(row.role, {})
    way = {"in": "in", "out": "out", "disk": "disk"}[row.what.split(" ")[-1]]
    at = 0 if row.what.startswith("msg") else 1
    kinds = [f"{way} {part}" for part in row.parts]
    return float(sum(wire[k][at] for k in kinds if k in wire))


def calm(raw: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The points with the seconds that one of their counts stands for: as on a core without busy
    neighbours, so by the pace of the fastest tenth of them.

    Example:
        calm(raw)[0]["pace"] < 1.0
    """
    pace_s = pace_of(raw) / 1e9
    return [{**p, "pace": pace_s} for p in raw]


def pace_of(raw: list[dict[str, Any]]) -> float:
    """Nanoseconds that one count stands for.

    Example:
        >>> pace_of([{"notes": {"ns per count": 0.3}}])
        0.3
    """
    paces = sorted(p["notes"]["ns per count"] for p in raw if p["notes"]["ns per count"] > 0)
    return float(paces[len(paces) // 10])


def _events(row: Row, point: dict[str, Any]) -> float:
    if not row.per:
        return 1.0
    parts = point["cpu"].get(row.role, {})
    if row.per in parts:
        return float(parts[row.per][1])
    wire = point["wire"].get(row.role, {})
    return float(wire[row.per][0]) if row.per in wire else 0.0


def points_of(row: Row, raw: Iterable[dict[str, Any]], beyond: bool) -> list[tuple[float, float]]:
    """A row's points: its size, and its cost by event or by second.

    Example:
        points_of(ROWS[0], raw, beyond=False)
    """
    out: list[tuple[float, float]] = []
    for point in raw:
        if point["sweep"] not in row.sweeps or point["beyond"] != beyond:
            continue
        events = _events(row, point)
        if events > 0:
            out.append((sizes_of(point["size"])[row.size], _sum(row, point) / events))
    return out


def fitted(row: Row, raw: list[dict[str, Any]]) -> Fitted | None:
    """A row's line through what was measured; None where nothing was.

    Example:
        fitted(ROWS[0], raw).at_aim
    """
    points = points_of(row, raw, beyond=False)
    if len({x for x, _ in points}) < 3:
        return None
    line = fit(points)
    flat = is_flat(line, points)
    at = line.at(AIM[row.size])
    if flat:
        at = sum(y for _, y in points) / len(points)
    if row.slope_only:
        at = line.slope * AIM[row.size]
    beyond = tuple(
        Prediction(x, line.at(x), y) for x, y in points_of(row, raw, beyond=True) if y > 0
    )
    return Fitted(row, tuple(points), line, flat, max(0.0, at) * RATES[row.rate], beyond)


GOSSIP = (
    "peers Tick", "peers Shuffle", "peers CopiesNow", "replica ViewNow", "membership ViewNow",
    "replica GossipHeard", "encode Shuffle", "decode Shuffle",
)  # fmt: skip
SHUFFLE, PROOF = ("Shuffle",), ("Probe", "ProbeAck")
ROUND = ("Accept", "Accepted", "Prepare", "Promise", "HandOver")
LEDGER = ("LedgerShare", "LedgerAck")
CLAIM = ("ClaimAsk", "ClaimGot")
FORWARD = ("Forward", "Forwarded")
ON_PROBE = (
    "decode Probe",
    "acceptor Probe",
    "membership Probe",
    "placement Probe",
    "encode ProbeAck",
)
ON_LISTING = ("edge read_listing", "placement PlatformListed", "fn.take_listing", "fn.sightings_of",
              "fn.absent_from")  # fmt: skip
ON_FLOOR = ("fn.unpack_floor", "calls Fresh changed", "holder Fresh changed",
            "decode FetchGot", "replica FetchGot")  # fmt: skip
ON_ROUND = (
    "acceptor Accept", "acceptor Prepare", "acceptor DiskDone", "decode Accept", "encode Promise",
    "fn.unpack_floor", "placement Fresh changed", "decode HandOver", "acceptor HandOver",
)  # fmt: skip


def _wires(
    role: str, mechanism: str, kinds: tuple[str, ...], sweep: str, size: str
) -> tuple[Row, ...]:
    return tuple(
        Row(role, mechanism, what, (sweep,), size, kinds) for what in (IN, OUT, BYTES_IN, BYTES_OUT)
    )


ROWS: tuple[Row, ...] = (
    Row("exchange", "views and gossip", CPU, ("nodes",), "nodes"),
    *_wires("exchange", "views and gossip", SHUFFLE, "nodes", "nodes"),
    Row("exchange", "freshness proofs", CPU, ("nodes",), "nodes"),
    *_wires("exchange", "freshness proofs", PROOF, "nodes", "nodes"),
    Row("exchange", "freshness proofs, a registry more", CPU, ("registries",), "registries",
        MECHANISMS["freshness proofs"], slope_only=True),
    Row("exchange", "reports", CPU, ("held",), "held",
        (*MECHANISMS["reports"], "encode Probe"), slope_only=True),
    Row("exchange", "reports", BYTES_OUT, ("held",), "held", ("Probe",), slope_only=True),
    Row("exchange", "configuration", CPU, ("functions",), "functions",
        per="edge build_table", rate="configurations"),
    Row("exchange", "configuration", "bytes", ("functions",), "functions",
        ("configuration bytes",), rate="configurations"),
    Row("exchange", "floor and holds", CPU, ("instances",), "instances", ON_FLOOR,
        "calls Fresh changed", "floor changes"),
    Row("exchange", "floor and holds", "bytes", ("instances",), "instances", ("floor bytes",),
        rate="floor changes"),
    Row("exchange", "LAAF lists", CPU, ("instances", "workers"), "names in lists",
        per="in Lists", rate="pushes"),
    Row("exchange", "LAAF lists", BYTES_IN, ("instances", "workers"), "names in lists",
        ("Lists",), "in Lists", "pushes"),
    Row("exchange", "memory by instances", MEMORY, ("memory instances",), "instances",
        ("memory exchange",)),
    Row("exchange", "memory by functions", MEMORY, ("memory functions",), "functions",
        ("memory exchange",), slope_only=True),
    Row("exchange", "memory by nodes", MEMORY, ("memory nodes",), "nodes",
        ("memory exchange",), slope_only=True),
    Row("exchange", "memory while a floor is read", MEMORY, ("memory instances",), "instances",
        ("peak exchange",)),
    Row("exchange", "calls", CPU, ("calls",), "calls a node"),
    *_wires("exchange", "calls", FORWARD, "calls", "calls a node"),
    Row("exchange", "budget shares", CPU, ("calls",), "calls a node"),
    Row("exchange", "claims", CPU, ("claims",), "keyed", slope_only=True),
    Row("exchange", "claims", BYTES_OUT, ("claims",), "keyed", CLAIM, slope_only=True),
    Row("exchange", "loop and beats", CPU, ("nodes",), "nodes"),
    Row("registry", "views and gossip", CPU, ("nodes",), "nodes", GOSSIP),
    Row("registry", "views and gossip, reports kept", CPU, ("nodes",), "nodes^2",
        ("placement ViewNow",)),
    *_wires("registry", "views and gossip", SHUFFLE, "nodes", "nodes"),
    Row("registry", "freshness proofs and reports", CPU, ("held",), "held", ON_PROBE,
        "in Probe", "probes of every node"),
    Row("registry", "freshness proofs and reports", BYTES_IN, ("held",), "held", ("Probe",),
        "in Probe", "probes of every node"),
    *_wires("registry", "freshness proofs", PROOF, "nodes", "nodes"),
    Row("registry", "configuration, at the one that is asked", CPU, ("functions",), "functions",
        ("edge read_configuration", "edge pack_configuration"), "edge read_configuration",
        "configurations"),
    Row("registry", "configuration", CPU, ("functions",), "functions", ("edge build_table",),
        "edge build_table", "configurations"),
    Row("registry", "configuration, to its share of nodes", "bytes", ("functions",), "functions",
        ("configuration bytes",), rate="configurations to its share of nodes"),
    Row("registry", "floor and holds", CPU, ("instances",), "instances", ON_ROUND,
        "placement Fresh changed", "floor changes"),
    Row("registry", "floor, to its share of nodes", "bytes", ("instances",), "instances",
        ("floor bytes",), rate="floors to its share of nodes"),
    Row("registry", "floor and holds", "disk", ("instances",), "instances", ("DiskWrite",)),
    Row("registry", "platform lists and starts", CPU, ("instances",), "instances", ON_LISTING,
        "edge read_listing", "listings"),
    Row("registry", "platform lists and starts", "bytes", ("instances",), "instances",
        ("listing bytes",), rate="listings"),
    Row("registry", "ledger", BYTES_IN, ("instances",), "instances", LEDGER),
    Row("registry", "ledger", "disk", ("instances",), "instances", ("LedgerWrite",)),
    Row("registry", "ledger", CPU, ("instances",), "instances"),
    Row("registry", "claims", CPU, ("claims",), "keyed",
        (*MECHANISMS["claims"], *MECHANISMS["floor and holds"]), slope_only=True),
    Row("registry", "claims", IN, ("claims",), "keyed", (*CLAIM, *ROUND), slope_only=True),
    Row("registry", "claims", "disk", ("claims",), "keyed", ("DiskWrite",), slope_only=True),
    Row("registry", "loop and beats", CPU, ("nodes",), "nodes"),
    Row("registry", "memory by instances", MEMORY, ("memory instances",), "instances",
        ("memory registry",)),
    Row("registry", "memory by functions", MEMORY, ("memory functions",), "functions",
        ("memory registry",), slope_only=True),
    Row("registry", "memory by nodes", MEMORY, ("memory nodes",), "nodes",
        ("memory registry",), slope_only=True),
    Row("holder", "memory by instances", MEMORY, ("memory instances",), "instances",
        ("memory holder",)),
    Row("holder", "memory by functions", MEMORY, ("memory functions",), "functions",
        ("memory holder",), slope_only=True),
    Row("holder", "memory by nodes", MEMORY, ("memory nodes",), "nodes",
        ("memory holder",), slope_only=True),
    Row("client", "configuration", CPU, ("functions",), "functions", ("client apply",),
        "client apply", "configurations"),
    Row("client", "configuration", "bytes", ("functions",), "functions", ("document bytes",),
        rate="configurations"),
    Row("holder", "scaler", CPU, ("instances", "functions"), "functions x instances",
        ("fn.plan", "fn.room_of", "fn.best_worker", "fn.sleepers_mb"),
        "fn.plan", "passes"),
    Row("holder", "reports", CPU, ("held",), "instances",
        ("fn.means_of", "fn.suspects_of", "fn.live_holders",
         "fn.demand_now")),
    Row("holder", "floor and holds", CPU, ("instances",), "instances",
        ("fn.pack_floor", "fn.unpack_floor", "fn.unpack_floor",
         "placement Settled", "fn.digest_of", "proposer Promise", "encode Accept",
         "decode Promise", "placement Fresh changed"), "fn.pack_floor", "floor changes"),
    Row("holder", "floor and holds, each pass", CPU, ("instances",), "instances",
        ("fn.remark", "placement Tick"), "fn.plan", "passes"),
    Row("holder", "platform lists and starts, each pass", CPU, ("instances",), "instances",
        ("fn.platform_calls", "fn.orphan_stops"), "fn.plan", "passes"),
    Row("holder", "LAAF lists, the picture", CPU, ("instances",), "instances",
        ("fn.picture",), "fn.picture", "passes"),
    Row("holder", "LAAF lists, a run", CPU, ("instances", "workers"), "pairs x sites",
        ("fn.laaf", "fn.rome"), "fn.laaf", "pushes"),
    Row("holder", "LAAF lists, to every node", CPU, ("instances", "workers"), "names in lists",
        ("encode Lists",), "encode Lists", "pushes to every node"),
    Row("holder", "LAAF lists, to every node", BYTES_OUT, ("instances", "workers"),
        "names in lists", ("Lists",), "out Lists", "pushes to every node"),
    Row("holder", "ledger", CPU, ("instances",), "instances"),
    Row("holder", "ledger", BYTES_OUT, ("instances",), "instances", LEDGER),
    Row("holder", "views and gossip", CPU, ("nodes",), "nodes", GOSSIP),
    Row("holder", "views and gossip, reports kept", CPU, ("nodes",), "nodes^2",
        ("placement ViewNow",)),
    Row("holder", "loop and beats", CPU, ("nodes",), "nodes"),
)  # fmt: skip
