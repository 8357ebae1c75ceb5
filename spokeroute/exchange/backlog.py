"""How many calls of each service are open at an entry, and how long a new one would wait.

Kept with each call that comes and goes, so that nothing walks all open calls for a new one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.counts import Counts

RATE_BUCKET_MS = 500
RATE_BUCKETS = 4
MIN_QUEUE_CALLS = 8  # fewer calls than these, or for a shorter time, are no backlog to reckon with
MIN_QUEUE_MS = 500


@dataclass(frozen=True, slots=True)
class OpenCalls:
    """The open calls of one service, and since when as many as make a crowd were in line."""

    count: int = 0
    claiming: int = 0  # of them: they wait for the core, and not for an instance yet
    queue_since_ms: Ms = Ms(-1)

    @property
    def admitted(self) -> int:
        """How many wait for an instance, or run there.

        Example:
            >>> OpenCalls(count=3, claiming=2).admitted
            1
        """
        return self.count - self.claiming


@dataclass(frozen=True, slots=True)
class Backlog:
    """Open calls by service, and how many were answered lately."""

    open: Map[str, OpenCalls] = field(default_factory=Map)
    answered_counts: Counts = field(
        default_factory=lambda: Counts(RATE_BUCKET_MS, RATE_BUCKETS + 1)
    )

    def opened(self, service: str, now_ms: Ms, claiming: bool = False) -> Backlog:
        """One more call is open, in line at once or once its claim is won.

        Example:
            >>> Backlog().opened("s", Ms(0)).count("s")
            1
        """
        old = self.open.get(service, OpenCalls())
        new = replace(old, count=old.count + 1, claiming=old.claiming + claiming)
        return self._updated(service, old, new, now_ms)

    def claimed(self, service: str, now_ms: Ms) -> Backlog:
        """A call won its claim: it is in line now.

        Example:
            >>> Backlog().opened("s", Ms(0), True).claimed("s", Ms(5)).open["s"].admitted
            1
        """
        old = self.open.get(service, OpenCalls())
        return self._updated(service, old, replace(old, claiming=old.claiming - 1), now_ms)

    def closed(self, service: str, claiming: bool = False) -> Backlog:
        """One call got its answer, whichever; it was in line, or still claiming.

        Example:
            >>> Backlog().opened("s", Ms(0)).closed("s").count("s")
            0
        """
        old = self.open.get(service, OpenCalls())
        if old.count <= 1:
            return replace(self, open=self.open.delete(service)) if old.count else self
        new = replace(old, count=old.count - 1, claiming=old.claiming - claiming)
        return replace(self, open=self.open.set(service, new))

    def _updated(self, service: str, old: OpenCalls, new: OpenCalls, now_ms: Ms) -> Backlog:
        if old.admitted < MIN_QUEUE_CALLS <= new.admitted:
            new = replace(new, queue_since_ms=now_ms)
        return replace(self, open=self.open.set(service, new))

    def answered(self, service: str, now_ms: Ms) -> Backlog:
        """An instance answered a call of the service.

        Example:
            >>> Backlog().answered("s", Ms(0)).answered_counts.total("s", 0, 1)
            1
        """
        return replace(self, answered_counts=self.answered_counts.add(service, now_ms))

    def count(self, service: str) -> int:
        """How many calls of a service are open.

        Example:
            >>> Backlog().count("s")
            0
        """
        return self.open.get(service, OpenCalls()).count

    def expected_wait_ms(self, service: str, growth: float, now_ms: Ms) -> int:
        """How long a new call would wait: the crowd that is open, at the pace of the last seconds
        times the growth that is on its way; 0 where nothing can be told.

        Example:
            >>> Backlog().expected_wait_ms("s", 1.0, Ms(0))
            0
        """
        here = self.open.get(service, OpenCalls())
        if here.admitted < MIN_QUEUE_CALLS or now_ms - here.queue_since_ms < MIN_QUEUE_MS:
            return 0
        ended = self.answered_counts.total(service, now_ms, RATE_BUCKETS, before=1)
        if not ended:
            return 0
        per_s = ended * 1000.0 / (RATE_BUCKET_MS * RATE_BUCKETS) * growth
        return int(here.admitted * 1000 / per_s)
