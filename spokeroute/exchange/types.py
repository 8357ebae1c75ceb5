"""What the call path is made of: calls, tries, and the jobs and reports of its edge."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.dial.effects import SlotId
from spokeroute.dial.ids import (
    Address,
    CallId,
    Incarnation,
    InstanceId,
    Ms,
    NodeId,
    ServiceName,
    TryId,
    WorkerId,
)
from spokeroute.dispatch.desired import Lane, Service, Table
from spokeroute.dispatch.floor import NO_FLOOR, Floor, Placed, unpackEvacuated, unpackFloor
from spokeroute.register.copies import LEASE_MS, Fresh
from spokeroute.trunk.messages import Pairs

FRESH_MARGIN_MS = 50
LISTS_AGE_MS = 5_000


@dataclass(frozen=True, slots=True)
class CallIn:
    """A fully read call from a caller. ``waitedMs`` of its wait was spent before."""

    slot: SlotId
    callId: CallId
    agent: str
    method: str
    path: str
    query: str
    headers: Pairs
    body: bytes
    wait: str
    key: str
    waitedMs: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""

    slot: SlotId


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process was asked to stop: no new calls; open ones end in time."""


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The connection to a colleague broke: ferries on it may be lost."""

    node: str


@dataclass(frozen=True, slots=True)
class SendTry:
    """Hand one call to one instance; bytes go only while the token and ``goodUntilMs`` hold."""

    tryId: TryId
    instance: InstanceId
    service: ServiceName
    address: Address
    method: str
    path: str
    headers: Pairs
    body: bytes
    deadlineMs: Ms
    goodUntilMs: Ms


@dataclass(frozen=True, slots=True)
class Revoke:
    """Take a try's send token away; a TryDone that says `no` follows if it was still there."""

    tryId: TryId


@dataclass(frozen=True, slots=True)
class TryDone:
    """How a try at an instance ended."""

    tryId: TryId
    ran: str
    reason: str
    status: int = 0
    headers: Pairs = ()
    body: bytes = b""
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class Tables:
    """The proved copies that a process decides by, swapped whole."""

    provedMs: Ms = Ms(-(10**9))
    table: Table | None = None
    floor: Floor = NO_FLOOR
    byService: Map[str, tuple[Placed, ...]] = field(default_factory=Map)
    byId: Map[str, Placed] = field(default_factory=Map)
    evacuated: frozenset[str] = frozenset()

    def fresh(self, nowMs: int) -> bool:
        """Whether the copies are proved newest within the lease.

        Example:
            >>> Tables().fresh(0)
            False
        """
        return self.table is not None and nowMs < self.provedMs + LEASE_MS - FRESH_MARGIN_MS


def freshTables(old: Tables, fresh: Fresh) -> Tables:
    """The next tables: a new proof, and new tables where the copies changed.

    Example:
        freshTables(Tables(), fresh).provedMs == fresh.asOfMs
    """
    if not fresh.changed:
        return Tables(fresh.asOfMs, old.table, old.floor, old.byService, old.byId, old.evacuated)
    floor = unpackFloor(fresh.values.get("floor", b""))
    byService: dict[str, list[Placed]] = {}
    for placed in floor.instances:
        byService.setdefault(placed.service, []).append(placed)
    return Tables(
        fresh.asOfMs,
        fresh.table if isinstance(fresh.table, Table) else None,
        floor,
        Map({s: tuple(p) for s, p in byService.items()}),
        Map({p.id: p for p in floor.instances}),
        unpackEvacuated(fresh.values.get("evacuation", b"")),
    )


@dataclass(frozen=True, slots=True)
class Try:
    """One hand-over of a call towards an instance."""

    instance: InstanceId
    worker: WorkerId
    holder: NodeId
    holderIncarnation: Incarnation
    sentMs: Ms


@dataclass(frozen=True, slots=True)
class Call:
    """A call between its reading and its verdict: the continuation in its slot."""

    ask: CallIn
    lane: Lane
    service: Service
    startMs: Ms
    deadlineMs: Ms
    phase: str  # claiming, holding, trying, freeing
    nextMs: Ms
    once: bool
    fingerprint: str = ""
    claimed: bool = False
    claimOp: str = ""
    claimMs: Ms = Ms(0)
    claimAsks: int = 0
    tries: Map[str, Try] = field(default_factory=Map)  # under way
    failed: tuple[Try, ...] = ()  # ended without a verdict
    draws: int = 0
    maybe: bool = False
    touched: frozenset[str] = frozenset()  # instances that were dialled or may have been
    why: str = ""
    goneMs: Ms = Ms(-1)


__all__ = ["Call", "CallIn", "Tables", "Try"]
