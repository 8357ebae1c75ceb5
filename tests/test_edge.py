"""Input validation at the process boundary: the sender against misbehaving instances over loopback
sockets, frames against garbage, settings and configurations against invalid input."""

from __future__ import annotations

import json
import queue
import random
import socket
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import pytest

from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import Ms
from spokeroute.common.settings import SettingsError, check_settings, read_settings
from spokeroute.dispatch.configuration.configuration import Configuration, read_configuration
from spokeroute.exchange.sender import Sender
from spokeroute.exchange.types import AttemptDone, SendAttempt
from spokeroute.register.acceptor.acceptor import DiskWrite
from spokeroute.register.cells import Cell
from spokeroute.register.disk.disk import Disk, DiskError
from spokeroute.transport.frames import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameError,
    decode,
    encode,
    split_frames,
)
from spokeroute.transport.messages import Finish

IDENTITY = b'{"service":"readings","instance":"r-1"}'


def answer(
    body: bytes, head: str = "Spokeroute-Attempt: t1\r\n", length: int | None = None
) -> bytes:
    size = len(body) if length is None else length
    return f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n{head}\r\n".encode() + body


class ScriptedServer:
    """Accepts one connection and answers each request on it with the next of its replies."""

    def __init__(self, replies: list[bytes]) -> None:
        self.replies = replies
        self.requests: list[bytes] = []
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        sock, _ = self.server.accept()
        with sock:
            for reply in self.replies:
                data = b""
                while b"\r\n\r\n" not in data:
                    got = sock.recv(65536)
                    if not got:
                        return
                    data += got
                self.requests.append(data)
                sock.sendall(reply)
        self.server.close()


def send_attempt(address: str, *rest: Any) -> SendAttempt:
    """The attempt t1 at instance r-1 of the service readings."""
    row: list[Any] = ["t1", "r-1", "readings", address, *rest]
    return SendAttempt(*row)


def attempt(replies: list[bytes], good_for_ms: int = 5_000, wait_ms: int = 1_500) -> AttemptDone:
    server = ScriptedServer(replies)
    done: queue.Queue[AttemptDone] = queue.Queue()
    now = monotonic_ms()
    Sender(done.put).launch(
        send_attempt(server.address, "POST", "/readings", (), b"{}",
                Ms(now + wait_ms), Ms(now + good_for_ms))
    )  # fmt: skip
    return done.get(timeout=10)


def test_a_complete_answer_that_echoes_the_attempt_counts() -> None:
    done = attempt([answer(IDENTITY, ""), answer(b"done")])
    assert (done.ran, done.status, done.body) == ("yes", 200, b"done")
    chunked = b"HTTP/1.1 200 OK\r\nSpokeroute-Attempt: t1\r\nTransfer-Encoding: chunked\r\n\r\n"
    done = attempt([answer(IDENTITY, ""), chunked + b"4\r\ndone\r\n0\r\n\r\n"])
    assert (done.ran, done.body) == ("yes", b"done")


@pytest.mark.parametrize(
    "reply",
    [
        answer(b"done", "Spokeroute-Attempt: t2\r\n"),
        answer(b"done", ""),
        answer(b"do", length=4),
        b"HTTP/1.1 200 OK\r\nSpokeroute-Attempt: t1\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nSpokeroute-Attempt: t1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo",
        b"\x00\xff garbage\r\n\r\n",
        answer(b"", length=10**9),
        b"",
    ],
)
def test_a_doubtful_answer_may_have_run(reply: bytes) -> None:
    assert attempt([answer(IDENTITY, ""), reply]).ran == "maybe"


def test_an_attempt_without_an_answer_may_have_run() -> None:
    server = ScriptedServer([answer(IDENTITY, "")])
    server.replies.append(
        b"HTTP/1.1 200 OK\r\nSpokeroute-Attempt: t1\r\nContent-Length: 9\r\n\r\nx"
    )
    done: queue.Queue[AttemptDone] = queue.Queue()
    now = monotonic_ms()
    Sender(done.put).launch(
        send_attempt(server.address, "GET", "/", (), b"",
                Ms(now + 400), Ms(now + 5_000))
    )  # fmt: skip
    assert done.get(timeout=10).ran == "maybe"


def test_nothing_is_sent_to_another_instance_at_the_address() -> None:
    other = answer(b'{"service":"readings","instance":"r-2"}', "")
    server = ScriptedServer([other, answer(b"done")])
    done: queue.Queue[AttemptDone] = queue.Queue()
    now = monotonic_ms()
    Sender(done.put).launch(
        send_attempt(server.address, "POST", "/", (), b"{}",
                Ms(now + 1_500), Ms(now + 5_000))
    )  # fmt: skip
    got = done.get(timeout=10)
    assert got.ran == "no" and "another instance" in got.reason
    assert len(server.requests) == 1


def test_nothing_is_sent_after_the_proof_expired() -> None:
    done = attempt([answer(IDENTITY, ""), answer(b"done")], good_for_ms=-1)
    assert done.ran == "no" and "proof" in done.reason


def test_a_refused_connection_did_not_run() -> None:
    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
    done: queue.Queue[AttemptDone] = queue.Queue()
    now = monotonic_ms()
    Sender(done.put).launch(
        send_attempt(f"127.0.0.1:{port}", "GET", "/", (), b"",
                Ms(now + 1_000), Ms(now + 1_000))
    )  # fmt: skip
    assert done.get(timeout=10).ran == "no"


def test_malformed_frames_are_rejected() -> None:
    frame = encode(Envelope("a", 1, "h:1", "b", Finish("floor")))
    assert decode(frame).message == Finish("floor")
    assert split_frames(frame + frame[:7]) == ([frame], frame[:7])
    for bad in (frame[:-1], frame[:3], frame[:5] + b"\xff" * (len(frame) - 5)):
        with pytest.raises(FrameError):
            decode(bad)
    with pytest.raises(FrameError, match="schema version"):
        split_frames(frame[:4] + b"\x63" + frame[5:])
    with pytest.raises(FrameError, match="over"):
        split_frames((MAX_FRAME_BYTES + 1).to_bytes(4, "big") + frame[4:5])


def test_invalid_configurations_list_every_fault() -> None:
    doc = {
        "zones": ["north", "nowhere"],
        "services": [
            {"name": "a", "memoryMb": 99_999, "limit": 1},
            {"name": "a", "memoryMb": 128, "limit": "four"},
            {"name": "b", "memoryMb": 128, "limit": 1, "colour": "red"},
            {"name": "c", "limit": 1},
        ],
        "routes": [{"path": "/x", "service": "none"}],
        "extra": 1,
    }
    got = read_configuration(json.dumps(doc).encode(), ("north", "south"))
    assert isinstance(got, tuple)
    paths = {f.path for f in got}
    assert {"extra", "services[1].limit", "services[2].colour", "services[3].memoryMb"} <= paths
    assert all(f.remedy for f in got)
    doc["services"] = [{"name": "a", "memoryMb": 99_999, "limit": 1},
                       {"name": "a", "memoryMb": 128, "limit": 1}]  # fmt: skip
    del doc["extra"]
    doc["programs"] = {"rank": "cu +", "shift": "nothing + 1.0"}
    got = read_configuration(json.dumps(doc).encode(), ("north", "south"))
    assert isinstance(got, tuple)
    assert {f.path for f in got} == {
        "zones[1]", "services[0].memoryMb", "services[1].name", "routes[0].service",
        "programs.rank", "programs.shift",
    }  # fmt: skip
    for bad in (b"", b"[]", b"\xff", b"{}", b'{"zones":1,"services":{},"routes":3}'):
        assert isinstance(read_configuration(bad, ()), tuple)


def test_example_configurations_are_accepted() -> None:
    for name in ("tooluur", "organismo"):
        body = (Path(__file__).parent.parent / "examples" / f"{name}.json").read_bytes()
        got = read_configuration(body, ("north", "centre", "south"))
        assert isinstance(got, Configuration), got
        assert len(got.services) == 79


def test_invalid_settings_name_the_remedy(tmp_path: Path) -> None:
    good = {"name": "ex1", "zone": "north", "trunk": "127.0.0.1:7001",
            "http": "127.0.0.1:8001", "seeds": ("127.0.0.1:7002",)}  # fmt: skip
    check_settings(read_settings("", good), "exchange")
    cases: list[tuple[dict[str, object], str]] = [
        ({"trunk": "localhost:1"}, "IP number"),
        ({"http": "127.0.0.1:7001"}, "a port of its own"),
        ({"seeds": ()}, "seeds"),
        ({"name": ""}, "--name"),
    ]
    for change, said in cases:
        with pytest.raises(SettingsError, match=said):
            check_settings(read_settings("", {**good, **change}), "exchange")
    path = tmp_path / "p.toml"
    path.write_text("colour = 1\n")
    with pytest.raises(SettingsError, match="unknown setting"):
        read_settings(str(path), {})


def test_invalid_settings_end_the_process_with_one_line() -> None:
    command = [sys.executable, "-m", "spokeroute", "exchange", "--name", "x"]
    got = subprocess.run(command, capture_output=True, timeout=60, check=False)
    assert got.returncode == 2
    assert got.stderr.decode().count("\n") == 1 and b"zone" in got.stderr


def test_the_disk_identifies_the_member(tmp_path: Path) -> None:
    first = Disk(tmp_path / "a", 16)
    member = first.load().member
    first.close()
    again = Disk(tmp_path / "a", 16)
    assert again.load().member == member
    with pytest.raises(DiskError, match="of its own"):
        Disk(tmp_path / "a", 16)
    (tmp_path / "file").write_text("")
    with pytest.raises(DiskError, match="can't be used"):
        Disk(tmp_path / "file", 16)
    again.close()
    blank = Disk(tmp_path / "b", 16)
    assert blank.load().member != member
    blank.close()


def test_the_ledger_leaves_space_for_the_registers(tmp_path: Path) -> None:
    """At the specified load, a day of ledger entries would fill the LMDB environment, and a member
    with a full environment can no longer vote."""
    disk = Disk(tmp_path / "small", 16)
    rng = random.Random(1)
    for batch in range(60):
        entries = tuple((f"{batch:04d}-{n:04d}", rng.randbytes(4_000).hex()) for n in range(100))
        disk.append(entries, 200_000)
    kept = disk.entries("", 100_000)
    assert 500 < len(kept) < 6_000 and kept[-1][0] == "0059-0099"
    cell = Cell(value=b"x" * 500_000)
    for number in range(6):
        disk.write(DiskWrite(number, ((f"r{number}", cell),), (), None, False))
    disk.close()
