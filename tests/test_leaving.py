"""A stopping exchange announces itself, serves open calls, and stops in time."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from spokeroute.common.answers import Answer
from tests.front_harness import GET, LONG, Caller, FrontHarness

READY = b"GET /health/up HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def doors() -> Iterator[Callable[..., FrontHarness]]:
    made: list[FrontHarness] = []

    def make(**times: Any) -> FrontHarness:
        made.append(FrontHarness(**times))
        return made[-1]

    yield make
    for harness in made:
        harness.close()


def until(condition: Callable[[], bool]) -> None:
    end_s = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


def test_an_announced_stop_still_serves_calls(doors: Callable[..., FrontHarness]) -> None:
    harness = doors(announce_ms=600)
    kept, ready = Caller(harness.address), Caller(harness.ready_address)
    assert kept.send(GET).answer()[0] == 200
    assert ready.send(READY).answer()[0] == 200
    harness.stop()
    assert ready.send(READY).answer()[0] == 503  # at once
    for caller in (kept, Caller(harness.address)):
        status, headers, _ = caller.send(GET).answer()
        assert status == 200 and "connection" not in headers
    assert kept.closed()  # it is idle when the announcement time is over
    harness.thread.join(20)
    assert not harness.thread.is_alive()


def test_partly_read_calls_are_served_and_later_ones_refused(
    doors: Callable[..., FrontHarness],
) -> None:
    harness = doors()
    harness.hold()
    open_, half, late = (Caller(harness.address) for _ in range(3))
    open_.send(GET)
    first = harness.call()
    half.send(LONG + b"4\r\n\r\nab")
    twice = Caller(harness.address).send(GET)
    second = harness.call()
    twice.send(GET)  # read while the first one is unanswered
    channels = harness.front.listener.active_channels if harness.front.listener else {}
    until(lambda: any(c.request is not None for c in channels.values()))
    until(lambda: any(len(c.requests) == 2 for c in channels.values()))
    harness.stop()
    until(lambda: harness.front.closing)
    for caller in (late, Caller(harness.address)):
        status, headers, body = caller.send(GET).answer()
        assert status == 503 and b'"ran": "no"' in body
        assert headers["connection"] == "close" and float(headers["retry-after"]) > 0
        assert caller.closed()
    harness.answer = lambda call: Answer(200, (), call.body)
    half.send(b"cd")
    status, headers, body = half.answer()
    assert (status, body, headers["connection"]) == (200, b"abcd", "close")
    for call in (first, second):
        harness.reply(call.slot, Answer(200, (), b"done"))
    status, headers, _ = open_.answer()
    assert status == 200 and headers["connection"] == "close"
    assert "connection" not in twice.answer()[1]
    assert twice.answer()[1]["connection"] == "close"
    for caller in (half, open_, twice):
        assert caller.closed()
        caller.sock.close()
    harness.thread.join(20)
    assert not harness.thread.is_alive()


def test_a_large_answer_is_sent_completely(doors: Callable[..., FrontHarness]) -> None:
    harness = doors()
    body = b"x" * 30_000_000
    harness.answer = lambda call: Answer(200, (), body)
    caller = Caller(harness.address)
    caller.send(GET)
    harness.call()
    harness.stop()
    until(lambda: harness.front.closing)
    assert caller.answer()[2] == body and caller.closed()


def test_all_callers_are_answered_at_the_end_of_the_grace_time(
    doors: Callable[..., FrontHarness],
) -> None:
    harness = doors(grace_ms=1_400)
    harness.hold()
    open_, half = Caller(harness.address).send(GET), Caller(harness.address).send(GET[:-2])
    call = harness.call()
    stopped_s = time.monotonic()
    harness.stop()
    status, headers, body = open_.answer()
    assert status == 504 and b'"ran": "maybe"' in body and headers["connection"] == "close"
    status, headers, body = half.answer()
    assert status == 503 and b'"ran": "no"' in body and headers["connection"] == "close"
    assert open_.closed() and half.closed()
    harness.reply(call.slot, Answer(200, (), b"late"))
    harness.thread.join(20)
    assert time.monotonic() - stopped_s >= 0.4 and not harness.thread.is_alive()


def test_calls_before_the_first_proof_are_refused_at_a_stop(
    doors: Callable[..., FrontHarness],
) -> None:
    harness = doors(grace_ms=1_400)
    harness.is_ready = False
    caller = Caller(harness.address).send(GET)
    until(lambda: bool(harness.front.early_requests))
    harness.stop()
    status, _, body = caller.answer()
    assert status == 503 and b'"ran": "no"' in body
    assert harness.calls.empty()
