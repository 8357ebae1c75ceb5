"""Ages of claims, measured in cumulative uptime of the member that stores them.

A member drops a claim once it has stored it for longer than any retry of the call can take. The
age is persisted and counted across restarts, so that a restart does not reset it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import CLAIM_PREFIX, Ms
from spokeroute.common.replacing import replace


@dataclass(frozen=True, slots=True)
class ClaimAges:
    """Cumulative uptime of this disk's processes, and first-seen times not yet written to disk."""

    loaded: Map[str, int] = field(default_factory=Map)  # first-seen times, in cumulative uptime
    previous_uptime_ms: int = 0  # uptime of this disk's earlier processes
    uptime_origin_ms: Ms = Ms(0)  # zero of the cumulative uptime, on this process's clock
    now_ms: Ms = Ms(-1)
    unsaved: tuple[tuple[str, int], ...] = ()

    def at(self, now_ms: Ms) -> ClaimAges:
        """Advance to a time; the first call maps cumulative uptime to this process's clock.

        Example:
            >>> ClaimAges(previous_uptime_ms=500).at(Ms(2_000)).uptime_origin_ms
            1500
        """
        uptime_origin_ms = (
            self.uptime_origin_ms if self.now_ms >= 0 else Ms(now_ms - self.previous_uptime_ms)
        )
        return replace(self, uptime_origin_ms=uptime_origin_ms, now_ms=now_ms)

    @property
    def total_uptime_ms(self) -> int:
        """Uptime of this disk's processes, summed over restarts.

        Example:
            >>> ClaimAges(previous_uptime_ms=500).at(Ms(2_000)).at(Ms(2_030)).total_uptime_ms
            530
        """
        return self.now_ms - self.uptime_origin_ms if self.now_ms >= 0 else self.previous_uptime_ms

    def first_seen_ms(self) -> Map[str, Ms]:
        """First-seen times of the loaded claims, on this process's clock.

        Example:
            >>> ClaimAges(Map({"claim/k": 100}), 500).at(Ms(2_000)).first_seen_ms()["claim/k"]
            1600
        """
        return Map({name: Ms(self.uptime_origin_ms + at_ms) for name, at_ms in self.loaded.items()})

    def with_new(self, before: Mapping[str, Ms], after: Mapping[str, Ms]) -> ClaimAges:
        """Add the first-seen times of new claims, to be saved with the next write.

        Example:
            >>> ages = ClaimAges(previous_uptime_ms=500).at(Ms(2_000))
            >>> ages.with_new({}, {"claim/k": Ms(2_000)}).unsaved
            (('claim/k', 500),)
        """
        new = [name for name in after if name.startswith(CLAIM_PREFIX) and name not in before]
        first_seen_ms = tuple((name, after[name] - self.uptime_origin_ms) for name in sorted(new))
        return replace(self, unsaved=(*self.unsaved, *first_seen_ms))

    def with_unsaved(self, first_seen_ms: tuple[tuple[str, int], ...]) -> ClaimAges:
        """Put back the first-seen times of a failed write, to be saved with the next one.

        Example:
            >>> ClaimAges().with_unsaved((("claim/k", 5),)).unsaved
            (('claim/k', 5),)
        """
        return replace(self, unsaved=(*first_seen_ms, *self.unsaved))
