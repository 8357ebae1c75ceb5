"""What a hollow fleet is made of at a given size, and which sizes fit into this machine."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from functools import cache

from immutables import Map

from spokeroute.common.ids import (
    CONFIGURATION,
    FLOOR,
    Address,
    Ballot,
    Epoch,
    Incarnation,
    InstanceId,
    MemberId,
    NodeId,
    RegisterName,
    ServiceName,
    Term,
    WorkerId,
    ZoneName,
)
from spokeroute.dispatch.configuration import pack_configuration
from spokeroute.dispatch.models import Configuration, Route, Service
from spokeroute.dispatch.placement_table import UP, Floor, Placed, pack_floor
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.disk import Loaded

ZONES = ("north", "centre", "south", "east", "west")
REGION_OF = {"north": "a", "centre": "a", "south": "a", "east": "b", "west": "b"}
SERVICE_MB = 128
LIMIT = 4
HUBS = 2  # nodes that hold what the ordinary ones do not
MOST_MB = 8_192
MOST_WORKER_S = 600.0
SETTLE_S = 3.0


class SizeError(Exception):
    """A size that does not fit; the message says what would."""


@dataclass(frozen=True, slots=True)
class Size:
    """One hollow fleet and what happens in it. ``nodes`` are exchanges, each on a worker."""

    nodes: int = 8
    registries: int = 5
    functions: int = 200
    instances: int = 400
    held: int = -1  # instances held by each ordinary node; -1: all nodes share alike
    each: int = 16  # instances of a function that is awake
    calls_per_s: float = 0.0
    applies: int = 0  # whole configurations handed over in the measured time
    churn_per_s: float = 0.0  # instances that fail, and are started elsewhere
    wakes_per_s: float = 0.0  # calls to functions that have no instance
    keyed_per_s: float = 0.0  # once-only calls with a key of their own
    seconds: float = 5.0
    seed: int = 1

    @property
    def awake(self) -> int:
        """How many functions have instances."""
        return max(1, min(self.functions, -(-self.instances // self.each)))

    @property
    def ordinary_held(self) -> float:
        """Instances held by an ordinary node."""
        return float(self.held) if self.held >= 0 else self.instances / self.nodes


def needed_mb(size: Size) -> float:
    """Memory of one worker process for this fleet, roughly and rather too much.

    Example:
        >>> needed_mb(Size()) < 300
        True
    """
    copies = size.nodes + 2 * size.registries
    by_instance = 1.6e-3 * copies + 2.0e-3
    by_function = 2.0e-3 * copies
    return 90 + 0.35 * copies + by_instance * size.instances + by_function * size.functions


def needed_s(size: Size) -> float:
    """Processor seconds of one worker process for this fleet, roughly and rather too much.

    Example:
        >>> needed_s(Size()) < 60
        True
    """
    passes_s = 10 * (size.instances * size.functions * 1.3e-7 + size.instances * 4e-5)
    passes_s += 10 * size.functions * 2e-5
    nodes_s = size.nodes * (0.02 + 0.004 * size.registries)
    held_s = size.instances * 1.2e-4
    listing_s = 2.5 * size.registries * size.instances * 1e-5
    floors_s = (
        4
        * min(2.0, size.churn_per_s + size.wakes_per_s)
        * (size.instances * (size.nodes + size.registries) * 2.5e-5)
    )
    running_s = passes_s + nodes_s + held_s + listing_s + floors_s + size.calls_per_s * 2e-3
    running_s += size.keyed_per_s * 1e-2
    copies = size.nodes + size.registries
    building_s = copies * (size.instances * 3e-5 + size.functions * 3e-5)
    building_s += size.applies * copies * size.functions * 3e-5
    return 3 + building_s + running_s * (SETTLE_S + size.seconds)


def fits(size: Size) -> bool:
    """Whether one worker process can run it within the bounds of this tool.

    Example:
        >>> fits(Size()), fits(Size(nodes=930, instances=220_000, functions=36_000))
        (True, False)
    """
    return needed_mb(size) <= MOST_MB and needed_s(size) <= MOST_WORKER_S


def _most(size: Size, name: str, now: int) -> int:
    """The largest value of one field under ``now`` that fits, the others as they are."""
    low, high = 0, now
    while low < high:
        middle = (low + high + 1) // 2
        if fits(replace(size, **{name: middle})):
            low = middle
        else:
            high = middle - 1
    return low


def check(size: Size) -> None:
    """Refuse a size that can't be, or does not fit, and say what would.

    Example:
        check(Size(nodes=930, instances=220_000))  # raises SizeError
    """
    if size.nodes < HUBS + 1 or size.registries < 1 or size.functions < 1 or size.instances < 1:
        raise SizeError(
            f"too small: at least {HUBS + 1} nodes, a registry, a function, an instance"
        )
    if size.instances > size.functions * 200:
        raise SizeError(
            f"{size.instances} instances of {size.functions} functions: a function has at most "
            f"200; fits: --functions {-(-size.instances // 200)}"
        )
    if size.seconds <= 0:
        raise SizeError("the measured time must be above 0: --seconds 5")
    if fits(size):
        return
    said = f"needs {needed_mb(size):.0f} MB and {needed_s(size):.0f} s of one process; "
    said += f"allowed are {MOST_MB} MB and {MOST_WORKER_S:.0f} s"
    options = [
        f"--{name} {most}"
        for name in ("nodes", "instances", "functions")
        if (most := _most(size, name, getattr(size, name))) > HUBS
    ]
    if size.seconds > 1 and fits(replace(size, seconds=1.0)):
        options.append("--seconds 1")
    if options:
        raise SizeError(f"{said}; fits, the rest as it is: {' or '.join(options)}")
    parts = next((k for k in range(2, 100_000) if fits(_share(size, k))), 0)
    small = _share(size, parts or 100_000)
    raise SizeError(
        f"{said}; no one number makes it fit; fits: --nodes {small.nodes} --instances "
        f"{small.instances} --functions {small.functions}"
    )


def _share(size: Size, parts: int) -> Size:
    """A fleet of the same shape, so many times smaller."""
    return replace(
        size,
        nodes=max(HUBS + 1, size.nodes // parts),
        instances=max(1, size.instances // parts),
        functions=max(1, size.functions // parts),
        calls_per_s=size.calls_per_s / parts,
    )


@cache
def _mark(number: int) -> str:
    """Digits that a packer can't guess, as operators' own names have."""
    return f"{random.Random(f'mark/{number}').getrandbits(32):08x}"


def service_name(number: int) -> str:
    """A function's name.

    Example:
        >>> service_name(7)[:8]
        'fn-00007'
    """
    return f"fn-{number:05d}-{_mark(number)[:6]}"


def path_of(number: int) -> str:
    """A function's path.

    Example:
        >>> path_of(7)[:3]
        '/f/'
    """
    return f"/f/{_mark(number)}/{number}"


def zone_of(number: int) -> str:
    """The zone of the node, worker or registry of a number.

    Example:
        >>> zone_of(6)
        'centre'
    """
    return ZONES[number % len(ZONES)]


def configuration_of(size: Size, note: str = "") -> Configuration:
    """The whole configuration: each function a route; those awake have a least number.

    Example:
        >>> len(configuration_of(Size(functions=3)).services)
        3
    """
    services: list[Service] = []
    routes: list[Route] = []
    rng = random.Random(f"configuration/{size.seed}")
    for number in range(size.functions):
        services.append(
            Service(
                service_name(number), SERVICE_MB, LIMIT, cold_ms=1_000,
                start_ms=rng.randrange(100, 900), longest_run_ms=rng.randrange(1_000, 2_000),
                min_instances=counts_of(size, number), spares=0,
            )
        )  # fmt: skip
        routes.append(
            Route(path_of(number), service_name(number), ("GET", "POST"), True, 1e5,
                  aim_ms=rng.randrange(200, 900))
        )  # fmt: skip
    return Configuration(ZONES, tuple(services), tuple(routes), name=f"hollow {note}")


def counts_of(size: Size, number: int) -> int:
    """How many instances a function has.

    Example:
        >>> [counts_of(Size(functions=4, instances=5, each=2), n) for n in range(4)]
        [2, 2, 1, 0]
    """
    awake = size.awake
    if number >= awake:
        return 0
    return size.instances // awake + (1 if number < size.instances % awake else 0)


def node_name(number: int) -> str:
    """An exchange's name.

    Example:
        >>> node_name(0)
        'ex0001'
    """
    return f"ex{number + 1:04d}"


def worker_name(number: int) -> str:
    """A worker's name.

    Example:
        >>> worker_name(0)
        'w0001'
    """
    return f"w{number + 1:04d}"


def incarnations(size: Size) -> tuple[Incarnation, ...]:
    """What each exchange draws at its start; as long as a real one's.

    Example:
        >>> len(incarnations(Size(nodes=4)))
        4
    """
    rng = random.Random(f"incarnations/{size.seed}")
    return tuple(Incarnation(rng.getrandbits(47) | 1 << 46) for _ in range(size.nodes))


def holders_of(size: Size) -> tuple[int, ...]:
    """The number of the exchange that holds each instance, in floor order.

    Example:
        >>> holders_of(Size(nodes=4, instances=4))
        (0, 1, 2, 3)
        >>> holders_of(Size(nodes=4, instances=4, held=1))
        (0, 1, 2, 3)
        >>> holders_of(Size(nodes=4, instances=6, held=0))
        (2, 3, 2, 3, 2, 3)
    """
    if size.held < 0:
        return tuple(i % size.nodes for i in range(size.instances))
    ordinary = size.nodes - HUBS
    theirs = min(size.instances, ordinary * size.held)
    out = [i % ordinary for i in range(theirs)]
    out.extend(ordinary + i % HUBS for i in range(size.instances - theirs))
    return tuple(out)


def exchange_address(number: int) -> Address:
    """Where an exchange listens for its peers.

    Example:
        >>> exchange_address(257)
        '10.1.1.1:7000'
    """
    return Address(f"10.1.{number // 256}.{number % 256}:7000")


@cache
def floor_of(size: Size) -> Floor:
    """Every instance up, warm, routed and held; in no order that a packer could use.

    Example:
        >>> len(floor_of(Size(instances=7)).instances)
        7
    """
    born, holders = incarnations(size), holders_of(size)
    rng = random.Random(f"floor/{size.seed}")
    placed: list[Placed] = []
    for service in range(size.awake):
        name = service_name(service)
        for _ in range(counts_of(size, service)):
            number = len(placed)
            holder, worker = holders[number], number % size.nodes
            host = f"10.{rng.randrange(64, 128)}.{rng.randrange(256)}.{rng.randrange(256)}"
            placed.append(
                Placed(
                    id=InstanceId(f"{name}-{rng.randrange(1, 30)}-{number}-{rng.randrange(1, 9)}"),
                    service=ServiceName(name), worker=WorkerId(worker_name(worker)),
                    zone=ZoneName(zone_of(worker)),
                    address=Address(f"{host}:{rng.randrange(20_000, 60_000)}"), limit=LIMIT,
                    state=UP, warm=True, routed=True, holder=NodeId(node_name(holder)),
                    holder_incarnation=born[holder], holder_address=exchange_address(holder),
                )
            )  # fmt: skip
    rng.shuffle(placed)
    return Floor(Term(0), 1, tuple(placed))


def member_name(number: int) -> str:
    """A registry's member id, as long as a real one.

    Example:
        >>> member_name(0)
        'm-000000000001'
    """
    return f"m-{number + 1:012d}"


def registry_address(number: int) -> Address:
    """Where a registry listens.

    Example:
        >>> registry_address(0)
        '10.0.0.1:7000'
    """
    return Address(f"10.0.0.{number + 1}:7000")


@cache
def _values(size: Size) -> tuple[tuple[RegisterName, bytes], ...]:
    configuration = pack_configuration(configuration_of(size), "0123456789abcdef")
    return ((CONFIGURATION, configuration), (FLOOR, pack_floor(floor_of(size))))


def loaded_of(size: Size, number: int) -> Loaded:
    """The disk of a registry in a fleet that has run before: roster, configuration and floor
    chosen at one ballot.

    Example:
        >>> loaded_of(Size(), 0).votes
        True
    """
    members = tuple((MemberId(member_name(i)), registry_address(i)) for i in range(size.registries))
    ballot = Ballot(1, members[0][0])
    cells: dict[str, Cell] = {}
    for name, value in _values(size):
        own = bytes(bytearray(value))  # each disk has its own
        cells[name] = Cell(ballot, ballot, 1, digest_of(own), own)
    return Loaded(MemberId(member_name(number)), Roster(Epoch(1), members), True, Map(cells))
