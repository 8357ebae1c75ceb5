"""Computes on which register versions a majority of the members' newest answers agrees."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from immutables import Map

from spokeroute.common.ids import SPREAD, Ms
from spokeroute.register.cells import ballot_of
from spokeroute.register.replica.state import Answer, Disagreement
from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class AgreedCopy:
    """A copy whose ballot a majority reported. No newer value was chosen before ``since_ms``, the
    send time of the earliest probe that this majority answered."""

    copy: Copy
    since_ms: Ms


def agreed_copies(majority: int, answers: Iterable[Answer]) -> dict[str, AgreedCopy]:
    """Returns the registers for which a majority of the members' newest answers reports the same
    ballot. The answers may belong to different probes: a newer value that was chosen before the
    earliest of these probes was sent would have been accepted by one of these members, which would
    have reported it.

    Example:
        >>> agreed_copies(2, ())
        {}
    """
    sent_ms: dict[tuple[str, int, str], list[Ms]] = {}
    copies: dict[tuple[str, int, str], Copy] = {}
    for answer in answers:
        for copy in answer.copies:
            key = (copy.name, copy.counter, copy.member)
            copies[key] = copy
            sent_ms.setdefault(key, []).append(answer.sent_ms)
    agreed: dict[str, AgreedCopy] = {}
    for key, times in sent_ms.items():
        if len(times) >= majority and key[0] in SPREAD:
            newest_first = sorted(times, reverse=True)
            agreed[key[0]] = AgreedCopy(copies[key], newest_first[majority - 1])
    return agreed


def track_disagreements(
    before: Map[str, Disagreement], answers: Iterable[Answer], agreed: frozenset[str], now_ms: Ms
) -> Map[str, Disagreement]:
    """Returns the registers on which members report different ballots. A round in progress moves
    on to newer ballots; when none appears for long, the round was interrupted.

    Example:
        >>> track_disagreements(Map(), (), frozenset(), Ms(0))
        immutables.Map({})
    """
    copies = [copy for answer in answers for copy in answer.copies]
    differing: dict[str, Disagreement] = {}
    for name in SPREAD:
        ballots = [ballot_of(copy) for copy in copies if copy.name == name]
        if name in agreed or not ballots:
            continue
        known, newest = before.get(name), max(ballots)
        advanced = known is None or newest > known.ballot
        differing[name] = Disagreement(newest, now_ms) if known is None or advanced else known
    return Map(differing)


def same_value(a: Copy, b: Copy) -> bool:
    """Returns whether two copies refer to the same value, regardless of their ballots.

    Example:
        same_value(copy, copy)
    """
    return a.version == b.version and a.digest == b.digest
