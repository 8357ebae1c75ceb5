"""How many instances a service should have, and where. Pure; the ledger replays it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.dial.ids import InstanceId, LocalityName, WorkerId
from spokeroute.dispatch.desired import Service
from spokeroute.dispatch.floor import STARTING, UP, Placed

FILL = 0.75
DECAY_MS = 10_000
MOST_PER_SERVICE = 200


@dataclass(frozen=True, slots=True)
class Demand:
    """What a service's callers ask for, smoothed: up at once, down slowly."""

    level: float = 0.0
    waiting: int = 0
    lastArrivalMs: int = -(10**9)


@dataclass(frozen=True, slots=True)
class WorkerSeat:
    """A worker as the platform lists it."""

    id: WorkerId
    locality: LocalityName
    memoryMb: int
    draining: bool = False  # the platform empties it: nothing is placed or kept there


def smooth(old: Demand, inFlight: int, waiting: int, arrived: int, nowMs: int, dtMs: int) -> Demand:
    """Fold the newest reports in.

    Example:
        >>> smooth(Demand(), 3, 1, 1, 0, 100).level
        4.0
    """
    fallen = old.level * max(0.0, 1.0 - dtMs / DECAY_MS)
    level = max(float(inFlight + waiting), fallen)
    lastMs = nowMs if arrived or inFlight or waiting else old.lastArrivalMs
    return Demand(level, waiting, lastMs)


def wantedOf(service: Service, demand: Demand, have: int, nowMs: int) -> int:
    """How many instances should take a service's calls.

    Growth is held to twice what is there plus two at a time, since what waits drains while
    the starts run.

    Example:
        >>> wantedOf(Service("s", 128, 4), Demand(9.0, 0, 0), 1, 0)
        3
    """
    idle = nowMs - demand.lastArrivalMs > service.idleMs
    if idle and service.minInstances == 0:
        return 0
    need = math.ceil(demand.level / (service.limit * FILL) - 1e-9)
    floorCount = max(1 if not idle else 0, service.minInstances)
    return min(max(need, floorCount), max(2 * have + 2, floorCount), MOST_PER_SERVICE)


@dataclass(frozen=True, slots=True)
class Room:
    """Free memory by worker, as the floor has it."""

    freeMb: Mapping[WorkerId, int]
    seats: Mapping[WorkerId, WorkerSeat]

    def spareAllowed(self, memoryMb: int) -> bool:
        """A spare may be started only while one worker's worth of memory stays free.

        Example:
            Room({}, {}).spareAllowed(128) is False
        """
        if not self.seats:
            return False
        largest = max(s.memoryMb for s in self.seats.values())
        return sum(max(0, f) for f in self.freeMb.values()) - memoryMb >= largest


def roomOf(
    seats: Mapping[WorkerId, WorkerSeat],
    instances: Mapping[InstanceId, Placed],
    services: Mapping[str, Service],
    evacuated: frozenset[str],
) -> Room:
    """Free memory on workers that may be placed on.

    Example:
        roomOf({}, {}, {}, frozenset()).freeMb == {}
    """
    free = {
        s.id: s.memoryMb for s in seats.values() if s.locality not in evacuated and not s.draining
    }
    for placed in instances.values():
        if placed.worker in free:
            service = services.get(placed.service)
            free[placed.worker] -= service.memoryMb if service else 512
    return Room(free, seats)


def bestWorker(
    room: Room, memoryMb: int, near: tuple[Placed, ...], cuPct: Mapping[str, float]
) -> WorkerId | None:
    """The worker for a start: fewest of the service there, then in its locality, then the
    most free memory, then the least load.

    Example:
        bestWorker(Room({}, {}), 128, (), {}) is None
    """
    best: tuple[tuple[int, int, int, float, str], WorkerId] | None = None
    for worker, freeMb in room.freeMb.items():
        if freeMb < memoryMb:
            continue
        locality = room.seats[worker].locality
        same = sum(1 for p in near if p.worker == worker)
        sameLocality = sum(1 for p in near if p.locality == locality)
        key = (same, sameLocality, -(freeMb // 256), cuPct.get(worker, 0.0), worker)
        if best is None or key < best[0]:
            best = (key, worker)
    return best[1] if best else None


def counted(placed: Placed, evacuated: frozenset[str], suspects: frozenset[str]) -> bool:
    """Whether an instance counts as there: up or starting, not evacuated, not suspect.

    Example:
        counted(placed, frozenset(), frozenset({placed.id})) is False
    """
    return (
        placed.state in (STARTING, UP)
        and placed.locality not in evacuated
        and placed.id not in suspects
    )
