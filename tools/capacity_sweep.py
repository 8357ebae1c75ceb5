"""The sweeps: one size varied at a time, each point a hollow fleet in a process of its own."""

from __future__ import annotations

import json
import multiprocessing
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from tools.capacity_fleet import Point, measure
from tools.capacity_memory import measure_memory
from tools.capacity_size import MOST_MB, Size, needed_mb, needed_s

MOST_WORKERS = 8


@dataclass(frozen=True, slots=True)
class Sweep:
    """A size that is varied, the values that are fitted, and one beyond them that is predicted."""

    name: str
    varied: str  # the field of Size
    base: Size
    values: tuple[float, ...]
    beyond: float = 0.0  # 0: none
    beyond_seconds: float = 0.0  # 0: as the others

    def sizes(self, repeats: int) -> tuple[tuple[Size, bool], ...]:
        """Every fleet to run, and whether it lies beyond what is fitted.

        Example:
            len(SWEEPS[0].sizes(2)) == 2 * len(SWEEPS[0].values) + 1
        """
        out: list[tuple[Size, bool]] = []
        for seed in range(1, repeats + 1):
            out.extend((self.at(value, seed), False) for value in self.values)
        if self.beyond:
            size = self.at(self.beyond, 1)
            out.append((replace(size, seconds=self.beyond_seconds or size.seconds), True))
        return tuple(out)

    def at(self, value: float, seed: int) -> Size:
        """The fleet of one value.

        Example:
            SWEEPS[0].at(40, 1).nodes == 40
        """
        kind = type(getattr(self.base, self.varied))
        return replace(self.base, **{self.varied: kind(value), "seed": seed})


SWEEPS = (
    Sweep("nodes", "nodes", Size(functions=8, instances=64, held=0, seconds=2.0),
          (25, 50, 100, 200), 930, 1.2),
    Sweep("instances", "instances",
          Size(nodes=6, functions=200, held=20, each=32, churn_per_s=1.0, seconds=2.0),
          (400, 800, 1_600, 3_200), 6_400, 2.0),
    Sweep("functions", "functions",
          Size(nodes=6, instances=128, held=20, applies=2, seconds=2.0),
          (250, 500, 1_000, 2_000), 6_000, 2.0),
    Sweep("held", "instances", Size(nodes=6, functions=100, seconds=2.0),
          (60, 360, 720, 1_440)),
    Sweep("calls", "calls_per_s",
          Size(nodes=4, instances=948, functions=474, each=2, seconds=2.0),
          (40, 80, 160, 320), 600, 2.0),
    Sweep("changes", "applies", Size(nodes=6, instances=160, functions=400, seconds=4.0),
          (0, 2, 4, 8)),
    Sweep("starts", "wakes_per_s", Size(nodes=6, instances=160, functions=300, seconds=5.0),
          (0, 1, 2, 4)),
    Sweep("claims", "keyed_per_s", Size(nodes=6, instances=96, functions=60, seconds=3.0),
          (0, 10, 20, 40, 80)),
    Sweep("registries", "registries", Size(nodes=10, instances=100, functions=60, seconds=2.0),
          (3, 5, 7, 9)),
    Sweep("workers", "nodes",
          Size(instances=480, functions=30, each=16, churn_per_s=1.0, seconds=3.0),
          (6, 12, 24, 48)),
    Sweep("reach", "nodes",
          Size(instances=72, functions=72, each=1, calls_per_s=100.0, seconds=2.0),
          (9, 18, 36, 72)),
    Sweep("memory instances", "instances",
          Size(nodes=5, functions=100, each=32, churn_per_s=1.0, seconds=1.2),
          (400, 800, 1_600, 2_400), 4_800, 1.2),
    Sweep("memory functions", "functions",
          Size(nodes=5, instances=32, applies=1, seconds=1.2), (200, 400, 800, 1_600)),
    Sweep("memory nodes", "nodes",
          Size(instances=64, functions=8, held=0, seconds=1.2), (15, 30, 60, 90)),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Job:
    """One fleet of one sweep."""

    sweep: str
    beyond: bool
    size: Size


def jobs_of(names: tuple[str, ...], repeats: int) -> tuple[Job, ...]:
    """The jobs of some sweeps, the longest first.

    Example:
        jobs_of(("nodes",), 1)[0].beyond is True
    """
    jobs = [
        Job(sweep.name, beyond, size)
        for sweep in SWEEPS
        if not names or sweep.name in names
        for size, beyond in sweep.sizes(repeats)
    ]
    return tuple(sorted(jobs, key=lambda j: -needed_s(j.size)))


def run_job(job: Job) -> Point:
    """One fleet, its work or its memory.

    Example:
        run_job(Job("held", False, Size(seconds=1.0))).notes
    """
    weighs = job.sweep.startswith("memory")
    return measure_memory(job.size) if weighs else measure(job.size)


def run_jobs(
    jobs: tuple[Job, ...], workers: int, act: Callable[[Job], Any] | None = None
) -> Iterator[tuple[Job, Any]]:
    """Run jobs side by side, within the memory and the workers that are allowed.

    Example:
        for job, point in run_jobs(jobs_of(("held",), 1), 4): ...
    """
    os.environ["PYTHONHASHSEED"] = "0"  # one order of hashes, so that a point is the same again
    waiting, running = list(jobs), dict[Future[Any], Job]()
    with ProcessPoolExecutor(
        min(workers, MOST_WORKERS),
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        while waiting or running:
            used_mb = sum(needed_mb(j.size) for j in running.values())
            for job in list(waiting):
                if len(running) >= min(workers, MOST_WORKERS):
                    break
                if running and used_mb + needed_mb(job.size) > MOST_MB:
                    continue
                waiting.remove(job)
                running[pool.submit(act or run_job, job)] = job
                used_mb += needed_mb(job.size)
            done, _ = wait(running, return_when=FIRST_COMPLETED)
            for each in done:
                job = running.pop(each)
                yield job, each.result()


def sweep(
    names: tuple[str, ...], repeats: int, workers: int, part: Path | None = None
) -> list[dict[str, Any]]:
    """Run sweeps with progress on the screen; raw points, as they are kept. Each point goes into
    ``part`` as it comes; what that has already is not run again.

    Example:
        sweep(("held",), 1, 4)[0]["sweep"]
    """
    jobs = jobs_of(names, repeats)
    out = _done(part, jobs)
    left = tuple(j for j in jobs if _key(j) not in {_key_of(p) for p in out})
    began = time.monotonic()
    for number, (job, point) in enumerate(run_jobs(left, workers), 1):
        out.append({"sweep": job.sweep, "beyond": job.beyond, **asdict(point)})
        if part is not None:
            with part.open("a") as lines:
                lines.write(json.dumps(out[-1]) + "\n")
        found = next(s for s in SWEEPS if s.name == job.sweep)
        value = getattr(job.size, found.varied)
        print(
            f"[{number}/{len(left)}, {time.monotonic() - began:.0f} s] {job.sweep} {value}"
            f"{' (beyond)' if job.beyond else ''}: {point.took_s:.0f} s, {point.rss_mb:.0f} MB",
            flush=True,
        )
    if part is not None:
        part.unlink(missing_ok=True)
    out.sort(key=_key_of)
    return out


def _key(job: Job) -> str:
    return f"{job.sweep} {job.beyond} {json.dumps(asdict(job.size), sort_keys=True)}"


def _key_of(point: dict[str, Any]) -> str:
    return f"{point['sweep']} {point['beyond']} {json.dumps(point['size'], sort_keys=True)}"


def _done(part: Path | None, jobs: tuple[Job, ...]) -> list[dict[str, Any]]:
    """What an ended run of the same jobs left behind."""
    if part is None or not part.exists():
        return []
    wanted = {_key(j) for j in jobs}
    points = [json.loads(line) for line in part.read_text().splitlines()]
    return [p for p in points if _key_of(p) in wanted]


def keep(path: Path, doc: dict[str, Any]) -> None:
    """Write raw figures, a point a line.

    Example:
        keep(Path("docs/capacity/sweep.json"), {"points": []})
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    rest = {k: v for k, v in doc.items() if k != "points"}
    head = json.dumps(rest, separators=(",", ":"))
    lines = [json.dumps(p, separators=(",", ":")) for p in doc.get("points", [])]
    path.write_text('{"about":' + head + ',\n"points":[\n' + ",\n".join(lines) + "\n]}\n")


def load(path: Path) -> dict[str, Any]:
    """Raw figures back.

    Example:
        load(Path("docs/capacity/sweep.json"))["points"]
    """
    doc: dict[str, Any] = json.loads(path.read_text())
    return {**doc["about"], "points": doc["points"]}


__all__ = ["SWEEPS", "Job", "Point", "Sweep", "jobs_of", "keep", "load", "run_jobs", "sweep"]
