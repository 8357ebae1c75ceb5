"""Schedules the compilation of configurations: one at a time, newest first, with pauses between.

Compilation competes with calls for the processor. The pause after each compilation is several
times as long as the compilation took, which bounds its share of the processor however expensive a
configuration is and however often the operator changes it. A configuration that is superseded
while it waits is never compiled.
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.common.effects import Effects, Launch
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.common.switches import Switches
from spokeroute.register.replica.compile_jobs import CompileJob

REST_FACTOR = 4  # pause per compile time: compilation takes at most a fifth of the time
MAX_REST_MS = 500  # a configuration must be in force within a few seconds


@dataclass(frozen=True, slots=True)
class CompileQueue:
    """The configuration that is being compiled, and the newest one that waits.

    Example:
        >>> CompileQueue().idle(Ms(0))
        True
    """

    running: CompileJob | None = None
    started_ms: Ms = Ms(0)
    rest_until_ms: Ms = Ms(0)
    waiting: CompileJob | None = None
    rest_factor: int = REST_FACTOR

    def idle(self, now_ms: Ms) -> bool:
        """Returns whether a configuration that arrives now would be compiled at once.

        Example:
            >>> CompileQueue(rest_until_ms=Ms(9)).idle(Ms(8))
            False
        """
        return self.running is None and self.waiting is None and now_ms >= self.rest_until_ms

    def has(self, digest: str) -> bool:
        """Returns whether a configuration is already running or waiting.

        Example:
            >>> CompileQueue().has("d")
            False
        """
        jobs = (self.running, self.waiting)
        return any(job is not None and job.copy.digest == digest for job in jobs)

    def with_job(self, job: CompileJob) -> CompileQueue:
        """Adds a configuration; only the newest of those that wait is kept.

        Example:
            CompileQueue().with_job(CompileJob(copy, value)).waiting is not None
        """
        if self.waiting is not None and self.waiting.copy.version > job.copy.version:
            return self
        return replace(self, waiting=job)

    def finished(self, digest: str, now_ms: Ms) -> CompileQueue:
        """Records the end of a compilation and starts the pause after it.

        Example:
            >>> CompileQueue().finished("d", Ms(9)).rest_until_ms
            0
        """
        if self.running is None or self.running.copy.digest != digest:
            return self
        rest_ms = min(self.rest_factor * (now_ms - self.started_ms), MAX_REST_MS)
        return replace(self, running=None, rest_until_ms=Ms(now_ms + rest_ms))

    def start_next(self, now_ms: Ms) -> tuple[CompileQueue, Effects]:
        """Starts the waiting compilation if none is running and the pause is over.

        Example:
            >>> CompileQueue().start_next(Ms(0))[1]
            ()
        """
        job = self.waiting
        if job is None or self.running is not None or now_ms < self.rest_until_ms:
            return self, ()
        return replace(self, running=job, waiting=None, started_ms=now_ms), (Launch(job),)


def compile_queue(switches: Switches) -> CompileQueue:
    """Returns an empty queue, with or without pauses between compilations.

    Example:
        >>> compile_queue(Switches(compile_rests=False)).rest_factor
        0
    """
    return CompileQueue() if switches.compile_rests else CompileQueue(rest_factor=0)
