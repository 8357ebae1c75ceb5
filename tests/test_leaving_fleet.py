"""A real exchange is stopped under load: no answer is cut off, and it stops in time.

The content of the answers is covered by the tests of the call path.
"""

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

# Real processes choose free ports: two fleets at once may choose the same one.
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


class LoadClient:
    """Sends calls on persistent connections, one after the other, until nothing listens."""

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
                return  # the exchange has stopped
            self.calls(link)

    def calls(self, link: http.client.HTTPConnection) -> None:
        answered = 0
        while True:
            try:
                link.request("POST", "/port-ins", b"{}", {"Spokeroute-Wait-Ms": "4000"})
                answer = link.getresponse()
            except (http.client.RemoteDisconnected, ConnectionError) as fault:
                if (
                    answered == 0
                ):  # a persistent connection may end between calls, a new one must not
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


def test_a_stop_under_load_cuts_no_answer(fleet: Fleet) -> None:
    assert fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 90) == []
    assert client(fleet, "apply", str(EXAMPLE)).returncode == 0
    until_served(fleet, "ex1", "/port-ins")
    callers = [LoadClient(fleet.http["ex1"]) for _ in range(CALLERS)]
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
    cut_more_than_once = [c.cut for c in callers if len(c.cut) > 1]
    assert cut_more_than_once == []  # at most the connection that was open when the process ended
    assert sum(c.announced for c in callers) > 0
