"""Where the time of a start goes, step by step, at the member that places.

Each step ends at an event that this member sees anyway; its time is counted into a histogram of
fixed bounds. What a call's own exchange adds before and after is counted there
(``exchange/waits.py``).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from spokeroute.common.histogram import Histogram
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace

MAX_OPEN_STARTS = 1_000


class StartStep(StrEnum):
    """A step of a start, by the event that ends it."""

    WRITE = "write"  # decided -> the start is chosen by a majority
    ASK = "ask_platform"  # chosen -> the platform is asked
    PLATFORM = "platform"  # asked -> the platform answered
    HOLDER = "name_holder"  # answered -> a holder is named by a majority
    BOOT = "boot"  # named -> the holder reached the instance
    UP = "mark_up"  # reached -> the table says that it is up


ORDER = {step: number for number, step in enumerate(StartStep)}


@dataclass(frozen=True, slots=True)
class Start:
    """A start under way: the step that ended last, and when."""

    step: StartStep | None
    at_ms: Ms


@dataclass(frozen=True, slots=True)
class StartSteps:
    """Starts under way, and the histogram of each step."""

    open: Map[str, Start] = field(default_factory=Map)
    steps: Map[str, Histogram] = field(default_factory=Map)

    def begun(self, instance: str, now_ms: Ms) -> StartSteps:
        """A start was decided.

        Example:
            >>> len(StartSteps().begun("a", Ms(5)).open)
            1
        """
        if len(self.open) >= MAX_OPEN_STARTS:
            return replace(self, open=Map({instance: Start(None, now_ms)}))
        return replace(self, open=self.open.set(instance, Start(None, now_ms)))

    def passed(self, instance: str, step: StartStep, now_ms: Ms) -> StartSteps:
        """A step of a start ended; one that ended before, or of no start that is known, changes
        nothing.

        Example:
            >>> steps = StartSteps().begun("a", Ms(5)).passed("a", StartStep.WRITE, Ms(25)).steps
            >>> steps["write"].sum_ms
            20
        """
        start = self.open.get(instance)
        if start is None or (start.step is not None and ORDER[start.step] >= ORDER[step]):
            return self
        took_ms = max(0, now_ms - start.at_ms)
        histogram = self.steps.get(step.value, Histogram()).with_time(took_ms)
        steps = self.steps.set(step.value, histogram)
        if step is StartStep.UP:
            return replace(self, open=self.open.delete(instance), steps=steps)
        return replace(self, open=self.open.set(instance, Start(step, now_ms)), steps=steps)
