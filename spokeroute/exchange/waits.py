"""How long calls wait for an instance at their own exchange: the steps of a cold start that the
member that places does not see.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from spokeroute.common.histogram import Histogram
from spokeroute.common.replacing import replace


class Wait(StrEnum):
    """What a call of a service without an instance waits for."""

    PLACED = "placed"  # read -> a proved table names an instance: report, decision, write, proof
    ANSWERED = "answered"  # forwarded to the holder of one that boots -> answered


@dataclass(frozen=True, slots=True)
class Waits:
    """The histogram of each."""

    histograms: Map[str, Histogram] = field(default_factory=Map)

    def ended(self, wait: Wait, took_ms: int) -> Waits:
        """One more wait is over.

        Example:
            >>> Waits().ended(Wait.PLACED, 80).histograms["placed"].sum_ms
            80
        """
        histogram = self.histograms.get(wait.value, Histogram()).with_time(max(0, took_ms))
        return replace(self, histograms=self.histograms.set(wait.value, histogram))
