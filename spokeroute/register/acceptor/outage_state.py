"""The state of a store outage and the schedule of attempts to reopen the store."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.common.ids import Ms

FIRST_PAUSE_MS = 200
LONGEST_PAUSE_MS = 1_000


@dataclass(frozen=True, slots=True)
class Outage:
    """When and why store writes began to fail, and when reopening is tried next."""

    since_ms: Ms
    reason: str
    probe_bytes: int
    pause_ms: int
    retry_ms: Ms
    reopening: bool = False


def next_pause_ms(pause_ms: int) -> int:
    """The pause before the next attempt to reopen, after one that failed: exponential backoff.

    Example:
        >>> next_pause_ms(800)
        1000
    """
    return min(2 * pause_ms, LONGEST_PAUSE_MS)
