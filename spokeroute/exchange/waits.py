"""How long calls wait for an instance at their entry node: the steps of a cold start that the
member with the placement role does not see.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from spokeroute.common.histogram import Histogram
from spokeroute.common.replacing import replace


class Wait(StrEnum):
    """The step of a cold start that a call waits for."""

    PLACED = "placed"
    """From the request until a proved table has an instance: report, decision, write, proof."""
    ANSWERED = "answered"
    """From the forward to the holder of a starting instance until the answer."""


@dataclass(frozen=True, slots=True)
class Waits:
    """A histogram of each kind of wait."""

    histograms: Map[str, Histogram] = field(default_factory=Map)

    def ended(self, wait: Wait, took_ms: int) -> Waits:
        """Record a wait that ended.

        Example:
            >>> Waits().ended(Wait.PLACED, 80).histograms["placed"].sum_ms
            80
        """
        histogram = self.histograms.get(wait.value, Histogram()).with_time(max(0, took_ms))
        return replace(self, histograms=self.histograms.set(wait.value, histogram))
