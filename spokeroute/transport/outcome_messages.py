"""Reports by exchanges on calls that ended late, refused or failed, and their log line.

Example:
    >>> OutcomesTold(1, (OutcomeRow("s", "late", "waited_for_boot", 2),)).rows[0].count
    2
"""

from __future__ import annotations

import json
from dataclasses import dataclass

LINE_MARK = "outcomes "


@dataclass(frozen=True, slots=True)
class OutcomeRow:
    """Number of calls of a service that ended with one outcome for one reason."""

    service: str
    outcome: str
    reason: str
    count: int


@dataclass(frozen=True, slots=True)
class OutcomesTold:
    """An exchange's counts since its previous batch; numbered from 1 in each incarnation."""

    number: int
    rows: tuple[OutcomeRow, ...]


def outcomes_line(rows: tuple[OutcomeRow, ...]) -> str:
    """Format a batch as a log line: a marker followed by JSON.

    Example:
        >>> outcomes_line((OutcomeRow("s", "late", "waited_for_boot", 2),))
        'outcomes [["s","late","waited_for_boot",2]]'
    """
    listed = [[row.service, row.outcome, row.reason, row.count] for row in rows]
    return LINE_MARK + json.dumps(listed, separators=(",", ":"))


def read_outcomes_line(line: str) -> tuple[OutcomeRow, ...]:
    """Parse the rows after the marker in a log line; empty if the line has no marker.

    Example:
        >>> read_outcomes_line('x calls: outcomes [["s","late","waited_for_boot",2]]')[0].count
        2
    """
    _, mark, text = line.partition(LINE_MARK)
    if not mark or not text.startswith("["):
        return ()
    try:
        return tuple(OutcomeRow(str(s), str(o), str(r), int(n)) for s, o, r, n in json.loads(text))
    except (ValueError, TypeError):
        return ()
