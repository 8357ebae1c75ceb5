"""What the answers to a probe agree on."""

from __future__ import annotations

from spokeroute.common.ids import SPREAD
from spokeroute.register.cells import Roster
from spokeroute.register.replica_state import Asked
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


def same_value(a: Copy, b: Copy) -> bool:
    """Whether two copies are of one value, whatever their ballots.

    Example:
        same_value(copy, copy)
    """
    return a.version == b.version and a.digest == b.digest
