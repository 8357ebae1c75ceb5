"""Hints: what was chosen while a member was away, handed to it once it is heard."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effects, Tell
from spokeroute.common.ids import NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.membership.accepted_copies import HandOverCopy
from spokeroute.register.proposer.rounds import State
from spokeroute.transport.messages import Copy

HINTS_PER_MEMBER = 4096
HANDED_AT_ONCE = 64  # hints a heartbeat: a narrow link has rounds to carry, too


def hinted(state: State, member: str, copy: Copy) -> State:
    """With a hint for a member that a chosen value did not reach.

    Example:
        hinted(state, "m2", copy).hints["m2"]
    """
    hints = state.hints.get(member, Map())
    if copy.name in hints or len(hints) < HINTS_PER_MEMBER:
        hints = hints.set(copy.name, copy)
    return replace(state, hints=state.hints.set(member, hints))


def hand_hints(state: State, node: NodeId) -> tuple[State, Effects]:
    """Hand a member that is heard some of what it missed.

    Example:
        state, effects = hand_hints(state, NodeId("m2"))
    """
    hints = state.hints.get(node)
    if not hints:
        return state, ()
    names = sorted(hints)
    effects = tuple(
        Tell("acceptor", HandOverCopy(node, hints[name])) for name in names[:HANDED_AT_ONCE]
    )
    later = Map({name: hints[name] for name in names[HANDED_AT_ONCE:]})
    rest = state.hints.set(node, later) if later else state.hints.delete(node)
    return replace(state, hints=rest), effects
