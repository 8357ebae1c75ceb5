"""Accept requests of a round, sent as patches where the receiver has the base value.

A placement table changes ten or more times a second, by a few lines each time. A member is
therefore sent the new value as a patch of the previous one, which the proposer knows to be chosen.
A member whose promise named another value is sent the full value. A member without the base does
not answer a patch, and catches up like one that missed the round.
"""

from __future__ import annotations

from spokeroute.common.effects import Send
from spokeroute.register.acceptor.state import State as AcceptorState
from spokeroute.register.cells import EMPTY, Roster
from spokeroute.register.patches import apply_patch, make_patch
from spokeroute.register.proposer.rounds import Round, State
from spokeroute.transport.messages import Accept, AcceptPatch, Copy, ValuePatch


def accept_messages(state: State, roster: Roster, current: Round, offer: Copy) -> tuple[Send, ...]:
    """The accept request for each member of the roster.

    Example:
        accept_messages(state, roster, current, offer)[0].message.copy == offer
    """
    whole = Accept(roster.epoch, offer, current.value)
    patch = _patch(state, current, offer)
    if patch is None:
        return tuple(Send(member, whole) for member in roster.ids)
    short = AcceptPatch(roster.epoch, patch)
    sends: list[Send] = []
    for member in roster.ids:
        promise = current.promises.get(member)
        other = promise is not None and promise.accepted.digest != patch.base
        sends.append(Send(member, whole if other or member == state.me else short))
    return tuple(sends)


def _patch(state: State, current: Round, offer: Copy) -> ValuePatch | None:
    base = state.known_values.get(offer.name)
    if base is None or base.digest == offer.digest:
        return None
    return make_patch(base.digest, base.value, offer, current.value)


def expand_accept(state: AcceptorState, ask: AcceptPatch) -> Accept | None:
    """Expand a patched accept request to the full one; None if this member lacks the base value.

    Example:
        expand_accept(state, AcceptPatch(1, patch)) is None
    """
    patch = ask.patch
    cell = state.cells.get(patch.copy.name, EMPTY)
    same = cell.digest == patch.base
    base = cell.value if same else state.recent_values.find(patch.copy.name, patch.base)
    value = apply_patch(patch, base) if base else None
    return Accept(ask.epoch, patch.copy, value) if value is not None else None
