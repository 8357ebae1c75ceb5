"""A member's answer to a probe: the versions that it has synced, and small values."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spokeroute.common.effects import Effects, Send
from spokeroute.common.ids import SPREAD, NodeId
from spokeroute.register.cells import EMPTY
from spokeroute.transport.messages import FetchGot, Probe, ProbeAck

if TYPE_CHECKING:
    from spokeroute.register.acceptor_state import State

INLINE_BYTES = 128 * 1024


def probed(state: State, node: NodeId, probe: Probe) -> Effects:
    """The answer of a member that votes, by its disk; no other's counts.

    Example:
        probed(state, NodeId("e1"), probe)
    """
    roster, synced = state.synced_roster, state.synced
    if roster is None or not state.synced_votes:
        return ()
    copies = tuple(synced.get(name, EMPTY).named_by(state.me, name) for name in SPREAD)
    values = tuple(
        FetchGot(copy, synced[copy.name].value)
        for copy in copies
        if probe.values
        and copy.version
        and copy.digest not in probe.have
        and len(synced[copy.name].value) <= INLINE_BYTES
    )
    return (Send(node, ProbeAck(probe.nonce, roster.epoch, copies, values, state.absent)),)
