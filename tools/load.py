"""The load of a deployment against a real fleet, faults midway, and the judges' word.

    python -m tools.load --deployment tooluur --seconds 120 --scenario kills

Starts a fleet of its own on free ports, applies the example configuration, sends about 150
requests/s open-loop (a sixth once-only, waits of 4 to 8 s), causes a scenario's faults midway
(``tools/faults.py``), and prints figures: success rate, latencies, memory and processor time
by process, second sends against the share, and every judge's findings.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import urllib3

from tools.faults import RETURNS, SCENARIOS, events
from tools.fleet import Fleet
from tools.judges import COLD_FACTOR, COLD_PLUS, judge, level
from tools.log import Asked, Emptied, Log, Return, Run, Told

EXAMPLES = Path(__file__).parent.parent / "examples"
PAGE = os.sysconf("SC_PAGE_SIZE")


def now_ms() -> float:
    """Monotonic milliseconds."""
    return time.monotonic_ns() / 1e6


def own_headers(asked: Asked) -> dict[str, str]:
    """The product's own headers of a call.

    Example:
        own_headers(asked)["Spokeroute-Wait-Ms"]
    """
    found = {
        "Spokeroute-Wait-Ms": str(asked.wait_ms),
        "Standin-Call": asked.call,
        "Spokeroute-Client": asked.client,
    }
    if asked.key:
        found["Idempotency-Key"] = asked.key
    return found | bearer(asked)


def bearer(asked: Asked) -> dict[str, str]:
    """The header with a caller's key, if it has one.

    Example:
        bearer(asked)["Authorization"]
    """
    return {"Authorization": f"Bearer {asked.api_key}"} if asked.api_key else {}


def own_path(asked: Asked) -> str:
    """Where a call goes.

    Example:
        own_path(asked).startswith("/")
    """
    return asked.path.replace("*", "x")


class Load:
    """Callers and one operator against a fleet."""

    def __init__(self, fleet: Fleet, doc: dict[str, Any], seed: int) -> None:
        self.fleet = fleet
        self.doc = doc
        self.rng = random.Random(seed)
        self.http = urllib3.PoolManager(num_pools=40, maxsize=64, retries=False)
        self.asked: list[Asked] = []
        self.told: list[Told] = []
        self.exchanges = [n for n in fleet.http if n.startswith("ex")]
        self.lock = threading.Lock()
        self.busy = doc["routes"][:4]
        self.small = doc["routes"][4:]
        self.behind = 0.0
        self.returns: list[Return] = []
        self.applies = 0

    def operators(self) -> list[str]:
        """Operator addresses of the registries that are there."""
        names = sorted(n for n in self.fleet.processes if n.startswith("reg"))
        return [self.fleet.http[n] for n in names]

    def apply(self) -> Told:
        """Apply the configuration as an operator would."""
        self.applies += 1
        doc = {**self.doc, "name": f"{self.doc['name']} {self.applies}"}
        return self.send_configuration(Told("apply", now_ms(), detail=doc["name"], sent=doc))

    def send_configuration(self, told: Told) -> Told:
        """Send a configuration as an operator would; how it ended is kept."""
        self.told.append(told)
        return self.ask(told, "PUT", "/configuration", json.dumps(told.sent).encode())

    def ask(self, told: Told, method: str, path: str, body: bytes | None = None) -> Told:
        """One operator request at some registry; a broken connection leaves it unsure."""
        address = self.operators()[self.applies % 3]
        try:
            got = self.http.request(method, f"http://{address}{path}", body=body, timeout=15)
            told.status, told.doc = got.status, json.loads(got.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            told.status = 0
        told.done_ms = now_ms()
        return told

    def evacuation_request(self, zone: str, out: bool) -> tuple[str, str]:
        """The method and the path that evacuate a zone, or restore it."""
        return "PUT" if out else "DELETE", f"/evacuation/{zone}"

    def show(self) -> None:
        """Read the configuration back."""
        for what, path in (("show", "/configuration"), ("evacuated", "/evacuation")):
            told = Told(what, now_ms())
            self.told.append(self.ask(told, "GET", path))

    def choose(self, number: int) -> Asked:
        """The next call: a sixth once-only, a tenth to small services."""
        once = [x for x in self.busy if not x.get("repeatable")]
        free = [x for x in self.busy if x.get("repeatable")]
        if number % 6 == 0:
            route = self.rng.choice(once)
        elif number % 10 == 1:
            route = self.rng.choice(self.small)
        else:
            route = self.rng.choice(free)
        key = f"key-{number}" if number % 12 == 0 else ""
        return Asked(
            f"call-{number}", key, route["path"], route["service"], not route.get("repeatable"),
            self.rng.choice(self.exchanges), now_ms(), self.rng.randrange(4000, 8000),
            method=route["methods"][0], client=f"client-{number % 40}",
        )  # fmt: skip

    def send(self, asked: Asked, method: str) -> None:
        """Carry out one call and keep what its caller saw."""
        headers, path = own_headers(asked), own_path(asked)
        body = json.dumps({"of": asked.call}).encode() if method == "POST" else None
        try:
            got = self.http.request(
                method, f"http://{self.fleet.http[asked.exchange]}{path}", body=body,
                headers=headers, timeout=asked.wait_ms / 1000 + 3, redirect=False,
            )  # fmt: skip
            asked.status, asked.body = got.status, got.data
            asked.answers = 1
            if got.status >= 400:
                doc = json.loads(got.data)
                asked.ran, asked.kind = doc.get("ran", ""), doc.get("kind", "")
                asked.retry_after = got.headers.get("Retry-After", "")
        except urllib3.exceptions.NewConnectionError:
            asked.status, asked.kind = 0, "refused"
        except (urllib3.exceptions.HTTPError, ValueError) as fault:
            asked.status, asked.kind = 0, f"broke: {type(fault).__name__}"
        asked.done_ms = now_ms()

    def run(self, per_s: float, seconds: float, events: list[tuple[float, Any]]) -> None:
        """Open-loop calls; each event is carried out at its second."""
        pool = ThreadPoolExecutor(400)
        start_ms = now_ms()
        methods = {x["path"]: x["methods"][0] for x in self.doc["routes"]}
        due_ms, number = start_ms, 0
        while due_ms < start_ms + seconds * 1000:
            due_ms += self.rng.expovariate(per_s) * 1000
            wait_s = (due_ms - now_ms()) / 1000
            if wait_s > 0:
                time.sleep(wait_s)
            self.behind = max(self.behind, now_ms() - due_ms)
            while events and now_ms() - start_ms > events[0][0] * 1000:
                pool.submit(events.pop(0)[1])
            number += 1
            asked = self.choose(number)
            self.asked.append(asked)
            pool.submit(self.send, asked, methods[asked.path])
        pool.shutdown(wait=True)


def cold_bounds_of(doc: dict[str, Any]) -> dict[str, float]:
    """The most calls a second that a cold instance may get, of the services that state a rate.

    Example:
        >>> cold_bounds_of({"services": [{"name": "a", "coldPerS": 10.0}, {"name": "b"}]})
        {'a': 20.0}
    """
    stated = {x["name"]: x["coldPerS"] for x in doc["services"] if "coldPerS" in x}
    return {name: COLD_FACTOR * rate + COLD_PLUS for name, rate in stated.items()}


def read_log(folder: Path, load: Load, zones: list[str]) -> Log:
    """The stand-in's log and the callers' own, as the judges want them."""
    runs: list[Run] = []
    answers: dict[str, bytes] = {}
    up: dict[str, float] = {}
    by_try: dict[str, Run] = {}
    stops: dict[str, float] = {}
    starts: list[tuple[float, str]] = []
    emptied: list[Emptied] = []

    def zone_of(worker: str) -> str:
        return zones[(int(worker[1:]) - 1) % len(zones)]

    keys = {a.call: a.key for a in load.asked}
    for line in (folder / "standin.log").read_text().splitlines():
        e = json.loads(line)
        if e["kind"] == "up":
            up[e["instance"]] = e["atMs"]
        elif e["kind"] == "run":
            run = Run(
                e["atMs"], e["instance"], e["service"], e["worker"], zone_of(e["worker"]),
                e["call"], keys.get(e["call"], ""), e["path"], e["attempt_id"], e["running"],
                e["limit"], e["atMs"] - up.get(e["instance"], 0.0),
                tenant=e.get("tenant", ""), key_shown=e.get("keyShown", False),
            )  # fmt: skip
            runs.append(run)
            by_try[run.attempt_id] = run
        elif e["kind"] == "answer":
            answers[e["attempt_id"]] = e["body"].encode()
            by_try[e["attempt_id"]].done_ms = e["atMs"]
        elif e["kind"] == "start":
            starts.append((e["atMs"], zone_of(e["worker"])))
        elif e["kind"] == "stop" and e["why"] == "asked":
            stops[e["instance"]] = e["atMs"]
        elif e["kind"] == "shown":
            emptied.append(Emptied(e["instance"], e["atMs"]))
        elif e["kind"] == "unshown":
            for each in emptied:
                if each.instance == e["instance"]:
                    each.to_ms = min(each.to_ms, e["atMs"])
    cold = {x["name"]: x["coldMs"] for x in load.doc["services"]}
    return Log(
        now_ms(), load.asked, runs, answers, load.told, cold, downs=load.fleet.downs,
        emptied=emptied, stop_ms=stops, starts=starts, returns=load.returns,
        cold_bounds=cold_bounds_of(load.doc),
    )  # fmt: skip


def usage(pid: int) -> tuple[float, float]:
    """Resident megabytes and processor seconds of a process."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        rss = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    except OSError:
        return 0.0, 0.0
    ticks = os.sysconf("SC_CLK_TCK")
    return rss / 2**20, (int(stat[11]) + int(stat[12])) / ticks


def ninth(log: Log, from_ms: float) -> str:
    """The 0.9 quantile of successes asked in 5 s."""
    asked = [a for a in log.asked if from_ms <= a.at_ms < from_ms + 5_000]
    good = sorted(a.done_ms - a.at_ms for a in asked if 200 <= a.status < 300)
    return f"{good[int(0.9 * len(good))]:.0f}" if good else "-"


def figures(load: Load, log: Log, seconds: float, fleet: Fleet) -> None:
    """Print what came of it."""
    asked = log.asked
    good = sorted(a.done_ms - a.at_ms for a in asked if 200 <= a.status < 300)
    counts: dict[str, int] = {}
    for a in asked:
        name = f"{a.status} {a.kind} {a.ran}".strip()
        counts[name] = counts.get(name, 0) + 1
    share = 100 * len(good) / len(asked)
    print(f"calls {len(asked)} ({len(asked) / seconds:.0f}/s), succeeded {len(good)}")
    print(f"  {share:.2f} %; the generator was behind by {load.behind:.0f} ms at most")
    for q in (0.5, 0.9, 0.99, 0.999):
        print(f"  latency p{q * 100:g}: {good[min(len(good) - 1, int(q * len(good)))]:.0f} ms")
    for name, many in sorted(counts.items(), key=lambda c: -c[1]):
        print(f"  {many:6d}  {name}")
    first = asked[0].at_ms
    starts = [first + s * 1000 for s in range(0, int(seconds), 10)]
    row = [f"{100 * level(log, t, t + 10_000):.1f}" for t in starts]
    print("  success by 10 s:", " ".join(row))
    print(
        "  p90 ms by 5 s:",
        " ".join(ninth(log, first + s * 1000) for s in range(0, int(seconds), 5)),
    )
    attempts: dict[str, set[str]] = {}
    for r in log.runs:
        attempts.setdefault(r.call, set()).add(r.instance)
    seconds_ = sum(len(t) - 1 for t in attempts.values())
    print(f"second sends that reached an instance: {seconds_} of {len(attempts)} calls that ran")
    for role in ("ex", "reg"):
        found = [usage(p.pid) for n, p in fleet.processes.items() if n.startswith(role)]
        most = max(rss for rss, _ in found)
        cpu = max(cpu for _, cpu in found)
        print(f"{role}*: at most {most:.0f} MB, {cpu:.1f} s of processor time in the run")


def main() -> None:
    """The program's entry."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--deployment", choices=("tooluur", "organismo"), default="tooluur")
    parser.add_argument("--seconds", type=float, default=120)
    parser.add_argument("--per-s", type=float, default=150)
    parser.add_argument("--exchanges", type=int, default=9)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=SCENARIOS, default="kills")
    parser.add_argument("--folder", default="")
    args = parser.parse_args()
    folder = Path(args.folder or tempfile.mkdtemp(prefix="spokeroute-load-"))
    fleet = Fleet(folder, args.exchanges, organismo=args.deployment == "organismo")
    fleet.start_all()
    doc = json.loads((EXAMPLES / f"{args.deployment}.json").read_text())
    load = Load(fleet, doc, args.seed)
    try:
        missing = fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 30)
        if missing:
            sys.exit(f"not ready: {missing}")
        told = load.apply()
        if told.status != 200:
            sys.exit(f"apply: {told}")
        missing = fleet.wait_ready(load.exchanges, 30)
        if missing:
            sys.exit(f"not ready: {missing}")
        time.sleep(6)

        acts = [(args.seconds * at, act) for at, act in events(args.scenario, fleet, load.apply)]
        begin_ms = now_ms()
        load.returns = [
            Return(*(begin_ms + 1000 * args.seconds * share for share in span))
            for span in RETURNS.get(args.scenario, ())
        ]
        load.run(args.per_s, args.seconds, acts)
        load.show()
        log = read_log(folder, load, doc["zones"])
        figures(load, log, args.seconds, fleet)
        found = judge(log)
        print("judges:", "clean" if not found else "")
        for text in found:
            print("  ", text)
    finally:
        codes = fleet.stop()
        bad = {n: c for n, c in codes.items() if c not in (0, -signal.SIGTERM)}
        print(f"exit codes other than 0: {bad or 'none'}; logs in {folder}")


if __name__ == "__main__":
    main()
