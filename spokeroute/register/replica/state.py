"""State of the replica: local copies, proofs, and the notices to its listeners."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ballot, Ms, NodeId
from spokeroute.common.places import Places
from spokeroute.register.cells import Roster
from spokeroute.register.replica.compile_queue import CompileQueue
from spokeroute.register.replica.pending_probes import PendingProbes
from spokeroute.register.replica.report_changes import ReportChanges
from spokeroute.register.replica.value_requests import ValueRequests
from spokeroute.transport.messages import Copy, DemandReport, HeldReport, Took


@dataclass(frozen=True, slots=True)
class Reports:
    """From the call path: what the next probe reports to the core."""

    held: tuple[HeldReport, ...]
    demand: tuple[DemandReport, ...]
    took: tuple[Took, ...] = ()
    leaving: bool = False
    busy: tuple[str, ...] = ()
    probe_within_ms: int = 0  # while calls wait for an instance; 0: at the regular interval
    placement: NodeId = NodeId("")  # the placement holder, as far as this process knows


@dataclass(frozen=True, slots=True)
class FreshCopies:
    """To the listeners: these copies were the newest at ``as_of_ms``; ``absent`` instances are gone
    or about to go, according to a platform listing that some member has read since."""

    as_of_ms: Ms
    versions: Mapping[str, int]
    values: Mapping[str, bytes]
    table: object
    changed: bool
    absent: frozenset[str] = frozenset()
    number: int = 0  # the operator's number of the configuration
    configuration_ms: Ms = Ms(-1)  # when the configuration itself was the newest


@dataclass(frozen=True, slots=True)
class MajorityContact:
    """To the listeners: a majority of the core has been heard without interruption from
    ``since_ms`` to ``at_ms``, but the configuration is not proved to be the newest."""

    since_ms: Ms
    at_ms: Ms


@dataclass(frozen=True, slots=True)
class Answer:
    """A member's newest answer: the probe it belongs to, and the copies that it reported."""

    nonce: int
    sent_ms: Ms
    copies: tuple[Copy, ...]
    heard_ms: Ms


@dataclass(frozen=True, slots=True)
class Disagreement:
    """The newest ballot reported for a register on which members differ, and when it was first
    reported."""

    ballot: Ballot
    since_ms: Ms


@dataclass(frozen=True, slots=True)
class LocalCopy:
    """A copy whose value is stored locally."""

    copy: Copy
    value: bytes
    table: object = None


@dataclass(frozen=True, slots=True)
class PendingProof:
    """The copies on which a majority agreed as of ``asked_ms``. Each value comes into force as of
    that time once it is stored locally. Several pending proofs may wait for their values, because
    over a narrow link values arrive later than the answers to the next probes."""

    asked_ms: Ms
    copies: Map[str, Copy]


@dataclass(frozen=True, slots=True)
class State:
    """What this process has stored, and what it can prove about it."""

    listeners: tuple[str, ...]
    roster: Roster | None = None
    registries: tuple[NodeId, ...] = ()
    pending_probes: PendingProbes = PendingProbes()
    answers: Map[str, Answer] = field(default_factory=Map)  # by member
    contact_since_ms: Ms = Ms(-1)  # since when a majority is heard without interruption
    contact_notified_ms: Ms = Ms(-(10**6))
    nonce: int = 0
    next_probe_ms: Ms = Ms(0)
    in_force: Map[str, LocalCopy] = field(default_factory=Map)
    local_copies: Map[str, LocalCopy] = field(default_factory=Map)  # newest stored, proved or not
    older_copies: Map[str, tuple[LocalCopy, ...]] = field(default_factory=Map)  # newest last
    agreed: Map[str, Copy] = field(default_factory=Map)  # on which a majority last agreed
    pending_proofs: tuple[PendingProof, ...] = ()  # since the newest proof, oldest first
    proved_ms_by_register: Map[str, Ms] = field(default_factory=Map)
    proved_ms: Ms = Ms(-1)  # the earliest of those times; -1 until every register is proved
    reports: Reports = Reports((), ())
    disagreements: Map[str, Disagreement] = field(default_factory=Map)  # by register
    reconnected_ms: Ms = Ms(-(10**6))  # when members answered again after none had
    value_requests: ValueRequests = ValueRequests()
    report_changes: ReportChanges = ReportChanges()
    compile_queue: CompileQueue = CompileQueue()
    last_probe_ms: Ms = Ms(0)
    last_turn_ms: Ms = Ms(-(10**6))  # when more members were last probed than a proof needs
    last_full_probe_ms: Ms = Ms(-(10**6))  # when all members were last probed
    absent_by_member: Map[str, tuple[Ms, tuple[str, ...]]] = field(default_factory=Map)
    bounds: Bounds = Bounds()
    proof_overdue: bool = False  # the newest proof is older than the lease, which was logged
    late_answers: int = 0  # answers to probes that are no longer kept
    agreed_ms: Map[str, Ms] = field(default_factory=Map)  # as of when, by register
    address: str = ""
    places: Places = Places()
    zones: Map[str, str] = field(default_factory=Map)  # of the known registries
    # In a core node: no placement table comes into force with an older configuration.
    floor_needs_configuration: bool = False

    @property
    def latest_agreed_ms(self) -> Ms:
        """The time as of which a majority last agreed on every register; -1 before the first time.

        Example:
            >>> State(()).latest_agreed_ms
            -1
        """
        return self.pending_proofs[-1].asked_ms if self.pending_proofs else self.proved_ms
