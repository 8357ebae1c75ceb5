"""Holders that say nothing: a dark or frozen machine resets no connection, so an entry that waits
for one asks it, and leaves it alone until it is heard again.

How long it waits for the answer follows the round trips that it has seen (``round_trip.py``),
within fixed bounds; time in which this process itself was late does not count.
``docs/decisions/holder.md`` weighs this against fixed times. A repeatable call goes on to a
successor; any other keeps waiting, as it may be running there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange.round_trip import RoundTrip
from spokeroute.exchange.types import Call

PING_AFTER_MS = 100  # an attempt without a word for this long: its holder is asked
MIN_TIMEOUT_MS = 300  # without a word for at least this long after it was asked, it is silent
MAX_TIMEOUT_MS = 1_000  # and after this long in any case; RFC 6298's timeout before a first sample
PING_INTERVAL_MS = 300  # how often a silent one is asked
FORGET_AFTER_MS = 10_000  # the placement role names other holders long before


@dataclass(frozen=True, slots=True)
class SilentHolders:
    """What an entry knows of the holders it waits for."""

    last_heard_ms: Map[str, int] = field(default_factory=Map)
    first_ping_ms: Map[str, int] = field(default_factory=Map)  # and it has not answered since
    last_ping_ms: Map[str, int] = field(default_factory=Map)  # when it was asked last
    silent_since_ms: Map[str, int] = field(default_factory=Map)  # silent holders
    round_trips: Map[str, RoundTrip] = field(default_factory=Map)  # to each holder that answered
    overall_round_trip: RoundTrip | None = None  # to whichever holder answered

    def with_message(self, node: str, now_ms: int) -> SilentHolders:
        """A word of a holder.

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
        """With the round trip that a word ends. One past the bound was an outage: it says nothing
        of the way or of how busy the holder usually is."""
        asked_ms = self.first_ping_ms.get(node)
        if asked_ms is None or now_ms - asked_ms > MAX_TIMEOUT_MS:
            return self
        took_ms = float(now_ms - asked_ms)
        old, anyone = self.round_trips.get(node), self.overall_round_trip
        trip = old.with_sample(took_ms) if old else RoundTrip.first(took_ms)
        any_trip = anyone.with_sample(took_ms) if anyone else RoundTrip.first(took_ms)
        return replace(
            self, round_trips=self.round_trips.set(node, trip), overall_round_trip=any_trip
        )

    def timeout_ms(self, node: str) -> float:
        """After how long without an answer a holder is silent: by its own round trips, else by
        those of all holders; the most where it never said a word, as its link may still open.

        Example:
            >>> SilentHolders().timeout_ms("ex1")
            1000.0
        """
        if node not in self.last_heard_ms:
            return float(MAX_TIMEOUT_MS)
        trip = self.round_trips.get(node) or self.overall_round_trip
        seen_ms = trip.timeout_ms if trip is not None else 0.0
        return min(float(MAX_TIMEOUT_MS), max(float(MIN_TIMEOUT_MS), seen_ms))

    def with_link_lost(self, node: str, now_ms: int) -> SilentHolders:
        """The connection to a holder broke: it is left alone until it is heard.

        Example:
            >>> "ex1" in SilentHolders().with_link_lost("ex1", 5).silent_since_ms
            True
        """
        asked = self.last_ping_ms.set(node, now_ms)
        return replace(
            self, last_ping_ms=asked, silent_since_ms=self.silent_since_ms.set(node, now_ms)
        )

    def with_timers_restarted(self, now_ms: int) -> SilentHolders:
        """This process itself was frozen: whoever it asked gets the whole time anew.

        Example:
            >>> SilentHolders().with_timers_restarted(5) == SilentHolders()
            True
        """
        asked = Map({node: now_ms for node in self.last_ping_ms})
        first = Map({node: now_ms for node in self.first_ping_ms})
        return replace(self, last_ping_ms=asked, first_ping_ms=first)

    def with_timers_extended(self, by_ms: int) -> SilentHolders:
        """This process itself was busy for a while, and read nothing: that counts against nobody.

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
    """Whom to ask now, and who has just turned out to be silent.

    Example:
        >>> check_holders(SilentHolders(), (), "ex1", Ms(0))[1:]
        ((), ())
    """
    oldest: dict[str, int] = {}
    for call in calls:
        for each in call.attempts.values():
            if each.holder != me:
                oldest[each.holder] = min(each.sent_ms, oldest.get(each.holder, each.sent_ms))
    ask: list[NodeId] = []
    silent: list[NodeId] = []
    first, asked, since = silence.first_ping_ms, silence.last_ping_ms, silence.silent_since_ms
    for node, sent_ms in oldest.items():
        if node in asked or node in since:
            continue
        if now_ms - max(sent_ms, silence.last_heard_ms.get(node, 0)) >= PING_AFTER_MS:
            first, asked = first.set(node, now_ms), asked.set(node, now_ms)
            ask.append(NodeId(node))
    for node, at_ms in silence.last_ping_ms.items():
        if node in since:
            if now_ms - since[node] >= FORGET_AFTER_MS:
                since, asked = since.delete(node), asked.delete(node)
                first = _without(first, node)
            elif now_ms - at_ms >= PING_INTERVAL_MS:
                asked = asked.set(node, now_ms)
                ask.append(NodeId(node))
        elif now_ms - at_ms >= silence.timeout_ms(node):
            since = since.set(node, now_ms)
            silent.append(NodeId(node))
    silence = replace(silence, first_ping_ms=first, last_ping_ms=asked, silent_since_ms=since)
    return silence, tuple(ask), tuple(silent)
