"""Configurations are compiled one at a time, newest first, within a bounded share of the time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from spokeroute.common.effects import Launch
from spokeroute.common.ids import CONFIGURATION, Ms
from spokeroute.register.replica.compile_jobs import CompileJob
from spokeroute.register.replica.compile_queue import MAX_REST_MS, REST_FACTOR, CompileQueue
from spokeroute.transport.messages import Copy

SPAN_MS = 20_000


def job(version: int) -> CompileJob:
    return CompileJob(Copy(CONFIGURATION, version, f"d{version}", version, "m1"), b"value")


def test_only_the_newest_of_the_waiting_configurations_is_compiled() -> None:
    queue, effects = CompileQueue().with_job(job(1)).start_next(Ms(0))
    assert effects == (Launch(job(1)),)
    for version in (2, 4, 3):
        queue, effects = queue.with_job(job(version)).start_next(Ms(5))
        assert effects == ()
    assert queue.has("d1") and queue.has("d4") and not queue.has("d3")
    queue = queue.finished("d1", Ms(10))
    assert queue.start_next(Ms(10 + 10 * REST_FACTOR - 1))[1] == ()
    assert queue.start_next(Ms(10 + 10 * REST_FACTOR))[1] == (Launch(job(4)),)


def test_the_end_of_another_compilation_is_ignored() -> None:
    queue, _ = CompileQueue().with_job(job(1)).start_next(Ms(0))
    assert queue.finished("d9", Ms(10)) is queue
    assert not queue.idle(Ms(10))


def test_the_pause_after_a_compilation_is_bounded() -> None:
    queue, _ = CompileQueue().with_job(job(1)).start_next(Ms(0))
    assert queue.finished("d1", Ms(3_000)).idle(Ms(3_000 + MAX_REST_MS))


@settings(deadline=None)  # the time is simulated; real time is not under test
@given(st.integers(1, MAX_REST_MS // REST_FACTOR), st.integers(1, 50))
def test_compilation_takes_at_most_a_fifth_of_the_time(took_ms: int, gap_ms: int) -> None:
    queue, busy_ms, newest, compiled = CompileQueue(), 0, 0, 0
    for now_ms in range(0, SPAN_MS):
        if now_ms % gap_ms == 0:
            newest += 1
            queue = queue.with_job(job(newest))
        if queue.running is not None and now_ms - queue.started_ms >= took_ms:
            busy_ms += took_ms
            queue = queue.finished(queue.running.copy.digest, Ms(now_ms))
        queue, launched = queue.start_next(Ms(now_ms))
        if launched and queue.running is not None:
            assert queue.running.copy.version > compiled
            compiled = queue.running.copy.version
    assert busy_ms <= SPAN_MS / (1 + REST_FACTOR) + took_ms
    assert newest - compiled <= ((1 + REST_FACTOR) * took_ms + 2 * gap_ms) / gap_ms
