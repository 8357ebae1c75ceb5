"""Messages between exchanges about calls: forwards, their answers, and room for them."""

from __future__ import annotations

from dataclasses import dataclass

Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Forward:
    """A call for an instance that the receiver holds, with the wait that is left."""

    attempt_id: str
    service: str
    instance: str
    holder_incarnation: int
    method: str
    path: str
    headers: Pairs
    body: bytes
    wait_left_ms: int
    caller_attempt: str  # the caller's own id of the attempt; empty where it gives none
    tenant: str = ""  # in whose name it runs; empty: in nobody's
    rank: int = 0  # how urgent it is; 0: the most
    guest: bool = False  # to this very process, for an instance that no living exchange holds


@dataclass(frozen=True, slots=True)
class ForwardDrop:
    """The caller is gone or its wait is over: drop the attempt unless it was sent."""

    attempt_id: str
    queued_only: bool = False  # another instance has room: only what still is in the queue


@dataclass(frozen=True, slots=True)
class Forwarded:
    """How a forwarded try ended. ``ran`` is no, maybe or yes."""

    attempt_id: str
    ran: str
    reason: str
    status: int
    headers: Pairs
    body: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a holder for a word: an attempt there has had none for a while."""


@dataclass(frozen=True, slots=True)
class Pong:
    """The word."""


@dataclass(frozen=True, slots=True)
class Queued:
    """A forwarded call waits for its turn."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RoomAsk:
    """Asks a holder whether an instance could get a call at once; answered only if so."""

    instance: str


@dataclass(frozen=True, slots=True)
class RoomTold:
    """How many calls an instance could get at once."""

    instance: str
    free: int
