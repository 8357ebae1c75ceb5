"""The soak's relays between regions, and how it ends where its fleet does not come up."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

import pytest

from spokeroute.transport.call_messages import Ping
from spokeroute.transport.frames import Envelope, encode
from tools.fleet import Fleet, last_line
from tools.ports import free_ports
from tools.relay import DelayRelay, between_regions, sender_of
from tools.soak import __main__ as command
from tools.soak.run import Soak, SoakError

DELAY_S = 0.12
NEAR, FAR = "127.0.0.1:7001", "127.0.0.1:7002"
REGIONS = {NEAR: "home", FAR: "away"}
REASON = "ModuleNotFoundError: No module named 'immutables'"


def frame_of(trunk: str) -> bytes:
    return encode(Envelope("ex", 1, trunk, "ex1", Ping()))


def carried_s(trunk: str) -> tuple[float, bytes]:
    """How long a frame of a node takes through a relay, and what arrives."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10)
        port = server.getsockname()[1]
        public = f"127.0.0.1:{free_ports(1)[0]}"
        relay = DelayRelay(public, f"127.0.0.1:{port}", between_regions("home", REGIONS, DELAY_S))
        host, _, at = public.rpartition(":")
        sent = frame_of(trunk)
        with socket.create_connection((host, int(at)), timeout=10) as near:
            far, _ = server.accept()
            with far:
                far.settimeout(10)
                begun_s = time.monotonic()
                near.sendall(sent[:7])  # the sender is known once the frame is whole
                near.sendall(sent[7:])
                got = b""
                while len(got) < len(sent):
                    got += far.recv(65_536)
                took_s = time.monotonic() - begun_s
        relay.close()
    return took_s, got


def test_frames_of_another_region_come_later_and_whole() -> None:
    took_s, got = carried_s(FAR)
    assert took_s >= DELAY_S
    assert got == frame_of(FAR)


def test_frames_of_the_own_region_are_not_held() -> None:
    assert min(carried_s(NEAR)[0] for _ in range(3)) < DELAY_S


def test_the_sender_is_read_from_a_whole_frame_only() -> None:
    whole = frame_of(FAR)
    assert sender_of(whole) == FAR
    assert sender_of(whole[:-1]) is None
    assert sender_of(b"\0" * 16) is None


class Broken(Fleet):
    """A fleet of which one process can't start."""

    def plan(self) -> None:
        super().plan()
        self.commands["reg2"] = [
            sys.executable,
            "-c",
            f'import sys; print("{REASON}"); sys.exit(1)',
        ]


def broken_soak(folder: Path) -> Soak:
    soak = Soak(folder, 1, 20.0, 1, 1)
    soak.fleet = Broken(folder, 1)
    return soak


def test_a_fleet_that_does_not_come_up_ends_at_once_with_its_last_line(tmp_path: Path) -> None:
    begun_s = time.monotonic()
    with pytest.raises(SoakError) as fault:
        broken_soak(tmp_path / "fleet").run()
    assert f"reg2 ended before the run: {REASON}" in str(fault.value)
    assert time.monotonic() - begun_s < 30


def test_the_command_ends_with_status_2(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def never_up(soak: Soak) -> list[str]:
        raise SoakError(f"reg2 ended before the run: {REASON}")

    monkeypatch.setattr(Soak, "run", never_up)
    monkeypatch.setattr(sys, "argv", ["tools.soak", "--folder", str(tmp_path)])
    with pytest.raises(SystemExit) as ended:
        command.main()
    assert ended.value.code == 2
    assert REASON in capsys.readouterr().err


def test_the_last_line_that_is_not_empty(tmp_path: Path) -> None:
    path = tmp_path / "a.out"
    path.write_text("one\ntwo \n\n")
    assert last_line(path) == "two"
    assert last_line(tmp_path / "none") == ""
