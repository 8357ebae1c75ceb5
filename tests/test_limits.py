"""What the HTTP front refuses by itself: malformed requests, exceeded limits, and time-outs."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from spokeroute.common.answers import Answer
from spokeroute.http.wsgi import Limits
from tests.front_harness import CHUNKED, GET, LONG, Caller, FrontHarness


@pytest.fixture
def harness() -> Iterator[FrontHarness]:
    made = FrontHarness()
    yield made
    made.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\nX: y\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (b"GET /a HTTP/3.0\r\nHost: x\r\n\r\n", 400),
        (b"GET /a\r\n\r\n", 400),
        (b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET http://[x/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (LONG + b"+5\r\n\r\nhello", 400),
        (LONG + b"5\r\nContent-Length: 6\r\n\r\nhello!", 400),
        (LONG + b"5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (CHUNKED + b"5\r\nhello!\r\n0\r\n\r\n", 400),
        (CHUNKED + b"x\r\nhello\r\n0\r\n\r\n", 400),
        (CHUNKED.replace(b"chunked", b"gzip, chunked"), 501),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 70_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"y" * 70_000, 431),
        (LONG + b"300000\r\n\r\n" + b"y" * 300_000, 413),
        (CHUNKED + (b"3e8\r\n" + b"y" * 1000 + b"\r\n") * 300, 413),
    ],
)  # fmt: skip
def test_refused_requests_are_answered_and_not_passed_on(
    harness: FrontHarness, data: bytes, status: int
) -> None:
    caller = Caller(harness.address).send(data)
    got, headers, body = caller.answer()
    assert got == status and headers["connection"] == "close" and b'"ran": "no"' in body
    assert caller.closed()
    assert Caller(harness.address).send(GET).answer()[0] == 200
    assert harness.call().path == "/a" and harness.calls.empty()


def test_limits_are_inclusive_and_can_change_while_running(harness: FrontHarness) -> None:
    caller = Caller(harness.address)
    assert caller.send(GET).answer()[0] == 200
    harness.front.limits = Limits(max_header_bytes=100, max_body_bytes=10)
    pad = 100 - len(b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nX: \r\n\r\n")
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nX: " + b"y" * pad
    assert caller.send(head + b"\r\n\r\n0123456789").answer()[0] == 200
    assert Caller(harness.address).send(head + b"y\r\n\r\n0123456789").answer()[0] == 431
    assert Caller(harness.address).send(LONG + b"11\r\n\r\n0123456789a").answer()[0] == 413
    small = b"".join(b"1\r\n%d\r\n" % n for n in range(10))
    assert caller.send(CHUNKED + small + b"0\r\n\r\n").answer()[0] == 200
    assert Caller(harness.address).send(CHUNKED + small + b"1\r\na\r\n0\r\n\r\n").answer()[0] == 413
    harness.front.limits = Limits()
    assert caller.send(LONG + b"11\r\n\r\n0123456789a").answer()[0] == 200


@pytest.mark.parametrize("part", [b"G", GET[:-2], LONG + b"5\r\n\r\nhell", CHUNKED + b"5\r\nhe"])
def test_an_incomplete_request_is_answered_after_the_time_out(
    harness: FrontHarness, part: bytes
) -> None:
    harness.front.limits = Limits(header_timeout_ms=300)
    caller = Caller(harness.address).send(part)
    status, headers, body = caller.answer()
    assert status == 408 and headers["connection"] == "close" and b'"ran": "no"' in body
    assert caller.closed() and harness.calls.empty()


def test_idle_connections_are_closed_after_the_announced_time(harness: FrontHarness) -> None:
    harness.front.limits = Limits(idle_timeout_ms=1_600)
    fresh, used = Caller(harness.address), Caller(harness.address)
    headers = used.send(GET).answer()[1]
    answered_s = time.monotonic()
    assert headers["keep-alive"] == "timeout=1"
    assert used.closed() and time.monotonic() - answered_s >= 1.5
    assert fresh.closed()


def test_a_connection_with_an_open_call_is_not_idle(harness: FrontHarness) -> None:
    harness.front.limits = Limits(idle_timeout_ms=300, header_timeout_ms=300)
    harness.hold()
    busy, idle = Caller(harness.address).send(GET), Caller(harness.address)
    call = harness.call()
    assert idle.closed()  # while the busy connection was left open
    harness.reply(call.slot, Answer(200, (), b"done"))
    assert busy.answer()[0] == 200
