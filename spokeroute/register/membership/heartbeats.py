"""Heartbeats among the core's members: what one says, and what it tells of its sender."""

from __future__ import annotations

from spokeroute.common.effects import Effect, Send
from spokeroute.common.ids import Address, Ms, NodeId
from spokeroute.register.membership.policy import PeerStatus
from spokeroute.register.membership.state import State
from spokeroute.transport.messages import Heartbeat


def everyone(state: State) -> tuple[str, ...]:
    """Whom a heartbeat goes to: all that the view or the roster names.

    Example:
        everyone(state) == ("m1", "m2", "m3")
    """
    return tuple(sorted({*state.addresses, *(state.roster.ids if state.roster else ())}))


def heartbeats(state: State, nodes: tuple[str, ...], now_ms: Ms) -> list[Effect]:
    """A heartbeat to others of the core.

    Example:
        heartbeats(state, everyone(state), now_ms)
    """
    silent_ms = state.bounds.catch_up_ms
    hears = tuple(n for n, s in sorted(state.peer_statuses.items()) if now_ms - s.at_ms < silent_ms)
    roster = state.roster
    alive = Heartbeat(
        roster.epoch if roster else 0, state.votes, roster is None, hears,
        state.address if roster is None else "", state.writable, state.leaving,
    )  # fmt: skip
    return [Send(NodeId(node), alive) for node in nodes if node != state.me]


def status_of(state: State, node: NodeId, alive: Heartbeat, now_ms: Ms) -> PeerStatus:
    """What is known of a node by its newest heartbeat, and since when.

    Example:
        status_of(state, NodeId("m2"), heartbeat, now_ms).votes
    """
    old = state.peer_statuses.get(node)
    known = state.addresses.get(node) or (old.address if old else Address(""))
    address = Address(alive.address) or known
    here = old is not None and now_ms - old.at_ms < state.bounds.catch_up_ms
    since_ms = old.since_ms if old and here else now_ms
    leaving_ms = old.leaving_ms if old and old.leaving and alive.leaving else now_ms
    unwritable_ms = old.unwritable_ms if old and here and not old.writable else now_ms
    return PeerStatus(
        address, now_ms, since_ms, alive.epoch, alive.votes, alive.blank, alive.hears,
        alive.writable, alive.leaving, Ms(-1) if alive.writable else unwritable_ms,
        leaving_ms if alive.leaving else Ms(-1),
    )  # fmt: skip
