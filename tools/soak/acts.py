"""Carries a plan's acts out on a fleet, each on a thread of its own, so that they overlap."""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import urllib3

from tools.fleet import Fleet
from tools.load import Load, now_ms
from tools.log import Told
from tools.soak.overtake import Overtake
from tools.soak.plan import Act, ActKind
from tools.soak.records import Ended

GRACE_S = 9.0  # the product's own, `grace_ms`
YOUNG_MS = 5_000.0  # a busy machine takes so long to start a process
END_SLACK_S = 6.0  # a busy machine, a freeze in between
STORM_GAP_S = 0.1
ROLL_GAP_S = 0.4
HERD_SHARE = 2  # every second one
OPERATORS = 2
ZONE = "centre"
WORKER = "w2"

SIGNALS = {
    ActKind.TERMINATE: signal.SIGTERM,
    ActKind.REREAD: signal.SIGHUP,
    ActKind.KILL: signal.SIGKILL,
    ActKind.FREEZE: signal.SIGSTOP,
}


class Acts:
    """What is done to a fleet, and what came of each end.

    Example:
        Acts(fleet, load).carry_out(act)
    """

    def __init__(self, fleet: Fleet, load: Load, front_added: Callable[[str], None]) -> None:
        self.fleet = fleet
        self.load = load
        self.front_added = front_added
        self.ended: list[Ended] = []
        self.started_ms: dict[str, float] = {}
        self.told_ms: dict[str, float] = {}  # when each was told to end last
        self.locks: dict[str, threading.Lock] = defaultdict(threading.Lock)
        self.world = threading.Lock()  # one act on all processes, or on the workers, at a time
        self.evacuating = threading.Lock()  # one act at a time gives orders for the zone
        self.undone: list[str] = []  # acknowledged orders that an older one undid
        self.last_trouble_ms = 0.0

    def carry_out(self, act: Act) -> None:
        """Do it, and see it to its end."""
        if act.kind in SIGNALS:
            self._signal(act)
        else:
            self._on_fleet(act)
        self.last_trouble_ms = max(self.last_trouble_ms, now_ms())

    def _on_fleet(self, act: Act) -> None:
        match act.kind:
            case ActKind.STORM:
                self._storm(act.for_s)
            case ActKind.ROLL:
                for name in self._fronts():
                    self._end(name, signal.SIGTERM)
                    time.sleep(ROLL_GAP_S)
            case ActKind.HERD:
                self._herd(self._fronts()[::HERD_SHARE], act.for_s)
            case ActKind.EVERYTHING:
                self._herd(self._all(), act.for_s)
            case ActKind.EVACUATE:
                with self.evacuating:
                    self._mark("evacuate", True)
                    time.sleep(act.for_s)
                    self._mark("restore", False)
            case ActKind.OVERTAKE:
                with self.evacuating:
                    overtake = Overtake(self.fleet, self.load, self._send)
                    self.undone += overtake.carry_out(act.name, ZONE, act.for_s)
            case ActKind.CRASH:
                self._around("crash", "revive", act.for_s)
            case ActKind.EMPTY:
                self._around("empty", "fill", act.for_s)
            case ActKind.REPLACE:
                with self.world:
                    if act.name in self.fleet.processes:
                        self.fleet.swap(act.name, f"{act.name}0")
            case ActKind.GROW:
                with self.world:
                    self.front_added(self.fleet.add_front())
            case _:
                raise AssertionError(act.kind)

    def _fronts(self) -> list[str]:
        return [name for name in self.fleet.processes if name.startswith("ex")]

    def _all(self) -> list[str]:
        return [name for name in self.fleet.processes if name != "platform"]

    def _signal(self, act: Act) -> None:
        """A signal, and another one while the first is worked on."""
        number = SIGNALS[act.kind]
        if act.second is not None:
            later = threading.Timer(act.second_s, self._send, (act.name, SIGNALS[act.second]))
            later.start()
        if act.kind is ActKind.TERMINATE:
            self._end(act.name, number)
        elif act.kind is ActKind.KILL:
            self._send(act.name, number)
            time.sleep(act.for_s)
        elif act.kind is ActKind.FREEZE:
            self._send(act.name, number)
            time.sleep(act.for_s)
            self._send(act.name, signal.SIGCONT)
        else:
            self._send(act.name, number)
        if act.second is not None:
            later.join()
            if act.second is ActKind.TERMINATE:
                self._wait(act.name, now_ms(), killed=act.kind is ActKind.KILL)
        self._ensure(act.name)

    def _send(self, name: str, number: int) -> bool:
        """Signal a process if it runs."""
        with self.locks[name]:
            process = self.fleet.processes.get(name)
            if process is None or process.poll() is not None:
                return False
            if number == signal.SIGTERM:
                self.told_ms[name] = now_ms()
            self.fleet.signal(name, number)
            return True

    def _end(self, name: str, number: int) -> None:
        """Tell a process to end, wait until it has, and start it again."""
        asked_ms = now_ms()
        if self._send(name, number):
            self._wait(name, asked_ms)
        self._ensure(name)

    def _wait(self, name: str, asked_ms: float, killed: bool = False) -> None:
        process = self.fleet.processes.get(name)
        if process is None:
            return
        try:
            code: int | None = process.wait(GRACE_S + END_SLACK_S)
        except subprocess.TimeoutExpired:
            code = None
            self._send(name, signal.SIGKILL)
        killed = killed or code == -signal.SIGKILL
        self.ended.append(Ended(name, asked_ms, now_ms(), code, killed, self._was_young(name)))

    def _was_young(self, name: str) -> bool:
        """Whether a process had just been started when it was told to end."""
        told_ms = self.told_ms.get(name, 0.0)
        return told_ms - self.started_ms.get(name, told_ms - YOUNG_MS) < YOUNG_MS

    def _ensure(self, name: str) -> None:
        """Start a process again if it has ended."""
        with self.locks[name]:
            process = self.fleet.processes.get(name)
            if process is not None and process.poll() is not None:
                self.fleet.start(name)
                self.started_ms[name] = now_ms()

    def _herd(self, names: list[str], for_s: float) -> None:
        with self.world:
            for name in names:
                self._send(name, signal.SIGKILL)
            time.sleep(for_s)
            for name in names:
                self._ensure(name)

    def _storm(self, for_s: float) -> None:
        """Configurations by two operators at once, each as soon as its last one is answered."""
        until_s = time.monotonic() + for_s
        operators = [
            threading.Thread(target=self._operator, args=(until_s,)) for _ in range(OPERATORS)
        ]
        for each in operators:
            each.start()
        for each in operators:
            each.join()

    def _operator(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            self.load.apply()
            time.sleep(STORM_GAP_S)

    def _mark(self, what: str, out: bool) -> None:
        """Evacuate or restore the zone; asked again until the answer is clear."""
        method, path = self.load.evacuation_request(ZONE, out)
        for _ in range(20):
            told = Told(what, now_ms(), detail=ZONE)
            self.load.told.append(self.load.ask(told, method, path))
            if told.status == 200:
                return
            time.sleep(0.3)

    def _around(self, out: str, back: str, for_s: float) -> None:
        with self.world:
            self._platform(out)
            time.sleep(for_s)
            self._platform(back)

    def _platform(self, verb: str) -> Any:
        url = f"http://{self.fleet.platform}/{verb}/{WORKER}"
        return urllib3.PoolManager(retries=False).request("POST", url, timeout=5)
