"""Which configuration is compiled when: one at a time, the newest first, and with rests between.

Compiling takes a share of the processor that the calls need too. Whatever a configuration costs
here, and however often the operator changes it, this keeps that share bounded: after each
compilation comes a rest of several times as long. What was overtaken meanwhile is never compiled.
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.common.effects import Effects, Launch
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.common.switches import Switches
from spokeroute.register.replica.compile_jobs import CompileJob

REST_FACTOR = 4  # times as long as the compilation took: a fifth of the time goes into them at most
MAX_REST_MS = 500  # a configuration has to be in force within a few seconds


@dataclass(frozen=True, slots=True)
class CompileQueue:
    """The configuration that is compiled now, and the newest one that waits.

    Example:
        >>> CompileQueue().idle(Ms(0))
        True
    """

    running: CompileJob | None = None
    began_ms: Ms = Ms(0)
    rest_until_ms: Ms = Ms(0)
    waiting: CompileJob | None = None
    rests: int = REST_FACTOR

    def idle(self, now_ms: Ms) -> bool:
        """Whether a configuration that came now would be compiled at once.

        Example:
            >>> CompileQueue(rest_until_ms=Ms(9)).idle(Ms(8))
            False
        """
        return self.running is None and self.waiting is None and now_ms >= self.rest_until_ms

    def has(self, digest: str) -> bool:
        """Whether a configuration is in the queue already.

        Example:
            >>> CompileQueue().has("d")
            False
        """
        jobs = (self.running, self.waiting)
        return any(job is not None and job.copy.digest == digest for job in jobs)

    def offered(self, job: CompileJob) -> CompileQueue:
        """With a configuration that came; of those that wait the newest stays.

        Example:
            CompileQueue().offered(CompileJob(copy, value)).waiting is not None
        """
        if self.waiting is not None and self.waiting.copy.version > job.copy.version:
            return self
        return replace(self, waiting=job)

    def ended(self, digest: str, now_ms: Ms) -> CompileQueue:
        """A compilation ended; a rest begins.

        Example:
            >>> CompileQueue().ended("d", Ms(9)).rest_until_ms
            0
        """
        if self.running is None or self.running.copy.digest != digest:
            return self
        rest_ms = min(self.rests * (now_ms - self.began_ms), MAX_REST_MS)
        return replace(self, running=None, rest_until_ms=Ms(now_ms + rest_ms))

    def next(self, now_ms: Ms) -> tuple[CompileQueue, Effects]:
        """Start what waits, if it is time.

        Example:
            >>> CompileQueue().next(Ms(0))[1]
            ()
        """
        job = self.waiting
        if job is None or self.running is not None or now_ms < self.rest_until_ms:
            return self, ()
        return replace(self, running=job, waiting=None, began_ms=now_ms), (Launch(job),)


def compile_queue(switches: Switches) -> CompileQueue:
    """An empty queue, with rests after each compilation or without.

    Example:
        >>> compile_queue(Switches(compile_rests=False)).rests
        0
    """
    return CompileQueue() if switches.compile_rests else CompileQueue(rests=0)
