"""Where the worth of a day went: ``python -m tools.worth REPORT...``.

A report is what the users' bench writes with ``--report FILE``. For each, the losses are listed in
hundredths of the worth that was owed, largest first: what each price takes off, and what each kind
of request, each zone of callers and the worst stretches of time leave unearned.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MOST_ROWS = 10
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
    for path in parser.parse_args(arguments).reports:
        try:
            print(table(path.stem, read_report(path)))
        except ReportError as fault:
            print(f"tools.worth: {fault}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
