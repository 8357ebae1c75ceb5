"""A simulated processor: a share of a core, on which a node's loop and its compile thread take
turns. Costs are of a whole core, as measured on the product's own code (2026-12-02)."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import simpy

Steps = Generator[Any, Any, None]

SLICE_MS = 5.0  # the interpreter lets another thread have its turn this often
EVENT_MS = 0.25  # a frame: read, decided by, and what it tells the other actors
BEAT_MS = 0.4
ROW_MS = 0.008  # a route or a service that is read from its text
KEPT_ROW_MS = 0.0025  # one that is kept: its part of patching, packing and unpacking the text


class Processor:
    """Work of one machine, first come, first served."""

    def __init__(self, env: simpy.Environment, share: float) -> None:
        self.env = env
        self.share = share
        self.until_ms = 0.0
        self.used_ms = 0.0

    def done_ms(self, core_ms: float) -> float:
        """Queue work; when it will be done."""
        self.used_ms += core_ms
        self.until_ms = max(self.until_ms, self.env.now) + core_ms / self.share
        return self.until_ms

    def run(self, core_ms: float) -> Steps:
        """Work of another thread, in slices between which the loop has its turn."""
        left_ms = core_ms
        while left_ms > 0:
            slice_ms = min(left_ms, SLICE_MS)
            left_ms -= slice_ms
            yield self.env.timeout(self.done_ms(slice_ms) - self.env.now)
