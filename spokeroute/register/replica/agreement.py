"""What members' newest answers agree on."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from immutables import Map

from spokeroute.common.ids import SPREAD, Ms
from spokeroute.register.cells import ballot_of
from spokeroute.register.replica.state import Answer, Disagreement
from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class Agreed:
    """A copy whose ballot a majority named. Nothing newer was chosen before ``since_ms``, when the
    earliest of the questions that this majority answered was sent."""

    copy: Copy
    since_ms: Ms


def agreed_by(majority: int, answers: Iterable[Answer]) -> dict[str, Agreed]:
    """The registers for which a majority of the members' newest answers names one ballot. They need
    not be answers to one question: whoever chose something newer before the earliest of these
    questions was sent had it accepted by one of these members, which would have named it.

    Example:
        >>> agreed_by(2, ())
        {}
    """
    sent_ms: dict[tuple[str, int, str], list[Ms]] = {}
    copies: dict[tuple[str, int, str], Copy] = {}
    for answer in answers:
        for copy in answer.copies:
            key = (copy.name, copy.counter, copy.member)
            copies[key] = copy
            sent_ms.setdefault(key, []).append(answer.sent_ms)
    found: dict[str, Agreed] = {}
    for key, times in sent_ms.items():
        if len(times) >= majority and key[0] in SPREAD:
            newest_first = sorted(times, reverse=True)
            found[key[0]] = Agreed(copies[key], newest_first[majority - 1])
    return found


def track_disagreements(
    before: Map[str, Disagreement], answers: Iterable[Answer], agreed: frozenset[str], now_ms: Ms
) -> Map[str, Disagreement]:
    """The registers on which members differ. A round that is under way goes on to newer ballots;
    where none is named for long, it was cut short.

    Example:
        >>> track_disagreements(Map(), (), frozenset(), Ms(0))
        immutables.Map({})
    """
    copies = [copy for answer in answers for copy in answer.copies]
    found: dict[str, Disagreement] = {}
    for name in SPREAD:
        ballots = [ballot_of(copy) for copy in copies if copy.name == name]
        if name in agreed or not ballots:
            continue
        known, newest = before.get(name), max(ballots)
        moved = known is None or newest > known.ballot
        found[name] = Disagreement(newest, now_ms) if known is None or moved else known
    return Map(found)


def same_value(a: Copy, b: Copy) -> bool:
    """Whether two copies are of one value, whatever their ballots.

    Example:
        same_value(copy, copy)
    """
    return a.version == b.version and a.digest == b.digest
