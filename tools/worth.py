"""Where the worth of a day went: ``python -m tools.worth REPORT... [--log FILE]``.

A report is what the users' bench writes with ``--report FILE``. For each, the losses are listed in
hundredths of the worth that was owed, largest first: what each price takes off, and what each kind
of request, each zone of callers and the worst stretches of time leave unearned. With ``--log``,
what the processes of that day wrote is joined to it: why calls ended late, refused or failed, as
they said themselves (``--log-outcomes``), as a table, a plot and by second.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from spokeroute.transport.outcome_messages import read_outcomes_line

MOST_ROWS = 10
BAR_CHARS = 40
LOG_LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s")
LEAST_LOSS = 0.0005


@dataclass(frozen=True, slots=True)
class Loss:
    """One row: what kind of loss, where it lies, its share of the worth owed, and its amount."""

    kind: str
    where: str
    share: float
    said: str = ""


class ReportError(Exception):
    """A file that is no report; the message names it."""


def read_report(path: Path) -> Mapping[str, Any]:
    """A report's fields.

    Example:
        read_report(Path("quiet-1.json"))["G"]
    """
    try:
        report = json.loads(path.read_text())
        report["prices"], report["parts"], report["classes"], report["windows"]
    except (OSError, ValueError, KeyError, TypeError) as fault:
        raise ReportError(f"{path} is no report of a day ({fault}): write one with --report") from (
            fault
        )
    found: Mapping[str, Any] = report
    return found


def price_losses(report: Mapping[str, Any]) -> list[Loss]:
    """What each price takes off.

    Example:
        >>> price_losses({"prices": [["GB between regions", 0.02, 0.21]]})[0].share
        0.21
    """
    return [Loss("price", name, share, f"{amount:g}") for name, amount, share in report["prices"]]


def part_losses(report: Mapping[str, Any]) -> list[Loss]:
    """What each part of the worth leaves unearned, by its weight.

    Example:
        >>> round(part_losses({"parts": [["whole day", 0.6, 0.9]]})[0].share, 3)
        0.06
    """
    return [
        Loss("part", name, weight * (1.0 - earned), f"{earned:.3f} earned")
        for name, weight, earned in report["parts"]
    ]


def group_losses(kind: str, groups: Iterable[Mapping[str, Any]]) -> list[Loss]:
    """How much of all requests' worth each group leaves unearned: by requests, as reports have no
    worth owed by group.

    Example:
        >>> group_losses("zone", [{"name": "a", "n": 4, "worth": 0.5, "late": 1, "refused": 1,
        ...                        "failed": 1, "p99_ms": 700.0}])[0].share
        0.5
    """
    known = list(groups)
    asked = sum(each["n"] for each in known) or 1
    return [
        Loss(
            kind,
            str(each["name"]),
            each["n"] * (1.0 - each["worth"]) / asked,
            f"{each['late']} late, {each['refused']} refused, {each['failed']} failed of "
            f"{each['n']}; p99 {each['p99_ms']:.0f} ms",
        )
        for each in known
    ]


def losses_of(report: Mapping[str, Any]) -> list[Loss]:
    """All rows of a report, the largest of each kind first.

    Example:
        losses_of(read_report(Path("quiet-1.json")))[0].kind
    """
    rows: list[Loss] = []
    for found in (
        price_losses(report),
        part_losses(report),
        group_losses("class", report["classes"]),
        group_losses("zone", report.get("zones", [])),
        group_losses("seconds from", report["windows"]),
    ):
        found.sort(key=lambda loss: -loss.share)
        rows.extend([loss for loss in found if loss.share >= LEAST_LOSS][:MOST_ROWS])
    return rows


@dataclass(frozen=True, slots=True)
class Told:
    """What a process said of calls that ended badly: when, in seconds of the day, and how many."""

    at_s: float
    outcome: str
    reason: str
    count: int


def read_log(lines: Iterable[str]) -> list[Told]:
    """What processes said in a log whose lines begin with the time and the machine.

    Example:
        >>> read_log([' 0.5 front-1 W] front-1: calls: outcomes [["s","late","slow_run",2]]'])
        [Told(at_s=0.5, outcome='late', reason='slow_run', count=2)]
    """
    found: list[Told] = []
    for line in lines:
        stamp = LOG_LINE.match(line)
        at_s = float(stamp.group(1)) if stamp else 0.0
        found.extend(
            Told(at_s, row.outcome, row.reason, row.count) for row in read_outcomes_line(line)
        )
    return found


def reasons(told: Iterable[Told]) -> str:
    """A table and a plot by outcome and reason, and the worst seconds with their first reason.

    Example:
        >>> print(reasons([Told(0.5, "late", "slow_run", 2)]))
          why calls ended badly, as processes told
             2  late     slow_run              ########################################
          second 0: 2, most for slow_run
    """
    sums: Counter[tuple[str, str]] = Counter()
    seconds: dict[int, Counter[str]] = {}
    for each in told:
        sums[each.outcome, each.reason] += each.count
        seconds.setdefault(int(each.at_s), Counter())[each.reason] += each.count
    most = max(sums.values(), default=1)
    lines = ["  why calls ended badly, as processes told"]
    for (outcome, reason), count in sums.most_common():
        bar = "#" * max(1, BAR_CHARS * count // most)
        lines.append(f"  {count:4d}  {outcome:<7}  {reason:<20}  {bar}")
    worst = sorted(seconds, key=lambda second: (-seconds[second].total(), second))
    for second in worst[:MOST_ROWS]:
        reason, _ = seconds[second].most_common(1)[0]
        lines.append(f"  second {second}: {seconds[second].total()}, most for {reason}")
    return "\n".join(lines)


def table(name: str, report: Mapping[str, Any]) -> str:
    """A report's rows as text.

    Example:
        print(table("quiet-1", report))
    """
    lines = [f"{name}: {report['G']:.4f} of the worth after prices, {report['served']:.4f} served"]
    lines.extend(
        f"  {loss.share:7.4f}  {loss.kind:<12}  {loss.where:<28}  {loss.said}".rstrip()
        for loss in losses_of(report)
    )
    lines.extend(
        f"  ended {status}: {count}" for status, count, *_ in report.get("unserved_by", [])
    )
    return "\n".join(lines)


def main(arguments: list[str] | None = None) -> int:
    """The command.

    Example:
        main(["quiet-1.json"])
    """
    parser = argparse.ArgumentParser(prog="tools.worth", description=__doc__)
    parser.add_argument("reports", nargs="+", type=Path, help="files written with --report")
    parser.add_argument("--log", type=Path, help="what the processes of the day wrote")
    given = parser.parse_args(arguments)
    for path in given.reports:
        try:
            print(table(path.stem, read_report(path)))
            if given.log:
                print(reasons(read_log(given.log.read_text(errors="replace").splitlines())))
        except (ReportError, OSError) as fault:
            print(f"tools.worth: {fault}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
