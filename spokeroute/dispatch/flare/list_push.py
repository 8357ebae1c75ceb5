"""Pushes LAAF's lists to the exchanges: changes since the last push, or full lists to exchanges
that did not get the last push."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.effects import Effect, Send
from spokeroute.common.ids import Incarnation, NodeId
from spokeroute.dispatch.flare.algorithms import Ranking
from spokeroute.transport.list_messages import Lists, Successors

WHOLE = -1


@dataclass(frozen=True, slots=True)
class LastPush:
    """The content of the last push, and the exchange incarnations it was sent to."""

    term: int = 0
    sequence: int = -1
    rankings: tuple[Ranking, ...] = ()
    told: Map[str, int] = field(default_factory=Map)  # exchange -> its incarnation


@dataclass(frozen=True, slots=True)
class ListsHeader:
    """The fields of a push besides the lists."""

    term: int
    sequence: int
    configuration_version: int
    exchanges: int


def full_lists(head: ListsHeader, rankings: tuple[Ranking, ...]) -> Lists:
    """All lists, independent of any earlier push.

    Example:
        >>> full_lists(ListsHeader(1, 1, 1, 3), ()).base
        -1
    """
    return _lists(head, {_key(r): r.instances for r in rankings if r.instances}, WHOLE)


def changed_lists(head: ListsHeader, pushed: LastPush, rankings: tuple[Ranking, ...]) -> Lists:
    """The lists that differ from the last push; an empty list removes the entry.

    Example:
        >>> changed_lists(ListsHeader(1, 2, 1, 3), LastPush(1, 1), ()).base
        1
    """
    before = {_key(r): r.instances for r in pushed.rankings if r.instances}
    after = {_key(r): r.instances for r in rankings if r.instances}
    changed = {key: found for key, found in after.items() if before.get(key) != found}
    gone: dict[tuple[str, str], tuple[str, ...]] = {key: () for key in before if key not in after}
    return _lists(head, changed | gone, pushed.sequence)


def push(
    head: ListsHeader,
    pushed: LastPush,
    rankings: tuple[Ranking, ...],
    holders: Mapping[NodeId, Incarnation],
) -> tuple[LastPush, list[Effect]]:
    """Push to every exchange: the changes to those that got the last push, else full lists.

    Example:
        pushed, effects = push(head, pushed, rankings, live_holders(reports, now_ms))
    """
    goes_on = pushed.term == head.term
    news = changed_lists(head, pushed, rankings) if goes_on else None
    whole: Lists | None = None
    effects: list[Effect] = []
    for node in sorted(holders):
        if news is not None and pushed.told.get(node) == holders[node]:
            effects.append(Send(node, news))
            continue
        whole = whole or full_lists(head, rankings)
        effects.append(Send(node, whole))
    told = Map({str(node): int(incarnation) for node, incarnation in holders.items()})
    return LastPush(head.term, head.sequence, rankings, told), effects


def _key(ranking: Ranking) -> tuple[str, str]:
    return ranking.service, ranking.worker


def _lists(head: ListsHeader, found: Mapping[tuple[str, str], tuple[str, ...]], base: int) -> Lists:
    successors = tuple(Successors(service, worker, found[service, worker])
                       for service, worker in found)  # fmt: skip
    return Lists(
        head.term, head.sequence, head.configuration_version, 0, successors, head.exchanges, base
    )
