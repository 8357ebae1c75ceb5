"""How old claims are, by the running time of the disk that holds them.

A member drops a claim that it has had for longer than any repeat may come. Its age is counted
over all lives of its processes and kept on the disk, so restarts don't make claims young again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import CLAIM_PREFIX, Ms
from spokeroute.common.replacing import replace


@dataclass(frozen=True, slots=True)
class ClaimAges:
    """How long this disk's processes ran by now, and which births it has not with_new yet: they are
    saved with the next write."""

    loaded: Map[str, int] = field(default_factory=Map)  # births, by the disk's running time
    previous_uptime_ms: int = 0  # how long the disk's earlier processes ran
    uptime_origin_ms: Ms = Ms(0)  # when the disk's running time began, by this process's clock
    now_ms: Ms = Ms(-1)
    unsaved: tuple[tuple[str, int], ...] = ()

    def at(self, now_ms: Ms) -> ClaimAges:
        """The ages at a moment; the first one ties the disk's running time to this clock.

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
        """How long this disk's processes ran, all lives together.

        Example:
            >>> ClaimAges(previous_uptime_ms=500).at(Ms(2_000)).at(Ms(2_030)).total_uptime_ms
            530
        """
        return self.now_ms - self.uptime_origin_ms if self.now_ms >= 0 else self.previous_uptime_ms

    def first_seen_ms(self) -> Map[str, Ms]:
        """When the claims that were loaded came here, by this process's clock.

        Example:
            >>> ClaimAges(Map({"claim/k": 100}), 500).at(Ms(2_000)).births()["claim/k"]
            1600
        """
        return Map({name: Ms(self.uptime_origin_ms + at_ms) for name, at_ms in self.loaded.items()})

    def with_new(self, before: Mapping[str, Ms], after: Mapping[str, Ms]) -> ClaimAges:
        """With the births of claims that came since, to be saved with the next write.

        Example:
            >>> ages = ClaimAges(previous_uptime_ms=500).at(Ms(2_000))
            >>> ages.with_new({}, {"claim/k": Ms(2_000)}).unsaved
            (('claim/k', 500),)
        """
        new = [name for name in after if name.startswith(CLAIM_PREFIX) and name not in before]
        first_seen_ms = tuple((name, after[name] - self.uptime_origin_ms) for name in sorted(new))
        return replace(self, unsaved=(*self.unsaved, *first_seen_ms))

    def with_unsaved(self, first_seen_ms: tuple[tuple[str, int], ...]) -> ClaimAges:
        """With the births of a write that failed, to be saved with another.

        Example:
            >>> ClaimAges().again((("claim/k", 5),)).unsaved
            (('claim/k', 5),)
        """
        return replace(self, unsaved=(*first_seen_ms, *self.unsaved))
