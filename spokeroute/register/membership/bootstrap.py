"""Bootstrap: the first roster, made of seeds that all have blank disks and hear each other."""

from __future__ import annotations

from spokeroute.common.ids import Address, Epoch, MemberId, Ms, NodeId
from spokeroute.register.cells import Roster
from spokeroute.register.membership.state import State


def first_roster(state: State, now_ms: Ms) -> Roster | None:
    """Returns the first roster if this member is the one to found the core: every seed is a
    registry, alive and blank, and this member has the lowest id. Each of them must have reported
    that it hears all the others: a member that adopted the roster of an earlier founding together
    with a disk that was lost since can't have reported that.

    Example:
        first_roster(state, now_ms) is None
    """
    if not state.found or state.address not in state.seeds:
        return None
    alive = {
        node: status
        for node, status in state.peer_statuses.items()
        if status.address in state.seeds and now_ms - status.at_ms < state.bounds.catch_up_ms
    }
    if not all(status.blank for status in alive.values()):
        return None
    founders: dict[Address, MemberId] = {}
    for node, status in sorted(alive.items(), key=lambda item: (item[1].at_ms, item[0])):
        founders[status.address] = MemberId(node)
    founders[state.address] = state.me
    ids = set(founders.values())
    if len(founders) != len(state.seeds) or min(ids) != state.me:
        return None
    if not all(ids <= {node, *alive[node].hears} for node in ids - {state.me}):
        return None
    return Roster(Epoch(1), tuple((founders[a], a) for a in state.seeds))


def replaced_by_blank(state: State, node: NodeId) -> bool:
    """Returns whether a blank disk was heard at a node's address after that node itself. A late
    message of that node then founds nothing, because this member may have told the blank one that
    it is blank too.

    Example:
        replaced_by_blank(state, node) is False
    """
    old = state.peer_statuses.get(node)
    return old is not None and any(
        status.blank and status.address == old.address and status.at_ms > old.at_ms
        for status in state.peer_statuses.values()
    )
