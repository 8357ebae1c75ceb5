"""Who is asked for values, one at a time, and with how much patience.

Values are large beside a narrow link. Were they asked for again at each question, or of several
members at once, what is late would be sent once more, and make everything later still. So one ask
is open at a time; the next one waits for its answer, or for a patience that doubles as long as
none comes, and goes to the next member then.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.places import Distance, Places
from spokeroute.common.replacing import replace

FIRST_PATIENCE_MS = 400
LONGEST_PATIENCE_MS = 6_400
NEAR_AGAIN_MS = 5_000  # after which the member that was given up is asked first again
SILENT_MS = 600  # without any answer for so long, what was asked meanwhile never arrived


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """An ask that was not answered yet."""

    node: NodeId
    nonce: int
    sent_ms: Ms


@dataclass(frozen=True, slots=True)
class ValueRequests:
    """The open ask with a probe, the open fetch of each register, and who comes next."""

    open: OpenRequest | None = None
    patience_ms: int = FIRST_PATIENCE_MS
    turn: int = 0  # how many members were given up since the first
    turned_ms: Ms = Ms(0)
    fetches: Map[str, tuple[Ms, int]] = field(default_factory=Map)  # since when, and the patience
    heard_ms: Ms = Ms(0)  # when a member answered last, whichever

    def waiting(self, now_ms: Ms) -> bool:
        """Whether an ask is open, and not overdue.

        Example:
            >>> ValueRequests().waiting(Ms(0))
            False
        """
        return self.open is not None and now_ms - self.open.sent_ms < self.patience_ms

    def silent(self, now_ms: Ms) -> bool:
        """Whether no member has answered for long.

        Example:
            >>> ValueRequests().silent(Ms(1_000))
            True
        """
        return now_ms - self.heard_ms > SILENT_MS

    def asked(
        self, members: tuple[NodeId, ...], may: frozenset[str], nonce: int, now_ms: Ms
    ) -> ValueRequests:
        """One more ask: of the first member, or of the next where the last one did not answer; of
        those that may be asked now.

        Example:
            >>> ValueRequests().asked((NodeId("m1"),), frozenset(["m1"]), 1, Ms(0)).open.node
            'm1'
        """
        turn, turned_ms, patience_ms = self.turn, self.turned_ms, self.patience_ms
        if self.open is not None:
            turn, turned_ms = turn + 1, now_ms
            patience_ms = min(2 * patience_ms, LONGEST_PATIENCE_MS)
        elif turn and now_ms - turned_ms >= NEAR_AGAIN_MS:
            turn = 0
        first = turn % len(members)
        node = next(each for each in (*members[first:], *members[:first]) if each in may)
        return replace(
            self,
            open=OpenRequest(node, nonce, now_ms),
            patience_ms=patience_ms,
            turn=turn,
            turned_ms=turned_ms,
        )

    def answered(self, node: str, nonce: int, now_ms: Ms) -> ValueRequests:
        """A member answered. The open ask is over if it was this one, or a later one at the same
        member, as answers keep their order; or if nobody had answered for long, as it was lost
        then. What is only slow stays open.

        Example:
            >>> asks = ValueRequests().asked((NodeId("m1"),), frozenset(["m1"]), 1, Ms(0))
            >>> asks.answered("m1", 1, Ms(9)).open is None
            True
        """
        heard = replace(self, heard_ms=now_ms)
        if self.silent(now_ms):
            return replace(heard, open=None, patience_ms=FIRST_PATIENCE_MS, fetches=Map())
        if self.open is None or self.open.node != node or self.open.nonce > nonce:
            return heard
        return replace(heard, open=None, patience_ms=FIRST_PATIENCE_MS)

    def passed_on(self, now_ms: Ms) -> ValueRequests:
        """The member that answered is behind the others: the next one is asked.

        Example:
            >>> ValueRequests().passed_on(Ms(5)).turn
            1
        """
        return replace(self, turn=self.turn + 1, turned_ms=now_ms)

    def may_fetch(self, name: str, now_ms: Ms) -> bool:
        """Whether a register's value may be fetched by itself: nothing that may bring it is open.

        Example:
            >>> ValueRequests().may_fetch("floor", Ms(0))
            True
        """
        if self.waiting(now_ms):
            return False
        since_ms, patience_ms = self.fetches.get(name, (Ms(0), 0))
        return now_ms - since_ms >= patience_ms

    def fetched(self, name: str, now_ms: Ms) -> ValueRequests:
        """A register's value is being fetched.

        Example:
            >>> ValueRequests().fetched("floor", Ms(0)).may_fetch("floor", Ms(100))
            False
        """
        _, before_ms = self.fetches.get(name, (Ms(0), 0))
        patience_ms = min(max(2 * before_ms, FIRST_PATIENCE_MS), LONGEST_PATIENCE_MS)
        return replace(self, fetches=self.fetches.set(name, (now_ms, patience_ms)))

    def came(self, name: str) -> ValueRequests:
        """A value of a register came.

        Example:
            >>> ValueRequests().fetched("floor", Ms(0)).came("floor").may_fetch("floor", Ms(1))
            True
        """
        if name not in self.fetches:
            return self
        return replace(self, fetches=self.fetches.delete(name))


def value_sources(
    members: tuple[NodeId, ...], zones: Mapping[str, str], places: Places, address: str
) -> tuple[NodeId, ...]:
    """The members in the order in which a process asks them for values: those of its own zone
    first, then those of its region, as bytes between zones are dear and those between regions
    dearer; each process begins with another one of the same distance.

    Example:
        >>> value_sources((NodeId("a"), NodeId("b")), {"a": "x", "b": "y"}, Places("y"), "h:1")
        ('b', 'a')
    """
    spread = zlib.crc32(address.encode())
    order: list[NodeId] = []
    for distance in Distance:
        there = sorted(n for n in members if distance_of(n, zones, places) == distance)
        order.extend(_rotated(there, spread))
    return tuple(order)


def distance_of(node: NodeId, zones: Mapping[str, str], places: Places) -> Distance:
    """How far away a member is; one whose zone is not known counts as of this region: a registry
    does not find itself in its view.

    Example:
        >>> distance_of(NodeId("m1"), {}, Places("north")).name
        'SAME_REGION'
    """
    return places.distance(zones[node]) if node in zones else Distance.SAME_REGION


def _rotated(nodes: list[NodeId], by: int) -> list[NodeId]:
    at = by % len(nodes) if nodes else 0
    return nodes[at:] + nodes[:at]
