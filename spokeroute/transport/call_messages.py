"""Messages between exchanges about calls: forwards, their answers and free capacity."""

from __future__ import annotations

from dataclasses import dataclass

Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Forward:
    """A call for an instance that the receiver holds, with the remaining wait time."""

    attempt_id: str
    service: str
    instance: str
    holder_incarnation: int
    method: str
    path: str
    headers: Pairs
    body: bytes
    wait_left_ms: int
    caller_attempt: str  # the caller's own id for the attempt; empty if not given
    tenant: str = ""  # tenant on whose behalf the call runs; empty if none
    rank: int = 0  # priority; 0 is the most urgent
    guest: bool = False  # only for this process; no live exchange holds the instance


@dataclass(frozen=True, slots=True)
class ForwardDrop:
    """Drop the attempt unless it was sent: the caller is gone or its wait has expired."""

    attempt_id: str
    queued_only: bool = False  # another instance has capacity: drop only if still queued


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Result of a forwarded attempt; ``ran`` is no, maybe or yes."""

    attempt_id: str
    ran: str
    reason: str
    status: int
    headers: Pairs
    body: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a holder for a sign of life while an attempt there has had no message for a while."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a ping."""


@dataclass(frozen=True, slots=True)
class Queued:
    """Reports that a forwarded call is queued."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RoomAsk:
    """Asks a holder whether an instance can take a call now; answered only if it can."""

    instance: str


@dataclass(frozen=True, slots=True)
class RoomTold:
    """Number of calls that an instance can take now."""

    instance: str
    free: int
