"""A broken connection between nodes reports exactly its queued attempts as unsent.

Guards against reporting an attempt as unsent although its frame was sent or may still arrive.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from spokeroute.common.ids import Address, Incarnation, Ms, NodeId
from spokeroute.transport import net
from spokeroute.transport.call_messages import (
    Forward,
    Ping,
)
from spokeroute.transport.frames import Envelope, decode, encode, split_frames
from spokeroute.transport.net import (
    CONNECT_TIMEOUT_MS,
    LARGE_QUEUE_BYTES,
    MAX_QUEUED_BYTES,
    Connection,
    Loop,
    attempts_in,
)
from spokeroute.transport.process import Me, Process
from tests.test_partial_views import Recorder

EXPIRED_CONNECT_MS = Ms(CONNECT_TIMEOUT_MS + 100)


def frame(attempt_id: str, body: bytes = b"") -> bytes:
    forward = Forward(attempt_id, "s", "i", 1, "POST", "/x", (), body, 1_000, "")
    return encode(Envelope("ex1", 1, "h:1", "ex2", forward))


class LoopWithPeer:
    """A loop with one peer that records the lost connections it reports."""

    def __init__(self, server: socket.socket) -> None:
        self.server = server
        self.address = Address(f"127.0.0.1:{server.getsockname()[1]}")
        self.loop = Loop(Address("127.0.0.1:0"))
        self.loop.address_books = ({NodeId("ex2"): self.address},)
        self.lost: list[tuple[str, bool, frozenset[str]]] = []
        self.loop.lost = lambda node, reached, unsent: self.lost.append((node, reached, unsent))

    @property
    def wire(self) -> Connection:
        return self.loop.out[self.address]

    def age(self) -> None:
        self.wire.opened_ms = Ms(self.wire.opened_ms - EXPIRED_CONNECT_MS)


@pytest.fixture
def peer_loop() -> Iterator[LoopWithPeer]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        made = LoopWithPeer(server)
        yield made
        for wire in list(made.loop.out.values()):
            wire.sock.close()
        made.loop.server.close()
        made.loop.selector.close()


def test_a_frame_on_the_next_connection_is_not_reported_unsent(peer_loop: LoopWithPeer) -> None:
    """The first connection is never established; the frame that opens the second one arrives."""
    peer_loop.loop.send(peer_loop.address, frame("c1.0"))
    peer_loop.age()
    peer_loop.loop.send(peer_loop.address, frame("c2.0"))
    assert peer_loop.lost == [("ex2", False, frozenset({"c1.0"}))]
    peer_loop.loop._flush(peer_loop.wire)
    peer_loop.server.settimeout(10)
    got = b""
    while not got:  # the first connection may be accepted too, without data
        peer, _ = peer_loop.server.accept()
        with peer:
            got = peer.recv(65536)
    assert attempts_in(split_frames(got)[0]) == {"c2.0"}


def test_only_frames_not_fully_written_are_reported_unsent(peer_loop: LoopWithPeer) -> None:
    peer_loop.loop.send(peer_loop.address, frame("c1.0"))
    peer_loop.loop._flush(peer_loop.wire)
    peer_loop.loop.send(peer_loop.address, frame("c2.0"))
    peer_loop.loop.send(peer_loop.address, encode(Envelope("ex1", 1, "h:1", "ex2", Ping())))
    peer_loop.loop._close(peer_loop.wire)
    assert peer_loop.lost == [("ex2", True, frozenset({"c2.0"}))]


def test_a_partially_written_frame_is_reported_unsent(peer_loop: LoopWithPeer) -> None:
    big = frame("c1.0", b"x" * (8 * 1024 * 1024 - 4096))
    peer_loop.loop.send(peer_loop.address, big)
    peer_loop.loop._flush(peer_loop.wire)
    assert 0 < peer_loop.wire.head_sent_bytes < len(big)
    assert decode(peer_loop.wire.outbound[0]).message.attempt_id == "c1.0"
    peer_loop.loop._close(peer_loop.wire)
    assert peer_loop.lost == [("ex2", True, frozenset({"c1.0"}))]


def test_frames_beyond_the_queue_limit_of_a_slow_peer_are_unsent(peer_loop: LoopWithPeer) -> None:
    body = b"x" * (6 * 1024 * 1024)
    for number in range(1 + MAX_QUEUED_BYTES // len(body)):
        peer_loop.loop.send(peer_loop.address, frame(f"c{number}.0", body))
    assert peer_loop.lost == [("ex2", False, frozenset({"c0.0", "c1.0", "c2.0"}))]


def test_a_failed_connect_is_reported_at_once(
    peer_loop: LoopWithPeer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_loop.loop, "_connect", lambda address: None)
    peer_loop.loop.send(peer_loop.address, frame("c1.0"))
    assert peer_loop.lost == [("ex2", False, frozenset({"c1.0"}))]


def test_slow_peers_together_do_not_exceed_the_memory_limit(
    peer_loop: LoopWithPeer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each queue is within its own limit but all together are not: the longest is dropped."""
    monkeypatch.setattr(net, "MAX_TOTAL_QUEUED_BYTES", 8 * LARGE_QUEUE_BYTES)
    body = b"x" * (LARGE_QUEUE_BYTES + 1)
    others = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    addresses = [Address(f"127.0.0.1:{other.getsockname()[1]}") for other in others]
    for number, address in enumerate(addresses):
        peer_loop.loop.address_books = (
            {**peer_loop.loop.address_books[0], NodeId(f"o{number}"): address},
        )
        for turn in range(3 if number == 2 else 2):
            peer_loop.loop.send(address, frame(f"{number}.{turn}", body))
    assert [(name, len(unsent)) for name, _, unsent in peer_loop.lost] == [("o2", 3)]
    assert sum(wire.queued_bytes for wire in peer_loop.loop.out.values()) <= 8 * LARGE_QUEUE_BYTES
    for other in others:
        other.close()


def test_a_refused_connection_reports_the_incarnation_heard_before_connecting(
    peer_loop: LoopWithPeer,
) -> None:
    refused: list[tuple[str, int]] = []
    peer_loop.loop.refused = lambda node, incarnation: refused.append((node, incarnation))
    peer_loop.loop.incarnations = {peer_loop.address: (Incarnation(7), Incarnation(6))}
    peer_loop.server.close()
    peer_loop.loop.send(peer_loop.address, frame("c1.0"))
    # A new incarnation is heard before the refusal is read.
    peer_loop.loop.incarnations = {peer_loop.address: (Incarnation(8),)}
    me = Me(NodeId("ex1"), Incarnation(1), Address("h:1"), "exchange", "z")
    process = Process(me, Recorder())  # type: ignore[arg-type]
    for _ in range(100):
        for key, mask in peer_loop.loop.selector.select(0.1):
            if isinstance(key.data, Connection):
                peer_loop.loop._serve(key.data, mask, process)
        if refused:
            break
    assert refused == [("ex2", 7)]


def test_a_refusal_without_a_known_incarnation_is_not_reported(peer_loop: LoopWithPeer) -> None:
    refused: list[tuple[str, int]] = []
    peer_loop.loop.refused = lambda node, incarnation: refused.append((node, incarnation))
    peer_loop.loop._report_refused(peer_loop.address, None)
    assert refused == []
