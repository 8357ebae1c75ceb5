"""One soak: a fleet, its clients and operators, a plan's acts, and the judges' word."""

from __future__ import annotations

import json
import shutil
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import urllib3

from tools.fleet import Fleet
from tools.load import EXAMPLES, Load, now_ms, read_log
from tools.log import Asked, Told
from tools.soak.acts import Acts
from tools.soak.adapter import ADAPTER_WIRE, AdapterFleet, AdapterLoad
from tools.soak.clients import OWN_WIRE, Client, Wire
from tools.soak.judges import judge_soak, recovery_ms
from tools.soak.keys import KeyedLoad
from tools.soak.plan import Act, plan_of
from tools.soak.records import SoakLog
from tools.soak.region_fleet import RegionFleet
from tools.soak.sizes import sizes_of

SMALL_FRONTS = 6
READY_S = 60.0
LOOK_S = 1.0  # how often it is looked whether a process has ended while the fleet comes up
SETTLE_S = 3.0
READ_GAP_S = 0.15
READ_S = 6.0
READ_BACK_S = 20.0
ACTS_S = 60.0  # most time that acts may take beyond the run
MOST_CALLS = 200_000
COLD_PER_S = 10.0  # that an instance of a busy service handles while it is cold
SMALL_SHARE = 12  # routes to sleeping functions that are called


class SoakError(Exception):
    """The fleet did not come up: nothing was soaked. The message names the process that ended."""


class Soak:
    """One seeded run, or one of given ``acts``. It ends what it started, and by itself.

    Example:
        Soak(Path("soak"), 7, 35.0, 6, 24).run() == []
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        seconds: float,
        fronts: int,
        clients: int,
        adapter: bool = False,
        regions: bool = False,
        acts: tuple[Act, ...] = (),
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.seconds = seconds
        self.doc: dict[str, Any] = json.loads((EXAMPLES / "tooluur.json").read_text())
        for each in self.doc["services"]:
            if each.get("minInstances", 0):
                each["coldPerS"] = COLD_PER_S
        limits = {each["name"]: each["limit"] for each in self.doc["services"]}
        self.fleet: Fleet
        if adapter:
            self.fleet = AdapterFleet(folder, fronts, limits=limits)
        else:
            self.fleet = RegionFleet(folder, fronts) if regions else Fleet(folder, fronts)
        self.wire: Wire = ADAPTER_WIRE if adapter else OWN_WIRE
        self.clients = clients
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.acts = acts
        self.soak: SoakLog | None = None
        self.number = 0

    def run(self) -> list[str]:
        """Play it; the findings."""
        shutil.rmtree(self.folder, ignore_errors=True)  # what an earlier run of the seed left
        try:
            self.fleet.start_all()
            self.soak = self._played()
        finally:
            self.fleet.stop()
        found = judge_soak(self.soak)
        if not found:
            shutil.rmtree(self.folder, ignore_errors=True)
        return found

    def told(self) -> str:
        """What was played, in a line."""
        soak = self.soak
        assert soak is not None
        served = sum(1 for a in soak.log.asked if 200 <= a.status < 300)
        reads = sum(1 for t in soak.log.told if t.what in ("show", "read"))
        applies = sum(1 for t in soak.log.told if t.what == "apply" and t.status == 200)
        return (
            f"{len(self.acts)} acts; {served} of {len(soak.log.asked)} calls served, "
            f"{len(soak.broken)} broken off, {len(soak.left)} left; {applies} configurations, "
            f"{reads} reads; back after {recovery_ms(soak) / 1000:.1f} s"
        )

    def _played(self) -> SoakLog:
        load_of = AdapterLoad if isinstance(self.fleet, AdapterFleet) else KeyedLoad
        load = load_of(self.fleet, self.doc, self.seed)
        load.small = load.small[:SMALL_SHARE]
        self._await_service(load)
        addresses = {name: self.fleet.http[name] for name in load.exchanges}
        clients = [
            Client(number, self.seed, addresses, lambda: self._choose(load), self.wire)
            for number in range(self.clients)
        ]
        # Daemon threads: an interrupted run ends with its fleet.
        threads = [threading.Thread(target=each.run, daemon=True) for each in clients]
        reader = threading.Thread(target=self._read, args=(load,), daemon=True)
        for thread in (*threads, reader):
            thread.start()
        time.sleep(SETTLE_S)
        before = sizes_of(self.fleet)
        acts = Acts(self.fleet, load, lambda name: addresses.update({name: self.fleet.http[name]}))
        self._carry_out(acts, load)
        after = sizes_of(self.fleet)
        for client in clients:
            client.stop.set()
        for thread in threads:
            thread.join()
        read_back = self._read_back(load)
        self.stop.set()
        reader.join()
        return SoakLog(
            read_log(self.folder, load, self.doc["zones"]),
            [each for client in clients for each in client.broken],
            [each for client in clients for each in client.left],
            acts.ended, before, after, acts.last_trouble_ms, read_back, acts.undone,
        )  # fmt: skip

    def _await_service(self, load: Load) -> None:
        members = [name for name in self.fleet.commands if name.startswith("reg")]
        self._await_ready(members)
        told = load.apply()
        if told.status != 200:
            raise SoakError(f"the first configuration was not taken: {told}")
        self._await_ready(load.exchanges)
        time.sleep(SETTLE_S)

    def _await_ready(self, names: list[str]) -> None:
        """Wait until all are ready; a process that ends meanwhile ends the run at once."""
        until_s = time.monotonic() + READY_S
        missing = names
        while missing and time.monotonic() < until_s:
            missing = self.fleet.wait_ready(missing, LOOK_S)
            for name, line in self.fleet.ended().items():
                raise SoakError(f"{name} ended before the run: {line or 'it wrote nothing'}")
        if missing:
            raise SoakError(f"not ready: {missing}; see {self.folder}/*.out")

    def _choose(self, load: Load) -> Asked:
        with self.lock:
            self.number += 1
            if self.number > MOST_CALLS:
                raise SoakError(f"over {MOST_CALLS} calls: give a shorter run")
            asked = load.choose(self.number)
            load.asked.append(asked)
            return asked

    def _carry_out(self, acts: Acts, load: Load) -> None:
        """The plan's acts, each at its time; each is seen to its end."""
        members = [name for name in self.fleet.commands if name.startswith("reg")]
        self.acts = self.acts or plan_of(self.seed, self.seconds, load.exchanges, members)
        begin_s = time.monotonic()
        with ThreadPoolExecutor(max(1, len(self.acts))) as pool:
            jobs = []
            for act in self.acts:
                time.sleep(max(0.0, begin_s + act.at_s - time.monotonic()))
                jobs.append(pool.submit(acts.carry_out, act))
            for job in jobs:
                job.result(ACTS_S)
        calm_s = begin_s + self.seconds - time.monotonic()
        back_s = acts.last_trouble_ms / 1000 + 16.0 - time.monotonic()
        time.sleep(max(0.0, calm_s, back_s))

    def _read(self, load: Load) -> None:
        """An operator reads the configuration at every member all the while."""
        pool = urllib3.PoolManager(num_pools=8, retries=False)
        turn = 0
        while not self.stop.wait(READ_GAP_S):
            names = sorted(name for name in self.fleet.processes if name.startswith("reg"))
            if names:
                turn += 1
                self._show(load, pool, names[turn % len(names)])

    def _show(self, load: Load, pool: urllib3.PoolManager, name: str) -> Told:
        if isinstance(load, AdapterLoad):
            told = load.show_at(pool, name, READ_S)
            load.told.append(told)
            return told
        told = Told("show", now_ms(), detail=name)
        try:
            url = f"http://{self.fleet.http[name]}/configuration"
            got = pool.request("GET", url, timeout=READ_S)
            told.status, told.doc = got.status, json.loads(got.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            told.status = 0
        told.done_ms = now_ms()
        load.told.append(told)
        return told

    def _read_back(self, load: Load) -> bool:
        """Whether every member tells the configuration once all is over."""
        pool = urllib3.PoolManager(retries=False)
        until_s = time.monotonic() + READ_BACK_S
        left = {name for name in self.fleet.processes if name.startswith("reg")}
        while left and time.monotonic() < until_s:
            left = {name for name in left if self._show(load, pool, name).status != 200}
            time.sleep(READ_GAP_S)
        return not left
