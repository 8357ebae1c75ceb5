"""The sender with a dialect that names the instance in each request and marks calls as not run."""

from __future__ import annotations

import queue
from dataclasses import replace

import pytest

from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import Ms
from spokeroute.exchange.sender import Sender
from spokeroute.exchange.types import AttemptDone
from spokeroute.http.dialect import InstanceDialect
from tests.test_edge import ScriptedServer, send_attempt

DIALECT = InstanceDialect(
    attempt_header="Attempt", wait_header="Left", identity_header="Meant", who_path="",
    not_run_header="Not-Run", misdirected_status=421, not_run_statuses=(408, 421, 429, 503),
    seal_header="Seal",
)  # fmt: skip


def answer(status: int, head: str, body: bytes = b"done") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body


def attempts_with(replies: list[bytes], count: int = 1) -> tuple[list[AttemptDone], list[bytes]]:
    """Make calls one after another at one instance; return the results and the requests."""
    server = ScriptedServer(replies)
    done: queue.Queue[AttemptDone] = queue.Queue()
    sender = Sender(done.put, DIALECT)
    got: list[AttemptDone] = []
    for number in range(count):
        now = monotonic_ms()
        job = send_attempt(server.address, "POST", "/a%2Fb?c=d", (("Attempt", "other"),), b"{}",
                           Ms(now + 1_500), Ms(now + 5_000))  # fmt: skip
        name = f"c{number}"
        sender.launch(replace(job, identity="i-1", caller_attempt=name))
        got.append(done.get(timeout=10))
    return got, server.requests


def test_the_instance_is_named_in_each_request_without_an_identity_request() -> None:
    (done,), (request,) = attempts_with([answer(200, "Attempt: c0\r\nSeal: s\r\n")])
    assert (done.ran, done.body) == ("yes", b"done")
    head = request.decode().splitlines()
    assert head[0] == "POST /a%2Fb?c=d HTTP/1.1"
    assert "Meant: i-1" in head and "Attempt: c0" in head and "Attempt: other" not in head


@pytest.mark.parametrize(
    ("reply", "why"),
    [
        (answer(503, "Attempt: c0\r\nNot-Run: 1\r\n"), "refused"),
        (answer(429, "Not-Run: 1\r\n"), "refused"),
        (answer(421, ""), "unreached"),
    ],
)
def test_a_not_run_answer_is_reported_as_not_run(reply: bytes, why: str) -> None:
    (done,), _ = attempts_with([reply])
    assert done.ran == "no" and done.reason.startswith(why)


@pytest.mark.parametrize(
    "reply",
    [
        answer(503, "Attempt: c0\r\n"),
        answer(429, "Attempt: c0\r\n"),
        answer(200, "Attempt: c0\r\n"),
        answer(200, "Attempt: c0\r\nSeal: s\r\nContent-Encoding: gzip\r\n"),
        answer(503, "Attempt: c9\r\nNot-Run: 1\r\n"),
    ],
)
def test_an_unmarked_refusal_or_unsealed_success_may_have_run(reply: bytes) -> None:
    (done,), _ = attempts_with([reply])
    assert done.ran == "maybe"


def test_a_surplus_answer_is_not_taken_for_the_next_call() -> None:
    """A late second answer to an earlier call says nothing about the next call."""
    good = answer(200, "Attempt: c0\r\nSeal: s\r\n")
    for late in (answer(503, "Not-Run: 1\r\n"), answer(200, "Attempt: c0\r\nSeal: s\r\n")):
        (first, second), _ = attempts_with([good, late], 2)
        assert first.ran == "yes" and second.ran == "maybe"


def test_an_error_answer_of_the_instance_counts_as_its_answer() -> None:
    (done,), _ = attempts_with([answer(500, "Attempt: c0\r\n")])
    assert (done.ran, done.status) == ("yes", 500)
