"""A process's metrics in the text format of Prometheus, by its client library.

Nothing here runs while calls are served: the cores keep counts and histograms as values, and they
are rendered when somebody reads them. The library is loaded by the first reader, as it costs a
process memory. How many series there may be is bounded, and told as a metric itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from spokeroute.common.histogram import BOUNDS_MS, Histogram

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MOST_SERIES = 2_000  # of outcomes; rows past it are summed under one name
MOST_LABEL_CHARS = 64
PAST_BOUND = ("other", "any", "past_the_bound")
MS = 1_000.0

Key = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Figures:
    """What a process tells: calls that ended late, refused or failed by service, outcome and
    reason; histograms by metric and step; and plain gauges."""

    outcomes: Mapping[Key, int] = field(default_factory=dict)
    histograms: Mapping[str, Mapping[str, Histogram]] = field(default_factory=dict)
    gauges: Mapping[str, float] = field(default_factory=dict)


def bounded(outcomes: Mapping[Key, int], most: int = MOST_SERIES) -> dict[Key, int]:
    """Outcomes with labels of a bounded length and in a bounded number, the largest by name.

    Example:
        >>> bounded({("a", "late", "x"): 2, ("b", "late", "x"): 1}, most=1)
        {('a', 'late', 'x'): 2, ('other', 'any', 'past_the_bound'): 1}
    """
    cut: dict[Key, int] = {}
    for (service, outcome, reason), count in outcomes.items():
        key = (service[:MOST_LABEL_CHARS], outcome[:MOST_LABEL_CHARS], reason[:MOST_LABEL_CHARS])
        cut[key] = cut.get(key, 0) + count
    order = sorted(cut, key=lambda key: (-cut[key], key))
    found = {key: cut[key] for key in order[:most]}
    rest = sum(cut[key] for key in order[most:])
    if rest:
        found[PAST_BOUND] = found.get(PAST_BOUND, 0) + rest
    return found


def text_of(figures: Figures) -> bytes:
    """The figures in the text format.

    Example:
        >>> b"spokeroute_calls_total" in text_of(Figures({("s", "late", "slow_run"): 2}))
        True
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(figures))
    return bytes(generate_latest(registry))


class _Collector:
    """Gives the library its families."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def collect(self) -> Iterable[Any]:
        """The families, made anew for each reader."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        help_text = "Calls that ended late, refused or failed, by their one reason."
        labels = ["service", "outcome", "reason"]
        calls = CounterMetricFamily("spokeroute_calls", help_text, labels=labels)
        for key, count in bounded(self.figures.outcomes).items():
            calls.add_metric(list(key), count)
        yield calls
        for name, steps in self.figures.histograms.items():
            times = HistogramMetricFamily(name, "Times of steps, in seconds.", labels=["step"])
            for step, histogram in steps.items():
                times.add_metric([step], buckets_of(histogram), histogram.sum_ms / MS)
            yield times
        for name, value in self.figures.gauges.items():
            yield GaugeMetricFamily(name, name.replace("_", " "), value=value)
        yield GaugeMetricFamily(
            "spokeroute_outcome_series_limit",
            "The most series of spokeroute_calls; what is past it counts under service 'other'.",
            value=MOST_SERIES,
        )


def buckets_of(histogram: Histogram) -> list[tuple[str, float]]:
    """Cumulative buckets as the library takes them, bounds in seconds.

    Example:
        >>> buckets_of(Histogram().with_time(12))[-1]
        ('+Inf', 1)
    """
    pairs = zip(BOUNDS_MS, histogram.counts, strict=True)
    return [*((f"{bound_ms / MS:g}", float(n)) for bound_ms, n in pairs), ("+Inf", histogram.count)]
