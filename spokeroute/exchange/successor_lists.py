"""An exchange's copy of the successor lists of the placement role, kept current by deltas."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.transport.list_messages import Lists, ListsAsk

FULL_LIST = -1  # the base of a complete list, as opposed to a delta
REQUEST_INTERVAL_MS = 500  # between two requests for complete lists


@dataclass(frozen=True, slots=True)
class SuccessorLists:
    """The ranked successors for each service and worker, and the age of the lists."""

    term: int = 0
    sequence: int = -1
    configuration_version: int = 0
    as_of_ms: Ms = Ms(-(10**9))
    ranked: Map[tuple[str, str], tuple[str, ...]] = field(default_factory=Map)
    asked_ms: Ms = Ms(-(10**9))  # when complete lists were last requested

    def of(self, service: str, worker: str) -> tuple[str, ...] | None:
        """The successors of a service on a worker; None if there is no list.

        Example:
            >>> SuccessorLists().of("readings", "w1") is None
            True
        """
        return self.ranked.get((service, worker))


def merge_lists(
    held: SuccessorLists, lists: Lists, now_ms: Ms
) -> tuple[SuccessorLists, ListsAsk | None]:
    """Apply newer lists; older ones are ignored. A delta to lists that this node does not have is
    ignored as well, and complete lists are requested.

    Example:
        >>> merge_lists(SuccessorLists(), Lists(1, 1, 1, 0, (), 3, 0), Ms(0))[1]
        ListsAsk(term=0, sequence=-1)
    """
    if (lists.term, lists.sequence) < (held.term, held.sequence):
        return held, None
    newer = SuccessorLists(
        lists.term, lists.sequence, lists.configuration_version, Ms(now_ms - lists.age_ms)
    )
    if lists.base == FULL_LIST:
        return replace(newer, ranked=_apply_changes(Map(), lists)), None
    if (held.term, held.sequence) == (lists.term, lists.base):
        return replace(newer, ranked=_apply_changes(held.ranked, lists)), None
    if now_ms - held.asked_ms < REQUEST_INTERVAL_MS:
        return held, None
    return replace(held, asked_ms=now_ms), ListsAsk(held.term, held.sequence)


def _apply_changes(
    ranked: Map[tuple[str, str], tuple[str, ...]], lists: Lists
) -> Map[tuple[str, str], tuple[str, ...]]:
    updated = ranked.mutate()
    for each in lists.successors:
        if each.ranked:
            updated[each.service, each.worker] = each.ranked
        else:
            updated.pop((each.service, each.worker), None)
    return updated.finish()
