"""Figures of a process that go into its ring log now and then: what its trunk carries, by kind of
message, what waits to be sent, how late its loop turns, and where its processor time goes."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from spokeroute.ledger.ring import RingLog
from spokeroute.transport.net import Loop
from spokeroute.transport.process import Process
from spokeroute.transport.traffic import Traffic

EVERY_S = 2.0
MOST_KINDS = 4
KILO = 1024
SLOW_BEAT_S = 0.5  # between two beats that are due every 20 ms: the processor is overloaded
ALARM_EVERY_S = 30.0  # writing the ring out takes processor time itself


@dataclass(frozen=True, slots=True)
class Work:
    """So many jobs, and the processor time that they took together."""

    jobs: int = 0
    processor_s: float = 0.0


class WorkCounter:
    """Jobs of one kind since they were taken last; counted by one thread, taken by another.

    Example:
        >>> counter = WorkCounter()
        >>> counter.count(0.5)
        >>> counter.taken()
        Work(jobs=1, processor_s=0.5)
    """

    def __init__(self) -> None:
        self._done: list[float] = []

    def count(self, processor_s: float) -> None:
        """One more job, in processor seconds.

        Example:
            counter.count(time.thread_time() - begun_s)
        """
        self._done.append(processor_s)

    def taken(self) -> Work:
        """What was counted since this was asked last.

        Example:
            >>> WorkCounter().taken()
            Work(jobs=0, processor_s=0.0)
        """
        done, self._done = self._done, []
        return Work(len(done), sum(done))


class Figures:
    """Notes a process's figures in its ring: they are written out when something goes wrong.

    Example:
        Figures(process, loop, ring, world.compiled).look()
    """

    def __init__(
        self,
        process: Process,
        loop: Loop,
        ring: RingLog,
        compiled: WorkCounter,
        proof: Callable[[], str] = lambda: "",
    ) -> None:
        self.process = process
        self.loop = loop
        self.ring = ring
        self.compiled = compiled
        self.proof = proof
        self.processor_s = time.process_time()
        self.alarmed_s = time.monotonic() - ALARM_EVERY_S
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
        alarm = self.longest_s >= SLOW_BEAT_S and now_s - self.alarmed_s >= ALARM_EVERY_S
        if alarm:
            self.alarmed_s = now_s
        self.ring.note(f"figures: for_s={for_s:.1f} {self._processor(for_s)} "
                       f"{self._traffic(for_s)} {self.proof()}".rstrip(), alarm)  # fmt: skip
        self.longest_s = 0.0

    def _processor(self, for_s: float) -> str:
        now_s = time.process_time()
        used_s, self.processor_s = now_s - self.processor_s, now_s
        compiled = self.compiled.taken()
        return (
            f"beat_ms={1000 * self.longest_s:.0f} cores={used_s / for_s:.3f} "
            f"compiled={compiled.jobs} in {1000 * compiled.processor_s:.0f}ms"
        )

    def _traffic(self, for_s: float) -> str:
        waiting = max((wire.out_bytes for wire in self.loop.out.values()), default=0)
        return (
            f"waiting_kb={waiting // KILO} sent {told(self.process.sent.taken(), for_s)} "
            f"received {told(self.process.got.taken(), for_s)}"
        )


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
