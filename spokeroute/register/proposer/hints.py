"""Hinted handoff: values that a member missed are delivered once its heartbeat is received."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effects, Tell
from spokeroute.common.ids import NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.membership.accepted_copies import HandOverCopy
from spokeroute.register.proposer.rounds import State
from spokeroute.transport.messages import Copy

HINTS_PER_MEMBER = 4096
HINTS_PER_HEARTBEAT = 64  # leaves room for rounds on a narrow link


def add_hint(state: State, member: str, copy: Copy) -> State:
    """Record a hint for a member that did not accept a chosen value.

    Example:
        add_hint(state, "m2", copy).hints["m2"]
    """
    hints = state.hints.get(member, Map())
    if copy.name in hints or len(hints) < HINTS_PER_MEMBER:
        hints = hints.set(copy.name, copy)
    return replace(state, hints=state.hints.set(member, hints))


def deliver_hints(state: State, node: NodeId) -> tuple[State, Effects]:
    """Deliver some of the hints recorded for a member that is reachable again.

    Example:
        state, effects = deliver_hints(state, NodeId("m2"))
    """
    hints = state.hints.get(node)
    if not hints:
        return state, ()
    names = sorted(hints)
    effects = tuple(
        Tell("acceptor", HandOverCopy(node, hints[name])) for name in names[:HINTS_PER_HEARTBEAT]
    )
    later = Map({name: hints[name] for name in names[HINTS_PER_HEARTBEAT:]})
    rest = state.hints.set(node, later) if later else state.hints.delete(node)
    return replace(state, hints=rest), effects
