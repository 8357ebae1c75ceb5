"""An order that a frozen member reads late, after others acknowledged newer orders."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Callable

import urllib3

from tools.fleet import Fleet
from tools.load import Load, now_ms
from tools.log import Told

SILENCE_S = 1.0  # after which an operator turns to another member
ORDER_S = 8.0  # most time in which an order is sent again
PAUSE_S = 0.2
LATE_S = 20.0  # how long the late copy's sender listens


class Overtake:
    """Sends a member an order while it is frozen, then newer orders to the others, and wakes it.

    Example:
        Overtake(fleet, load, send).carry_out("reg2", "centre", 3.0) == []
    """

    def __init__(self, fleet: Fleet, load: Load, send: Callable[[str, int], bool]) -> None:
        self.fleet = fleet
        self.load = load
        self.send = send

    def carry_out(self, name: str, zone: str, for_s: float) -> list[str]:
        """A late restore after an evacuation, then a late evacuation after a restore; what either
        undid."""
        undone = self._round(name, zone, True, for_s)
        undone += self._round(name, zone, False, for_s)
        self._order(zone, False, "")
        return undone

    def _round(self, name: str, zone: str, out: bool, for_s: float) -> list[str]:
        """``out`` is the newest order; the late one asks for the opposite."""
        if not self._order(zone, out, "") or not self.send(name, signal.SIGSTOP):
            return []
        frozen_s = time.monotonic()
        late = threading.Thread(target=self._late, args=(name, zone, not out), daemon=True)
        late.start()
        time.sleep(SILENCE_S)
        taken = self._order(zone, not out, name) and self._order(zone, out, name)
        time.sleep(max(0.0, frozen_s + for_s - time.monotonic()))
        self.send(name, signal.SIGCONT)
        late.join(LATE_S)
        stands = self._evacuated(zone) if taken else None
        if stands is None or stands == out:
            return []
        newest = "evacuated" if out else "restored"
        return [f"{zone} was {newest} last; {name} undid it with an older order when it woke"]

    def _late(self, name: str, zone: str, out: bool) -> None:
        """The copy of an order that reaches the frozen member; a late answer is heard."""
        method, path = self.load.evacuation_request(zone, out)
        http = urllib3.PoolManager(retries=False)
        try:
            http.request(method, f"http://{self.fleet.http[name]}{path}", timeout=LATE_S)
        except urllib3.exceptions.HTTPError:
            return

    def _order(self, zone: str, out: bool, skipped: str) -> bool:
        """Send an order to the members in turn, but for one, until it is acknowledged."""
        method, path = self.load.evacuation_request(zone, out)
        told = Told("evacuate" if out else "restore", now_ms(), detail=zone)
        self.load.told.append(told)
        http = urllib3.PoolManager(retries=False)
        until_s = time.monotonic() + ORDER_S
        while told.status != 200 and time.monotonic() < until_s:
            for name in self._members(skipped):
                told.status = self._ask(http, method, f"http://{self.fleet.http[name]}{path}")
                if told.status == 200:
                    break
                time.sleep(PAUSE_S)
        told.done_ms = now_ms()
        return told.status == 200

    def _ask(self, http: urllib3.PoolManager, method: str, url: str) -> int:
        try:
            return http.request(method, url, timeout=SILENCE_S).status
        except urllib3.exceptions.HTTPError:
            return 0

    def _members(self, skipped: str) -> list[str]:
        names = sorted(name for name in self.fleet.processes if name.startswith("reg"))
        return [name for name in names if name != skipped]

    def _evacuated(self, zone: str) -> bool | None:
        """Whether the zone is evacuated; None if no member tells."""
        http = urllib3.PoolManager(retries=False)
        for name in self._members(""):
            try:
                url = f"http://{self.fleet.http[name]}/evacuation"
                got = http.request("GET", url, timeout=2 * SILENCE_S)
                if got.status == 200:
                    return zone in json.loads(got.data)["evacuated"]
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
        return None
