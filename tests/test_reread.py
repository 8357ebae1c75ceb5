"""Settings that change while a process runs."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from spokeroute import reread
from spokeroute.common.effects import SendAddress, Tick
from spokeroute.common.ids import Address, Ms, NodeId
from spokeroute.common.settings import Settings, SettingsError
from spokeroute.ledger.ring import RingLog
from spokeroute.transport import peers
from spokeroute.transport.process import Me
from tests.sim.cluster import Sim

# Real processes draw free ports: two fleets at once may draw the same one.
pytestmark = pytest.mark.xdist_group("fleet")

OLD = Settings("ex1", seeds=("10.0.0.1:1",))


def test_new_seeds_reach_the_peers_core(sim: Sim, monkeypatch: pytest.MonkeyPatch) -> None:
    sim.settle()
    node = sim.exchanges[0]
    assert node.process is not None
    said: list[Settings | SettingsError] = [OLD]

    def read() -> Settings:
        if isinstance(said[-1], SettingsError):
            raise said[-1]
        return said[-1]

    rereader = reread.Rereader(node.process, RingLog("ex1"), OLD, read)
    rereader.look()
    said.append(replace(OLD, seeds=("10.0.0.7:1",)))
    rereader.look()  # not yet: it just did
    node.process.pump()
    assert node.state("peers").seeds == tuple(sim.seeds)
    rereader.ask()
    rereader.look()
    node.process.pump()
    assert node.state("peers").seeds == ("10.0.0.7:1",)
    said.append(SettingsError("cut short"))
    rereader.ask()
    rereader.look()
    node.process.pump()
    assert node.state("peers").seeds == ("10.0.0.7:1",)
    monkeypatch.setattr(reread, "EVERY_S", 0.0)
    rereader.next_s = 0.0
    said.append(replace(OLD, seeds=("10.0.0.8:1",)))
    rereader.look()  # unasked
    node.process.pump()
    assert node.state("peers").seeds == ("10.0.0.8:1",)


def test_seeds_change_whom_it_asks() -> None:
    me = Me(NodeId("a"), 1, Address("10.0.0.9:1"), "exchange", "north")  # type: ignore[arg-type]
    state = peers.State(me, (Address("10.0.0.1:1"),), 1, (), "replica")
    state, _ = peers.step(state, peers.SeedsNow((Address("10.0.0.5:1"),)), Ms(0))
    _, effects = peers.step(state, Tick(), Ms(1))
    assert [e.address for e in effects if isinstance(e, SendAddress)] == ["10.0.0.5:1"]


@pytest.mark.parametrize("role", ["exchange", "registry"])
def test_a_hangup_ends_no_process(role: str, tmp_path: Path) -> None:
    """SIGHUP says that settings changed; unhandled it kills."""
    ports = []
    for _ in range(3):
        with socket.create_server(("127.0.0.1", 0)) as held:
            ports.append(held.getsockname()[1])
    path = tmp_path / "settings.toml"
    path.write_text(
        f'name = "n"\nzone = "north"\ntrunk = "127.0.0.1:{ports[0]}"\n'
        f'http = "127.0.0.1:{ports[1]}"\nseeds = ["127.0.0.1:{ports[2]}"]\n'
        + (f'data = "{tmp_path}/data"\nplatform = "127.0.0.1:{ports[2]}"\n' * (role == "registry"))
    )
    node = subprocess.Popen([sys.executable, "-m", "spokeroute", role, "--settings", str(path)])
    try:
        for _ in range(200):
            with socket.socket() as probe:
                probe.settimeout(1.0)
                if probe.connect_ex(("127.0.0.1", ports[1])) == 0:
                    break
            with pytest.raises(subprocess.TimeoutExpired):
                node.wait(0.1)
        node.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            node.wait(0.5)
        node.terminate()
        assert node.wait(20) == 0
    finally:
        node.kill()
