"""Real processes on faulty machines: wall clocks that jump by hours, and peers that vanish without
closing their connections. The tests wait for conditions and measure no times."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.test_fleet import EXAMPLE, client, post, until_served
from tools.fleet import Fleet
from tools.ports import free_ports
from tools.relay import Relay

# Real processes choose free ports, so that two concurrent fleets could choose the same one.
pytestmark = pytest.mark.xdist_group("fleet")

HOUR_S = 3_600


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path / "fleet", exchanges=3, organismo=True)
    made.plan()
    yield made
    made.stop()


def launched(fleet: Fleet, name: str, *options: str) -> None:
    """Start one process through the launcher."""
    command = fleet.commands[name]
    at = command.index("spokeroute")
    fleet.commands[name] = [*command[: at - 1], "-m", "tools.launch", *options, "--",
                            *command[at + 1 :]]  # fmt: skip


def until_true(said: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + 90
    while not said():
        assert time.monotonic() < until, what
        time.sleep(0.05)


def answer_on(sock: socket.socket) -> bytes:
    """Read one complete answer, so that the next one on the connection starts at its head."""
    data = b""
    while b"\r\n\r\n" not in data:
        got = sock.recv(65536)
        assert got, "the connection was closed"
        data += got
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    length = int(next(x for x in lines if x.startswith("content-length:")).split(":")[1])
    while len(body) < length:
        body += sock.recv(65536)
    return data


def begin(fleet: Fleet) -> None:
    for name in fleet.commands:
        fleet.start(name)
    assert fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 90) == []
    assert client(fleet, "apply", str(EXAMPLE)).returncode == 0
    for name in ("ex1", "ex2", "ex3"):
        until_served(fleet, name, "/port-ins")


def test_wall_clocks_jump_by_hours(fleet: Fleet, tmp_path: Path) -> None:
    """The clocks jump ahead by ten hours, then back by thirty. Idle connections stay open, a
    half-read request is completed, idempotency keys hold, and applies and the ledger continue."""
    clock = tmp_path / "clock"
    clock.write_text("0")
    for name in fleet.commands:
        if name != "platform":
            launched(fleet, name, "--clock", str(clock))
    begin(fleet)
    until_served(fleet, "ex1", "/port-ins", key="before")
    host, _, port = fleet.http["ex1"].rpartition(":")
    whole = (
        b"POST /port-ins HTTP/1.1\r\nHost: x\r\nSpokeroute-Wait-Ms: 8000\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    )
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        for jump_s in (10 * HOUR_S, -30 * HOUR_S, 0):
            sock.sendall(whole[:60])
            until_served(fleet, "ex1", "/port-ins")  # the first half is read before the jump
            clock.write_text(str(jump_s))
            for name in ("ex1", "ex2", "ex3"):  # many event loop iterations with the new clock
                for _ in range(5):
                    until_served(fleet, name, "/port-ins")
            sock.sendall(whole[60:])
            assert answer_on(sock).startswith(b"HTTP/1.1 200 ")
            status, body = post(fleet, "ex2", "/port-ins", key="before")
            assert status == 409 and b"ended 200" in body
            assert client(fleet, "apply", str(EXAMPLE)).returncode == 0
    replayed = client(fleet, "replay")
    assert replayed.returncode == 0, replayed.stderr


def test_a_machine_that_vanishes_without_closing_connections(fleet: Fleet) -> None:
    """A relay in front of an exchange's trunk drops all traffic but keeps connections open. The
    other exchanges take over its instances; once the relay forwards again, the exchange serves."""
    command = fleet.commands["ex2"]
    real = f"127.0.0.1:{free_ports(1)[0]}"
    relay = Relay(real)
    command[command.index("--trunk") + 1] = relay.address
    launched(fleet, "ex2", "--listen", real)
    begin(fleet)
    relay.dumb(True)

    def ready(name: str) -> bool:
        return fleet.wait_ready([name], 0.3) == []

    until_true(lambda: not ready("ex2"), "the deaf exchange still believes its copies")
    status, body = post(fleet, "ex2", "/port-ins")
    assert status == 503 and json.loads(body)["ran"] == "no"
    assert relay.swallowed > 0
    for name in ("ex1", "ex3"):
        for _ in range(10):
            until_served(fleet, name, "/port-ins")
    relay.dumb(False)
    until_true(lambda: ready("ex2"), "it did not come back")
    until_served(fleet, "ex2", "/port-ins")
