"""The judges: each reads a run's log, simulated or real, and names what must never happen.

They know nothing of the product's inside but the floor's drain marks. Each returns the
violations it found; an empty list is a clean run. ``tests/test_judges.py`` plants a fault
for each, to see it speak.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from tools.log import Log

SLACK_MS = 120.0
RULES_MS = 3_000.0
DRAIN_MS = 3_000.0
EVACUATE_MS = 5_000.0
SHARE = 0.2
SHARE_PLUS = 36
WINDOW_MS = 10_000.0


def onceNeverTwice(log: Log) -> list[str]:
    """A call that may run once never runs twice; nor does a key."""
    once = {a.call for a in log.asked if a.once}
    byCall = Counter(r.call for r in log.runs if r.call in once)
    byKey = Counter(r.key for r in log.runs if r.key)
    found = [f"{c} ran {n} times" for c, n in byCall.items() if n > 1]
    return found + [f"key {k} ran {n} times" for k, n in byKey.items() if n > 1]


def notRunHolds(log: Log) -> list[str]:
    """A refusal that promises "not run" is never followed, or preceded, by a run."""
    ran = {r.call for r in log.runs}
    return [f"{a.call} was told not run, and ran" for a in log.asked if a.ran == "no" and (
        a.call in ran)]  # fmt: skip


def oneVerdictInTime(log: Log) -> list[str]:
    """Every fully read call gets one verdict within its wait, unless its process died."""
    found: list[str] = []
    for a in log.asked:
        if a.status == 0:
            continue
        if a.verdicts != 1:
            if log.endMs > a.atMs + a.waitMs + SLACK_MS:
                found.append(f"{a.call} got {a.verdicts} verdicts")
        elif a.doneMs - a.atMs > a.waitMs + SLACK_MS:
            found.append(f"{a.call} waited {a.doneMs - a.atMs:.0f} of {a.waitMs} ms")
    return found


def successIsWhole(log: Log) -> list[str]:
    """A success carries an instance's whole answer to that very call."""
    bodies: dict[str, set[bytes]] = defaultdict(set)
    for run in log.runs:
        if run.tryId in log.answers:
            bodies[run.call].add(log.answers[run.tryId])
    return [
        f"{a.call} got a body that no instance gave it: {a.body[:40]!r}"
        for a in log.asked
        if 200 <= a.status < 300 and a.body not in bodies[a.call]
    ]


def rightService(log: Log) -> list[str]:
    """A call never runs at another service's instance."""
    wanted = {a.call: a.path for a in log.asked}
    allowed: dict[str, set[str]] = defaultdict(set)
    for _, lanes in rules(log):
        for path, service in lanes.items():
            allowed[path].add(service)
    return [
        f"{r.call} for {wanted[r.call]} ran at {r.service}"
        for r in log.runs
        if r.call in wanted and r.service not in allowed[wanted[r.call]]
    ]


def rules(log: Log) -> list[tuple[float, dict[str, str]]]:
    """When each configuration was acknowledged, and its lanes, in the order of versions."""
    acked = [t for t in log.told if t.what == "apply" and t.status == 200]
    acked.sort(key=lambda t: int(t.doc["version"]))
    out: list[tuple[float, dict[str, str]]] = []
    for told in acked:
        out.append((told.doneMs, log.lanesOf[told.detail]))
    return out


def newestRules(log: Log) -> list[str]:
    """About 3 s after an acknowledgement only that configuration, or a newer one, rules."""
    wanted = {a.call: a.path for a in log.asked}
    found: list[str] = []
    known = rules(log)
    for run in log.runs:
        path = wanted.get(run.call)
        if path is None:
            continue
        first = 0
        for i, (ackedMs, _) in enumerate(known):
            if run.atMs > ackedMs + RULES_MS:
                first = i
        if all(lanes.get(path) != run.service for _, lanes in known[first:]):
            found.append(f"{run.call} for {path} ran at {run.service} by an old configuration")
    return found


def evacuatedGetNothing(log: Log) -> list[str]:
    """About 5 s after its evacuation was acknowledged a locality's instances get nothing."""
    marks = [t for t in log.told if t.what in ("evacuate", "restore") and t.status == 200]
    marks.sort(key=lambda t: t.doneMs)
    found: list[str] = []
    for run in log.runs:
        last = None
        for told in marks:
            if told.detail == run.locality and told.atMs <= run.atMs:
                last = told
        if last and last.what == "evacuate" and run.atMs > last.doneMs + EVACUATE_MS:
            found.append(f"{run.call} ran in {run.locality}, evacuated before")
    return found


def drainedGetNothing(log: Log) -> list[str]:
    """About 3 s after the floor marked an instance as draining it gets nothing."""
    since = log.drainedMs
    return [
        f"{r.call} ran at {r.instance}, draining since {r.atMs - since[r.instance]:.0f} ms"
        for r in log.runs
        if r.instance in since and r.atMs > since[r.instance] + DRAIN_MS
    ]


def vanishedGetNothing(log: Log) -> list[str]:
    """About 3 s after the listing lost an instance nobody sends towards it."""
    lost = log.goneMs
    return [
        f"a try went to {instance} {atMs - lost[instance]:.0f} ms after it vanished"
        for atMs, instance in log.deadSends
        if instance in lost and atMs > lost[instance] + DRAIN_MS
    ]


def secondsWithinShare(log: Log) -> list[str]:
    """Sends to a second instance stay within a fifth of a service's traffic and a few dozen."""
    seen: dict[str, set[str]] = defaultdict(set)
    firsts: dict[str, list[float]] = defaultdict(list)
    seconds: dict[str, list[float]] = defaultdict(list)
    service = {a.call: a.service for a in log.asked}
    events = [(r.atMs, r.call, r.instance) for r in log.runs]
    for atMs, call, instance in sorted(events):
        if call not in service or instance in seen[call]:
            continue
        (seconds if seen[call] else firsts)[service[call]].append(atMs)
        seen[call].add(instance)
    found: list[str] = []
    for name, times in seconds.items():
        for i, startMs in enumerate(times):
            many = sum(1 for t in times[i:] if t < startMs + WINDOW_MS)
            # First sends earn for the window they are in, so those a window before count.
            traffic = sum(1 for t in firsts[name] if startMs - WINDOW_MS <= t < startMs + WINDOW_MS)
            if many > SHARE * traffic + SHARE_PLUS:
                found.append(f"{name}: {many} second sends against {traffic} firsts")
                break
    return found


def coldWithinRate(log: Log) -> list[str]:
    """A cold instance gets at most 1.5 times its rate, plus five a second, in any second."""
    found: list[str] = []
    byInstance: dict[str, list[Any]] = defaultdict(list)
    for run in log.runs:
        if run.coldForMs < log.coldMs.get(run.service, 0.0):
            byInstance[run.instance].append(run)
    for name, runs in byInstance.items():
        times = [r.atMs for r in runs]
        for t in times:
            got = sum(1 for x in times if t <= x < t + 1000)
            before = sum(1 for x in times if t - 2000 <= x < t + 1000)
            most = 5.0 + 1.5 * before / 2.0 + 2.0
            if got > most:
                found.append(f"{name}: {got} in a second while cold, at most {most:.1f}")
                break
    return found


def withinLimit(log: Log) -> list[str]:
    """An instance never runs more at once than it may."""
    return [
        f"{r.instance} ran {r.running} at once, limit {r.limit}"
        for r in log.runs
        if r.running > r.limit
    ]


def ackedReadsBack(log: Log) -> list[str]:
    """What was acknowledged reads back whole and newest (shows run at the end)."""
    found: list[str] = []
    acked = [t for t in log.told if t.what == "apply" and t.status == 200]
    for show in (t for t in log.told if t.what == "show" and t.status == 200):
        before = [t for t in acked if t.doneMs <= show.atMs]
        if not before:
            continue
        newest = max(before, key=lambda t: int(t.doc["version"]))
        if int(show.doc["version"]) < int(newest.doc["version"]):
            found.append(f"read back {show.doc['version']}, acknowledged {newest.doc['version']}")
        elif int(show.doc["version"]) == int(newest.doc["version"]) and (
            show.doc["configuration"].get("name") != newest.detail
        ):
            found.append(f"version {show.doc['version']} reads back as another configuration")
    versions = [int(t.doc["version"]) for t in acked]
    if len(versions) != len(set(versions)):
        found.append(f"one version was acknowledged twice: {sorted(versions)}")
    return found


JUDGES = (
    onceNeverTwice, notRunHolds, oneVerdictInTime, successIsWhole, rightService, newestRules,
    evacuatedGetNothing, drainedGetNothing, vanishedGetNothing, secondsWithinShare,
    coldWithinRate, withinLimit, ackedReadsBack,
)  # fmt: skip


def judge(log: Log) -> list[str]:
    """Every judge's findings."""
    return [f"{j.__name__}: {text}" for j in JUDGES for text in j(log)[:5]]


def level(log: Log, fromMs: float, toMs: float) -> float:
    """The share of calls asked in a span that succeeded."""
    asked = [a for a in log.asked if fromMs <= a.atMs < toMs]
    good = sum(1 for a in asked if 200 <= a.status < 300)
    return good / len(asked) if asked else 0.0
