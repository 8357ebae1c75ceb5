"""Faults at the size of the aim, as sums over measured lines: what moves, how many bytes, how
long on a front machine's link, and how long under the cap on starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.common.bounds import Bounds
from tools.capacity_aim import (
    CHANGES_A_DAY,
    INSTANCES,
    LINK_BYTES_PER_S,
    NODES,
    RACK_NODES,
    REGIONS,
    REGISTRIES,
    RESTARTS_A_DAY,
    ZONES_COUNT,
)
from tools.capacity_rows import Fitted, Row


@dataclass(frozen=True, slots=True)
class Fault:
    """What comes back at once: so many nodes, with the instances on them."""

    name: str
    nodes: float
    starts: bool = True  # its instances are gone and are started elsewhere


FAULTS = (
    Fault("one node restarted or replaced", 1),
    Fault(f"a day's {RESTARTS_A_DAY} restarts, together", RESTARTS_A_DAY),
    Fault(f"a rack of {RACK_NODES}", RACK_NODES),
    Fault("a zone", NODES / ZONES_COUNT),
    Fault("a region's hour, its nodes kept", NODES / REGIONS, starts=False),
)


def _whole(lines: Mapping[Row, Fitted | None], mechanism: str) -> float:
    """Bytes of a whole floor or configuration at the aim."""
    for row, found in lines.items():
        if (row.role, row.mechanism, row.what) == ("exchange", mechanism, "bytes") and found:
            size = {"floor and holds": INSTANCES, "configuration": 36_000}[mechanism]
            return found.line.at(size)
    return 0.0


def faults(lines: Mapping[Row, Fitted | None]) -> str:
    """The table of faults.

    Example:
        faults({row: fitted(row, raw) for row in ROWS})
    """
    floor, configuration = _whole(lines, "floor and holds"), _whole(lines, "configuration")
    a_node = floor + configuration
    held = INSTANCES / NODES
    out = [
        f"A whole floor: {floor / 1e6:.2f} MB; a whole configuration: {configuration / 1e6:.2f} MB;"
        f" both, over 2 Mbit/s: {a_node / LINK_BYTES_PER_S:.1f} s.",
        "",
        "| fault | nodes | fetched whole, MB | from each registry, MB | a node's link, s | "
        "instances started | at the cap of starts, s |",
        "|---|---|---|---|---|---|---|",
    ]
    for fault in FAULTS:
        moved = fault.nodes * a_node / 1e6
        starts = fault.nodes * held if fault.starts else 0.0
        starts_s = starts / Bounds().starts_per_s
        out.append(
            f"| {fault.name} | {fault.nodes:.0f} | {moved:,.0f} | {moved / REGISTRIES:,.0f} | "
            f"{a_node / LINK_BYTES_PER_S:.1f} | {starts:,.0f} | {starts_s:,.0f} |"
        )
    day = CHANGES_A_DAY * configuration
    out += [
        "",
        f"Configuration over a day, each change whole to each node: {day / 1e9:.2f} GB a node, "
        f"{day * NODES / 1e12:.2f} TB in all; a change takes {configuration / LINK_BYTES_PER_S:.1f}"
        " s of a node's link.",
    ]
    return "\n".join(out)
