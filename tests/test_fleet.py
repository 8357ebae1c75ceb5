"""A real fleet on loopback: readiness is waited for, ports are free ones, nothing is timed."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from tools.fleet import Fleet, get

# Real processes draw free ports: two fleets at once may draw the same one.
pytestmark = pytest.mark.xdist_group("fleet")

EXAMPLE = Path(__file__).parent.parent / "examples" / "organismo.json"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path / "fleet", exchanges=3, organismo=True)
    made.start_all()
    yield made
    made.stop()


def client(fleet: Fleet, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "spokeroute", "client", *words, "--registry", fleet.registries],
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip


def post(
    fleet: Fleet, name: str, path: str, key: str = "", wait: str = "8000", client: str = ""
) -> tuple[int, bytes]:
    headers = {"Spokeroute-Wait-Ms": wait}
    headers.update({"Idempotency-Key": key} if key else {})
    headers.update({"Spokeroute-Client": client} if client else {})
    url = f"http://{fleet.http[name]}{path}"
    try:
        got = urllib3.PoolManager(retries=False).request(
            "POST", url, body=b"{}", headers=headers, timeout=20
        )
    except urllib3.exceptions.HTTPError:
        return 0, b""  # it is not there yet
    return got.status, got.data


def raw(fleet: Fleet, name: str, data: bytes) -> bytes:
    """What a caller gets for bytes of its own."""
    host, _, port = fleet.http[name].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        sock.sendall(data)
        return sock.recv(65536)


def garbage(fleet: Fleet, name: str) -> None:
    """Bad frames at the trunk: each connection is closed, and the process lives."""
    command = fleet.commands[name]
    host, _, port = command[command.index("--trunk") + 1].rpartition(":")
    for data in (b"\xff" * 64, b"\x00\x00\x00\x04\x01abcd", b"\x00\x00\x00\x04\x09abcd"):
        with socket.create_connection((host, int(port)), timeout=20) as sock:
            sock.sendall(data)
            assert sock.recv(16) == b""
    assert fleet.processes[name].poll() is None


def until_served(fleet: Fleet, name: str, path: str, key: str = "") -> bytes:
    """Call until it is served: the fleet may be starting instances. A key is free again after
    each refusal that says that the call did not run."""
    until = time.monotonic() + 60
    while time.monotonic() < until:
        status, body = post(fleet, name, path, key=key)
        if status == 200:
            return body
        time.sleep(0.05)
    raise AssertionError(f"{path} was not served at {name}: {status} {body!r}")


def test_the_whole_path(fleet: Fleet, tmp_path: Path) -> None:
    regs = [n for n in fleet.commands if n.startswith("reg")]
    exs = [n for n in fleet.commands if n.startswith("ex")]
    assert fleet.wait_ready(regs, 60) == []
    until = time.monotonic() + 60
    while not get(fleet.http["ex1"], "/spokeroute/ready")[0] and time.monotonic() < until:
        time.sleep(0.05)
    assert post(fleet, "ex1", "/port-ins")[0] == 503  # nothing rules yet
    doc = json.loads(EXAMPLE.read_text())
    slow = {"path": "/slow", "service": "port-ins", "methods": ["POST"], "perClientPerS": 0.01}
    doc["routes"].append(slow)  # one call in 100 s
    wanted = tmp_path / "wanted.json"
    wanted.write_text(json.dumps(doc))
    applied = client(fleet, "apply", str(wanted))
    assert applied.returncode == 0, applied.stderr
    assert json.loads(applied.stdout)["version"] == 1
    stale = client(fleet, "apply", str(EXAMPLE), "--if-version", "0")
    assert stale.returncode == 1 and "--if-version 1" in stale.stderr
    bad = tmp_path / "bad.json"
    bad.write_text('{"routes": [], "services": [], "zones": ["moon"], "colour": 1}')
    refused = client(fleet, "apply", str(bad))
    assert refused.returncode == 1 and "colour: unknown field" in refused.stderr
    checked = client(fleet, "apply", str(bad), "--check")
    assert checked.returncode == 1 and "colour: unknown field" in checked.stderr
    del doc["routes"][-1]
    doc["services"][0]["limit"] = 5
    other = tmp_path / "other.json"
    other.write_text(json.dumps(doc))
    checked = client(fleet, "apply", str(other), "--check")
    assert checked.returncode == 0, checked.stderr
    assert checked.stdout.splitlines() == [
        "no faults; against version 1: 2 changes, nothing applied",
        "- routes /slow",
        "~ services port-ins limit: 4 -> 5",
    ]
    assert json.loads(client(fleet, "show").stdout)["version"] == 1
    assert fleet.wait_ready(exs, 60) == []
    for name in exs:
        assert b"instance" in until_served(fleet, name, "/port-ins")
    status, text = get(fleet.http["ex1"], "/spokeroute/metrics")
    assert status == 200 and b"spokeroute_open_calls " in text
    assert b'reason="no_proof"' in text  # the call that came before anything ruled
    status, text = get(fleet.http["reg1"], "/metrics")
    assert status == 200 and b"spokeroute_instances " in text
    assert b"instance" in until_served(fleet, "ex1", "/municipal/07/x")
    until_served(fleet, "ex1", "/port-ins", key="k1")
    until = time.monotonic() + 30
    known = "in progress"  # the note of the end follows the answer
    while known == "in progress" and time.monotonic() < until:
        status, body = post(fleet, "ex2", "/port-ins", key="k1")
        assert status == 409, body
        known = json.loads(body)["known"]
    assert known == "ended 200"
    assert post(fleet, "ex1", "/nowhere")[0] == 404
    assert post(fleet, "ex1", "/inquiries/1")[0] == 405
    assert post(fleet, "ex1", "/port-ins", wait="soon")[0] == 400
    assert post(fleet, "ex1", "/port-ins", key="two words")[0] == 400
    assert raw(fleet, "ex1", b"NONSENSE\r\n\r\n").startswith(b"HTTP/1.0 400")
    head = b"POST /port-ins HTTP/1.1\r\nHost: x\r\nSpokeroute-Wait-Ms: 900\r\n"
    big = head + b"Content-Length: 300000\r\n\r\n" + b"x" * 300000
    assert b" 413 " in raw(fleet, "ex1", big).split(b"\r\n")[0]
    statuses = [post(fleet, "ex3", "/slow", client="greedy")[0] for _ in range(3)]
    assert statuses[1:] == [429, 429]
    garbage(fleet, "ex1")

    fleet.signal("reg1", signal.SIGKILL)
    fleet.signal("ex2", signal.SIGKILL)
    again = client(fleet, "apply", str(EXAMPLE))
    assert again.returncode == 0 and json.loads(again.stdout)["version"] == 2
    until_served(fleet, "ex1", "/port-ins")
    fleet.start("reg1")
    fleet.start("ex2")
    assert fleet.wait_ready(["reg1", "ex2"], 60) == []
    until_served(fleet, "ex2", "/port-ins")
    shown = client(fleet, "show")
    assert json.loads(shown.stdout)["version"] == 2
    assert client(fleet, "evacuate", "north").returncode == 0
    assert client(fleet, "restore", "north").returncode == 0
    assert client(fleet, "evacuate", "moon").returncode == 1
    replayed = client(fleet, "replay")
    assert replayed.returncode == 0 and "no difference" in replayed.stdout, replayed.stderr
    codes = fleet.stop()
    assert {n: c for n, c in codes.items() if n != "platform" and c != 0} == {}


def test_a_herd_of_registries_comes_back(fleet: Fleet) -> None:
    regs = [n for n in fleet.commands if n.startswith("reg")]
    assert fleet.wait_ready(regs, 60) == []
    assert client(fleet, "apply", str(EXAMPLE)).returncode == 0
    until_served(fleet, "ex1", "/port-ins")
    for name in regs:
        fleet.signal(name, signal.SIGKILL)
    gone = client(fleet, "show")
    assert gone.returncode == 3 and "does not answer" in gone.stderr
    for name in regs:
        fleet.start(name)
    assert fleet.wait_ready(regs, 60) == []
    assert json.loads(client(fleet, "show").stdout)["version"] == 1
    until_served(fleet, "ex3", "/port-ins")
