"""The inputs, the working state and the result of a planning pass."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from spokeroute.common.bounds import Bounds
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
from spokeroute.dispatch.placement.reports import HolderStatus
from spokeroute.dispatch.placement.table import Placed, PlacementTable
from spokeroute.dispatch.scaling.sizing import Demand, ListedWorker


@dataclass(frozen=True, slots=True)
class Listed:
    """One instance in the platform's listing, under the platform's own id."""

    identity: str
    service: ServiceName
    worker: WorkerId
    address: Address
    state: str
    cold_remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """The platform's answer to a start: its id for the instance and, if known, the address."""

    identity: str
    address: str


@dataclass(frozen=True, slots=True)
class Seen:
    """All inputs of a planning pass besides the placement table."""

    now_ms: int
    table: Table
    evacuated: frozenset[str]
    workers: Mapping[WorkerId, ListedWorker]
    listed: Mapping[str, Listed]  # by identity
    missing: Mapping[str, int]  # instance -> consecutive newer listings without it
    demand: Mapping[str, Demand]
    suspects: frozenset[str]
    holders: Mapping[NodeId, Incarnation]  # live exchanges
    ready_ms: Mapping[str, int]  # instance without a holder -> earliest reassignment
    up_since_ms: Mapping[str, int]
    surplus_ms: Mapping[str, int]  # service -> since when it has a surplus
    cu_pct: Mapping[str, float]
    shifts: tuple[Shift, ...]
    avoid: frozenset[tuple[str, str]]  # (service, worker) shifted recently
    starts_left: int
    next_id: str
    answered: Mapping[str, StartAnswer] = field(default_factory=dict)  # starts, by spokeroute's id
    full: frozenset[str] = frozenset()  # starts refused for lack of room
    full_workers: frozenset[str] = frozenset()
    holder_status: HolderStatus = HolderStatus()  # as reported by the instances' holders
    starting_ms: Mapping[str, int] = field(default_factory=dict)  # instance -> when its start began
    zones: Mapping[str, str] = field(default_factory=dict)  # exchange -> zone
    places: Places = Places()
    switches: Switches = Switches()
    addresses: Mapping[NodeId, Address] = field(default_factory=dict)  # of exchanges
    bounds: Bounds = Bounds()


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the ledger: its kind, its inputs and its result."""

    kind: str
    inputs: dict[str, object]
    output: object


@dataclass(frozen=True, slots=True)
class Plan:
    """The next instances, the decisions that led to them, and the services with a surplus."""

    instances: tuple[Placed, ...]
    decisions: tuple[Decision, ...]
    surplus: frozenset[str]


class Instances(dict[InstanceId, Placed]):
    """Instances by id, in insertion order, indexed by service."""

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
        """The instances of a service, in order.

        Example:
            >>> Instances(()).of("readings")
            []
        """
        return [self[name] for name in self._by_service.get(service, ())]


class PlanningPass:
    """The working state of one call of ``plan``."""

    def __init__(self, placements: PlacementTable, seen: Seen) -> None:
        self.seen = seen
        self.instances = Instances(placements.instances)
        self.decisions: list[Decision] = []
        self.surplus: set[str] = set()
        self.started = 0

    def record_decision(self, kind: str, inputs: dict[str, object], output: object) -> None:
        """Add a decision to the ledger entries of this pass."""
        self.decisions.append(Decision(kind, inputs, output))

    def has(self, service: str) -> bool:
        """Whether a service has an instance at this point of the pass."""
        return self.instances.has(service)

    def of(self, service: str) -> list[Placed]:
        """The instances of a service at this point of the pass."""
        return self.instances.of(service)

    def zone_allowed(self, service: str, zone: str) -> bool:
        """Whether the service's routes allow calls and their bodies in a zone."""
        allowed = self.seen.table.regions.get(service, frozenset())
        return self.seen.places.allows(allowed, zone)


def identity_of(placed: Placed) -> str:
    """The platform's id of an instance; spokeroute's id if the platform gave none.

    Example:
        identity_of(placed) == placed.id
    """
    return placed.identity or placed.id
