"""Founding: the first roster, of seeds that are all blank disks and hear each other."""

from __future__ import annotations

from spokeroute.common.ids import Address, Epoch, MemberId, Ms, NodeId
from spokeroute.register.cells import Roster
from spokeroute.register.membership.state import State


def founded(state: State, now_ms: Ms) -> Roster | None:
    """The first roster, if this member is to found the core: every seed is a registry, alive,
    blank, and I am the least of them. Each said so after it heard of all the others: one that
    adopted the roster of an earlier founding together with a disk that was lost since can't have.

    Example:
        founded(state, now_ms) is None
    """
    if not state.found or state.address not in state.seeds:
        return None
    here = {
        node: sign
        for node, sign in state.peer_statuses.items()
        if sign.address in state.seeds and now_ms - sign.at_ms < state.bounds.catch_up_ms
    }
    if not all(sign.blank for sign in here.values()):
        return None
    founders: dict[Address, MemberId] = {}
    for node, sign in sorted(here.items(), key=lambda item: (item[1].at_ms, item[0])):
        founders[sign.address] = MemberId(node)
    founders[state.address] = state.me
    ids = set(founders.values())
    if len(founders) != len(state.seeds) or min(ids) != state.me:
        return None
    if not all(ids <= {node, *here[node].hears} for node in ids - {state.me}):
        return None
    return Roster(Epoch(1), tuple((founders[a], a) for a in state.seeds))


def outlived(state: State, node: NodeId) -> bool:
    """Whether a blank disk was heard of at a node's address since that node was heard itself: a
    late frame of its founds nothing, as this member may have told the new one that it is blank.

    Example:
        outlived(state, node) is False
    """
    old = state.peer_statuses.get(node)
    return old is not None and any(
        sign.blank and sign.address == old.address and sign.at_ms > old.at_ms
        for sign in state.peer_statuses.values()
    )
