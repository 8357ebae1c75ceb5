"""How many calls of each service are open at an entry, and how long a new one would wait.

Kept with each call that comes and goes, so that nothing walks all open calls for a new one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.counts import Counts

PACE_MS = 500
PACE_BUCKETS = 4
CROWD_CALLS = 8  # fewer calls than these, or for a shorter time, are no backlog to reckon with
CROWD_MS = 500


@dataclass(frozen=True, slots=True)
class OpenCalls:
    """The open calls of one service, and since when there were as many as make a crowd."""

    count: int = 0
    crowd_since_ms: Ms = Ms(-1)


@dataclass(frozen=True, slots=True)
class Backlog:
    """Open calls by service, and how many were answered lately."""

    open: Map[str, OpenCalls] = field(default_factory=Map)
    ended: Counts = field(default_factory=lambda: Counts(PACE_MS, PACE_BUCKETS + 1))

    def opened(self, service: str, now_ms: Ms) -> Backlog:
        """One more call is open.

        Example:
            >>> Backlog().opened("s", Ms(0)).count("s")
            1
        """
        old = self.open.get(service, OpenCalls())
        count = old.count + 1
        since_ms = now_ms if count == CROWD_CALLS else old.crowd_since_ms
        return replace(self, open=self.open.set(service, OpenCalls(count, since_ms)))

    def closed(self, service: str) -> Backlog:
        """One call got its answer, whichever.

        Example:
            >>> Backlog().opened("s", Ms(0)).closed("s").count("s")
            0
        """
        old = self.open.get(service, OpenCalls())
        if old.count <= 1:
            return replace(self, open=self.open.delete(service)) if old.count else self
        return replace(self, open=self.open.set(service, replace(old, count=old.count - 1)))

    def answered(self, service: str, now_ms: Ms) -> Backlog:
        """An instance answered a call of the service.

        Example:
            >>> Backlog().answered("s", Ms(0)).ended.total("s", 0, 1)
            1
        """
        return replace(self, ended=self.ended.add(service, now_ms))

    def count(self, service: str) -> int:
        """How many calls of a service are open.

        Example:
            >>> Backlog().count("s")
            0
        """
        return self.open.get(service, OpenCalls()).count

    def expect_ms(self, service: str, growth: float, now_ms: Ms) -> int:
        """How long a new call would wait: the crowd that is open, at the pace of the last seconds
        times the growth that is on its way; 0 where nothing can be told.

        Example:
            >>> Backlog().expect_ms("s", 1.0, Ms(0))
            0
        """
        here = self.open.get(service, OpenCalls())
        if here.count < CROWD_CALLS or now_ms - here.crowd_since_ms < CROWD_MS:
            return 0
        ended = self.ended.total(service, now_ms, PACE_BUCKETS, before=1)
        if not ended:
            return 0
        per_s = ended * 1000.0 / (PACE_MS * PACE_BUCKETS) * growth
        return int(here.count * 1000 / per_s)
