"""Straight lines through measured points, and what they say at another size."""

from __future__ import annotations

from dataclasses import dataclass

FLAT = 0.15  # a line that rises by less than this over its points hardly depends on the size


@dataclass(frozen=True, slots=True)
class Line:
    """``slope x size + base``; ``r2`` is the share of the variance that it explains, ``spread``
    the widest relative distance between repeats of one size."""

    slope: float
    base: float
    r2: float
    spread: float
    points: int  # different sizes

    def at(self, size: float) -> float:
        """What the line says at a size; never below 0.

        Example:
            >>> Line(2.0, 1.0, 1.0, 0.0, 4).at(10.0)
            21.0
        """
        return max(0.0, self.slope * size + self.base)


def fit(points: list[tuple[float, float]]) -> Line:
    """The least squares line.

    Example:
        >>> fit([(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)])
        Line(slope=2.0, base=1.0, r2=1.0, spread=0.0, points=3)
    """
    if not points:
        raise ValueError("no points to fit")
    by_size: dict[float, list[float]] = {}
    for x, y in points:
        by_size.setdefault(x, []).append(y)
    spread = max(spread_of(ys) for ys in by_size.values())
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over_x = sum((x - mean_x) ** 2 for x, _ in points)
    if over_x == 0:
        return Line(0.0, mean_y, 0.0, spread, len(by_size))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / over_x
    base = mean_y - slope * mean_x
    over_y = sum((y - mean_y) ** 2 for _, y in points)
    left = sum((y - slope * x - base) ** 2 for x, y in points)
    r2 = 1.0 - left / over_y if over_y > 0 else 1.0
    return Line(slope, base, r2, spread, len(by_size))


def spread_of(values: list[float]) -> float:
    """The distance between the largest and the least of some repeats, by their mean.

    Example:
        >>> spread_of([9.0, 11.0])
        0.2
    """
    mean = sum(values) / len(values)
    return (max(values) - min(values)) / mean if mean else 0.0


def is_flat(line: Line, points: list[tuple[float, float]]) -> bool:
    """Whether a quantity hardly depends on the size that was varied.

    Example:
        >>> is_flat(fit([(1.0, 10.0), (9.0, 10.2)]), [(1.0, 10.0), (9.0, 10.2)])
        True
    """
    sizes = [x for x, _ in points]
    least, most = line.at(min(sizes)), line.at(max(sizes))
    return abs(most - least) <= FLAT * max(most, least, 1e-12)


@dataclass(frozen=True, slots=True)
class Prediction:
    """What a line said of a size beyond its points, and what was measured there."""

    size: float
    said: float
    measured: float

    @property
    def off(self) -> float:
        """How far the line was off, relative to what was measured.

        Example:
            >>> Prediction(1.0, 9.0, 10.0).off
            -0.1
        """
        return (self.said - self.measured) / self.measured if self.measured else 0.0
