"""The attempts that a holder received recently, so that a duplicate frame causes no second send."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms

MIN_RETENTION_MS = 30_000
"""An attempt is remembered for at least this long. Connections between nodes are closed after 3 s
without an acknowledgement, so that no duplicate can arrive later than this."""


@dataclass(frozen=True, slots=True)
class Seen:
    """Attempt ids in two generations; the older one is dropped when the newer one has aged.

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
        """With one more attempt id.

        Example:
            seen = seen.add("c1.0", now_ms)
        """
        if now_ms - self.since_ms < MIN_RETENTION_MS:
            return Seen(self.newer.set(attempt_id, True), self.older, self.since_ms)
        newer: Map[str, bool] = Map({attempt_id: True})
        older: Map[str, bool] = (
            self.newer if now_ms - self.since_ms < 2 * MIN_RETENTION_MS else Map()
        )
        return Seen(newer, older, now_ms)
