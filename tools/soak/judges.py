"""A soak's judges. They look at orders and counts, and at times only against bounds that the
product states, so that their verdict does not hang on how busy the machine is."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable

from tools.judges import (
    cold_within_stated_rate,
    evacuated_get_nothing,
    not_run_holds,
    once_never_twice,
    right_service,
    success_is_whole,
    within_limit,
)
from tools.key_judges import KEY_JUDGES, UNKNOWN_KEY
from tools.log import Asked, Down, Log
from tools.readback import acked_reads_back, one_content_a_number, refused_never_rules
from tools.soak.records import Size, SoakLog

LOSS_SLACK_MS = 200.0  # a request that crosses the close of its connection was not taken
ANSWER_SLACK_MS = 3_000.0  # after a call's wait: its client gives up then
GONE_MS = 500.0
MOST_GONE = 3
RECOVERY_MS = 12_000.0
RECOVERY_CALLS = 20
SERVED_SHARE = 0.95  # of the calls that their clients did not leave
GROWTH, MORE_DESCRIPTORS, MORE_THREADS, MORE_MB = 1.5, 64, 24, 24.0

SoakJudge = Callable[[SoakLog], list[str]]


def _away(log: Log, process: str, from_ms: float, to_ms: float) -> list[Down]:
    """Kills and freezes of a process that touch a span."""
    return [
        down
        for down in log.downs
        if down.process == process
        and down.from_ms <= to_ms
        and (down.to_ms < 0 or down.to_ms >= from_ms)
    ]


def none_lost(soak: SoakLog) -> list[str]:
    """A request that was sent whole is answered, also where its process is told to end; one that
    crosses the close of its connection is not passed on."""
    ran = {run.call for run in soak.log.runs}
    found: list[str] = []
    for each in soak.broken:
        if _away(soak.log, each.process, each.sent_ms, each.ended_ms):
            continue
        after_ms = each.ended_ms - each.sent_ms
        if each.partial:
            found.append(f"{each.call} at {each.process}: an answer was cut")
        elif each.call in ran:
            found.append(f"{each.call} at {each.process} ran, and its connection ended unanswered")
        elif after_ms > LOSS_SLACK_MS:
            found.append(f"{each.call} at {each.process} was dropped {after_ms:.0f} ms after it")
    return found


def one_final_answer(soak: SoakLog) -> list[str]:
    """Each request has one end: an answer, or a broken connection; none stays open."""
    found: list[str] = []
    left = {each.call for each in soak.left}
    for asked in soak.log.asked:
        if asked.call in left:
            continue
        if asked.status == -1:
            found.append(f"{asked.call} at {asked.exchange} never ended")
        elif asked.answers > 1:
            found.append(f"{asked.call} got {asked.answers} answers")
        elif asked.kind == "timeout":
            away = _away(soak.log, asked.exchange, asked.at_ms, asked.done_ms)
            if not away:
                found.append(f"{asked.call} at {asked.exchange} got no answer in its wait")
    counts = Counter(asked.call for asked in soak.log.asked)
    return [*found, *(f"{call} was asked {n} times" for call, n in counts.items() if n > 1)]


def no_work_for_the_gone(soak: SoakLog) -> list[str]:
    """No more than a few requests reach an instance long after their client left."""
    left = {each.call: each for each in soak.left}
    late = [
        run.call
        for run in soak.log.runs
        if run.call in left
        and run.at_ms > left[run.call].at_ms + GONE_MS
        and not _away(soak.log, left[run.call].process, left[run.call].at_ms, run.at_ms)
    ]
    return [f"{len(late)} calls began after their client had left"] if len(late) > MOST_GONE else []


def ends_in_order(soak: SoakLog) -> list[str]:
    """A process that is told to end does so by itself, within its grace, with code 0."""
    found: list[str] = []
    for each in soak.ended:
        if each.killed or _away(soak.log, each.process, each.asked_ms, each.ended_ms):
            continue
        if each.code is None:
            found.append(f"{each.process} did not end within its grace")
        elif each.code != 0 and not (each.young and each.code == -signal.SIGTERM):
            found.append(f"{each.process} ended with {each.code}")
    return found


def nothing_creeps(soak: SoakLog) -> list[str]:
    """Descriptors, threads, memory and stores: no more at the end than at the start, but for what
    caches and pools may hold."""
    found: list[str] = []
    for role in ("ex", "reg"):
        before = [each for each in soak.before if each.process.startswith(role)]
        after = [each for each in soak.after if each.process.startswith(role)]
        if not before or not after:
            continue
        for what, more in (
            ("descriptors", MORE_DESCRIPTORS),
            ("threads", MORE_THREADS),
            ("memory_mb", MORE_MB),
        ):
            most = GROWTH * _most(before, what) + more
            now = _most(after, what)
            if now > most:
                found.append(f"{role}*: {now:.0f} {what} at the end, {most:.0f} are allowed")
    return found


def _most(sizes: list[Size], what: str) -> float:
    return max(float(getattr(each, what)) for each in sizes)


def _counts(asked: Asked) -> bool:
    """Whether a call can be served: it ended, its client did not leave it, and its key was not
    refused as nobody's, of which the judges of keys speak."""
    return asked.status not in (-1, UNKNOWN_KEY) and asked.kind != "left"


def comes_back(soak: SoakLog) -> list[str]:
    """Service is back within the bound after the last trouble, and so is the configuration."""
    found = [] if soak.read_back else ["the configuration could not be read at the end"]
    begin_ms = soak.last_trouble_ms + RECOVERY_MS
    asked = [a for a in soak.log.asked if a.at_ms >= begin_ms and _counts(a)]
    served = [a for a in asked if 200 <= a.status < 300]
    if len(asked) >= RECOVERY_CALLS and len(served) < SERVED_SHARE * len(asked):
        ends = Counter(f"{a.status} {a.kind}".strip() for a in asked).most_common()
        found.append(
            f"{len(served)} of {len(asked)} calls are served after the last trouble: "
            + ", ".join(f"{count} {end}" for end, count in ends)
        )
    return found


def newest_order_stands(soak: SoakLog) -> list[str]:
    """No order that a member read late undid an acknowledged one that was sent after it."""
    return soak.undone


def numbers_read_back(soak: SoakLog) -> list[str]:
    """Behind the adapter: what is read is whole, and no older than what was acknowledged before."""
    applies = [t for t in soak.log.told if t.what == "apply" and t.number]
    found: list[str] = []
    for read in (t for t in soak.log.told if t.what == "read" and t.status in (200, 404)):
        before = [t.number for t in applies if t.status == 200 and t.done_ms <= read.at_ms]
        number = int(read.doc.get("number", 0))
        if number < max(before, default=0):
            found.append(f"{read.detail} reads {number}, acknowledged {max(before)}")
        elif read.status == 200 and not read.doc["whole"]:
            found.append(f"{read.detail} reads {number} with other content")
    return found


def recovery_ms(soak: SoakLog) -> float:
    """From the last trouble until calls are served as a rule again; -1 where that never came."""
    asked = sorted((a for a in soak.log.asked if _counts(a)), key=lambda a: a.at_ms)
    late = [a for a in asked if a.at_ms >= soak.last_trouble_ms]
    for at in range(len(late)):
        window = late[at : at + RECOVERY_CALLS]
        if len(window) < RECOVERY_CALLS:
            return -1.0
        if sum(1 for a in window if 200 <= a.status < 300) >= SERVED_SHARE * len(window):
            return window[0].at_ms - soak.last_trouble_ms
    return -1.0


LOG_JUDGES = (
    once_never_twice, not_run_holds, success_is_whole, right_service, within_limit,
    evacuated_get_nothing, cold_within_stated_rate, acked_reads_back, refused_never_rules,
    one_content_a_number, *KEY_JUDGES,
)  # fmt: skip
SOAK_JUDGES: tuple[SoakJudge, ...] = (
    none_lost, one_final_answer, no_work_for_the_gone, ends_in_order, nothing_creeps, comes_back,
    numbers_read_back, newest_order_stands,
)  # fmt: skip
MOST_TOLD = 5


def judge_soak(soak: SoakLog) -> list[str]:
    """Every judge's findings.

    Example:
        judge_soak(soak) == []
    """
    found = [f"{j.__name__}: {text}" for j in LOG_JUDGES for text in j(soak.log)[:MOST_TOLD]]
    found += [f"{j.__name__}: {text}" for j in SOAK_JUDGES for text in j(soak)[:MOST_TOLD]]
    return found
