"""Holders that say nothing: a dark or frozen machine resets no connection, so an entry that waits
for one asks it, and leaves it alone until it is heard again.

A repeatable call goes on to a successor; any other keeps waiting, as it may be running there.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.exchange.types import Call

ASK_MS = 100  # an attempt without a word for this long: its holder is asked
SILENT_MS = 300  # and this long without a word from it: it is silent
AGAIN_MS = 300  # how often a silent one is asked
FORGET_MS = 10_000  # the placement role names other holders long before


@dataclass(frozen=True, slots=True)
class Silence:
    """What an entry knows of the holders it waits for."""

    heard_ms: Map[str, int] = field(default_factory=Map)
    asked_ms: Map[str, int] = field(default_factory=Map)  # when it was asked, and has not answered
    since_ms: Map[str, int] = field(default_factory=Map)  # silent holders

    def heard(self, node: str, now_ms: int) -> Silence:
        """A word of a holder.

        Example:
            >>> Silence().heard("ex1", 5).heard_ms["ex1"]
            5
        """
        asked = self.asked_ms.delete(node) if node in self.asked_ms else self.asked_ms
        since = self.since_ms.delete(node) if node in self.since_ms else self.since_ms
        return Silence(self.heard_ms.set(node, now_ms), asked, since)

    def lost(self, node: str, now_ms: int) -> Silence:
        """The connection to a holder broke: it is left alone until it is heard.

        Example:
            >>> "ex1" in Silence().lost("ex1", 5).since_ms
            True
        """
        asked = self.asked_ms.set(node, now_ms)
        return replace(self, asked_ms=asked, since_ms=self.since_ms.set(node, now_ms))

    def woken(self, now_ms: int) -> Silence:
        """This process itself stood still: nobody's silence counts.

        Example:
            >>> Silence().woken(5) == Silence()
            True
        """
        return replace(self, asked_ms=Map({n: now_ms for n in self.asked_ms}))


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
    asked, since = silence.asked_ms, silence.since_ms
    for node, sent_ms in oldest.items():
        if node in asked or node in since:
            continue
        if now_ms - max(sent_ms, silence.heard_ms.get(node, 0)) >= ASK_MS:
            asked = asked.set(node, now_ms)
            ask.append(NodeId(node))
    for node, at_ms in silence.asked_ms.items():
        if node in since:
            if now_ms - since[node] >= FORGET_MS:
                since, asked = since.delete(node), asked.delete(node)
            elif now_ms - at_ms >= AGAIN_MS:
                asked = asked.set(node, now_ms)
                ask.append(NodeId(node))
        elif now_ms - at_ms >= SILENT_MS:
            since = since.set(node, now_ms)
            silent.append(NodeId(node))
    return replace(silence, asked_ms=asked, since_ms=since), tuple(ask), tuple(silent)
