"""What the placement role asks of the platform, as jobs for the edge."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.dial.ids import Ms
from spokeroute.dispatch.plan import Listed
from spokeroute.dispatch.scaler import WorkerSeat

STARTS_PER_S = 80.0
BURST = 15.0


@dataclass(frozen=True, slots=True)
class ListPlatform:
    """Read the platform's listing."""


@dataclass(frozen=True, slots=True)
class PlatformListed:
    """A listing, or why there is none."""

    ok: bool
    sequence: int
    seats: tuple[WorkerSeat, ...]
    listed: tuple[Listed, ...]
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """Start or stop an instance; not sent once ``goodUntilMs`` has passed."""

    op: str
    instance: str
    service: str
    worker: str
    memoryMb: int
    limit: int
    goodUntilMs: Ms


@dataclass(frozen=True, slots=True)
class PlatformDone:
    """How a call ended: ok, refused (asked too much), failed or late (lease over)."""

    op: str
    instance: str
    outcome: str
    reason: str


PlatformJob = ListPlatform | PlatformCall
