"""A running estimate of round-trip time and its deviation, as TCP's retransmission timer keeps it
(RFC 6298), so that timeouts follow the observed round trips.
"""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 1 / 8  # the weight of a new sample in the mean
DEVIATION_SMOOTHING = 1 / 4  # the weight of a new sample in the mean deviation
DEVIATION_FACTOR = 4  # the timeout is the mean plus this many mean deviations


@dataclass(frozen=True, slots=True)
class RoundTrip:
    """The smoothed round trip to a peer and its mean deviation, in milliseconds."""

    smoothed_ms: float
    deviation_ms: float

    @classmethod
    def first(cls, took_ms: float) -> RoundTrip:
        """The estimate after a single sample.

        Example:
            >>> RoundTrip.first(20.0).timeout_ms
            60.0
        """
        return cls(took_ms, took_ms / 2)

    def with_sample(self, took_ms: float) -> RoundTrip:
        """The estimate after one more sample.

        Example:
            >>> RoundTrip(20.0, 0.0).with_sample(28.0)
            RoundTrip(smoothed_ms=21.0, deviation_ms=2.0)
        """
        error_ms = abs(took_ms - self.smoothed_ms)
        return RoundTrip(
            self.smoothed_ms + SMOOTHING * (took_ms - self.smoothed_ms),
            self.deviation_ms + DEVIATION_SMOOTHING * (error_ms - self.deviation_ms),
        )

    @property
    def timeout_ms(self) -> float:
        """The time without an answer after which the peer counts as silent.

        Example:
            >>> RoundTrip(20.0, 5.0).timeout_ms
            40.0
        """
        return self.smoothed_ms + DEVIATION_FACTOR * self.deviation_ms
