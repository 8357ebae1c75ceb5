"""A real exchange is stopped under calls: nobody's answer is cut, and it is gone in time. What
the answers say is the call path's, and judged elsewhere."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.test_fleet import EXAMPLE, client, until_served
from tools.fleet import Fleet

# Real processes draw free ports: two fleets at once may draw the same one.
pytestmark = pytest.mark.xdist_group("fleet")

CALLERS = 8
GRACE_S = 6.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path / "fleet", exchanges=3, organismo=True)
    made.plan()
    settings = tmp_path / "ex1.toml"
    settings.write_text(f"[bounds]\nannounce_ms = 700\ngrace_ms = {int(GRACE_S * 1000)}\n")
    made.commands["ex1"] += ["--settings", str(settings)]
    for name in made.commands:
        made.start(name)
    yield made
    made.stop()


class Regular:
    """Calls on kept connections, one after the other, until nobody listens any more."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.statuses: list[int] = []
        self.cut: list[str] = []
        self.announced = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while True:
            link = http.client.HTTPConnection(self.address, timeout=20)
            try:
                link.connect()
            except OSError:
                return  # it is gone
            self.calls(link)

    def calls(self, link: http.client.HTTPConnection) -> None:
        answered = 0
        while True:
            try:
                link.request("POST", "/port-ins", b"{}", {"Spokeroute-Wait-Ms": "4000"})
                answer = link.getresponse()
            except (http.client.RemoteDisconnected, ConnectionError) as fault:
                if answered == 0:  # a kept connection may end between calls, a new one not
                    self.cut.append(repr(fault))
                return
            try:
                answer.read()
            except (http.client.HTTPException, OSError) as fault:
                self.cut.append(repr(fault))
                return
            answered += 1
            self.statuses.append(answer.status)
            if answer.getheader("Connection") == "close":
                self.announced += 1
                link.close()
                return


def test_a_stop_under_calls_cuts_nobody(fleet: Fleet) -> None:
    assert fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 90) == []
    assert client(fleet, "apply", str(EXAMPLE)).returncode == 0
    until_served(fleet, "ex1", "/port-ins")
    callers = [Regular(fleet.http["ex1"]) for _ in range(CALLERS)]
    until_s = time.monotonic() + 60
    while sum(len(c.statuses) for c in callers) < 100:
        assert time.monotonic() < until_s
        time.sleep(0.02)
    fleet.signal("ex1", signal.SIGTERM)
    stopped_s = time.monotonic()
    assert fleet.processes["ex1"].wait(timeout=30) == 0
    assert time.monotonic() - stopped_s < GRACE_S
    for caller in callers:
        caller.thread.join(30)
    refused_at_the_end = [c.cut for c in callers if len(c.cut) > 1]
    assert refused_at_the_end == []  # at most the connection that the process's end met
    assert sum(c.announced for c in callers) > 0
