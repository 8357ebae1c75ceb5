"""The judges: each reads a run's log, simulated or real, and names what must never happen.

They know nothing of the product's inside but the floor's drain marks. Each returns the
violations it found; an empty list is a clean run. ``tests/test_judges.py`` plants a fault
for each, to see it speak.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict

from tools.key_judges import KEY_JUDGES
from tools.log import Asked, Log, Run
from tools.readback import acked_reads_back, one_content_a_number, refused_never_rules
from tools.ruling import Rulings, unsure

SLACK_MS = 120.0
DRAIN_MS = 3_000.0
EVACUATE_MS = 5_000.0
SHARE = 0.2
SHARE_PLUS = 36
WINDOW_MS = 10_000.0
COLD_FACTOR = 1.5
COLD_PLUS = 5.0
COLD_TOLD_MS = 3_000.0
RATE_MS = 2_000.0
BACK_MS = 12_000.0
LEVEL_MS = 5_000.0
LEVEL_CALLS = 50


def once_never_twice(log: Log) -> list[str]:
    """A call that may run once never runs twice; nor does a key."""
    once = {a.call for a in log.asked if a.once}
    by_call = Counter(r.call for r in log.runs if r.call in once)
    by_key = Counter(r.key for r in log.runs if r.key)
    found = [f"{c} ran {n} times" for c, n in by_call.items() if n > 1]
    return found + [f"key {k} ran {n} times" for k, n in by_key.items() if n > 1]


def not_run_holds(log: Log) -> list[str]:
    """A refusal that promises "not run" is never followed, or preceded, by a run."""
    ran = {r.call for r in log.runs}
    return [f"{a.call} was told not run, and ran" for a in log.asked if a.ran == "no" and (
        a.call in ran)]  # fmt: skip


def excuse(log: Log, asked: Asked) -> float | None:
    """How much later an answer may come because the call's own entry process lay frozen; None
    where that process was killed during the call's life."""
    late_ms = 0.0
    until_ms = asked.at_ms + asked.wait_ms + SLACK_MS
    for down in log.downs:
        to_ms = down.to_ms if down.to_ms >= 0 else log.end_ms
        if (
            down.process != asked.exchange
            or to_ms < asked.at_ms
            or down.from_ms > until_ms + late_ms
        ):
            continue
        if down.how == "killed":
            return None
        late_ms += to_ms - max(asked.at_ms, down.from_ms)
    return late_ms


def one_answer_in_time(log: Log) -> list[str]:
    """Every fully read call gets one answer within its wait, unless its process died; a freeze
    of that process adds the time that the call lay in it."""
    found: list[str] = []
    for a in log.asked:
        if a.status == 0 and a.kind == "refused":
            continue
        late_ms = excuse(log, a)
        if late_ms is None:
            continue
        most_ms = a.wait_ms + SLACK_MS + late_ms
        if a.status <= 0 or a.answers != 1:
            if log.end_ms > a.at_ms + most_ms or a.status == 0:
                found.append(f"{a.call} at {a.exchange} got {a.answers} answers")
        elif a.done_ms - a.at_ms > most_ms:
            found.append(f"{a.call} waited {a.done_ms - a.at_ms:.0f} of {most_ms:.0f} ms")
    return found


def success_is_whole(log: Log) -> list[str]:
    """A body that is no refusal of ours is an instance's whole answer to that very call."""
    bodies: dict[str, set[bytes]] = defaultdict(set)
    for run in log.runs:
        if run.attempt_id in log.answers:
            bodies[run.call].add(log.answers[run.attempt_id])
    return [
        f"{a.call} got a body that no instance gave it: {a.body[:40]!r}"
        for a in log.asked
        if a.status > 0 and not (a.status >= 400 and a.kind) and a.body not in bodies[a.call]
    ]


def right_service(log: Log) -> list[str]:
    """A call never runs at another service's instance than a route in force named for it."""
    asked = {a.call: a for a in log.asked}
    rulings = Rulings(log)
    found: list[str] = []
    for run in log.runs:
        a = asked.get(run.call)
        if a is None:
            continue
        routes = [r.routes.get(a.path) for r in rulings.within(a.at_ms, run.at_ms)]
        if run.service not in {route["service"] for route in routes if route}:
            found.append(f"{run.call} for {a.path} ran at {run.service}")
    return found


def newest_rules(log: Log) -> list[str]:
    """About 3 s after an acknowledgement only that configuration, or a newer one, rules: for
    what runs, and for what is refused."""
    asked = {a.call: a for a in log.asked}
    rulings = Rulings(log)
    found: list[str] = []
    for run in log.runs:
        a = asked.get(run.call)
        if a is None:
            continue
        routes = [r.routes.get(a.path) for r in rulings.within(run.at_ms, run.at_ms)]
        if all(route is None or route["service"] != run.service for route in routes):
            found.append(f"{run.call} for {a.path} ran at {run.service} by an old configuration")
    for a in log.asked:
        if a.ran == "no" and a.kind in ("no_route", "method", "too_fast"):
            routes = [r.routes.get(a.path) for r in rulings.within(a.at_ms, a.done_ms)]
            if not any(_refuses(log, a, route) for route in routes):
                found.append(f"{a.call} for {a.path}: {a.kind} by an old configuration")
    return found


def _refuses(log: Log, a: Asked, route: dict[str, object] | None) -> bool:
    """Whether a route, or its lack, gives this call its refusal."""
    if a.kind == "no_route" or route is None:
        return route is None and a.kind == "no_route"
    if a.kind == "method":
        return a.method not in tuple(route.get("methods", ("GET",)))  # type: ignore[arg-type]
    per_s = float(route.get("perClientPerS", 20.0))  # type: ignore[arg-type]
    recent = sum(
        1
        for x in log.asked
        if (x.client, x.path, x.exchange) == (a.client, a.path, a.exchange)
        and a.at_ms - WINDOW_MS <= x.at_ms <= a.done_ms
    )
    return recent > max(1.0, per_s)


def evacuated_get_nothing(log: Log) -> list[str]:
    """About 5 s after its evacuation was acknowledged a zone's instances get nothing, and
    nothing is started there."""
    asks = [t for t in log.told if t.what in ("evacuate", "restore")]
    acked = sorted((t for t in asks if t.status == 200), key=lambda t: t.done_ms)
    events = [(r.at_ms, r.zone, f"{r.call} ran") for r in log.runs]
    events += [(at_ms, zone, "an instance was started") for at_ms, zone in log.starts]
    found: list[str] = []
    for at_ms, zone, what in events:
        last = None
        for told in acked:
            if told.detail == zone and told.at_ms <= at_ms:
                last = told
        if last is None or last.what != "evacuate" or at_ms <= last.done_ms + EVACUATE_MS:
            continue
        if any(t.what == "restore" and t.detail == zone and unsure(t) and t.at_ms <= at_ms
               for t in asks):  # fmt: skip
            continue
        found.append(f"{what} in {zone}, evacuated before")
    return found


def _sends(log: Log) -> list[tuple[float, str, str]]:
    """Whatever went to an instance: when, for which call, to which."""
    events = [(r.at_ms, r.call, r.instance) for r in log.runs]
    return sorted([*events, *((d.at_ms, d.call, d.instance) for d in log.dials)])


def drained_get_nothing(log: Log) -> list[str]:
    """About 3 s after the floor marked an instance as draining, or a listing showed it as such,
    it gets nothing; nor anything after its stop was asked for."""
    found: list[str] = []
    spans: dict[str, list[tuple[str, float, float]]] = defaultdict(list)
    for name, at_ms in log.drained_ms.items():
        spans[name].append(("marked", at_ms + DRAIN_MS, float("inf")))
    for name, at_ms in log.stop_ms.items():
        spans[name].append(("stopped", at_ms, float("inf")))
    for each in log.emptied:  # the platform may take a drain back
        spans[each.instance].append(("listed as draining", each.from_ms + DRAIN_MS, each.to_ms))
    for at_ms, call, instance in _sends(log):
        for what, from_ms, to_ms in spans.get(instance, ()):
            if from_ms < at_ms <= to_ms:
                ago = at_ms - from_ms
                found.append(f"{call} went to {instance}, {what}, {ago:.0f} ms too late")
    return found


def vanished_get_nothing(log: Log) -> list[str]:
    """About 3 s after the listing lost an instance nobody sends towards it."""
    lost = log.gone_ms
    return [
        f"an attempt went to {instance} {at_ms - lost[instance]:.0f} ms after it vanished"
        for at_ms, instance in log.dead_sends
        if instance in lost and at_ms > lost[instance] + DRAIN_MS
    ]


def seconds_within_share(log: Log) -> list[str]:
    """In the 10 s that end at each send to a second instance such sends stay within a fifth of
    the service's first sends in them and a few dozen."""
    seen: dict[str, set[str]] = defaultdict(set)
    firsts: dict[str, list[float]] = defaultdict(list)
    seconds: dict[str, list[float]] = defaultdict(list)
    service = {a.call: a.service for a in log.asked}
    for at_ms, call, instance in _sends(log):
        if call not in service or instance in seen[call]:
            continue
        (seconds if seen[call] else firsts)[service[call]].append(at_ms)
        seen[call].add(instance)
    found: list[str] = []
    for name, times in seconds.items():
        for i, at_ms in enumerate(times):
            many = i + 1 - bisect_right(times, at_ms - WINDOW_MS)
            first = firsts[name]
            traffic = bisect_right(first, at_ms) - bisect_right(first, at_ms - WINDOW_MS)
            if many > SHARE * traffic + SHARE_PLUS:
                found.append(f"{name}: {many} second sends against {traffic} firsts")
                break
    return found


def cold_within_rate(log: Log) -> list[str]:
    """A cold instance gets at most 1.5 times its rate, plus five, in any second. Its rate at a
    moment is what it answered whole in the 2 s before, a second (docs/decisions/holder.md);
    the highest rate within the second counts."""
    found: list[str] = []
    by_instance: dict[str, list[Run]] = defaultdict(list)
    for run in log.runs:
        if run.service not in log.cold_bounds:
            by_instance[run.instance].append(run)
    for name, runs in by_instance.items():
        cold = sorted(r.at_ms for r in runs if r.cold_for_ms < log.cold_ms.get(r.service, 0.0))
        done = sorted(r.done_ms for r in runs if r.done_ms >= 0)
        for i, at_ms in enumerate(cold):
            got = i + 1 - bisect_right(cold, at_ms - 1_000)
            moments = [at_ms, *(d for d in done if at_ms - 1_000 <= d <= at_ms)]
            rate = max(
                (bisect_right(done, m) - bisect_left(done, m - RATE_MS)) * 1_000 / RATE_MS
                for m in moments
            )
            if got > COLD_FACTOR * rate + COLD_PLUS:
                found.append(f"{name}: {got} in a second while cold, at a rate of {rate:.1f}")
                break
    return found


def cold_within_stated_rate(log: Log) -> list[str]:
    """A cold instance whose service states a rate gets at most 1.5 times that, plus five, in any
    second, from all processes together. One that turned cold again counts once the platform's list
    had the time to tell."""
    told_by_ms = {each.instance: each.from_ms + COLD_TOLD_MS for each in log.turned_cold}
    warm_again_ms = {each.instance: each.to_ms for each in log.turned_cold}
    cold: dict[str, list[float]] = defaultdict(list)
    bounds: dict[str, float] = {}
    for run in log.runs:
        bound = log.cold_bounds.get(run.service)
        if bound is None:
            continue
        started = run.cold_for_ms < log.cold_ms.get(run.service, 0.0)
        from_ms = told_by_ms.get(run.instance, float("inf"))
        if started or from_ms <= run.at_ms < warm_again_ms.get(run.instance, 0.0):
            cold[run.instance].append(run.at_ms)
            bounds[run.instance] = bound
    found: list[str] = []
    for name, times in cold.items():
        times.sort()
        most = max(i + 1 - bisect_right(times, at_ms - 1_000) for i, at_ms in enumerate(times))
        if most > bounds[name]:
            found.append(f"{name}: {most} in a second while cold, {bounds[name]:g} is the most")
    return found


def within_limit(log: Log) -> list[str]:
    """An instance never runs more at once than it may."""
    return [
        f"{r.instance} ran {r.running} at once, limit {r.limit}"
        for r in log.runs
        if r.running > r.limit
    ]


def back_within(log: Log) -> list[str]:
    """12 s after what fell is back, as many calls succeed, and as fast, as before the fault."""
    found: list[str] = []
    for each in log.returns:
        before = _level(log, each.fault_ms - LEVEL_MS, each.fault_ms)
        after = _level(log, each.back_ms + BACK_MS, each.back_ms + BACK_MS + LEVEL_MS)
        if before is None or after is None:
            found.append(f"too few calls to say whether the level of {each.fault_ms:.0f} is back")
        elif after[0] < before[0] - 0.01 or after[1] > 1.5 * before[1] + 50:
            found.append(
                f"back at {each.back_ms:.0f}: {after[0]:.3f} succeed within {after[1]:.0f} ms, "
                f"before the fault {before[0]:.3f} within {before[1]:.0f} ms"
            )
    return found


def _level(log: Log, from_ms: float, to_ms: float) -> tuple[float, float] | None:
    asked = [a for a in log.asked if from_ms <= a.at_ms < to_ms]
    if len(asked) < LEVEL_CALLS:
        return None
    good = sorted(a.done_ms - a.at_ms for a in asked if 200 <= a.status < 300)
    return len(good) / len(asked), good[int(0.9 * len(good))] if good else float("inf")


JUDGES = (
    once_never_twice, not_run_holds, one_answer_in_time, success_is_whole, right_service,
    newest_rules, evacuated_get_nothing, drained_get_nothing, vanished_get_nothing,
    seconds_within_share,
    cold_within_rate, cold_within_stated_rate, within_limit, acked_reads_back, refused_never_rules,
    one_content_a_number, back_within, *KEY_JUDGES,
)  # fmt: skip


def judge(log: Log) -> list[str]:
    """Every judge's findings."""
    return [f"{j.__name__}: {text}" for j in JUDGES for text in j(log)[:5]]


def level(log: Log, from_ms: float, to_ms: float) -> float:
    """The share of calls asked in a span that succeeded."""
    asked = [a for a in log.asked if from_ms <= a.at_ms < to_ms]
    good = sum(1 for a in asked if 200 <= a.status < 300)
    return good / len(asked) if asked else 0.0
