"""EVAC: an order that its sender repeated elsewhere is carried out late, over a newer order."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import harness as h  # noqa: E402

ZONE = "khan-uul"
FREEZE_S = 4.0  # as the site file's node_freeze on the core
EVACUATION_S = 5.0  # evacuation-ms
WATCH_S = 15.0
GROUP = 12  # functions that are called at one time
GROUPS = 6  # the first until the freeze ends, then another each few seconds, over and over
GROUP_S = 3.0
HOST = "ziye44.example"


def document() -> dict[str, object]:
    """Functions that are called now and then: each has to be started somewhere."""
    names = [f"billing-export-{i}" for i in range(GROUP * GROUPS)]
    routes = [h.route(f"r-{n}", HOST, f"/{n}/", n, "idempotent", 4_000) for n in names]
    services = [h.service(n, limit=1, boot_ms=900, memory_mb=128) for n in names]
    return h.configuration(1, routes, services)


def judge(fleet: h.Fleet, operator: h.Operator, record: h.Record, trouble: bool) -> list[str]:
    """Evacuate, restore while one core node is frozen, evacuate again, and look where calls run."""
    operator.configure(document())
    fleet.await_ready()
    stop, calm = threading.Event(), threading.Event()

    def clients(number: int) -> None:
        turn = number
        while not stop.is_set():
            front = fleet.fronts[turn % len(fleet.fronts)]
            group = 1 + int(record.now_s() / GROUP_S) % (GROUPS - 1) if calm.is_set() else 0
            h.call(fleet, front, HOST, f"/billing-export-{GROUP * group + turn % GROUP}/x")
            turn += 7
            time.sleep(0.1)

    threads = [threading.Thread(target=clients, args=(i,), daemon=True) for i in range(24)]
    for each in threads:
        each.start()
    time.sleep(6)
    place = f"/api/evacuation/{ZONE}"
    operator.order("POST", place)
    time.sleep(6)
    frozen = 1  # the node that the operator turns to next
    if trouble:
        fleet.signal(fleet.cores[frozen], signal.SIGSTOP)
    frozen_s = time.monotonic()
    time.sleep(0.1)
    operator.order("DELETE", place, first=frozen)
    time.sleep(0.5)
    evacuated_s = operator.order("POST", place, first=frozen + 1)
    time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
    if trouble:
        fleet.signal(fleet.cores[frozen], signal.SIGCONT)
    woke_s = record.write("calm")
    calm.set()
    # Nothing counts before the bound has passed and all machines are in touch again.
    from_s = max(evacuated_s + EVACUATION_S, woke_s + h.CONTACT_S) + 0.5
    time.sleep(max(0.0, from_s - record.now_s()) + WATCH_S)
    stop.set()
    for each in threads:
        each.join(6)
    runs = [line for line in record.of("run") if line["at"] > from_s]
    if len(runs) < 50:
        raise h.CannotRunError(f"only {len(runs)} requests ran in the time that is looked at")
    there = [line for line in runs if line["zone"] == ZONE]
    if not there:
        return []
    return [
        f"EVAC: {len(there)} of {len(runs)} requests reached instances in {ZONE}, the first "
        f"{there[0]['at'] - evacuated_s:.1f} s and the last {there[-1]['at'] - evacuated_s:.1f} s "
        f"after its evacuation was acknowledged, and no order took the zone back"
    ]


if __name__ == "__main__":
    sys.exit(h.run_case(CASE, judge, lambda service: 0.25))
