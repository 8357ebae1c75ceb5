"""What each role spends as the fleet grows: hollow fleets, swept one size at a time.

python -m tools.capacity --nodes 24 --functions 100 --instances 400 --calls 50 --seconds 5
python -m tools.capacity --sweep
"""

from __future__ import annotations

import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from tools.capacity_fleet import Point, measure
from tools.capacity_size import Size, SizeError
from tools.capacity_sweep import SWEEPS, keep, sweep

FOLDER = Path("docs/capacity")


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

    def __call__(self) -> None:
        if self.sweep:
            _sweep(self)
            return
        size = Size(
            self.nodes, self.registries, self.functions, self.instances,
            calls_per_s=self.calls, applies=self.applies, churn_per_s=self.churn,
            wakes_per_s=self.wakes, keyed_per_s=self.keyed, seconds=self.seconds, seed=self.seed,
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
    points: list[dict[str, Any]] = sweep(names, command.repeats, command.workers)
    about = {
        "seconds": round(time.monotonic() - began),
        "workers": command.workers,
        "load": round(os.getloadavg()[0], 1),
        "cores": os.cpu_count(),
    }
    keep(command.out / "sweep.json", {**about, "points": points})
    print(f"{len(points)} points in {about['seconds']} s: {command.out / 'sweep.json'}")


def main() -> None:
    cappa.invoke(Capacity)


if __name__ == "__main__":
    main()
