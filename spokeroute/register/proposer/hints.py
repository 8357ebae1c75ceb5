"""Hints: what was chosen while a member was away, handed to it once it is heard."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effects, Tell
from spokeroute.common.ids import NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.membership.held import HandTo
from spokeroute.register.proposer.rounds import State
from spokeroute.transport.messages import Copy

HINTS_PER_MEMBER = 4096
HINTS_PER_HEARTBEAT = 64  # hints a heartbeat: a narrow link has rounds to carry, too


def add_hint(state: State, member: str, copy: Copy) -> State:
    """With a hint for a member that a chosen value did not reach.

    Example:
        add_hint(state, "m2", copy).hints["m2"]
    """
    hints = state.hints.get(member, Map())
    if copy.name in hints or len(hints) < HINTS_PER_MEMBER:
        hints = hints.set(copy.name, copy)
    return replace(state, hints=state.hints.set(member, hints))


def deliver_hints(state: State, node: NodeId) -> tuple[State, Effects]:
    """Hand a member that is heard some of what it missed.

    Example:
        state, effects = deliver_hints(state, NodeId("m2"))
    """
    hints = state.hints.get(node)
    if not hints:
        return state, ()
    names = sorted(hints)
    effects = tuple(
        Tell("acceptor", HandTo(node, hints[name])) for name in names[:HINTS_PER_HEARTBEAT]
    )
    later = Map({name: hints[name] for name in names[HINTS_PER_HEARTBEAT:]})
    rest = state.hints.set(node, later) if later else state.hints.delete(node)
    return replace(state, hints=rest), effects
