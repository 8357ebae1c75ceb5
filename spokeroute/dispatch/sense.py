"""From reports to FLARe's picture: loads and utilizations out of requests in flight."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.dispatch.desired import Table
from spokeroute.dispatch.flare import Function, Picture, Site
from spokeroute.dispatch.floor import UP, Floor, Placed
from spokeroute.dispatch.policy import (
    RANK_FIELDS,
    SHIFT_FIELDS,
    Program,
    ProgramFault,
    compileProgram,
)
from spokeroute.dispatch.scaler import WorkerSeat, roomOf


@dataclass(frozen=True, slots=True)
class PolicyPair:
    """The compiled programs of one desired state; None is FLARe's own rule."""

    rank: Program | None = None
    shift: Program | None = None

    @property
    def digest(self) -> str:
        """What ledger entries name.

        Example:
            >>> PolicyPair().digest
            '/'
        """
        rank = self.rank.digest if self.rank else ""
        shift = self.shift.digest if self.shift else ""
        return f"{rank}/{shift}"


def compilePolicy(table: Table) -> PolicyPair:
    """The programs of a table; they were tried when the configuration was taken.

    Example:
        compilePolicy(table).rank is None
    """
    rank = compileProgram(table.programs.rank, RANK_FIELDS) if table.programs.rank else None
    shift = compileProgram(table.programs.shift, SHIFT_FIELDS) if table.programs.shift else None
    return PolicyPair(
        rank if isinstance(rank, Program) else None,
        shift if isinstance(shift, Program) else None,
    )


def fit(placed: Placed, evacuated: frozenset[str], suspects: frozenset[str]) -> bool:
    """Whether an instance may inherit calls: up, warm, held, not evacuated, not suspect.

    Example:
        fit(placed, frozenset({placed.locality}), frozenset()) is False
    """
    return (
        placed.state == UP
        and placed.warm
        and placed.holder != ""
        and placed.locality not in evacuated
        and placed.id not in suspects
    )


def instanceLoad(placed: Placed, meanMilli: int, memoryMb: int, workerMb: int) -> float:
    """An instance's load on its worker in percent; one never reported counts as idle.

    Example:
        instanceLoad(placed, 2000, 512, 8192) == 100 * (2 / placed.limit) * 512 / 8192
    """
    return 100.0 * (meanMilli / 1000.0 / max(1, placed.limit)) * memoryMb / max(1, workerMb)


def picture(
    floor: Floor,
    table: Table,
    meanMilli: Mapping[str, int],
    seats: Mapping[str, WorkerSeat],
    evacuated: frozenset[str],
    suspects: frozenset[str],
    policy: PolicyPair,
) -> tuple[Picture, tuple[str, ...]]:
    """The picture that LAAF and ROME look at, and what programs failed on.

    Example:
        picture(NO_FLOOR, table, {}, {}, frozenset(), frozenset(), PolicyPair())[0].cuPct == ()
    """
    loads: dict[tuple[str, str], float] = {}
    sites: dict[str, dict[str, list[str]]] = {}
    for placed in floor.instances:
        service, seat = table.services.get(placed.service), seats.get(placed.worker)
        if service is None or seat is None:
            continue
        load = instanceLoad(placed, meanMilli.get(placed.id, 0), service.memoryMb, seat.memoryMb)
        key = (placed.service, placed.worker)
        if placed.state == UP:
            loads[key] = loads.get(key, 0.0) + load
        if fit(placed, evacuated, suspects):
            sites.setdefault(placed.service, {}).setdefault(placed.worker, []).append(placed.id)
    cu = {worker: 0.0 for worker in seats}
    for (_, worker), load in loads.items():
        cu[worker] += load
    functions = tuple(Function(s, w, round(loads[s, w], 3)) for s, w in sorted(loads))
    ranked = tuple(
        (s, tuple(Site(w, tuple(sorted(ids))) for w, ids in sorted(byWorker.items())))
        for s, byWorker in sorted(sites.items())
    )
    plain = Picture(tuple((w, round(cu[w], 3)) for w in sorted(cu)), functions, ranked)
    return _withPrograms(plain, floor, table, seats, policy)


def _withPrograms(
    plain: Picture,
    floor: Floor,
    table: Table,
    seats: Mapping[str, WorkerSeat],
    policy: PolicyPair,
) -> tuple[Picture, tuple[str, ...]]:
    faults: list[str] = []
    cu = dict(plain.cuPct)
    bias: list[tuple[str, str, float]] = []
    if policy.rank is not None:
        room = roomOf(seats, {p.id: p for p in floor.instances}, table.services, frozenset())
        load = {(f.service, f.worker): f.loadPct for f in plain.functions}
        for service, sites in plain.sites:
            for site in sites:
                fields = {
                    "cu": cu.get(site.worker, 0.0),
                    "load": load.get((service, site.worker), 0.0),
                    "memoryFreeMb": float(room.freeMb.get(site.worker, 0)),
                }
                key = policy.rank.number(fields)
                if isinstance(key, ProgramFault):
                    faults.append(f"rank {service}@{site.worker}: {key.reason}")
                else:
                    bias.append((service, site.worker, round(key, 3)))
    vetoes: list[tuple[str, str]] = []
    wishes: list[tuple[str, str]] = []
    if policy.shift is not None:
        for function in plain.functions:
            there = plain.sitesOf(function.service, function.worker)
            if not there:
                continue
            least = min(there, key=lambda s: (cu.get(s.worker, 0.0), s.worker)).worker
            same = seats[least].locality == seats[function.worker].locality
            said = policy.shift.number(
                {
                    "load": function.loadPct,
                    "euHere": cu[function.worker],
                    "euThere": cu.get(least, 0.0),
                    "overloaded": cu[function.worker] > table.thresholds.overloadPct,
                    "sameLocality": same,
                }
            )
            if isinstance(said, ProgramFault):
                faults.append(f"shift {function.service}@{function.worker}: {said.reason}")
            elif said < 0:
                vetoes.append((function.service, function.worker))
            elif said > 0:
                wishes.append((function.service, function.worker))
    full = Picture(
        plain.cuPct, plain.functions, plain.sites, tuple(bias), tuple(vetoes), tuple(wishes)
    )
    return full, tuple(faults)
