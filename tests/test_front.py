"""The callers' door over real sockets on loopback, without a fleet behind it: a script stands
in for the loop and answers each call as it is told to."""

from __future__ import annotations

import http.client
import threading
from collections.abc import Callable, Iterator

import pytest

from spokeroute.dial.answers import Answer
from spokeroute.dial.dialect import CallerDialect
from spokeroute.dial.http import serve
from spokeroute.dial.slab import Slab
from spokeroute.exchange.front import Front
from spokeroute.exchange.types import CallIn
from tools.fleet import free_ports

OTHER = CallerDialect(
    wait_header="Time-Left", wait_required=False, attempt_header="Try-Id",
    key_header="Once", client_header="Who", ready_path="/health/up",
)  # fmt: skip


class Door:
    """A front that is served, and the calls that reached its loop."""

    def __init__(self, dialect: CallerDialect) -> None:
        self.calls: list[CallIn] = []
        self.slab = Slab(64)
        self.answer: Callable[[CallIn], Answer] = lambda call: Answer(200, (), b"done")
        self.front = Front("ex1", self.slab, self.post, dialect)
        self.front.proved.set()
        self.front.ready = lambda: True
        ports = free_ports(2)
        self.address = f"127.0.0.1:{ports[0]}"
        self.ready_address = f"127.0.0.1:{ports[1]}"
        self.server, self.front.dispatcher = serve(
            self.front, self.address, 4, 16, 1 << 20, (self.front.ready_only, self.ready_address)
        )
        threading.Thread(target=self.server.run, daemon=True).start()

    def post(self, event: object) -> None:
        if isinstance(event, CallIn):
            self.calls.append(event)
            self.slab.answer(event.slot, self.answer(event))


def request(
    address: str, method: str, target: str, body: bytes = b"", **headers: str
) -> tuple[int, dict[str, str], bytes]:
    link = http.client.HTTPConnection(address, timeout=20)
    link.request(method, target, body, {k.replace("_", "-"): v for k, v in headers.items()})
    got = link.getresponse()
    answered = (got.status, {k.lower(): v for k, v in got.getheaders()}, got.read())
    link.close()
    return answered


@pytest.fixture
def door() -> Iterator[Door]:
    yield Door(OTHER)


def test_the_dialect_names_what_is_read(door: Door) -> None:
    status, _, body = request(
        door.address, "POST", "/a/b%2Fc%20d?x=%31&y", b"{}",
        Time_Left="700", Try_Id="t-9", Once="k1", Who="me", Host="shop.example",
    )  # fmt: skip
    assert (status, body) == (200, b"done")
    call = door.calls[0]
    assert (call.wait, call.attempt, call.key, call.client) == ("700", "t-9", "k1", "me")
    assert (call.host, call.target, call.body) == ("shop.example", "/a/b%2Fc%20d?x=%31&y", b"{}")
    assert (call.path, call.query) == ("/a/b/c d", "x=%31&y")
    assert ("Try-Id", "t-9") in call.headers


def test_a_missing_wait_is_passed_on_where_none_is_required(door: Door) -> None:
    assert request(door.address, "GET", "http://shop.example/a?q")[0] == 200
    assert door.calls[0].wait == ""
    assert door.calls[0].target == "/a?q"
    assert request(door.address, "GET", "//twice//a")[0] == 200
    assert door.calls[1].target == "//twice//a"


def test_readiness_has_a_listener_of_its_own(door: Door) -> None:
    for address in (door.address, door.ready_address):
        door.front.ready = lambda: True
        assert request(address, "GET", "/health/up")[0] == 200
        door.front.ready = lambda: False
        assert request(address, "GET", "/health/up")[0] == 503
    assert request(door.ready_address, "GET", "/else")[0] == 404
    assert door.calls == []
