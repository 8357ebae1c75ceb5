"""Figures of a process that go into its ring log now and then: what its trunk carries, by kind of
message, what waits to be sent, and how late its loop turns."""

from __future__ import annotations

import time
from collections.abc import Mapping

from spokeroute.ledger.ring import Ring
from spokeroute.transport.net import Loop
from spokeroute.transport.process import Process
from spokeroute.transport.traffic import Traffic

EVERY_S = 2.0
MOST_KINDS = 4
KILO = 1024


class Figures:
    """Notes a process's figures in its ring: they are written out when something goes wrong.

    Example:
        Figures(process, loop, ring).look()
    """

    def __init__(self, process: Process, loop: Loop, ring: Ring) -> None:
        self.process = process
        self.loop = loop
        self.ring = ring
        self.noted_s = time.monotonic()
        self.looked_s = self.noted_s
        self.longest_s = 0.0

    def look(self) -> None:
        """From the loop, at each beat: note the figures where they are due.

        Example:
            figures.look()
        """
        now_s = time.monotonic()
        self.longest_s = max(self.longest_s, now_s - self.looked_s)
        self.looked_s = now_s
        if now_s - self.noted_s < EVERY_S:
            return
        for_s, self.noted_s = now_s - self.noted_s, now_s
        waiting = max((wire.out_bytes for wire in self.loop.out.values()), default=0)
        self.ring.note(
            f"figures: for_s={for_s:.1f} beat_ms={1000 * self.longest_s:.0f} "
            f"waiting_kb={waiting // KILO} sent {told(self.process.sent.taken(), for_s)} "
            f"received {told(self.process.got.taken(), for_s)}",
            alarm=False,
        )
        self.longest_s = 0.0


def told(counts: Mapping[str, Traffic], for_s: float) -> str:
    """The kinds of messages that carry most, in kB and frames a second.

    Example:
        >>> told({"Probe": Traffic(4, 4096)}, 2.0)
        'Probe=2.0kB/s/2.0'
    """
    order = sorted(counts, key=lambda kind: -counts[kind].size_bytes)
    return " ".join(
        f"{kind}={counts[kind].size_bytes / KILO / for_s:.1f}kB/s/{counts[kind].frames / for_s:.1f}"
        for kind in order[:MOST_KINDS]
    )
