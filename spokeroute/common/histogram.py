"""A histogram of times with fixed bounds: a value that a pure core can keep.

Example:
    >>> Histogram().with_time(12).count
    1
"""

from __future__ import annotations

from dataclasses import dataclass

BOUNDS_MS = (5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 750, 1_000, 2_000, 5_000)


@dataclass(frozen=True, slots=True)
class Histogram:
    """How many times fell at or under each of ``BOUNDS_MS``, how many in all, and their sum."""

    counts: tuple[int, ...] = (0,) * len(BOUNDS_MS)
    count: int = 0
    sum_ms: int = 0

    def with_time(self, took_ms: int) -> Histogram:
        """With one more time.

        Example:
            >>> Histogram().with_time(12).counts[:4]
            (0, 0, 1, 1)
        """
        counts = tuple(
            n + 1 if took_ms <= bound_ms else n
            for n, bound_ms in zip(self.counts, BOUNDS_MS, strict=True)
        )
        return Histogram(counts, self.count + 1, self.sum_ms + took_ms)
