"""The HTTP front over real sockets on loopback: what of a request reaches the call path, and what
of its answer reaches the caller."""

from __future__ import annotations

import selectors
import threading
import time
from collections.abc import Iterator

import pytest

from spokeroute.common.answers import Answer
from spokeroute.exchange.types import CallIn
from tests.front_harness import GET, LONG, Caller, FrontHarness


@pytest.fixture
def harness() -> Iterator[FrontHarness]:
    made = FrontHarness()
    yield made
    made.close()


def test_the_dialect_sets_which_headers_are_read(harness: FrontHarness) -> None:
    caller = Caller(harness.address).send(
        b"POST /a/b%2Fc%20d?x=%31&y HTTP/1.1\r\nHost: shop.example\r\nTime-Left: 700\r\n"
        b"Try-Id: t-9\r\nOnce: k1\r\nWho: me\r\nContent-Length: 2\r\nKeep-Alive: 3\r\n"
        b"Connection: x-hop, keep-alive\r\nX-Hop: 1\r\nExpect: nothing\r\n\r\n{}"
    )
    assert caller.answer()[0] == 200
    call = harness.call()
    assert (call.wait, call.attempt, call.key, call.client) == ("700", "t-9", "k1", "me")
    assert (call.host, call.target, call.body) == ("shop.example", "/a/b%2Fc%20d?x=%31&y", b"{}")
    assert (call.method, call.path, call.query) == ("POST", "/a/b/c d", "x=%31&y")
    assert call.headers == (
        ("Host", "shop.example"), ("Time-Left", "700"), ("Try-Id", "t-9"), ("Once", "k1"),
        ("Who", "me"),
    )  # fmt: skip


def test_targets_are_passed_on_unchanged(harness: FrontHarness) -> None:
    caller = Caller(harness.address)
    for sent, target, path in (
        (b"http://other.example/a?q", "/a?q", "/a"),
        (b"//twice//a", "//twice//a", "/twice//a"),
        (b"/%ff/%C3%A4?%ff", "/%ff/%C3%A4?%ff", "/\ufffd/ä"),
        (b"/a;b=c/../d?", "/a;b=c/../d?", "/a;b=c/../d"),
    ):
        caller.send(b"GET " + sent + b" HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        assert caller.answer()[0] == 200
        call = harness.call()
        assert (call.target, call.path, call.wait) == (target, path, "")
        assert call.host == ("other.example" if b"://" in sent else "shop.example")


def test_readiness_has_its_own_listener(harness: FrontHarness) -> None:
    caller = Caller(harness.ready_address)
    for ready, status in ((True, 200), (False, 503), (True, 200)):
        harness.is_ready = ready
        assert caller.send(b"GET /health/up HTTP/1.1\r\nHost: x\r\n\r\n").answer()[0] == status
    assert caller.send(GET).answer()[0] == 404
    assert harness.calls.empty()
    assert (
        Caller(harness.address).send(b"GET /health/up HTTP/1.1\r\nHost: x\r\n\r\n").answer()[0]
        == 200
    )
    assert harness.call().path == "/health/up"  # on the callers' listener it is an ordinary path


def test_metrics_are_served_on_the_readiness_listener_only(harness: FrontHarness) -> None:
    harness.front.metrics = lambda: b"spokeroute_open_calls 0.0\n"
    ask = b"GET /spokeroute/metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    status, headers, body = Caller(harness.ready_address).send(ask).answer()
    assert (status, body) == (200, b"spokeroute_open_calls 0.0\n")
    assert headers["content-type"].startswith("text/plain; version=0.0.4")
    assert harness.calls.empty()
    assert Caller(harness.address).send(ask).answer()[2] == b"done"
    assert harness.call().path == "/spokeroute/metrics"  # an ordinary path here


def test_chunked_bodies_are_assembled(harness: FrontHarness) -> None:
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller = Caller(harness.address)
    for data in (head, b"4\r\nab", b"cd\r\n1;ext=1\r\ne\r", b"\n0\r\nTrailer: x\r\n\r\n" + GET):
        caller.send(data)
    assert caller.answer()[0] == caller.answer()[0] == 200
    call = harness.call()
    assert call.body == b"abcde" and call.headers == (("Host", "x"),)
    assert harness.call().body == b""


def test_a_request_may_arrive_byte_by_byte(harness: FrontHarness) -> None:
    caller = Caller(harness.address)
    for byte in GET.replace(b"GET", b"PUT").replace(
        b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc"
    ):
        caller.send(bytes((byte,)))
    assert caller.answer()[0] == 200
    assert harness.call().body == b"abc"


def test_instance_answers_are_passed_on_without_hop_headers(harness: FrontHarness) -> None:
    headers = (
        ("Content-Type", "text/plain"), ("X-Seal", "a.b"), ("content-encoding", "gzip"),
        ("Date", "Thu, 01 Jan 1970 00:00:00 GMT"), ("Server", "theirs"), ("X-Empty", ""),
        ("X-Folded", "one\r\n two"),
    )  # fmt: skip
    hop = (
        ("Connection", "close, X-Once"), ("X-Once", "1"), ("Transfer-Encoding", "chunked"),
        ("Keep-Alive", "timeout=99"), ("Content-Length", "77"), ("Trailer", "X-T"),
    )  # fmt: skip
    body = bytes(range(256)) * 2_000
    harness.answer = lambda call: Answer(201, (*headers, *hop), body)
    status, got, data = Caller(harness.address).send(GET).answer()
    assert (status, data) == (201, body)
    assert got == {
        "content-type": "text/plain", "x-seal": "a.b", "content-encoding": "gzip",
        "date": "Thu, 01 Jan 1970 00:00:00 GMT", "server": "theirs", "x-empty": "",
        "x-folded": "one two", "content-length": "512000", "keep-alive": "timeout=59",
    }  # fmt: skip


@pytest.mark.parametrize("status", [204, 304, 200])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_framing_without_a_body(harness: FrontHarness, status: int, method: str) -> None:
    length = (("Content-Length", "5"),)
    body = b"hello" if (status, method) == (200, "GET") else b""
    harness.answer = lambda call: Answer(status, length, body)
    caller = Caller(harness.address)
    for _ in range(2):  # the second request shows that the first answer ended where it says
        caller.send(GET.replace(b"GET", method.encode()))
        got, headers, data = caller.answer(method)
        assert (got, data) == (status, body)
        assert headers.get("content-length") == (None if status == 204 else "5")


def test_http_1_0_and_connection_close(harness: FrontHarness) -> None:
    for head, stays in (
        (b"GET /a HTTP/1.0\r\n\r\n", False),
        (b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", True),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", False),
        (GET, True),
    ):
        caller = Caller(harness.address).send(head)
        status, headers, _ = caller.answer()
        assert status == 200
        assert (headers.get("connection") == "close") is not stays
        assert caller.send(GET).answer()[0] == 200 if stays else caller.closed()


def test_pipelined_requests_get_their_own_answers(harness: FrontHarness) -> None:
    harness.answer = lambda call: Answer(200, (), call.target.encode())
    sent = b"".join(GET.replace(b"/a", b"/%d" % n) for n in range(50))
    caller = Caller(harness.address).send(sent)
    assert [caller.answer()[2] for _ in range(50)] == [b"/%d" % n for n in range(50)]


def test_an_answer_for_a_gone_caller_is_dropped(harness: FrontHarness) -> None:
    harness.hold()
    left = Caller(harness.address).send(GET)
    call = harness.call()
    left.sock.close()
    assert harness.gone.get(timeout=20) == call.slot
    harness.reply(call.slot, Answer(200, (), b"late"))
    harness.answer = lambda call: Answer(200, (), b"own")
    stays = Caller(harness.address)
    for _ in range(20):  # the slot is reused
        assert stays.send(GET).answer()[2] == b"own"
        harness.reply(call.slot, Answer(200, (), b"later"))


def test_calls_beyond_the_slots_are_refused_at_once(harness: FrontHarness) -> None:
    harness.hold()
    callers = [Caller(harness.address).send(GET) for _ in range(8)]
    held = [harness.call() for _ in callers]
    status, headers, body = Caller(harness.address).send(GET).answer()
    assert status == 503 and headers["retry-after"] == "1" and b'"ran": "no"' in body
    for call in held:
        harness.reply(call.slot, Answer(200, (), b"done"))
    assert [caller.answer()[0] for caller in callers] == [200] * 8


@pytest.mark.parametrize("delay_s", [0.0, 0.005])
def test_time_before_a_request_is_read_counts_as_waited(
    harness: FrontHarness, delay_s: float
) -> None:
    """Also if the process is delayed between the poll and the handling of its events."""
    poll = harness.loop.selector.select

    def delayed(timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = poll(timeout)
        time.sleep(delay_s)
        return ready

    harness.loop.selector.select = delayed  # type: ignore[method-assign]
    second, blocked = Caller(harness.address), threading.Event()
    assert second.send(GET).answer()[0] == 200
    assert harness.call().waited_ms < 2_000

    def block(call: CallIn) -> Answer:
        if not blocked.is_set():
            second.send(GET)
            blocked.set()
            time.sleep(0.3)  # a slow turn of the loop
        return Answer(200, (), b"done")

    harness.answer = block
    Caller(harness.address).send(GET).answer()
    assert second.answer()[0] == 200
    harness.call()
    assert harness.call().waited_ms >= 300


def test_calls_wait_for_the_first_proof(harness: FrontHarness) -> None:
    harness.is_ready = False
    caller = Caller(harness.address).send(GET)
    assert (
        Caller(harness.ready_address)
        .send(b"GET /health/up HTTP/1.1\r\nHost: x\r\n\r\n")
        .answer()[0]
        == 503
    )
    assert harness.calls.empty()
    harness.is_ready = True
    assert caller.answer()[0] == 200
    assert harness.call().waited_ms >= 0


def test_100_continue_is_sent_if_the_caller_expects_it(harness: FrontHarness) -> None:
    caller = Caller(harness.address).send(LONG + b"2\r\nExpect: 100-continue\r\n\r\n")
    while b"\r\n\r\n" not in caller.read:
        assert caller.more()
    assert caller.read == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller.read.clear()
    assert caller.send(b"{}").answer()[0] == 200
    assert harness.call().body == b"{}"


def test_100_continue_is_not_sent_if_no_body_may_follow(harness: FrontHarness) -> None:
    expect = b"\r\nExpect: 100-continue\r\n\r\n"
    assert Caller(harness.address).send(GET[:-4] + expect).answer()[0] == 200
    assert Caller(harness.address).send(LONG + b"999999" + expect).answer()[0] == 413
