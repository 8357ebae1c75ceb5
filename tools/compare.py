"""FLARe against static lists, in one run, on the paper's scenario and the brief's sizes.

    python -m tools.compare

Utilizations come from the pure functions alone: what each worker would carry after the failure
of one worker, and of one zone, if every function's calls went to the head of its list.
"""

from __future__ import annotations

import random
from dataclasses import replace

from spokeroute.dispatch.flare.algorithms import (
    CandidateWorker,
    Function,
    LoadSnapshot,
    Ranking,
    ShiftLimits,
    laaf,
    rome,
)


def after(picture: LoadSnapshot, ranks: tuple[Ranking, ...], lost: set[str]) -> dict[str, float]:
    """Workers' utilization once the lost ones' functions went to their first living successor."""
    out = {w: cu for w, cu in picture.cu_pct if w not in lost}
    loads = {(f.service, f.worker): f.load_pct for f in picture.functions}
    for rank in ranks:
        if rank.worker in lost:
            for worker in rank.workers:
                if worker not in lost:
                    out[worker] += loads[rank.service, rank.worker]
                    break
    return out


def literal(picture: LoadSnapshot) -> tuple[Ranking, ...]:
    """LAAF with the paper's own reset: eu of a worker as the loop comes to it."""
    eu = dict(picture.cu_pct)
    out: list[Ranking] = []
    for worker, cu in sorted(picture.cu_pct):
        eu[worker] = cu
        one = replace(
            picture,
            cu_pct=tuple(sorted(eu.items())),
            functions=tuple(f for f in picture.functions if f.worker == worker),
        )
        for rank in laaf(one):
            out.append(rank)
            load = next(f.load_pct for f in one.functions if f.service == rank.service)
            if rank.workers:
                eu[rank.workers[0]] += load
    return tuple(out)


def deployment(seed: int) -> tuple[LoadSnapshot, LoadSnapshot]:
    """The brief's size: at deployment time, and after the loads moved."""
    rng = random.Random(seed)
    workers = [f"w{i + 1}" for i in range(6)]
    functions: list[Function] = []
    sites: list[tuple[str, tuple[CandidateWorker, ...]]] = []
    for number in range(79):
        busy = number < 4
        service = f"s{number:02d}"
        here = rng.sample(workers, 3 if busy else 2)
        load = rng.uniform(6, 14) if busy else rng.uniform(0.0, 1.6)
        functions.extend(Function(service, w, load) for w in here[: 2 if busy else 1])
        sites.append((service, tuple(CandidateWorker(w, (f"{service}-{w}",)) for w in here)))

    def picture(parts: list[Function]) -> LoadSnapshot:
        cu = {w: sum(f.load_pct for f in parts if f.worker == w) for w in workers}
        return LoadSnapshot(tuple(sorted(cu.items())), tuple(parts), tuple(sites))

    moved = [replace(f, load_pct=f.load_pct * rng.choice((0.3, 1.0, 2.5))) for f in functions]
    return picture(functions), picture(moved)


def main() -> None:
    """The program's entry."""
    table1 = LoadSnapshot(
        (("TANGO", 70.0), ("LAMBADA", 50.0), ("CHARLIE", 50.0), ("ALPHA", 20.0), ("BETA", 10.0)),
        (Function("A", "TANGO", 40.0), Function("B", "TANGO", 30.0)),
        (
            ("A", (CandidateWorker("LAMBADA", ("A-3",)), CandidateWorker("ALPHA", ("A-2",)))),
            ("B", (CandidateWorker("CHARLIE", ("B-3",)), CandidateWorker("BETA", ("B-2",)))),
        ),
    )
    unloaded = (
        ("TANGO", 70.0),
        ("LAMBADA", 0.0),
        ("CHARLIE", 0.0),
        ("ALPHA", 20.0),
        ("BETA", 10.0),
    )
    static = laaf(replace(table1, cu_pct=unloaded))
    for name, ranks in (("static", static), ("LAAF", laaf(table1))):
        most = max(after(table1, ranks, {"TANGO"}).values())
        print(f"Table 1, TANGO lost, {name}: most loaded {most:.0f} %")
    worst: dict[str, list[float]] = {}
    for seed in range(200):
        before, now = deployment(seed)
        lists = {"static": laaf(before), "LAAF": laaf(now), "LAAF, the paper's reset": literal(now)}
        relieved = rome(now, ShiftLimits())
        for what, lost in (("worker", {"w1"}), ("zone", {"w1", "w4"})):
            for name, ranks in lists.items():
                worst.setdefault(f"{what} lost, {name}", []).append(
                    max(after(now, ranks, lost).values())
                )
        worst.setdefault("no loss, before ROME", []).append(max(c for _, c in now.cu_pct))
        worst.setdefault("no loss, after ROME", []).append(max(c for _, c in relieved.eu_pct))
    for name, values in worst.items():
        values.sort()
        mean = sum(values) / len(values)
        print(f"{name}: most loaded worker, mean {mean:.1f} %, p95 {values[190]:.1f} %, "
              f"over 70 % in {sum(1 for v in values if v > 70)} of 200")  # fmt: skip


if __name__ == "__main__":
    main()
