"""What an exchange tells of calls that ended late, refused or failed, and the log line of it.

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
    """So many calls of a service that ended in one way, for one reason."""

    service: str
    outcome: str
    reason: str
    count: int


@dataclass(frozen=True, slots=True)
class OutcomesTold:
    """An exchange's counts since its batch before; batches are numbered from 1 in each life."""

    number: int
    rows: tuple[OutcomeRow, ...]


def outcomes_line(rows: tuple[OutcomeRow, ...]) -> str:
    """The log line of a batch: a mark, and JSON.

    Example:
        >>> outcomes_line((OutcomeRow("s", "late", "waited_for_boot", 2),))
        'outcomes [["s","late","waited_for_boot",2]]'
    """
    listed = [[row.service, row.outcome, row.reason, row.count] for row in rows]
    return LINE_MARK + json.dumps(listed, separators=(",", ":"))


def read_outcomes_line(line: str) -> tuple[OutcomeRow, ...]:
    """The rows of a log line, whatever stands before the mark; none where it has no mark.

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
