"""FAILBACK: a cold instance gets far more requests a second than cold-per-s allows."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import harness as h  # noqa: E402

HOST = "ziye44.example"
SERVICE = "field-intake"
COLD_START_S = 6.0
COLD_PER_S = 10.0
BOUND = COLD_PER_S * 1.5 + 5  # cold-per-s x cold-overshoot + cold-start-slack
FALLS_AT = 2 * BOUND  # "well above that"
TRAFFIC_S = 20.0
CLIENTS = 12


def document(cold_s: float) -> dict[str, Any]:
    """One function with a repeatable and a once-only route."""
    routes = [
        h.route("read-submit", HOST, "/submit/", SERVICE, "idempotent", 4_000),
        h.route("read-correct", HOST, "/correct/", SERVICE, "non_idempotent", 4_000),
    ]
    cold = {"cold-start-s": cold_s, "cold-per-s": COLD_PER_S if cold_s else 0.0}
    return h.configuration(1, routes, [h.service(SERVICE, 4, 1_400, 512, **cold)])


def judge(fleet: h.Fleet, operator: h.Operator, record: h.Record, trouble: bool) -> list[str]:
    """Steady traffic has instances started; count what each gets a second while it is cold."""
    platform = fleet.platform
    arrived: dict[str, list[tuple[float, str]]] = {}

    def arrives(instance: h.Instance, attempt: str) -> None:
        now_s = record.now_s()
        seen = arrived.setdefault(instance.identifier, [])
        seen.append((now_s, attempt))
        last = sum(1 for at_s, _ in seen[-200:] if at_s > now_s - 1)
        if now_s < instance.cold_until_s and last > FALLS_AT and instance.state == "ready":
            record.write("falls over", instance=instance.identifier, in_a_second=last)
            platform.fall(instance)

    platform.on_arrival = arrives
    operator.configure(document(COLD_START_S if trouble else 0.0))
    fleet.await_ready()
    stop = threading.Event()

    def clients(number: int) -> None:
        turn = number
        while not stop.is_set():
            front = fleet.fronts[turn % len(fleet.fronts)]
            if turn % 4:
                h.call(fleet, front, HOST, "/submit/x")
            else:
                h.call(fleet, front, HOST, "/correct/x", "POST", b'{"meter":7}')
            turn += 7
            time.sleep(0.08)

    threads = [threading.Thread(target=clients, args=(i,), daemon=True) for i in range(CLIENTS)]
    for each in threads:
        each.start()
    time.sleep(TRAFFIC_S)
    stop.set()
    for each in threads:
        each.join(6)
    sent = {line["attempt"]: line["at"] for line in record.of("sent")}
    broken = []
    for identifier, seen in arrived.items():
        instance = platform.instances[identifier]
        while_cold = [
            (at_s, sent[attempt]) for at_s, attempt in seen if at_s < instance.cold_until_s
        ]
        most = 0
        for begin_s in {sent_s for _, sent_s in while_cold}:
            inside = [1 for at_s, sent_s in while_cold if begin_s <= sent_s and at_s < begin_s + 1]
            most = max(most, len(inside))
        record.write("counted", instance=identifier, most_while_cold=most, bound=BOUND)
        if most > BOUND:
            broken.append(
                f"FAILBACK: cold instance {identifier} received {most} requests that were sent "
                f"and arrived within one second; {BOUND:.0f} is the most"
            )
    told = record.of("told")
    posts = {line["attempt"] for line in record.of("sent") if line["method"] == "POST"}
    lost = [each for each in told if each["attempt"] in posts and each["status"] in (0, 502, 504)]
    record.write("once-only requests without success or promise", lost=len(lost), of=len(posts))
    if not arrived:
        raise h.CannotRunError("nothing arrived")
    return broken


if __name__ == "__main__":
    sys.exit(h.run_case(CASE, judge))
