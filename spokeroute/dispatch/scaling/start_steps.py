"""Measures the duration of each step of a start, on the node that holds the placement role.

Each step ends at an event that this node handles anyway; its duration goes into a histogram with
fixed bounds. The time a call spends at its exchange before and after is measured there
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

    WRITE = "write"  # decided -> chosen by a majority
    ASK = "ask_platform"  # chosen -> requested from the platform
    PLATFORM = "platform"  # requested -> answered by the platform
    HOLDER = "name_holder"  # answered -> assignment of a holder chosen by a majority
    BOOT = "boot"  # assigned -> instance reached by the holder
    UP = "mark_up"  # reached -> marked as up in the placement table


ORDER = {step: number for number, step in enumerate(StartStep)}


@dataclass(frozen=True, slots=True)
class Start:
    """A start in progress: the last completed step and its time."""

    step: StartStep | None
    at_ms: Ms


@dataclass(frozen=True, slots=True)
class StartSteps:
    """Starts in progress, and the duration histogram of each step."""

    open: Map[str, Start] = field(default_factory=Map)
    steps: Map[str, Histogram] = field(default_factory=Map)

    def begun(self, instance: str, now_ms: Ms) -> StartSteps:
        """Begin measuring a start.

        Example:
            >>> len(StartSteps().begun("a", Ms(5)).open)
            1
        """
        if len(self.open) >= MAX_OPEN_STARTS:
            return replace(self, open=Map({instance: Start(None, now_ms)}))
        return replace(self, open=self.open.set(instance, Start(None, now_ms)))

    def passed(self, instance: str, step: StartStep, now_ms: Ms) -> StartSteps:
        """Record the end of a step. Repeated or earlier steps and unknown starts are ignored.

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
