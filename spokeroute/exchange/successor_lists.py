"""The placement role's successor lists as an exchange holds them: whole, kept up by changes."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.transport.list_messages import Lists, ListsAsk

FULL_LIST = -1  # the base of lists that stand for themselves
REQUEST_INTERVAL_MS = 500


@dataclass(frozen=True, slots=True)
class SuccessorLists:
    """The ranked instances of each service on each worker, and how old the news of them is."""

    term: int = 0
    sequence: int = -1
    configuration_version: int = 0
    as_of_ms: Ms = Ms(-(10**9))
    ranked: Map[tuple[str, str], tuple[str, ...]] = field(default_factory=Map)
    asked_ms: Ms = Ms(-(10**9))  # when whole lists were asked for

    def of(self, service: str, worker: str) -> tuple[str, ...] | None:
        """The successors of a service on a worker; None where there is no list.

        Example:
            >>> SuccessorLists().of("readings", "w1") is None
            True
        """
        return self.ranked.get((service, worker))


def merge_lists(
    held: SuccessorLists, lists: Lists, now_ms: Ms
) -> tuple[SuccessorLists, ListsAsk | None]:
    """Newer lists taken in; older ones change nothing. Changes of lists that are not held here
    change nothing either: whole ones are asked for.

    Example:
        >>> merge_lists(SuccessorLists(), Lists(1, 1, 1, 0, (), 3, 0), Ms(0))[1]
        ListsAsk(term=0, sequence=-1)
    """
    if (lists.term, lists.sequence) < (held.term, held.sequence):
        return held, None
    news = SuccessorLists(
        lists.term, lists.sequence, lists.configuration_version, Ms(now_ms - lists.age_ms)
    )
    if lists.base == FULL_LIST:
        return replace(news, ranked=_apply_changes(Map(), lists)), None
    if (held.term, held.sequence) == (lists.term, lists.base):
        return replace(news, ranked=_apply_changes(held.ranked, lists)), None
    if now_ms - held.asked_ms < REQUEST_INTERVAL_MS:
        return held, None
    return replace(held, asked_ms=now_ms), ListsAsk(held.term, held.sequence)


def _apply_changes(
    ranked: Map[tuple[str, str], tuple[str, ...]], lists: Lists
) -> Map[tuple[str, str], tuple[str, ...]]:
    made = ranked.mutate()
    for each in lists.successors:
        if each.ranked:
            made[each.service, each.worker] = each.ranked
        else:
            made.pop((each.service, each.worker), None)
    return made.finish()
