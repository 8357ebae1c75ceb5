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

ASK_MS = 100  # an attempt without a word for this long: its holder is asked
LEAST_SILENT_MS = 300  # without a word for at least this long after it was asked, it is silent
MOST_SILENT_MS = 1_000  # and after this long in any case; RFC 6298's timeout before a first sample
AGAIN_MS = 300  # how often a silent one is asked
FORGET_MS = 10_000  # the placement role names other holders long before


@dataclass(frozen=True, slots=True)
class Silence:
    """What an entry knows of the holders it waits for."""

    heard_ms: Map[str, int] = field(default_factory=Map)
    first_asked_ms: Map[str, int] = field(default_factory=Map)  # and it has not answered since
    asked_ms: Map[str, int] = field(default_factory=Map)  # when it was asked last
    since_ms: Map[str, int] = field(default_factory=Map)  # silent holders
    trips: Map[str, RoundTrip] = field(default_factory=Map)  # to each holder that answered
    any_trip: RoundTrip | None = None  # to whichever holder answered

    def heard(self, node: str, now_ms: int) -> Silence:
        """A word of a holder.

        Example:
            >>> Silence().heard("ex1", 5).heard_ms["ex1"]
            5
        """
        silence = self._sampled(node, now_ms)
        return replace(
            silence,
            heard_ms=silence.heard_ms.set(node, now_ms),
            first_asked_ms=_without(silence.first_asked_ms, node),
            asked_ms=_without(silence.asked_ms, node),
            since_ms=_without(silence.since_ms, node),
        )

    def _sampled(self, node: str, now_ms: int) -> Silence:
        """With the round trip that a word ends. One past the bound was an outage: it says nothing
        of the way or of how busy the holder usually is."""
        asked_ms = self.first_asked_ms.get(node)
        if asked_ms is None or now_ms - asked_ms > MOST_SILENT_MS:
            return self
        took_ms = float(now_ms - asked_ms)
        old, anyone = self.trips.get(node), self.any_trip
        trip = old.sampled(took_ms) if old else RoundTrip.first(took_ms)
        any_trip = anyone.sampled(took_ms) if anyone else RoundTrip.first(took_ms)
        return replace(self, trips=self.trips.set(node, trip), any_trip=any_trip)

    def timeout_ms(self, node: str) -> float:
        """After how long without an answer a holder is silent: by its own round trips, else by
        those of all holders; the most where it never said a word, as its link may still open.

        Example:
            >>> Silence().timeout_ms("ex1")
            1000.0
        """
        if node not in self.heard_ms:
            return float(MOST_SILENT_MS)
        trip = self.trips.get(node) or self.any_trip
        seen_ms = trip.timeout_ms if trip is not None else 0.0
        return min(float(MOST_SILENT_MS), max(float(LEAST_SILENT_MS), seen_ms))

    def lost(self, node: str, now_ms: int) -> Silence:
        """The connection to a holder broke: it is left alone until it is heard.

        Example:
            >>> "ex1" in Silence().lost("ex1", 5).since_ms
            True
        """
        asked = self.asked_ms.set(node, now_ms)
        return replace(self, asked_ms=asked, since_ms=self.since_ms.set(node, now_ms))

    def woken(self, now_ms: int) -> Silence:
        """This process itself was frozen: whoever it asked gets the whole time anew.

        Example:
            >>> Silence().woken(5) == Silence()
            True
        """
        asked = Map({node: now_ms for node in self.asked_ms})
        first = Map({node: now_ms for node in self.first_asked_ms})
        return replace(self, asked_ms=asked, first_asked_ms=first)

    def late(self, by_ms: int) -> Silence:
        """This process itself was busy for a while, and read nothing: that counts against nobody.

        Example:
            >>> asked = Silence(first_asked_ms=Map({"ex1": 100}), asked_ms=Map({"ex1": 100}))
            >>> asked.late(200).first_asked_ms["ex1"]
            300
        """
        if by_ms <= 0:
            return self
        return replace(
            self,
            first_asked_ms=Map({n: at_ms + by_ms for n, at_ms in self.first_asked_ms.items()}),
            asked_ms=Map({n: at_ms + by_ms for n, at_ms in self.asked_ms.items()}),
        )


def _without(times: Map[str, int], node: str) -> Map[str, int]:
    return times.delete(node) if node in times else times


def look(
    silence: Silence, calls: tuple[Call, ...], me: str, now_ms: Ms
) -> tuple[Silence, tuple[NodeId, ...], tuple[NodeId, ...]]:
    """Whom to ask now, and who has just turned out to be silent.

    Example:
        >>> look(Silence(), (), "ex1", Ms(0))[1:]
        ((), ())
    """
    oldest: dict[str, int] = {}
    for call in calls:
        for each in call.attempts.values():
            if each.holder != me:
                oldest[each.holder] = min(each.sent_ms, oldest.get(each.holder, each.sent_ms))
    ask: list[NodeId] = []
    silent: list[NodeId] = []
    first, asked, since = silence.first_asked_ms, silence.asked_ms, silence.since_ms
    for node, sent_ms in oldest.items():
        if node in asked or node in since:
            continue
        if now_ms - max(sent_ms, silence.heard_ms.get(node, 0)) >= ASK_MS:
            first, asked = first.set(node, now_ms), asked.set(node, now_ms)
            ask.append(NodeId(node))
    for node, at_ms in silence.asked_ms.items():
        if node in since:
            if now_ms - since[node] >= FORGET_MS:
                since, asked = since.delete(node), asked.delete(node)
                first = _without(first, node)
            elif now_ms - at_ms >= AGAIN_MS:
                asked = asked.set(node, now_ms)
                ask.append(NodeId(node))
        elif now_ms - at_ms >= silence.timeout_ms(node):
            since = since.set(node, now_ms)
            silent.append(NodeId(node))
    silence = replace(silence, first_asked_ms=first, asked_ms=asked, since_ms=since)
    return silence, tuple(ask), tuple(silent)
