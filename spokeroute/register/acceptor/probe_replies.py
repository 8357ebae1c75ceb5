"""Replies to probes and fetches: synced versions, and values that the requester lacks.

A value is sent as a patch where the patch is smaller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from spokeroute.common.effects import Effects, Send
from spokeroute.common.ids import SPREAD, NodeId
from spokeroute.register.cells import EMPTY
from spokeroute.register.patches import make_patch
from spokeroute.register.replica.copy_fingerprints import absent_fingerprint, without_known_copies
from spokeroute.transport.messages import Copy, FetchAsk, FetchGot, Probe, ProbeAck, ValuePatch

if TYPE_CHECKING:
    from spokeroute.register.acceptor.state import State

MAX_INLINE_BYTES = 128 * 1024


def reply_to_probe(state: State, node: NodeId, probe: Probe) -> Effects:
    """The reply of a member that is a voter according to its disk; other members don't reply.

    Example:
        reply_to_probe(state, NodeId("e1"), probe)
    """
    roster, synced = state.synced_roster, state.synced
    if roster is None or not state.synced_votes:
        return ()
    copies = tuple(synced.get(name, EMPTY).probe_copy(state.me, name) for name in SPREAD)
    values: list[FetchGot] = []
    patches: list[ValuePatch] = []
    for copy in copies if probe.values else ():
        if not copy.version or copy.digest in probe.have or copy.name in probe.unwanted:
            continue
        patch = patch_for(state, probe.have, copy)
        value = synced[copy.name].value
        if patch is not None:
            patches.append(patch)
        elif len(value) <= MAX_INLINE_BYTES:
            values.append(FetchGot(copy, value))
    reported_copies = without_known_copies(probe.named, copies)
    same = bool(state.absent) and probe.absent == absent_fingerprint(state.absent)
    absent = () if same else state.absent
    ack = ProbeAck(
        probe.nonce,
        roster.epoch,
        reported_copies,
        tuple(values),
        absent,
        tuple(patches),
        absent_same=same,
    )
    return (Send(node, ack),)


def reply_to_fetch(state: State, node: NodeId, ask: FetchAsk) -> Effects:
    """The requested value, if this member has synced that version.

    Example:
        reply_to_fetch(state, NodeId("e1"), FetchAsk("floor", 7, digest))
    """
    cell = state.synced.get(ask.name, EMPTY)
    if (cell.version, cell.digest) != (ask.version, ask.digest):
        return ()
    copy = cell.copy(ask.name)
    return (Send(node, patch_for(state, ask.have, copy) or FetchGot(copy, cell.value)),)


def patch_for(state: State, have: tuple[str, ...], copy: Copy) -> ValuePatch | None:
    """A patch to the synced value from one that the requester has, if that one is still cached.

    Example:
        patch_for(state, probe.have, copy)
    """
    value = state.synced[copy.name].value
    for digest in have:
        base = state.recent_values.find(copy.name, digest)
        patch = make_patch(digest, base, copy, value) if base else None
        if patch is not None:
            return patch
    return None
