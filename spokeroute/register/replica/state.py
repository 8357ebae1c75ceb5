"""What a process holds of the spread registers, what it can prove, and what it tells of it."""

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
    """From the calls' core: what goes to the core with the next probe."""

    held: tuple[HeldReport, ...]
    demand: tuple[DemandReport, ...]
    took: tuple[Took, ...] = ()
    leaving: bool = False
    busy: tuple[str, ...] = ()
    probe_within_ms: int = (
        0  # calls wait for an instance: the next probe comes this soon; 0: in turn
    )
    placement: NodeId = NodeId("")  # the member that places, as far as this process knows


@dataclass(frozen=True, slots=True)
class FreshCopies:
    """To whoever decides: these copies were the newest at ``as_of_ms``; ``absent`` instances
    are gone or going by a listing that some member read since."""

    as_of_ms: Ms
    versions: Mapping[str, int]
    values: Mapping[str, bytes]
    table: object
    changed: bool
    absent: frozenset[str] = frozenset()
    number: int = 0  # the operator's, of the configuration
    configuration_ms: Ms = Ms(-1)  # when the configuration itself was the newest


@dataclass(frozen=True, slots=True)
class MajorityContact:
    """To whoever decides: a majority of the core is heard since ``since_ms`` without a gap, and was
    at ``at_ms``, but the configuration is not proved to be the newest."""

    since_ms: Ms
    at_ms: Ms


@dataclass(frozen=True, slots=True)
class Answer:
    """A member's newest answer: to which question, sent when, and the copies that it named."""

    nonce: int
    sent_ms: Ms
    copies: tuple[Copy, ...]
    heard_ms: Ms


@dataclass(frozen=True, slots=True)
class Disagreement:
    """A register on which members differ: the newest ballot named, and since when none is newer."""

    ballot: Ballot
    since_ms: Ms


@dataclass(frozen=True, slots=True)
class LocalCopy:
    """A copy that is here."""

    copy: Copy
    value: bytes
    table: object = None


@dataclass(frozen=True, slots=True)
class PendingProof:
    """What a majority named in answer to one question: each value rules from ``asked_ms`` on, once
    it is here. Several may wait for their values, as those come over a narrow link later than the
    answers to the next questions."""

    asked_ms: Ms
    copies: Map[str, Copy]


@dataclass(frozen=True, slots=True)
class State:
    """What this process holds and what it can prove."""

    listeners: tuple[str, ...]
    roster: Roster | None = None
    registries: tuple[NodeId, ...] = ()
    questions: PendingProbes = PendingProbes()
    answers: Map[str, Answer] = field(default_factory=Map)  # by member
    contact_ms: Ms = Ms(-1)  # since when a majority of them is heard without a gap
    told_contact_ms: Ms = Ms(-(10**6))
    nonce: int = 0
    next_ms: Ms = Ms(0)
    in_force: Map[str, LocalCopy] = field(default_factory=Map)
    local_copies: Map[str, LocalCopy] = field(
        default_factory=Map
    )  # newest fetched, perhaps not yet proved
    before: Map[str, tuple[LocalCopy, ...]] = field(
        default_factory=Map
    )  # here before them, newest last
    named: Map[str, Copy] = field(default_factory=Map)  # what a majority named alike last
    pending_proofs: tuple[PendingProof, ...] = ()  # since the newest proof, oldest first
    proved_of: Map[str, Ms] = field(default_factory=Map)  # by register
    proved_ms: Ms = Ms(-1)  # the earliest of them, once there is one of each
    reports: Reports = Reports((), ())
    disagreements: Map[str, Disagreement] = field(
        default_factory=Map
    )  # registers on which members differ
    back_ms: Ms = Ms(-(10**6))  # when members answered again after a silence of all of them
    value_requests: ValueRequests = ValueRequests()
    changes: ReportChanges = ReportChanges()
    compiles: CompileQueue = CompileQueue()
    probed_ms: Ms = Ms(0)  # when the last probe went out
    turn_ms: Ms = Ms(-(10**6))  # when more were asked last than make a proof
    all_probed_ms: Ms = Ms(-(10**6))  # when all members were asked last
    absent_of: Map[str, tuple[Ms, tuple[str, ...]]] = field(default_factory=Map)  # by member
    bounds: Bounds = Bounds()
    overdue: bool = False  # the newest proof is older than the lease, and this was noted
    late_answers: int = 0  # that came to questions which are not kept any more
    named_ms: Map[str, Ms] = field(default_factory=Map)  # when each register was agreed on last
    address: str = ""
    places: Places = Places()
    zones: Map[str, str] = field(default_factory=Map)  # of the registries that are known
    floor_needs_configuration: bool = (
        False  # who places: no placement table rules beside an older configuration
    )

    @property
    def latest_agreed_ms(self) -> Ms:
        """When the newest question was asked that a majority answered alike; -1 before the first.

        Example:
            >>> State(()).latest_agreed_ms
            -1
        """
        return self.pending_proofs[-1].asked_ms if self.pending_proofs else self.proved_ms
