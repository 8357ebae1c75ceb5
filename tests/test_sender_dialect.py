"""The sender by a dialect that names the instance on each send, and says "not run"."""

from __future__ import annotations

import queue
from dataclasses import replace

import pytest

from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import Ms
from spokeroute.exchange.sender import Sender
from spokeroute.exchange.types import AttemptDone
from spokeroute.http.dialect import InstanceDialect
from tests.test_edge import Scripted, send_attempt

DIALECT = InstanceDialect(
    attempt_header="Attempt", wait_header="Left", identity_header="Meant", who_path="",
    not_run_header="Not-Run", misdirected_status=421, not_run_statuses=(408, 421, 429, 503),
    seal_header="Seal",
)  # fmt: skip


def answer(status: int, head: str, body: bytes = b"done") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body


def tried(replies: list[bytes], count: int = 1) -> tuple[list[AttemptDone], list[bytes]]:
    """Calls one after the other on one instance, with their answers."""
    server = Scripted(replies)
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


def test_the_instance_is_named_on_each_send_and_no_other_call_goes_before() -> None:
    (done,), (request,) = tried([answer(200, "Attempt: c0\r\nSeal: s\r\n")])
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
def test_an_instance_that_did_not_run_it_says_so(reply: bytes, why: str) -> None:
    (done,), _ = tried([reply])
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
def test_what_promises_or_succeeds_without_proof_may_have_run(reply: bytes) -> None:
    (done,), _ = tried([reply])
    assert done.ran == "maybe"


def test_a_surplus_answer_is_not_the_next_ones() -> None:
    """A second "not run" of an earlier call that comes late says nothing of the next call."""
    good = answer(200, "Attempt: c0\r\nSeal: s\r\n")
    for late in (answer(503, "Not-Run: 1\r\n"), answer(200, "Attempt: c0\r\nSeal: s\r\n")):
        (first, second), _ = tried([good, late], 2)
        assert first.ran == "yes" and second.ran == "maybe"


def test_an_instances_own_failure_is_its_answer() -> None:
    (done,), _ = tried([answer(500, "Attempt: c0\r\n")])
    assert (done.ran, done.status) == ("yes", 500)
