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
    doneMs: float = -1.0  # when its whole answer left the instance


@dataclass
class Asked:
    """One call as its caller saw it. Status 0: the connection broke, or (kind ``refused``)
    there was none, so that nothing was read."""

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
    method: str = ""
    agent: str = ""
    retryAfter: str = ""  # when a refusal says to come back


@dataclass
class Told:
    """One operator request and how it ended; ``sent`` is a whole configuration as sent."""

    what: str
    atMs: float
    doneMs: float = -1.0
    status: int = -1
    doc: dict[str, Any] = field(default_factory=dict)
    detail: str = ""
    sent: dict[str, Any] = field(default_factory=dict)


@dataclass
class Down:
    """A process was killed or frozen by whoever caused the failure; ``toMs`` -1: still is."""

    process: str
    fromMs: float
    toMs: float
    how: str


@dataclass
class Dial:
    """A connection or a send towards an instance, whatever came of it."""

    atMs: float
    call: str
    instance: str


@dataclass
class Emptied:
    """A listing showed an instance as draining; ``toMs``: when one first did not any more."""

    instance: str
    fromMs: float
    toMs: float = float("inf")


@dataclass
class Return:
    """What fell at ``faultMs`` was back at ``backMs``."""

    faultMs: float
    backMs: float


@dataclass
class Log:
    """A whole run's log. Times are of one clock."""

    endMs: float
    asked: list[Asked]
    runs: list[Run]
    answers: dict[str, bytes]  # try -> the whole answer that was sent
    told: list[Told]
    coldMs: dict[str, float]  # service -> how long its instances are cold
    drainedMs: dict[str, float] = field(default_factory=dict)  # instance -> marked as draining
    goneMs: dict[str, float] = field(default_factory=dict)  # instance -> a listing came without it
    deadSends: list[tuple[float, str]] = field(default_factory=list)  # tries towards the gone
    downs: list[Down] = field(default_factory=list)
    dials: list[Dial] = field(default_factory=list)
    emptied: list[Emptied] = field(default_factory=list)
    stopMs: dict[str, float] = field(default_factory=dict)  # instance -> its stop was asked for
    starts: list[tuple[float, str]] = field(default_factory=list)  # when, and in which locality
    returns: list[Return] = field(default_factory=list)
