"""The platform executor and the HTTP platform contract, over real sockets."""

from __future__ import annotations

import queue
import socket
from typing import Any

import pytest

from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import Address, InstanceId, Ms
from spokeroute.dispatch.placement.platform import (
    ListPlatform,
    PlatformCall,
    PlatformDone,
    PlatformListed,
)
from spokeroute.exchange.connect import ConnectDone, ConnectJob, Connector, connect
from spokeroute.registry.platform_executor import HttpPlatform, PlatformExecutor
from tests.test_edge import ScriptedServer


def job(op: str, identity: str = "", good_for_ms: int = 5_000) -> PlatformCall:
    good_until_ms = Ms(monotonic_ms() + good_for_ms)
    return PlatformCall(op, "readings-1-2-1", "readings", "w1", 512, 4, good_until_ms, identity)


class Faulty:
    """A client that raises, although the contract forbids it."""

    def list(self) -> PlatformListed:
        raise ValueError("no such page")

    def call(self, job: PlatformCall) -> PlatformDone:
        raise OSError("no route")


def reported(client: Any, ask: object) -> Any:
    got: queue.Queue[object] = queue.Queue()
    executor = PlatformExecutor(client, lambda actor, event: got.put(event))
    if isinstance(ask, PlatformCall):
        executor.call("placement", ask)
    else:
        executor.list("placement", ListPlatform())
    return got.get(timeout=10)


def test_a_client_that_raises_is_a_failed_call_and_no_listing() -> None:
    assert reported(Faulty(), job("start")).outcome == "failed"
    listing = reported(Faulty(), ListPlatform())
    assert not listing.ok and "no such page" in listing.reason


def test_no_platform_call_after_the_lease_expires() -> None:
    assert reported(Faulty(), job("start", good_for_ms=0)).outcome == "late"


@pytest.mark.parametrize(
    ("status", "outcome"), [(202, "ok"), (429, "refused"), (409, "failed"), (500, "failed")]
)
def test_the_http_contract_names_instances_by_our_id(status: int, outcome: str) -> None:
    server = ScriptedServer([f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()])
    done = HttpPlatform(server.address).call(job("start"))
    assert done.outcome == outcome
    assert done.identity == ("readings-1-2-1" if outcome == "ok" else "")


def test_a_stop_uses_the_identity_or_else_our_id() -> None:
    for identity, path in (("i-7", b"/instances/i-7 "), ("", b"/instances/readings-1-2-1 ")):
        server = ScriptedServer([b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"])
        assert HttpPlatform(server.address).call(job("stop", identity)).outcome == "ok"
        assert path in server.requests[0]


def test_a_connect_reports_reached_refused_or_neither() -> None:
    server = socket.create_server(("127.0.0.1", 0))
    address = Address(f"127.0.0.1:{server.getsockname()[1]}")
    got: queue.Queue[ConnectDone] = queue.Queue()
    Connector(got.put).launch(ConnectJob(InstanceId("a"), address, 1_000))
    assert got.get(timeout=10) == ConnectDone(InstanceId("a"), address, True)
    server.close()
    assert connect(ConnectJob(InstanceId("a"), address, 1_000)).refused
    nowhere = ConnectJob(InstanceId("a"), Address("no address"), 1_000)
    assert connect(nowhere) == ConnectDone(InstanceId("a"), nowhere.address, False)
