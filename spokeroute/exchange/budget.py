"""Second sends: each exchange earns its own share, so the sum over all always holds."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

WINDOW_MS = 10_000
BUCKET_MS = 1_000
EARN = 0.2
FLOOR_TOTAL = 36
MOST_EXCHANGES = 12
FLOOR_SHARE = FLOOR_TOTAL // MOST_EXCHANGES


@dataclass(frozen=True, slots=True)
class Budget:
    """First and second sends of this exchange's callers, by service and second."""

    startMs: int
    firsts: Map[tuple[str, int], int] = field(default_factory=Map)
    seconds: Map[tuple[str, int], int] = field(default_factory=Map)

    def first(self, service: str, nowMs: int) -> Budget:
        """Count a first send.

        Example:
            >>> Budget(0).first("s", 0).allows("s", 0)
            False
        """
        return replace(self, firsts=_bump(self.firsts, service, nowMs))

    def second(self, service: str, nowMs: int) -> Budget:
        """Count a second send.

        Example:
            Budget(0).second("s", 0)
        """
        return replace(self, seconds=_bump(self.seconds, service, nowMs))

    def allows(self, service: str, nowMs: int) -> bool:
        """Whether one more second send stays within the share.

        A new process has no floor share for one window, so restarts add nothing.

        Example:
            >>> Budget(0).allows("s", 20_000)
            True
        """
        share = FLOOR_SHARE if nowMs - self.startMs >= WINDOW_MS else 0
        # Never more than the 10 s before earn, never less than those are charged.
        firsts = _sum(self.firsts, service, nowMs, WINDOW_MS // BUCKET_MS)
        seconds = _sum(self.seconds, service, nowMs, WINDOW_MS // BUCKET_MS + 1)
        return seconds + 1 <= EARN * firsts + share


def _bump(counts: Map[tuple[str, int], int], service: str, nowMs: int) -> Map[tuple[str, int], int]:
    key = (service, nowMs // BUCKET_MS)
    counts = counts.set(key, counts.get(key, 0) + 1)
    old = (service, nowMs // BUCKET_MS - 2 * WINDOW_MS // BUCKET_MS)
    if len(counts) > 4_000:
        edge = (nowMs - WINDOW_MS) // BUCKET_MS
        return Map({k: v for k, v in counts.items() if k[1] >= edge})
    return counts.delete(old) if old in counts else counts


def _sum(counts: Map[tuple[str, int], int], service: str, nowMs: int, buckets: int) -> int:
    last = nowMs // BUCKET_MS
    return sum(counts.get((service, at), 0) for at in range(last - buckets + 1, last + 1))
