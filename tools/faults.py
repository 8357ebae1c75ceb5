"""What befalls a real fleet under load: lists of (share of the run, act)."""

from __future__ import annotations

import json
import shutil
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import urllib3

from tools.fleet import Fleet, get

Event = tuple[float, Callable[[], object]]


def _post(address: str, path: str) -> None:
    urllib3.PoolManager(retries=False).request("POST", f"http://{address}{path}", timeout=5)


def _herd(fleet: Fleet, prefix: str, number: int) -> None:
    for name in [n for n in fleet.processes if n.startswith(prefix) and n != "platform"]:
        if number == signal.SIGKILL:
            fleet.signal(name, number)
        else:
            fleet.start(name)


def placement_holder(fleet: Fleet) -> str:
    """The registry that holds the placement role, or the first one."""
    for name in ("reg1", "reg2", "reg3"):
        status, body = get(fleet.http[name], "/status")
        if status == 200 and json.loads(body)["holdsPlacement"]:
            return name
    return "reg1"


def lose_disk(fleet: Fleet, apply: Callable[[], Any], name: str) -> None:
    """Kill a registry right after an acknowledgement, remove its data, start it blank."""
    apply()
    fleet.signal(name, signal.SIGKILL)
    shutil.rmtree(fleet.folder / name)
    fleet.start(name)


def freeze_holder(fleet: Fleet, for_s: float) -> None:
    """Stop the placement holder for longer than its term's lease, and let it go on."""
    name = placement_holder(fleet)
    fleet.signal(name, signal.SIGSTOP)
    time.sleep(for_s)
    fleet.signal(name, signal.SIGCONT)


def events(scenario: str, fleet: Fleet, apply: Callable[[], Any]) -> list[Event]:
    """The acts of a scenario, in their order."""
    kill, stop, go = signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT
    table: dict[str, list[Event]] = {
        "calm": [],
        "kills": [
            (0.30, partial(_post, fleet.platform, "/crash/w1")),
            (0.45, partial(_post, fleet.platform, "/revive/w1")),
            (0.65, partial(fleet.signal, "ex2", kill)),
            (0.70, partial(fleet.start, "ex2")),
        ],
        "herds": [
            (0.25, partial(_herd, fleet, "reg", kill)),
            (0.30, partial(_herd, fleet, "reg", 0)),
            (0.60, partial(_herd, fleet, "ex", kill)),
            (0.63, partial(_herd, fleet, "ex", 0)),
        ],
        "freezes": [
            (0.20, partial(fleet.signal, "ex3", stop)),
            (0.32, partial(fleet.signal, "ex3", go)),
            (0.52, partial(freeze_holder, fleet, 8.0)),
            (0.72, partial(fleet.signal, "ex5", stop)),
            (0.76, partial(fleet.signal, "ex5", go)),
        ],
        "empties": [
            (0.15, partial(_post, fleet.platform, "/empty/w1")),
            (0.30, partial(_post, fleet.platform, "/fill/w1")),
            *((0.55, partial(_post, fleet.platform, f"/crash/{w}")) for w in ("w2", "w3")),
            *((0.65, partial(_post, fleet.platform, f"/revive/{w}")) for w in ("w2", "w3")),
        ],
        "day": [
            *((0.20 + n / 500, apply) for n in range(10)),
            (0.25, partial(_herd, fleet, "", kill)),
            (0.30, partial(_herd, fleet, "", 0)),
        ],
        "restarts": [
            (0.20, partial(fleet.signal, "ex2", signal.SIGTERM)),
            (0.40, partial(fleet.start, "ex2")),
            (0.60, partial(fleet.signal, "ex3", signal.SIGTERM)),
            (0.80, partial(fleet.start, "ex3")),
        ],
        "swaps": [
            (0.15, partial(fleet.swap, "reg1", "reg4")),
            (0.35, partial(fleet.swap, "reg2", "reg5")),
            (0.55, partial(fleet.swap, "reg3", "reg6")),
            (0.75, apply),
            (0.80, partial(fleet.signal, "ex1", kill)),
        ],
        "disks": [
            (0.20, partial(lose_disk, fleet, apply, "reg1")),
            (0.50, partial(lose_disk, fleet, apply, "reg2")),
            (0.80, apply),
        ],
    }
    return table[scenario]


SCENARIOS = (
    "kills", "calm", "herds", "freezes", "disks", "swaps", "restarts", "empties", "day",
)  # fmt: skip
# From when to when something was away, as shares of the run: the level is judged 12 s later.
RETURNS: dict[str, tuple[tuple[float, float], ...]] = {
    "kills": ((0.30, 0.45), (0.65, 0.70)),
    "herds": ((0.25, 0.30), (0.60, 0.63)),
    "freezes": ((0.20, 0.32), (0.72, 0.76)),
    "empties": ((0.15, 0.30), (0.55, 0.65)),
    "day": ((0.20, 0.30),),
}
