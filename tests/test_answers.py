"""Each call gets its own complete answer, or "may have run", over the real sender, pool and reader,
whatever an instance sends. If a guard of the code is removed, the tests notice."""

from __future__ import annotations

import queue
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from io import BufferedReader, BytesIO
from itertools import product
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from urllib3.util.wait import wait_for_read

from spokeroute.common.answers import Ran
from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import Ms
from spokeroute.exchange.sender import InstanceConnection, Sender
from spokeroute.exchange.types import AttemptDone, SendAttempt
from spokeroute.http.reader import BoundedReader, Response, UntrustedError
from tests.scripted_instance import CERTAIN, How, ScriptedInstance, body_of, chunked, reply
from tests.test_edge import send_attempt
from tests.test_sender_dialect import DIALECT

WAIT_MS = 10_000
CUTS = (0, 57)
SCRIPTS = st.lists(
    st.tuples(st.sampled_from(list(How)), st.integers(0, 400)), min_size=1, max_size=6
)


class Bench:
    """A sender and a scripted instance, one call after the other."""

    def __init__(self, script: list[tuple[How, int]]) -> None:
        self.instance = ScriptedInstance(deque(script))
        self.done: queue.Queue[AttemptDone] = queue.Queue()
        self.sender = Sender(self.done.put, DIALECT)

    def close(self) -> None:
        self.instance.close()
        self.sender.pool.shutdown()

    def call(self, name: str, wait_ms: int = WAIT_MS) -> AttemptDone:
        now = monotonic_ms()
        job: SendAttempt = send_attempt(
            self.instance.address, "POST", "/x", (), b"{}", Ms(now + wait_ms), Ms(now + wait_ms)
        )
        self.sender.launch(replace(job, identity="i-1", caller_attempt=name))
        return self.done.get(timeout=30)

    def judged(self, name: str) -> AttemptDone:
        """One call, checked against what the instance received of it."""
        before = len(self.instance.received)
        done = self.call(name)
        came = self.instance.received[before:]
        assert len(came) <= 1, "sent twice"
        assert all(got.name == name for got in came)
        if done.ran == Ran.NO:
            assert not any(got.how.runs for got in came), "ran, and was promised not to"
        if done.ran == Ran.YES:
            whole = [body_of(name, got.serial) for got in came]
            assert whole == [done.body], "not its own whole answer"
        if came and came[0].how in CERTAIN and len(came) == 1:
            assert done.ran != Ran.NO
        return done


def shuffled(examples: int) -> None:
    @settings(
        max_examples=examples, derandomize=True, deadline=None, database=None,
        phases=(Phase.generate,), suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    @given(SCRIPTS)
    def each(script: list[tuple[How, int]]) -> None:
        played(script)

    each()


def played(script: list[tuple[How, int]]) -> None:
    """Call until the instance has played its script, and check each call."""
    bench = Bench(script)
    try:
        for number in range(len(script)):
            name = f"c{number}"
            while bench.judged(name).ran == Ran.NO and bench.instance.script:
                pass  # refused: the entry node sends the same attempt again
    finally:
        bench.close()


def every_pair() -> None:
    """Each way to answer after each other one. Random scripts contain a given pair about three
    times in 600, and which pairs they contain depends on the loaded modules: hypothesis takes
    constants from those."""
    for first, second in product(How, How):
        for at in CUTS:
            played([(first, at), (second, at)])


def test_each_call_gets_its_own_complete_answer_or_may_have_run() -> None:
    every_pair()
    shuffled(120)


def fault_any_attempt_id(patch: pytest.MonkeyPatch) -> None:
    """Fault: an answer counts whatever attempt id it echoes."""

    class Same(str):
        __hash__ = str.__hash__

        def __ne__(self, other: object) -> bool:
            return False

    honest = Response.header_value
    patch.setattr(
        Response, "header_value",
        lambda self, name: Same("") if name == "Attempt" else honest(self, name),
    )  # fmt: skip


def fault_same_connection(patch: pytest.MonkeyPatch) -> None:
    """Fault: a refused call is sent again over the connection that it was refused on."""
    never = property(lambda self: set(), lambda self, value: None)
    patch.setattr(InstanceConnection, "rejected_attempts", never, raising=False)


def fault_resend_after_lost_answer(patch: pytest.MonkeyPatch) -> None:
    """Fault: after a lost answer the request is sent again."""
    honest = Sender._send_and_receive

    def exchange(self: Sender, job: SendAttempt, line: InstanceConnection) -> AttemptDone:
        try:
            return honest(self, job, line)
        except OSError:
            return honest(self, job, self._connection(job, 1.0))

    patch.setattr(Sender, "_send_and_receive", exchange)


def fault_cut_line_accepted(patch: pytest.MonkeyPatch) -> None:
    """Fault: a line is accepted though it is cut off."""
    patch.setattr(
        BoundedReader, "readline", lambda self, most_bytes=65536: self.raw.readline(most_bytes)
    )


@pytest.mark.parametrize(
    "inject",
    [
        fault_any_attempt_id,
        fault_same_connection,
        fault_resend_after_lost_answer,
        fault_cut_line_accepted,
    ],
)
def test_a_removed_guard_is_noticed(
    inject: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    inject(monkeypatch)
    with pytest.raises(AssertionError, match=r"sent twice|ran, and|not its own"):
        every_pair()
        shuffled(600)


def only_line(bench: Bench) -> InstanceConnection:
    ((line,),) = bench.sender.idle_connections.values()
    return line


def test_a_connection_that_sends_bytes_while_idle_is_not_reused() -> None:
    bench = Bench([(How.WHOLE, 0), (How.WHOLE, 0)])
    assert bench.judged("c0").ran == Ran.YES
    kept = only_line(bench)
    bench.instance.sockets[0].sendall(reply("c1", b"not yet asked"))
    assert wait_for_read(kept.conn.sock, timeout=10)
    assert bench.judged("c1").ran == Ran.YES
    assert kept.conn.sock is None and len(bench.instance.sockets) == 2
    bench.close()


def test_reuse_of_a_connection_with_unexpected_bytes_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(InstanceConnection, "has_unread_data", False)
    bench = Bench([(How.WHOLE, 0), (How.WHOLE, 0)])
    assert bench.judged("c0").ran == Ran.YES
    bench.instance.sockets[0].sendall(reply("c1", b"not yet asked"))
    assert wait_for_read(only_line(bench).conn.sock, timeout=10)
    with pytest.raises(AssertionError, match="not its own"):
        bench.judged("c1")
    bench.close()


def test_a_refused_call_is_sent_again_over_another_connection() -> None:
    """Else a surplus "not run" to the first send would be taken for the answer to the second."""
    bench = Bench([(How.AWAY, 0), (How.BEFORE, 0), (How.WHOLE, 0)])
    assert bench.judged("c0").ran == Ran.NO
    assert bench.judged("c0").ran == Ran.YES
    assert len(bench.instance.sockets) == 2
    assert bench.judged("c1").ran == Ran.YES
    assert len(bench.instance.sockets) == 2  # others use either
    bench.close()


def test_a_connection_that_refused_many_calls_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("spokeroute.exchange.sender.MAX_REJECTED_ATTEMPTS", 2)
    bench = Bench([(How.AWAY, 0)] * 2)
    assert [bench.judged(f"c{n}").ran for n in range(2)] == [Ran.NO] * 2
    assert bench.sender.idle_connections == {("r-1", bench.instance.address): []}
    bench.close()


def test_idle_connections_to_removed_instances_are_closed() -> None:
    bench = Bench([(How.WHOLE, 0)])
    bench.judged("c0")
    kept = only_line(bench)
    bench.sender._evict_idle(kept.idle_since + 21.0)
    assert bench.sender.idle_connections == {} and kept.conn.sock is None
    bench.close()


def test_no_answer_after_the_send_means_may_have_run() -> None:
    """The instance accepts the request and does not answer until the wait ends."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        bench = Bench([])
        bench.instance.address = f"127.0.0.1:{server.getsockname()[1]}"
        done = bench.call("c0", wait_ms=80)
        assert done.ran == Ran.MAYBE and done.reason.startswith("lost")
        bench.close()


def read(data: bytes, method: str = "GET") -> Any:
    """The body of an answer, and whether bytes follow it."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        theirs.shutdown(socket.SHUT_WR)
        answer = Response(ours, method=method)
        answer.begin()
        body = answer.read_body(4096, method)
        more = answer.has_surplus(ours)
        answer.close()
        return body, more


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.booleans(), st.integers(0, 10**6), st.binary(min_size=1, max_size=64))
def test_no_cut_answer_is_whole(in_chunks: bool, at: int, body: bytes) -> None:
    whole = chunked("c0", body) if in_chunks and len(body) > 3 else reply("c0", body)
    assert read(whole)[0] == body
    with pytest.raises((UntrustedError, OSError)):
        read(whole[: at % len(whole)])


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 204 X\r\nAttempt: c0\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 0\r\nno header\r\nConnection: close\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 4, 4\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: +4\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nContent-Length: \xb2\r\n\r\ndo",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: xchunked\r\n\r\ndone",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0x4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndoneXX0\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 101 X\r\n\r\n",
    ],
)
def test_a_malformed_answer_is_rejected(data: bytes) -> None:
    with pytest.raises((UntrustedError, OSError)):
        read(data)


def test_an_answer_that_arrives_in_small_pieces_ends_with_the_wait() -> None:
    """Also its head: each piece arrives within the socket's time-out, but not the whole."""
    head = BufferedReader(BytesIO(b"HTTP/1.1 200 X\r\n"))
    assert BoundedReader(head, monotonic_ms() + 60_000).readline() == b"HTTP/1.1 200 X\r\n"
    with pytest.raises(UntrustedError, match="in time"):
        BoundedReader(BufferedReader(BytesIO(b"done\r\n")), 1).readline()
    with pytest.raises(UntrustedError, match="in time"):
        BoundedReader(BufferedReader(BytesIO(b"done\r\n")), 1).read(4)
    endless = BufferedReader(BytesIO(b"X-A: b\r\n" * 100_000))
    lines = BoundedReader(endless)
    with pytest.raises(UntrustedError, match="out of bounds"):
        while lines.readline():
            pass


def test_surplus_bytes_in_the_same_segment_are_detected() -> None:
    good = reply("c0", b"done")
    ours, theirs = socket.socketpair()
    with ours, theirs:
        for data, more in ((good, False), (good + good, True), (good + good[:1], True)):
            theirs.sendall(data)
            answer = Response(ours, method="GET")
            answer.begin()
            assert answer.read_body(4096) == b"done"
            assert answer.has_surplus(ours) is more
            ours.settimeout(10)
    assert read(good)[1] is True  # the peer closed
