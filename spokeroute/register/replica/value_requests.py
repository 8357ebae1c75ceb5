"""Decides which member is asked for register values, one at a time, and with which time-out.

Values are large compared with what a narrow link carries. Requesting a late value again with every
probe, or from several members at once, would send it repeatedly and delay everything further. So
only one request is open at a time. The next one waits for its answer or for a time-out, which
doubles while no answer comes, and then goes to the next member.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.places import Distance, Places
from spokeroute.common.replacing import replace

FIRST_TIMEOUT_MS = 400
MAX_TIMEOUT_MS = 6_400
RETRY_FIRST_MS = 5_000  # after skipping a member, the first in order is asked again
SILENCE_MS = 600  # after so long without any answer, requests sent meanwhile are taken as lost


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that has not been answered yet."""

    node: NodeId
    nonce: int
    sent_ms: Ms


@dataclass(frozen=True, slots=True)
class ValueRequests:
    """The open request that went with a probe, the open fetch of each register, and which member is
    asked next."""

    open: OpenRequest | None = None
    timeout_ms: int = FIRST_TIMEOUT_MS
    skipped: int = 0  # members that were skipped since the first one in order
    last_skip_ms: Ms = Ms(0)
    fetches: Map[str, tuple[Ms, int]] = field(default_factory=Map)  # start and time-out, by name
    heard_ms: Ms = Ms(0)  # when any member answered last

    def waiting(self, now_ms: Ms) -> bool:
        """Returns whether a request is open and has not timed out.

        Example:
            >>> ValueRequests().waiting(Ms(0))
            False
        """
        return self.open is not None and now_ms - self.open.sent_ms < self.timeout_ms

    def silent(self, now_ms: Ms) -> bool:
        """Returns whether no member has answered for ``SILENCE_MS``.

        Example:
            >>> ValueRequests().silent(Ms(1_000))
            True
        """
        return now_ms - self.heard_ms > SILENCE_MS

    def with_request(
        self, members: tuple[NodeId, ...], allowed: frozenset[str], nonce: int, now_ms: Ms
    ) -> ValueRequests:
        """Opens a request to the current member in order, or to the next one if the last request
        was not answered; members that are not in ``allowed`` are passed over.

        Example:
            >>> m1 = NodeId("m1")
            >>> ValueRequests().with_request((m1,), frozenset([m1]), 1, Ms(0)).open.node
            'm1'
        """
        skipped, last_skip_ms, timeout_ms = self.skipped, self.last_skip_ms, self.timeout_ms
        if self.open is not None:
            skipped, last_skip_ms = skipped + 1, now_ms
            timeout_ms = min(2 * timeout_ms, MAX_TIMEOUT_MS)
        elif skipped and now_ms - last_skip_ms >= RETRY_FIRST_MS:
            skipped = 0
        first = skipped % len(members)
        node = next(each for each in (*members[first:], *members[:first]) if each in allowed)
        return replace(
            self,
            open=OpenRequest(node, nonce, now_ms),
            timeout_ms=timeout_ms,
            skipped=skipped,
            last_skip_ms=last_skip_ms,
        )

    def answered(self, node: str, nonce: int, now_ms: Ms) -> ValueRequests:
        """Records a member's answer. It closes the open request if it answers that one or a later
        one to the same member, because answers keep their order. It also does so if no member had
        answered for ``SILENCE_MS``: the request was lost then. A slow request stays open.

        Example:
            >>> m1 = NodeId("m1")
            >>> requests = ValueRequests().with_request((m1,), frozenset([m1]), 1, Ms(0))
            >>> requests.answered("m1", 1, Ms(9)).open is None
            True
        """
        heard = replace(self, heard_ms=now_ms)
        if self.silent(now_ms):
            return replace(heard, open=None, timeout_ms=FIRST_TIMEOUT_MS, fetches=Map())
        if self.open is None or self.open.node != node or self.open.nonce > nonce:
            return heard
        return replace(heard, open=None, timeout_ms=FIRST_TIMEOUT_MS)

    def skip_source(self, now_ms: Ms) -> ValueRequests:
        """Moves on to the next member, because the one that answered is behind the others.

        Example:
            >>> ValueRequests().skip_source(Ms(5)).skipped
            1
        """
        return replace(self, skipped=self.skipped + 1, last_skip_ms=now_ms)

    def may_fetch(self, name: str, now_ms: Ms) -> bool:
        """Returns whether a register's value may be fetched separately: no open request or fetch
        may still bring it.

        Example:
            >>> ValueRequests().may_fetch("floor", Ms(0))
            True
        """
        if self.waiting(now_ms):
            return False
        since_ms, timeout_ms = self.fetches.get(name, (Ms(0), 0))
        return now_ms - since_ms >= timeout_ms

    def with_fetch(self, name: str, now_ms: Ms) -> ValueRequests:
        """Records that a fetch of a register's value was sent.

        Example:
            >>> ValueRequests().with_fetch("floor", Ms(0)).may_fetch("floor", Ms(100))
            False
        """
        _, previous_ms = self.fetches.get(name, (Ms(0), 0))
        timeout_ms = min(max(2 * previous_ms, FIRST_TIMEOUT_MS), MAX_TIMEOUT_MS)
        return replace(self, fetches=self.fetches.set(name, (now_ms, timeout_ms)))

    def with_value(self, name: str) -> ValueRequests:
        """Closes the fetch of a register whose value arrived.

        Example:
            >>> requests = ValueRequests().with_fetch("floor", Ms(0)).with_value("floor")
            >>> requests.may_fetch("floor", Ms(1))
            True
        """
        if name not in self.fetches:
            return self
        return replace(self, fetches=self.fetches.delete(name))


def value_sources(
    members: tuple[NodeId, ...], zones: Mapping[str, str], places: Places, address: str
) -> tuple[NodeId, ...]:
    """Returns the members in the order in which this process asks them for values: those of its own
    zone first, then those of its region, because traffic between zones costs money and traffic
    between regions costs more. Among members at the same distance, each process starts with a
    different one, to spread the load.

    Example:
        >>> value_sources((NodeId("a"), NodeId("b")), {"a": "x", "b": "y"}, Places("y"), "h:1")
        ('b', 'a')
    """
    offset = zlib.crc32(address.encode())
    order: list[NodeId] = []
    for distance in Distance:
        same = sorted(n for n in members if distance_of(n, zones, places) == distance)
        order.extend(_rotated(same, offset))
    return tuple(order)


def distance_of(node: NodeId, zones: Mapping[str, str], places: Places) -> Distance:
    """Returns the distance to a member. A member of unknown zone counts as in this region: a
    registry does not find itself in its own view.

    Example:
        >>> distance_of(NodeId("m1"), {}, Places("north")).name
        'SAME_REGION'
    """
    return places.distance(zones[node]) if node in zones else Distance.SAME_REGION


def _rotated(nodes: list[NodeId], by: int) -> list[NodeId]:
    at = by % len(nodes) if nodes else 0
    return nodes[at:] + nodes[:at]
