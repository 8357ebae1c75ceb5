"""The contents of a member's disk, as loaded when it is opened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from immutables import Map

from spokeroute.common.ids import MemberId
from spokeroute.register.cells import Cell, Roster

FIRST_SEEN_PREFIX = b"born/"  # keys of claims' first-seen times, in the meta table


@dataclass(frozen=True, slots=True)
class Loaded:
    """The contents of a disk and the number of times it was started.

    The start count grows with each start, so it orders the incarnations of a member's process.
    """

    member: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell]
    start_count: int = 1
    first_seen_ms: Map[str, int] = Map()  # claims, in cumulative uptime
    total_uptime_ms: int = 0  # of this disk's processes, summed over restarts
    copy_progress: Map[str, str] = Map()  # while joining: old member -> last name copied


def read_first_seen(txn: Any, meta: Any) -> Map[str, int]:
    """The first-seen times of the claims, in cumulative uptime of the disk.

    Example:
        read_first_seen(txn, meta) == Map()
    """
    found: dict[str, int] = {}
    cursor = txn.cursor(db=meta)
    there = cursor.set_range(FIRST_SEEN_PREFIX)
    while there and bytes(cursor.key()).startswith(FIRST_SEEN_PREFIX):
        found[bytes(cursor.key())[len(FIRST_SEEN_PREFIX) :].decode()] = int(bytes(cursor.value()))
        there = cursor.next()
    return Map(found)
