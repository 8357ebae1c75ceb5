"""How many calls of each service are open at an entry node, and how long a new one would wait.

Updated with each call that starts and ends, so that a new call needs no walk over all open calls.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.counts import Counts

RATE_BUCKET_MS = 500
RATE_BUCKETS = 4
MIN_QUEUE_CALLS = 8  # with fewer calls, or for a shorter time, no wait is estimated
MIN_QUEUE_MS = 500


@dataclass(frozen=True, slots=True)
class OpenCalls:
    """The open calls of one service, and since when enough are admitted to estimate a wait."""

    count: int = 0
    claiming: int = 0  # of them, those that wait for the core and not for an instance yet
    queue_since_ms: Ms = Ms(-1)

    @property
    def admitted(self) -> int:
        """How many calls wait for an instance, or are sent to one.

        Example:
            >>> OpenCalls(count=3, claiming=2).admitted
            1
        """
        return self.count - self.claiming


@dataclass(frozen=True, slots=True)
class Backlog:
    """The open calls by service, and the counts of recent answers."""

    open: Map[str, OpenCalls] = field(default_factory=Map)
    answered_counts: Counts = field(
        default_factory=lambda: Counts(RATE_BUCKET_MS, RATE_BUCKETS + 1)
    )

    def opened(self, service: str, now_ms: Ms, claiming: bool = False) -> Backlog:
        """Count a call that was opened; it is admitted at once, or when its claim is won.

        Example:
            >>> Backlog().opened("s", Ms(0)).count("s")
            1
        """
        old = self.open.get(service, OpenCalls())
        new = replace(old, count=old.count + 1, claiming=old.claiming + claiming)
        return self._updated(service, old, new, now_ms)

    def claimed(self, service: str, now_ms: Ms) -> Backlog:
        """Count a call as admitted, as its claim was won.

        Example:
            >>> Backlog().opened("s", Ms(0), True).claimed("s", Ms(5)).open["s"].admitted
            1
        """
        old = self.open.get(service, OpenCalls())
        return self._updated(service, old, replace(old, claiming=old.claiming - 1), now_ms)

    def closed(self, service: str, claiming: bool = False) -> Backlog:
        """Remove a call that was answered; it was admitted, or still claiming.

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
        """Count an answer of an instance.

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
        """How long a new call would wait: the admitted calls at the recent rate of answers, times
        the growth of the service by starting instances; 0 if there is no estimate.

        Example:
            >>> Backlog().expected_wait_ms("s", 1.0, Ms(0))
            0
        """
        calls = self.open.get(service, OpenCalls())
        if calls.admitted < MIN_QUEUE_CALLS or now_ms - calls.queue_since_ms < MIN_QUEUE_MS:
            return 0
        answered = self.answered_counts.total(service, now_ms, RATE_BUCKETS, before=1)
        if not answered:
            return 0
        per_s = answered * 1000.0 / (RATE_BUCKET_MS * RATE_BUCKETS) * growth
        return int(calls.admitted * 1000 / per_s)
