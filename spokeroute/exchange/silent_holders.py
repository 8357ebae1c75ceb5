"""Detects silent holders. A frozen or unreachable machine resets no connection, so an entry that
waits for a holder pings it, and stops using it until it is heard again.

The ping timeout follows the observed round trips (``round_trip.py``), within fixed bounds; time in
which this process itself was late does not count. ``docs/decisions/holder.md`` compares this with
fixed timeouts. A repeatable call goes on to a successor; any other keeps waiting, because it may
be running there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange.round_trip import RoundTrip
from spokeroute.exchange.types import Call

PING_AFTER_MS = 100  # a holder is pinged when an attempt has had no message for this long
MIN_TIMEOUT_MS = 300  # a holder is silent after at least this long without an answer to a ping
MAX_TIMEOUT_MS = 1_000  # and at most this long; RFC 6298's timeout before a first sample
PING_INTERVAL_MS = 300  # how often a silent holder is pinged
FORGET_AFTER_MS = 10_000  # the placement role assigns other holders long before


@dataclass(frozen=True, slots=True)
class SilentHolders:
    """What an entry knows of the holders that it waits for."""

    last_heard_ms: Map[str, int] = field(default_factory=Map)
    first_ping_ms: Map[str, int] = field(default_factory=Map)  # of the pings without an answer yet
    last_ping_ms: Map[str, int] = field(default_factory=Map)
    silent_since_ms: Map[str, int] = field(default_factory=Map)
    round_trips: Map[str, RoundTrip] = field(default_factory=Map)  # by holder
    overall_round_trip: RoundTrip | None = None  # over all holders

    def with_message(self, node: str, now_ms: int) -> SilentHolders:
        """A message from a holder arrived.

        Example:
            >>> SilentHolders().with_message("ex1", 5).last_heard_ms["ex1"]
            5
        """
        silence = self._with_sample(node, now_ms)
        return replace(
            silence,
            last_heard_ms=silence.last_heard_ms.set(node, now_ms),
            first_ping_ms=_without(silence.first_ping_ms, node),
            last_ping_ms=_without(silence.last_ping_ms, node),
            silent_since_ms=_without(silence.silent_since_ms, node),
        )

    def _with_sample(self, node: str, now_ms: int) -> SilentHolders:
        """With the round trip that a message completes. One over MAX_TIMEOUT_MS was an outage and
        says nothing about the network path or the usual load of the holder."""
        pinged_ms = self.first_ping_ms.get(node)
        if pinged_ms is None or now_ms - pinged_ms > MAX_TIMEOUT_MS:
            return self
        took_ms = float(now_ms - pinged_ms)
        old, anyone = self.round_trips.get(node), self.overall_round_trip
        trip = old.with_sample(took_ms) if old else RoundTrip.first(took_ms)
        any_trip = anyone.with_sample(took_ms) if anyone else RoundTrip.first(took_ms)
        return replace(
            self, round_trips=self.round_trips.set(node, trip), overall_round_trip=any_trip
        )

    def timeout_ms(self, node: str) -> float:
        """The time without an answer after which a holder is silent: by its own round trips, else
        by those of all holders. The maximum if it was never heard: its link may still be opening.

        Example:
            >>> SilentHolders().timeout_ms("ex1")
            1000.0
        """
        if node not in self.last_heard_ms:
            return float(MAX_TIMEOUT_MS)
        trip = self.round_trips.get(node) or self.overall_round_trip
        observed_ms = trip.timeout_ms if trip is not None else 0.0
        return min(float(MAX_TIMEOUT_MS), max(float(MIN_TIMEOUT_MS), observed_ms))

    def with_link_lost(self, node: str, now_ms: int) -> SilentHolders:
        """The connection to a holder broke: it counts as silent until it is heard.

        Example:
            >>> "ex1" in SilentHolders().with_link_lost("ex1", 5).silent_since_ms
            True
        """
        last = self.last_ping_ms.set(node, now_ms)
        return replace(
            self, last_ping_ms=last, silent_since_ms=self.silent_since_ms.set(node, now_ms)
        )

    def with_timers_restarted(self, now_ms: int) -> SilentHolders:
        """This process itself was frozen: all running ping timeouts start again.

        Example:
            >>> SilentHolders().with_timers_restarted(5) == SilentHolders()
            True
        """
        last = Map({node: now_ms for node in self.last_ping_ms})
        first = Map({node: now_ms for node in self.first_ping_ms})
        return replace(self, last_ping_ms=last, first_ping_ms=first)

    def with_timers_extended(self, by_ms: int) -> SilentHolders:
        """This process itself was busy and read nothing for ``by_ms``: extend all ping timeouts.

        Example:
            >>> at_100 = Map({"ex1": 100})
            >>> asked = SilentHolders(first_ping_ms=at_100, last_ping_ms=at_100)
            >>> asked.with_timers_extended(200).first_ping_ms["ex1"]
            300
        """
        if by_ms <= 0:
            return self
        return replace(
            self,
            first_ping_ms=Map({n: at_ms + by_ms for n, at_ms in self.first_ping_ms.items()}),
            last_ping_ms=Map({n: at_ms + by_ms for n, at_ms in self.last_ping_ms.items()}),
        )


def _without(times: Map[str, int], node: str) -> Map[str, int]:
    return times.delete(node) if node in times else times


def check_holders(
    silence: SilentHolders, calls: tuple[Call, ...], me: str, now_ms: Ms
) -> tuple[SilentHolders, tuple[NodeId, ...], tuple[NodeId, ...]]:
    """The holders to ping now, and those that have just become silent.

    Example:
        >>> check_holders(SilentHolders(), (), "ex1", Ms(0))[1:]
        ((), ())
    """
    oldest: dict[str, int] = {}
    for call in calls:
        for each in call.attempts.values():
            if each.holder != me:
                oldest[each.holder] = min(each.sent_ms, oldest.get(each.holder, each.sent_ms))
    ping: list[NodeId] = []
    silent: list[NodeId] = []
    first, last, since = silence.first_ping_ms, silence.last_ping_ms, silence.silent_since_ms
    for node, sent_ms in oldest.items():
        if node in last or node in since:
            continue
        if now_ms - max(sent_ms, silence.last_heard_ms.get(node, 0)) >= PING_AFTER_MS:
            first, last = first.set(node, now_ms), last.set(node, now_ms)
            ping.append(NodeId(node))
    for node, at_ms in silence.last_ping_ms.items():
        if node in since:
            if now_ms - since[node] >= FORGET_AFTER_MS:
                since, last = since.delete(node), last.delete(node)
                first = _without(first, node)
            elif now_ms - at_ms >= PING_INTERVAL_MS:
                last = last.set(node, now_ms)
                ping.append(NodeId(node))
        elif now_ms - at_ms >= silence.timeout_ms(node):
            since = since.set(node, now_ms)
            silent.append(NodeId(node))
    silence = replace(silence, first_ping_ms=first, last_ping_ms=last, silent_since_ms=since)
    return silence, tuple(ping), tuple(silent)
