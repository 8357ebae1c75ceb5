"""What each role spends as the fleet grows: hollow fleets, swept one size at a time.

python -m tools.capacity --nodes 24 --functions 100 --instances 400 --calls 50 --seconds 5
python -m tools.capacity --sweep
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from tools.capacity_anchor import anchors
from tools.capacity_clock import counter
from tools.capacity_cold import cold_starts
from tools.capacity_fleet import Point, measure
from tools.capacity_page import blocks_of, short, unit_of, write
from tools.capacity_plot import plots
from tools.capacity_rows import ROWS, calm, fitted
from tools.capacity_size import Size, SizeError
from tools.capacity_sweep import SWEEPS, keep, load, sweep

FOLDER = Path("docs/capacity")
PAGE = Path("docs/CAPACITY.md")
ANCHORS = ((9, 0.0), (30, 0.0), (60, 0.0), (9, 120.0))


def table(point: Point) -> str:
    """One fleet's figures by role: processor time by part, messages and bytes by kind."""
    lines: list[str] = []
    for role, parts in point.cpu.items():
        pace_s = point.notes["ns per count"] / 1e9
        whole = pace_s * sum(s for s, _ in parts.values())
        lines.append(f"\n{role}: {whole:.4f} cores a node")
        for part, (work, times) in sorted(parts.items(), key=lambda p: -p[1][0])[:14]:
            seconds = work * pace_s
            each_us = 1e6 * seconds / times if times else 0.0
            lines.append(f"  {part:32s} {seconds:9.5f} s/s  {times:8.1f}/s  {each_us:9.1f} us")
        wires = point.wire.get(role, {})
        for key, (messages, size_bytes, far, region) in sorted(
            wires.items(), key=lambda w: -w[1][1]
        )[:14]:
            lines.append(
                f"  {key:32s} {messages:9.2f} msg/s {size_bytes:12.0f} B/s, "
                f"{far:.0f} leave the zone, {region:.0f} the region"
            )
    lines.append(f"\nin the whole fleet, a second: {point.notes}")
    lines.append(f"{point.rss_mb:.0f} MB in this process; took {point.took_s:.1f} s")
    return "\n".join(lines)


@cappa.command(name="capacity", help="Measure hollow fleets, alone or swept.")
@dataclass
class Capacity:
    """The command's arguments."""

    nodes: Annotated[int, cappa.Arg(long="nodes", help="exchanges, each on a worker")] = 8
    registries: Annotated[int, cappa.Arg(long="registries", help="core nodes")] = 5
    functions: Annotated[int, cappa.Arg(long="functions", help="services")] = 200
    instances: Annotated[int, cappa.Arg(long="instances", help="of all services")] = 400
    calls: Annotated[float, cappa.Arg(long="calls", help="a second, over all nodes")] = 0.0
    keyed: Annotated[float, cappa.Arg(long="keyed", help="once-only calls a second")] = 0.0
    wakes: Annotated[float, cappa.Arg(long="wakes", help="cold starts a second")] = 0.0
    churn: Annotated[float, cappa.Arg(long="churn", help="failing instances a second")] = 0.0
    applies: Annotated[int, cappa.Arg(long="applies", help="configurations handed over")] = 0
    seconds: Annotated[float, cappa.Arg(long="seconds", help="simulated, measured")] = 5.0
    seed: Annotated[int, cappa.Arg(long="seed", help="of all chance")] = 1
    sweep: Annotated[bool, cappa.Arg(long="sweep", help="vary one size at a time")] = False
    only: Annotated[
        str, cappa.Arg(long="only", help="some sweeps, with commas: see --sweep's lines")
    ] = ""
    repeats: Annotated[int, cappa.Arg(long="repeats", help="of each point of a sweep")] = 2
    workers: Annotated[int, cappa.Arg(long="workers", help="processes side by side, 8 at most")] = 6
    out: Annotated[Path, cappa.Arg(long="out", help="where raw figures and plots go")] = FOLDER
    cold: Annotated[int, cappa.Arg(long="cold", help="time so many cold starts, hop by hop")] = 0
    anchors: Annotated[
        bool, cappa.Arg(long="anchors", help="run real fleets, and hollow ones beside them")
    ] = False
    page: Annotated[
        bool, cappa.Arg(long="page", help="make the page's tables and plots anew from raw figures")
    ] = False

    def __call__(self) -> None:
        """Carry the command out."""
        if self.sweep:
            _sweep(self)
        if self.cold:
            hops = cold_starts(self.cold)
            keep(self.out / "cold.json", {"count": self.cold, "points": [asdict(h) for h in hops]})
            print("\n".join(f"{h.name}: {h.median_ms} ms, p99 {h.p99_ms} ms" for h in hops))
        if self.anchors:
            found = [asdict(a) for a in anchors(ANCHORS)]
            keep(self.out / "anchors.json", {"load": os.getloadavg()[0], "points": found})
        if self.page or (self.sweep and not self.only):
            _page(self.out)
        if not (self.sweep or self.cold or self.anchors or self.page):
            _one(self)


def _one(command: Capacity) -> None:
    size = Size(
        command.nodes, command.registries, command.functions, command.instances,
        calls_per_s=command.calls, applies=command.applies, churn_per_s=command.churn,
        wakes_per_s=command.wakes, keyed_per_s=command.keyed, seconds=command.seconds,
        seed=command.seed,
    )  # fmt: skip
    try:
        print(table(measure(size)))
    except SizeError as fault:
        print(f"capacity: {fault}", file=sys.stderr)
        sys.exit(2)


def _sweep(command: Capacity) -> None:
    names = tuple(n for n in command.only.split(",") if n)
    unknown = sorted(set(names) - {s.name for s in SWEEPS})
    if unknown:
        known = ", ".join(s.name for s in SWEEPS)
        print(f"capacity: no sweep {', '.join(unknown)}; known: {known}", file=sys.stderr)
        sys.exit(2)
    began = time.monotonic()
    command.out.mkdir(parents=True, exist_ok=True)
    part = command.out / f"sweep-{_commit()}.part"  # an ended run of the same product goes on
    points = sweep(names, command.repeats, command.workers, part)
    about = {
        "seconds": round(time.monotonic() - began),
        "workers": command.workers,
        "load": round(os.getloadavg()[0], 1),
        "cores": os.cpu_count(),
        "unit": counter()[1],
        "commit": _commit(),
    }
    keep(command.out / "sweep.json", {**about, "points": points})
    raw = calm(points)
    for row in ROWS:
        found = fitted(row, raw)
        if found is not None:
            print(
                f"{row.role} {row.mechanism} {row.what}: slope {found.line.slope:.3g} by "
                f"{row.size}, R2 {found.line.r2:.3f}, spread {found.line.spread:.0%}; at the aim "
                f"{short(found.at_aim, unit_of(row.what))}"
            )
    print(f"{len(points)} points in {about['seconds']} s: {command.out / 'sweep.json'}")


def _commit() -> str:
    """The newest commit that touched the product."""
    said = subprocess.run(
        ["git", "log", "-1", "--format=%h", "--", "spokeroute"], capture_output=True, text=True
    )
    return said.stdout.strip()


def _read(path: Path) -> dict[str, Any]:
    return load(path) if path.exists() else {}


def _page(folder: Path) -> None:
    doc = load(folder / "sweep.json")
    blocks = blocks_of(doc, _read(folder / "cold.json"), _read(folder / "anchors.json"))
    if PAGE.exists():
        write(PAGE, blocks)
    for path in plots(doc, folder):
        print(path)


def main() -> None:
    """The program's entry."""
    cappa.invoke(Capacity)


if __name__ == "__main__":
    main()
