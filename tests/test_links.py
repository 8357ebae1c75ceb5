"""A connection between nodes that breaks: what waited on it was not sent, and nothing else."""

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

OLD = Ms(CONNECT_TIMEOUT_MS + 100)


def frame(attempt_id: str, body: bytes = b"") -> bytes:
    forward = Forward(attempt_id, "s", "i", 1, "POST", "/x", (), body, 1_000, "")
    return encode(Envelope("ex1", 1, "h:1", "ex2", forward))


class Told:
    """A loop with one peer, and what it says of connections that broke."""

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
        self.wire.opened_ms = Ms(self.wire.opened_ms - OLD)


@pytest.fixture
def told() -> Iterator[Told]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        made = Told(server)
        yield made
        for wire in list(made.loop.out.values()):
            wire.sock.close()
        made.loop.server.close()
        made.loop.selector.close()


def test_a_frame_on_the_next_connection_is_not_called_unsent(told: Told) -> None:
    """The first connection never came to be; the frame that opens the second one arrives."""
    told.loop.send(told.address, frame("c1.0"))
    told.age()
    told.loop.send(told.address, frame("c2.0"))
    assert told.lost == [("ex2", False, frozenset({"c1.0"}))]
    told.loop._flush(told.wire)
    told.server.settimeout(10)
    got = b""
    while not got:  # the first connection may have come up as well, and brings nothing
        peer, _ = told.server.accept()
        with peer:
            got = peer.recv(65536)
    assert attempts_in(split_frames(got)[0]) == {"c2.0"}


def test_what_left_whole_is_lost_and_what_did_not_is_unsent(told: Told) -> None:
    told.loop.send(told.address, frame("c1.0"))
    told.loop._flush(told.wire)
    told.loop.send(told.address, frame("c2.0"))
    told.loop.send(told.address, encode(Envelope("ex1", 1, "h:1", "ex2", Ping())))
    told.loop._close(told.wire)
    assert told.lost == [("ex2", True, frozenset({"c2.0"}))]


def test_a_frame_that_left_in_part_is_whole_for_nobody(told: Told) -> None:
    big = frame("c1.0", b"x" * (8 * 1024 * 1024 - 4096))
    told.loop.send(told.address, big)
    told.loop._flush(told.wire)
    assert 0 < told.wire.head_sent_bytes < len(big)
    assert decode(told.wire.outbound[0]).message.attempt_id == "c1.0"
    told.loop._close(told.wire)
    assert told.lost == [("ex2", True, frozenset({"c1.0"}))]


def test_what_a_peer_cannot_keep_up_with_is_unsent(told: Told) -> None:
    body = b"x" * (6 * 1024 * 1024)
    for number in range(1 + MAX_QUEUED_BYTES // len(body)):
        told.loop.send(told.address, frame(f"c{number}.0", body))
    assert told.lost == [("ex2", False, frozenset({"c0.0", "c1.0", "c2.0"}))]


def test_an_address_that_takes_no_connection_is_told_at_once(
    told: Told, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(told.loop, "_connect", lambda address: None)
    told.loop.send(told.address, frame("c1.0"))
    assert told.lost == [("ex2", False, frozenset({"c1.0"}))]


def test_peers_that_keep_up_with_nothing_do_not_take_the_memory(
    told: Told, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each stays under its own bound; together they don't, and the one with most is given up."""
    monkeypatch.setattr(net, "MAX_TOTAL_QUEUED_BYTES", 8 * LARGE_QUEUE_BYTES)
    body = b"x" * (LARGE_QUEUE_BYTES + 1)
    others = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    addresses = [Address(f"127.0.0.1:{other.getsockname()[1]}") for other in others]
    for number, address in enumerate(addresses):
        told.loop.address_books = ({**told.loop.address_books[0], NodeId(f"o{number}"): address},)
        for turn in range(3 if number == 2 else 2):
            told.loop.send(address, frame(f"{number}.{turn}", body))
    assert [(name, len(unsent)) for name, _, unsent in told.lost] == [("o2", 3)]
    assert sum(wire.queued_bytes for wire in told.loop.out.values()) <= 8 * LARGE_QUEUE_BYTES
    for other in others:
        other.close()


def test_a_refused_connection_names_the_life_heard_before_it_was_dialled(told: Told) -> None:
    refused: list[tuple[str, int]] = []
    told.loop.refused = lambda node, life: refused.append((node, life))
    told.loop.incarnations = {told.address: (Incarnation(7), Incarnation(6))}
    told.server.close()
    told.loop.send(told.address, frame("c1.0"))
    told.loop.incarnations = {told.address: (Incarnation(8),)}  # heard before the refusal is read
    me = Me(NodeId("ex1"), Incarnation(1), Address("h:1"), "exchange", "z")
    process = Process(me, Recorder())  # type: ignore[arg-type]
    for _ in range(100):
        for key, mask in told.loop.selector.select(0.1):
            if isinstance(key.data, Connection):
                told.loop._serve(key.data, mask, process)
        if refused:
            break
    assert refused == [("ex2", 7)]


def test_nothing_is_said_of_one_that_was_never_heard(told: Told) -> None:
    refused: list[tuple[str, int]] = []
    told.loop.refused = lambda node, life: refused.append((node, life))
    told.loop._report_refused(told.address, None)
    assert refused == []
