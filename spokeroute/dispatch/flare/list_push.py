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

FULL_BASE = -1


@dataclass(frozen=True, slots=True)
class LastPush:
    """The content of the last push, and the exchange incarnations it was sent to."""

    term: int = 0
    sequence: int = -1
    rankings: tuple[Ranking, ...] = ()
    sent_to: Map[str, int] = field(default_factory=Map)  # exchange -> its incarnation


@dataclass(frozen=True, slots=True)
class ListsHeader:
    """The fields of a push besides the lists."""

    term: int
    sequence: int
    configuration_version: int
    exchanges: int


def full_lists(header: ListsHeader, rankings: tuple[Ranking, ...]) -> Lists:
    """All lists, independent of any earlier push.

    Example:
        >>> full_lists(ListsHeader(1, 1, 1, 3), ()).base
        -1
    """
    return _lists_message(
        header, {_key(r): r.instances for r in rankings if r.instances}, FULL_BASE
    )


def changed_lists(header: ListsHeader, pushed: LastPush, rankings: tuple[Ranking, ...]) -> Lists:
    """The lists that differ from the last push; an empty list removes the entry.

    Example:
        >>> changed_lists(ListsHeader(1, 2, 1, 3), LastPush(1, 1), ()).base
        1
    """
    before = {_key(r): r.instances for r in pushed.rankings if r.instances}
    after = {_key(r): r.instances for r in rankings if r.instances}
    changed = {key: found for key, found in after.items() if before.get(key) != found}
    gone: dict[tuple[str, str], tuple[str, ...]] = {key: () for key in before if key not in after}
    return _lists_message(header, changed | gone, pushed.sequence)


def push(
    header: ListsHeader,
    pushed: LastPush,
    rankings: tuple[Ranking, ...],
    holders: Mapping[NodeId, Incarnation],
) -> tuple[LastPush, list[Effect]]:
    """Push to every exchange: the changes to those that got the last push, else full lists.

    Example:
        pushed, effects = push(head, pushed, rankings, live_holders(reports, now_ms))
    """
    same_term = pushed.term == header.term
    changes = changed_lists(header, pushed, rankings) if same_term else None
    full: Lists | None = None
    effects: list[Effect] = []
    for node in sorted(holders):
        if changes is not None and pushed.sent_to.get(node) == holders[node]:
            effects.append(Send(node, changes))
            continue
        full = full or full_lists(header, rankings)
        effects.append(Send(node, full))
    sent_to = Map({str(node): int(incarnation) for node, incarnation in holders.items()})
    return LastPush(header.term, header.sequence, rankings, sent_to), effects


def _key(ranking: Ranking) -> tuple[str, str]:
    return ranking.service, ranking.worker


def _lists_message(
    header: ListsHeader, found: Mapping[tuple[str, str], tuple[str, ...]], base: int
) -> Lists:
    successors = tuple(Successors(service, worker, found[service, worker])
                       for service, worker in found)  # fmt: skip
    return Lists(
        header.term,
        header.sequence,
        header.configuration_version,
        0,
        successors,
        header.exchanges,
        base,
    )
