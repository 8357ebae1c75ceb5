"""What callers, operators and instances saw: the one thing that judges read."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Run:
    """One run of a call at an instance."""

    at_ms: float
    instance: str
    service: str
    worker: str
    zone: str
    call: str
    key: str
    path: str
    attempt_id: str
    running: int
    limit: int
    cold_for_ms: float  # how long ago it came up
    done_ms: float = -1.0  # when its whole answer left the instance
    tenant: str = ""  # in whose name it ran, as the instance was told
    key_shown: bool = False  # the instance was shown a caller's credential


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
    at_ms: float
    wait_ms: int
    done_ms: float = -1.0
    status: int = -1
    ran: str = ""
    kind: str = ""
    body: bytes = b""
    answers: int = 0
    method: str = ""
    client: str = ""
    retry_after: str = ""  # when a refusal says to come back
    api_key: str = ""  # of its tenant, as the caller sent it


@dataclass
class Told:
    """One operator request and how it ended; ``sent`` is a whole configuration as sent."""

    what: str
    at_ms: float
    done_ms: float = -1.0
    status: int = -1
    doc: dict[str, Any] = field(default_factory=dict)
    detail: str = ""
    sent: dict[str, Any] = field(default_factory=dict)
    number: int = 0  # an operator's own, of a configuration
    order_id: str = ""


@dataclass
class Down:
    """A process was killed or frozen by whoever caused the failure; ``to_ms`` -1: still is."""

    process: str
    from_ms: float
    to_ms: float
    how: str


@dataclass
class Dial:
    """A connection or a send towards an instance, whatever came of it."""

    at_ms: float
    call: str
    instance: str


@dataclass
class Emptied:
    """A listing showed an instance as draining; ``to_ms``: when one first did not any more."""

    instance: str
    from_ms: float
    to_ms: float = float("inf")


@dataclass
class Return:
    """What fell at ``fault_ms`` was back at ``back_ms``."""

    fault_ms: float
    back_ms: float


@dataclass(frozen=True, slots=True)
class TurnedCold:
    """A warm instance was cold again for a while."""

    instance: str
    from_ms: float
    to_ms: float


@dataclass
class Log:
    """A whole run's log. Times are of one clock."""

    end_ms: float
    asked: list[Asked]
    runs: list[Run]
    answers: dict[str, bytes]  # try -> the whole answer that was sent
    told: list[Told]
    cold_ms: dict[str, float]  # service -> how long its instances are cold
    drained_ms: dict[str, float] = field(default_factory=dict)  # instance -> marked as draining
    gone_ms: dict[str, float] = field(default_factory=dict)  # instance -> a listing came without it
    dead_sends: list[tuple[float, str]] = field(default_factory=list)  # attempts towards the gone
    downs: list[Down] = field(default_factory=list)
    dials: list[Dial] = field(default_factory=list)
    emptied: list[Emptied] = field(default_factory=list)
    stop_ms: dict[str, float] = field(default_factory=dict)  # instance -> its stop was asked for
    starts: list[tuple[float, str]] = field(default_factory=list)  # when, and in which zone
    returns: list[Return] = field(default_factory=list)
    cold_bounds: dict[str, float] = field(default_factory=dict)  # service -> a second, if stated
    turned_cold: list[TurnedCold] = field(default_factory=list)
