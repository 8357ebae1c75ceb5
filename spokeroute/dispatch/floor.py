"""The floor: which instances may be sent to, and which exchange holds each."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, fields
from typing import Any

from spokeroute.dial.ids import (
    Address,
    Incarnation,
    InstanceId,
    LocalityName,
    NodeId,
    ServiceName,
    Term,
    WorkerId,
)

STARTING = "starting"
UP = "up"
DRAINING = "draining"
STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Placed:
    """One instance as the floor has it. An empty holder waits for a new one."""

    id: InstanceId
    service: ServiceName
    worker: WorkerId
    locality: LocalityName
    address: Address
    limit: int
    state: str
    warm: bool
    routed: bool
    holder: NodeId
    holderIncarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Floor:
    """All instances, under the term of the placement holder that wrote them."""

    term: Term
    sequence: int
    instances: tuple[Placed, ...]

    def of(self, service: str) -> tuple[Placed, ...]:
        """A service's instances, in floor order.

        Example:
            Floor(1, 1, ()).of("readings") == ()
        """
        return tuple(p for p in self.instances if p.service == service)


NO_FLOOR = Floor(Term(0), 0, ())
_NAMES = tuple(f.name for f in fields(Placed))


def packFloor(floor: Floor) -> bytes:
    """A floor as a register's value.

    Example:
        >>> unpackFloor(packFloor(NO_FLOOR)) == NO_FLOOR
        True
    """
    rows = [[getattr(p, n) for n in _NAMES] for p in floor.instances]
    doc = json.dumps([floor.term, floor.sequence, rows], separators=(",", ":"))
    return zlib.compress(doc.encode(), 1)


def unpackFloor(value: bytes) -> Floor:
    """A register's value as a floor.

    Example:
        >>> unpackFloor(b"").term
        0
    """
    if not value:
        return NO_FLOOR
    raw: Any = json.loads(zlib.decompress(value))
    return Floor(raw[0], raw[1], tuple(Placed(*row) for row in raw[2]))


@dataclass(frozen=True, slots=True)
class FloorSwap:
    """Write a floor if the register stands where the writer saw it, under no older term.

    Example:
        FloorSwap(0, 1, b"x").decide(0, b"") == b"x"
    """

    expect: int
    term: int
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The new floor, unless a newer term wrote since.

        Example:
            FloorSwap(1, 1, b"x").decide(2, packFloor(NO_FLOOR)) is None
        """
        if version != self.expect or unpackFloor(value).term > self.term:
            return None
        return self.value


def packEvacuated(localities: frozenset[str]) -> bytes:
    """Evacuated localities as a register's value.

    Example:
        >>> unpackEvacuated(packEvacuated(frozenset({"north"})))
        frozenset({'north'})
    """
    return json.dumps(sorted(localities)).encode()


def unpackEvacuated(value: bytes) -> frozenset[str]:
    """A register's value as evacuated localities.

    Example:
        >>> unpackEvacuated(b"")
        frozenset()
    """
    return frozenset(json.loads(value)) if value else frozenset()


@dataclass(frozen=True, slots=True)
class Mark:
    """Evacuate or restore one locality, whatever the others are.

    Example:
        Mark("north", True).decide(0, b"") == b'["north"]'
    """

    locality: str
    out: bool

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The new marks, or None where they stand already.

        Example:
            Mark("north", False).decide(0, b"") is None
        """
        now = unpackEvacuated(value)
        new = now | {self.locality} if self.out else now - {self.locality}
        return None if new == now else packEvacuated(new)
