"""Counts of a hollow fleet: work by actor and event, messages and bytes by kind.

Work nests: what a part spends inside another part is the other's alone. What the counting itself
costs is measured and taken off.
"""

from __future__ import annotations

import importlib
import inspect
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from spokeroute.common.effects import From
from spokeroute.register.replica import Fresh
from tools.capacity_clock import NANOSECONDS, counter

FUNCTIONS = (
    "plan", "picture", "laaf", "rome", "pack_floor", "unpack_floor", "platform_calls",
    "orphan_stops", "remark", "demand_now", "take_listing", "sightings_of", "absent_from",
    "picture_doc", "ranking_doc", "live_holders", "suspects_of", "means_of", "addresses_of",
    "reached_of", "room_of", "best_worker", "sleepers_mb", "entry_text", "digest_of",
)  # fmt: skip
"""Parts of a step that get a line of their own, wherever the product has them; those that a
version lacks are passed over."""
METHODS = (("spokeroute.exchange.budget", "Budget", ("allows", "first", "second")),)


@dataclass
class Tally:
    """What one node did while the meter was on."""

    cpu: dict[str, list[float]] = field(default_factory=dict)  # part -> work, times
    wire: dict[str, list[float]] = field(default_factory=dict)  # "out Probe zone" -> count, bytes


def kind_of(event: object) -> str:
    """How an event is named in the counts.

    Example:
        >>> from spokeroute.common.effects import Tick
        >>> kind_of(Tick())
        'Tick'
    """
    if isinstance(event, From):
        return type(event.message).__name__
    if isinstance(event, Fresh):
        return "Fresh changed" if event.changed else "Fresh"
    return type(event).__name__


class Meter:
    """The one counter of a fleet.

    Example:
        meter = Meter()
        meter.enter()
        meter.leave("calls Tick")
    """

    def __init__(self, clock: Callable[[], int] | None = None) -> None:
        found, unit = counter()
        self.clock = clock or found
        self.unit = NANOSECONDS if clock else unit
        self.on = False
        self.tallies: dict[str, Tally] = {}
        self.node = ""
        self.stack: list[list[float]] = []
        self.notes: dict[str, float] = {}
        self.inner = self.outer = 0.0
        self._calibrate()

    def _calibrate(self) -> None:
        """What an empty part costs itself, and the part around it."""
        most = 3_000
        self.on, node = True, self.node
        self.node = "calibration"
        self.enter()
        for _ in range(most):
            self.enter()
            self.leave("inside")
        self.leave("around")
        cpu = self.tallies.pop("calibration").cpu
        self.inner = cpu["inside"][0] / most
        self.outer = cpu["around"][0] / most
        self.on, self.node = False, node

    def tally(self, node: str) -> Tally:
        """A node's counts."""
        found = self.tallies.get(node)
        if found is None:
            found = self.tallies[node] = Tally()
        return found

    def enter(self) -> None:
        """A part begins."""
        self.stack.append([self.clock(), 0.0])

    def leave(self, part: str) -> None:
        """The part that began last ends; an empty name is not the product's own work."""
        start, inside = self.stack.pop()
        whole = self.clock() - start
        if self.stack:
            self.stack[-1][1] += whole + self.outer
        if self.on and part:
            cpu = self.tally(self.node).cpu
            got = cpu.get(part)
            if got is None:
                got = cpu[part] = [0.0, 0.0]
            got[0] += whole - inside - self.inner
            got[1] += 1

    def passed(self, node: str, way: str, kind: str, span: str, size_bytes: int) -> None:
        """A message went out of a node or came into it."""
        if self.on:
            wire = self.tally(node).wire
            key = f"{way} {kind} {span}"
            got = wire.get(key)
            if got is None:
                got = wire[key] = [0.0, 0.0]
            got[0] += 1
            got[1] += size_bytes

    def note(self, name: str, amount: float = 1.0) -> None:
        """Count something else that happened in the fleet."""
        if self.on:
            self.notes[name] = self.notes.get(name, 0.0) + amount

    def wrapped(self, name: str, step: Callable[..., Any]) -> Callable[..., Any]:
        """A core's step, with each event on the core's own account."""

        def run(state: Any, event: object, now_ms: Any) -> Any:
            self.enter()
            try:
                return step(state, event, now_ms)
            finally:
                self.leave(f"{name} {kind_of(event)}")

        return run

    def part(self, name: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """A function inside a step, with a line of its own."""

        def run(*args: Any, **named: Any) -> Any:
            self.enter()
            try:
                return function(*args, **named)
            finally:
                self.leave(name)

        return run

    @contextmanager
    def attributed(self) -> Iterator[None]:
        """While this lasts, the parts in ``FUNCTIONS`` are counted apart."""
        kept: list[tuple[Any, str, Any]] = []
        made: dict[Any, Any] = {}
        for path, module in list(sys.modules.items()):
            if not path.startswith("spokeroute"):
                continue
            for name in FUNCTIONS:
                function = getattr(module, name, None)
                if not inspect.isfunction(function):
                    continue
                if function not in made:
                    made[function] = self.part(f"fn.{name}", function)
                kept.append((module, name, function))
                setattr(module, name, made[function])
        for path, owner, names in METHODS:
            kind = getattr(importlib.import_module(path), owner)
            for name in names:
                function = getattr(kind, name, None)
                if function is not None:
                    kept.append((kind, name, function))
                    setattr(kind, name, self.part(f"fn.{owner}.{name}", function))
        try:
            yield
        finally:
            for where, name, function in kept:
                setattr(where, name, function)
