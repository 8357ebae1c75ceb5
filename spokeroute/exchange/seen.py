"""The attempts that a holder was handed lately, so that a doubled frame is no second send."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms

MIN_RETENTION_MS = 30_000
"""At least this long an attempt is remembered: a connection between nodes is given up after 3 s
without an acknowledgement, so what is later than this comes over no connection of ours."""


@dataclass(frozen=True, slots=True)
class Seen:
    """Attempt ids in two generations; the older one goes when the newer one is full of time.

    Example:
        >>> "c1.0" in Seen().add("c1.0", Ms(0))
        True
    """

    newer: Map[str, bool] = field(default_factory=Map)
    older: Map[str, bool] = field(default_factory=Map)
    since_ms: Ms = Ms(0)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self.newer or attempt_id in self.older

    def add(self, attempt_id: str, now_ms: Ms) -> Seen:
        """With one more.

        Example:
            seen = seen.add("c1.0", now_ms)
        """
        if now_ms - self.since_ms < MIN_RETENTION_MS:
            return Seen(self.newer.set(attempt_id, True), self.older, self.since_ms)
        one: Map[str, bool] = Map({attempt_id: True})
        older: Map[str, bool] = (
            self.newer if now_ms - self.since_ms < 2 * MIN_RETENTION_MS else Map()
        )
        return Seen(one, older, now_ms)
