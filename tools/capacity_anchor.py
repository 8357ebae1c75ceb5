"""Anchors: a few real fleets, whose processes' time, memory and bytes are read from the system, and
the hollow fleet of the same size beside each."""

from __future__ import annotations

import json
import re
import shutil
import subprocess
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

import urllib3

from tools.capacity_fleet import measure, rounded
from tools.capacity_size import Size
from tools.fleet import Fleet
from tools.load import usage

EXAMPLE = Path(__file__).parent.parent / "examples" / "tooluur.json"
SETTLE_S = 18.0
MEASURE_S = 15.0
BUSY_PATH = "/readings"


@dataclass(frozen=True, slots=True)
class Used:
    """What a process used a second, and its memory."""

    cores: float
    resident_mb: float
    own_mb: float  # of those, not shared with the files that they came from
    bytes_in: float
    bytes_out: float


@dataclass(frozen=True, slots=True)
class Anchor:
    """A real fleet's means by role, and the hollow one's."""

    exchanges: int
    calls_per_s: float
    real: dict[str, Used]
    hollow: dict[str, Used]


def sockets() -> dict[int, tuple[int, int]]:
    """Bytes received and sent by process, over its open connections.

    Example:
        sockets().get(1, (0, 0))
    """
    said = subprocess.run(
        ["ss", "-tinHp", "state", "established"], capture_output=True, text=True, check=True
    ).stdout
    out: dict[int, tuple[int, int]] = {}
    pids: list[int] = []
    for line in said.splitlines():
        if not line.startswith((" ", "\t")):
            pids = [int(p) for p in re.findall(r"pid=(\d+)", line)]
            continue
        got = re.search(r"bytes_received:(\d+)", line)
        sent = re.search(r"bytes_sent:(\d+)", line)
        for pid in pids:
            a, b = out.get(pid, (0, 0))
            out[pid] = (a + int(got[1]) if got else a, b + int(sent[1]) if sent else b)
    return out


def own_mb(pid: int) -> float:
    """Anonymous resident megabytes of a process.

    Example:
        own_mb(os.getpid()) > 1
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _apply(fleet: Fleet) -> None:
    pool = urllib3.PoolManager(retries=False)
    until = time.monotonic() + 30
    while time.monotonic() < until:
        try:
            got = pool.request(
                "PUT", f"http://{fleet.http['reg1']}/configuration", body=EXAMPLE.read_bytes(),
                headers={"Content-Type": "application/json"}, timeout=15.0,
            )  # fmt: skip
            if got.status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.5)
    raise RuntimeError("the configuration was not taken")


class Callers:
    """Threads that call at a steady rate."""

    def __init__(self, fleet: Fleet, per_s: float) -> None:
        self.targets = [a for n, a in fleet.http.items() if n.startswith("ex")]
        self.per_s = per_s
        self.ended = threading.Event()
        self.answered = 0
        self.threads = [threading.Thread(target=self._run, args=(i,)) for i in range(8)]

    def _run(self, number: int) -> None:
        pool = urllib3.PoolManager(retries=False, maxsize=4)
        span_s = len(self.threads) / self.per_s
        due, turn = time.monotonic() + number * span_s / 8, number
        while not self.ended.is_set():
            due += span_s
            turn += 1
            target = self.targets[turn % len(self.targets)]
            try:
                got = pool.request(
                    "POST", f"http://{target}{BUSY_PATH}", body=b"{}", timeout=6.0,
                    headers={"Spokeroute-Wait-Ms": "5000"},
                )  # fmt: skip
                self.answered += got.status == 200
            except urllib3.exceptions.HTTPError:
                pass
            self.ended.wait(max(0.0, due - time.monotonic()))

    def start(self) -> None:
        """Begin to call."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """End, and wait for the last answers."""
        self.ended.set()
        for thread in self.threads:
            thread.join()


def real(exchanges: int, calls_per_s: float) -> tuple[dict[str, Used], float]:
    """Run a real fleet and read what its processes used; and the calls that were answered.

    Example:
        real(9, 0.0)[0]["exchange"].cores
    """
    folder = Path(mkdtemp(prefix="capacity-"))
    fleet = Fleet(folder, exchanges)
    try:
        fleet.start_all()
        missing = fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 60)
        if missing:
            raise RuntimeError(f"not ready: {missing}")
        _apply(fleet)
        callers = Callers(fleet, calls_per_s) if calls_per_s else None
        time.sleep(SETTLE_S)
        if callers:
            callers.start()
            time.sleep(3.0)
        pids = {n: p.pid for n, p in fleet.processes.items()}
        answered = callers.answered if callers else 0
        cpu, wires = {n: usage(p)[1] for n, p in pids.items()}, sockets()
        began = time.monotonic()
        time.sleep(MEASURE_S)
        took = time.monotonic() - began
        after, later = {n: usage(p) for n, p in pids.items()}, sockets()
        answered = (callers.answered if callers else 0) - answered
        owned = {n: own_mb(p) for n, p in pids.items()}
        if callers:
            callers.stop()
    finally:
        fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)
    found: dict[str, list[Used]] = {}
    for name, pid in pids.items():
        role = {"e": "exchange", "r": "registry"}.get(name[0], "platform")
        was, now = wires.get(pid, (0, 0)), later.get(pid, (0, 0))
        found.setdefault(role, []).append(
            Used(
                (after[name][1] - cpu[name]) / took, after[name][0], owned[name],
                max(0, now[0] - was[0]) / took, max(0, now[1] - was[1]) / took,
            )
        )  # fmt: skip
    registries = sorted(found["registry"], key=lambda u: u.cores)
    means = {
        "exchange": mean(found["exchange"]),
        "registry": mean(registries[:-1]),
        "holder": mean(registries[-1:]),
    }
    return means, answered / took


def mean(used: list[Used]) -> Used:
    """The mean of some processes.

    Example:
        >>> mean([Used(1.0, 2.0, 1.0, 0.0, 0.0), Used(3.0, 4.0, 1.0, 0.0, 0.0)]).cores
        2.0
    """
    many = len(used)
    return Used(
        rounded(sum(u.cores for u in used) / many),
        rounded(sum(u.resident_mb for u in used) / many),
        rounded(sum(u.own_mb for u in used) / many),
        rounded(sum(u.bytes_in for u in used) / many),
        rounded(sum(u.bytes_out for u in used) / many),
    )


def hollow(exchanges: int, calls_per_s: float) -> dict[str, Used]:
    """The hollow fleet of the same size: its instances are those that the example keeps up.

    Example:
        hollow(9, 0.0)["exchange"].cores
    """
    services = json.loads(EXAMPLE.read_text())["services"]
    kept = sum(s.get("minInstances", 0) + s.get("spares", 1) for s in services
               if s.get("minInstances", 0))  # fmt: skip
    size = Size(
        exchanges, 3, len(services), kept, each=3, calls_per_s=calls_per_s, seconds=6.0
    )  # fmt: skip
    point = measure(size)
    pace_s = point.notes["ns per count"] / 1e9
    out: dict[str, Used] = {}
    for role in ("exchange", "registry", "holder"):
        wire: dict[str, Any] = point.wire[role]
        out[role] = Used(
            rounded(pace_s * sum(work for work, _ in point.cpu[role].values())), 0.0, 0.0,
            rounded(sum(w[1] for k, w in wire.items() if k.startswith("in "))),
            rounded(sum(w[1] for k, w in wire.items() if k.startswith("out "))),
        )  # fmt: skip
    return out


def anchors(sizes: tuple[tuple[int, float], ...]) -> list[Anchor]:
    """Real and hollow fleets side by side, one after the other.

    Example:
        anchors(((9, 0.0),))
    """
    out: list[Anchor] = []
    for exchanges, calls_per_s in sizes:
        used, answered = real(exchanges, calls_per_s)
        each = Anchor(exchanges, rounded(answered), used, hollow(exchanges, answered))
        out.append(each)
        print(f"anchor {exchanges} exchanges, {answered:.0f} calls/s:", flush=True)
        for role, its in used.items():
            print(f"  {role}: real {its}\n  {role}: hollow {each.hollow[role]}", flush=True)
    return out
