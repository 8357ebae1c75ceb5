"""What a planning pass looks at, and what it writes down."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from spokeroute.common.ids import (
    Address,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceName,
    WorkerId,
)
from spokeroute.common.places import Places
from spokeroute.common.switches import Switches
from spokeroute.dispatch.configuration.configuration import Table
from spokeroute.dispatch.flare.algorithms import Shift
from spokeroute.dispatch.placement.reports import Words
from spokeroute.dispatch.placement.table import Placed, PlacementTable
from spokeroute.dispatch.scaling.scaler import Demand, WorkerSeat


@dataclass(frozen=True, slots=True)
class Listed:
    """One instance as the platform lists it, by the platform's own name."""

    identity: str
    service: ServiceName
    worker: WorkerId
    address: Address
    state: str
    cold_remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """What the platform said of a start: its name for the instance and, perhaps, the address."""

    identity: str
    address: str


@dataclass(frozen=True, slots=True)
class Seen:
    """Everything that a planning pass looks at, besides the placement table."""

    now_ms: int
    table: Table
    evacuated: frozenset[str]
    seats: Mapping[WorkerId, WorkerSeat]
    listed: Mapping[str, Listed]  # by identity
    missing: Mapping[str, int]  # instance -> newer listings in a row without it
    demand: Mapping[str, Demand]
    suspects: frozenset[str]
    holders: Mapping[NodeId, Incarnation]  # live exchanges and their incarnations
    ready_ms: Mapping[str, int]  # instance without a holder -> when it may get a new one
    up_since_ms: Mapping[str, int]
    surplus_ms: Mapping[str, int]  # service -> since when it has too many
    cu_pct: Mapping[str, float]
    shifts: tuple[Shift, ...]
    avoid: frozenset[tuple[str, str]]  # (service, worker) that routing just left
    starts_left: int
    next_id: str
    answered: Mapping[str, Answered] = field(default_factory=dict)  # starts, by our id
    full: frozenset[str] = frozenset()  # starts that found no room
    full_workers: frozenset[str] = frozenset()
    words: Words = Words()  # what holders say of the instances they hold
    starting_ms: Mapping[str, int] = field(default_factory=dict)  # since when an instance starts
    zones: Mapping[str, str] = field(default_factory=dict)  # exchange -> its zone
    places: Places = Places()
    switches: Switches = Switches()
    addresses: Mapping[NodeId, Address] = field(default_factory=dict)  # of exchanges


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the ledger: its kind, what it looked at, what came of it."""

    kind: str
    inputs: dict[str, object]
    output: object


@dataclass(frozen=True, slots=True)
class Plan:
    """The next instances, the decisions behind them, and which services have too many."""

    instances: tuple[Placed, ...]
    decisions: tuple[Decision, ...]
    surplus: frozenset[str]


class Instances(dict[InstanceId, Placed]):
    """Instances by id, in order, that can be found by their service."""

    def __init__(self, instances: tuple[Placed, ...]) -> None:
        super().__init__()
        self._by_service: dict[str, dict[InstanceId, None]] = {}
        for placed in instances:
            self[placed.id] = placed

    def __setitem__(self, name: InstanceId, placed: Placed) -> None:
        super().__setitem__(name, placed)
        self._by_service.setdefault(placed.service, {})[name] = None

    def __delitem__(self, name: InstanceId) -> None:
        del self._by_service[self[name].service][name]
        super().__delitem__(name)

    def has(self, service: str) -> bool:
        """Whether a service has an instance.

        Example:
            >>> Instances(()).has("readings")
            False
        """
        return bool(self._by_service.get(service))

    def of(self, service: str) -> list[Placed]:
        """A service's instances, in order.

        Example:
            >>> Instances(()).of("readings")
            []
        """
        return [self[name] for name in self._by_service.get(service, ())]


class Pass:
    """A pass's workbook; it lives for one call of ``plan`` and no longer."""

    def __init__(self, placements: PlacementTable, seen: Seen) -> None:
        self.seen = seen
        self.now = Instances(placements.instances)
        self.decisions: list[Decision] = []
        self.surplus: set[str] = set()
        self.started = 0

    def say(self, kind: str, inputs: dict[str, object], output: object) -> None:
        """Add a decision to the ledger entries of this pass."""
        self.decisions.append(Decision(kind, inputs, output))

    def has(self, service: str) -> bool:
        """Whether a service has an instance, as this pass has them."""
        return self.now.has(service)

    def of(self, service: str) -> list[Placed]:
        """A service's instances, as this pass has them."""
        return self.now.of(service)

    def may_stand(self, service: str, zone: str) -> bool:
        """Whether a service's routes let its calls run in a zone, and their bodies go there."""
        allowed = self.seen.table.regions.get(service, frozenset())
        return self.seen.places.allows(allowed, zone)


def identity_of(placed: Placed) -> str:
    """The platform's name for an instance; ours where it was never told, as it takes ours then.

    Example:
        identity_of(placed) == placed.id
    """
    return placed.identity or placed.id
