"""What a soak's clients and its signals leave behind for the judges, besides the run's log."""

from __future__ import annotations

from dataclasses import dataclass, field

from tools.log import Log


@dataclass(frozen=True, slots=True)
class Broken:
    """A request that was sent whole, and whose connection ended without a complete answer."""

    call: str
    process: str
    sent_ms: float
    ended_ms: float
    kept: bool  # the connection had carried another request before
    partial: bool = False  # an answer had begun


@dataclass(frozen=True, slots=True)
class Left:
    """A client closed its connection before the answer came."""

    call: str
    process: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """A process that was told to end, and how it did; ``code`` None: not within its grace.
    ``young``: it had just been started, and may not have come to heed signals yet."""

    process: str
    asked_ms: float
    ended_ms: float
    code: int | None
    killed: bool = False  # by another act meanwhile
    young: bool = False


@dataclass(frozen=True, slots=True)
class Size:
    """What a process holds, in a calm window."""

    process: str
    descriptors: int
    threads: int
    memory_mb: float
    store_mb: float = 0.0


@dataclass
class SoakLog:
    """A whole soak's log. Times are of one clock, in milliseconds."""

    log: Log
    broken: list[Broken] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    before: list[Size] = field(default_factory=list)
    after: list[Size] = field(default_factory=list)
    last_trouble_ms: float = 0.0
    read_back: bool = True  # the configuration could be read at the end
    undone: list[str] = field(default_factory=list)  # acknowledged orders that an older one undid
