"""Builds heartbeats to the core's members, and evaluates those that arrive."""

from __future__ import annotations

from spokeroute.common.effects import Effect, Send
from spokeroute.common.ids import Address, Ms, NodeId
from spokeroute.register.membership.policy import PeerStatus
from spokeroute.register.membership.state import State
from spokeroute.transport.messages import Heartbeat


def heartbeat_targets(state: State) -> tuple[str, ...]:
    """Returns all nodes that get heartbeats: those in the view and those in the roster.

    Example:
        heartbeat_targets(state) == ("m1", "m2", "m3")
    """
    return tuple(sorted({*state.addresses, *(state.roster.ids if state.roster else ())}))


def heartbeats(state: State, nodes: tuple[str, ...], now_ms: Ms) -> list[Effect]:
    """Returns a heartbeat to each of these nodes except this one.

    Example:
        heartbeats(state, heartbeat_targets(state), now_ms)
    """
    silent_ms = state.bounds.catch_up_ms
    hears = tuple(n for n, s in sorted(state.peer_statuses.items()) if now_ms - s.at_ms < silent_ms)
    roster = state.roster
    heartbeat = Heartbeat(
        roster.epoch if roster else 0, state.votes, roster is None, hears,
        state.address if roster is None else "", state.writable, state.leaving,
    )  # fmt: skip
    return [Send(NodeId(node), heartbeat) for node in nodes if node != state.me]


def peer_status(state: State, node: NodeId, heartbeat: Heartbeat, now_ms: Ms) -> PeerStatus:
    """Returns a node's status by its newest heartbeat, with the times since when it holds.

    Example:
        peer_status(state, NodeId("m2"), heartbeat, now_ms).votes
    """
    old = state.peer_statuses.get(node)
    known = state.addresses.get(node) or (old.address if old else Address(""))
    address = Address(heartbeat.address) or known
    present = old is not None and now_ms - old.at_ms < state.bounds.catch_up_ms
    since_ms = old.since_ms if old and present else now_ms
    leaving_ms = old.leaving_ms if old and old.leaving and heartbeat.leaving else now_ms
    unwritable_ms = old.unwritable_ms if old and present and not old.writable else now_ms
    return PeerStatus(
        address, now_ms, since_ms, heartbeat.epoch, heartbeat.votes, heartbeat.blank,
        heartbeat.hears, heartbeat.writable, heartbeat.leaving,
        Ms(-1) if heartbeat.writable else unwritable_ms,
        leaving_ms if heartbeat.leaving else Ms(-1),
    )  # fmt: skip
