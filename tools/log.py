"""What callers, operators and instances saw: the one thing that judges read."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Run:
    """One run of a call at an instance."""

    atMs: float
    instance: str
    service: str
    worker: str
    locality: str
    call: str
    key: str
    path: str
    tryId: str
    running: int
    limit: int
    coldForMs: float  # how long ago it came up


@dataclass
class Asked:
    """One call as its caller saw it. Status 0: the connection broke."""

    call: str
    key: str
    path: str
    service: str
    once: bool
    exchange: str
    atMs: float
    waitMs: int
    doneMs: float = -1.0
    status: int = -1
    ran: str = ""
    kind: str = ""
    body: bytes = b""
    verdicts: int = 0


@dataclass
class Told:
    """One operator request and how it ended."""

    what: str
    atMs: float
    doneMs: float = -1.0
    status: int = -1
    doc: dict[str, Any] = field(default_factory=dict)
    detail: str = ""


@dataclass
class Log:
    """A whole run's log. Times are of one clock."""

    endMs: float
    asked: list[Asked]
    runs: list[Run]
    answers: dict[str, bytes]  # try -> the whole answer that was sent
    told: list[Told]
    lanesOf: dict[str, dict[str, str]]  # configuration's name -> its lanes
    coldMs: dict[str, float]  # service -> how long its instances are cold
    drainedMs: dict[str, float] = field(default_factory=dict)  # instance -> marked as draining
    goneMs: dict[str, float] = field(default_factory=dict)  # instance -> a listing came without it
    deadSends: list[tuple[float, str]] = field(default_factory=list)  # tries towards the gone
