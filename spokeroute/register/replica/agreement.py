"""What the answers to a probe agree on."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.ids import SPREAD, Ms
from spokeroute.register.cells import Roster, ballot_of
from spokeroute.register.replica.state import Asked, Unlike
from spokeroute.transport.messages import Copy


def agreed_by(roster: Roster, asked: Asked) -> dict[str, Copy]:
    """The registers for which a majority named one ballot.

    Example:
        agreed_by(roster, Asked(Ms(0))) == {}
    """
    found: dict[str, Copy] = {}
    for name in SPREAD:
        counts: dict[tuple[int, str], int] = {}
        for ack in asked.acks.values():
            for copy in ack.copies:
                if copy.name == name:
                    key = (copy.counter, copy.member)
                    counts[key] = counts.get(key, 0) + 1
                    if counts[key] >= roster.majority:
                        found[name] = copy
    return found


def seen_unlike(
    before: Map[str, Unlike], asked: Asked, agreed: frozenset[str], now_ms: Ms
) -> Map[str, Unlike]:
    """The registers on which members differ. A round that is under way goes on to newer ballots;
    where none is named for long, it was cut short.

    Example:
        seen_unlike(Map(), Asked(Ms(0)), frozenset(SPREAD), Ms(0)) == Map()
    """
    found: dict[str, Unlike] = {}
    for name in SPREAD:
        ballots = [
            ballot_of(c) for ack in asked.acks.values() for c in ack.copies if c.name == name
        ]
        if name in agreed or not ballots:
            continue
        known, newest = before.get(name), max(ballots)
        moved = known is None or newest > known.ballot
        found[name] = Unlike(newest, now_ms) if known is None or moved else known
    return Map(found)


def same_value(a: Copy, b: Copy) -> bool:
    """Whether two copies are of one value, whatever their ballots.

    Example:
        same_value(copy, copy)
    """
    return a.version == b.version and a.digest == b.digest
