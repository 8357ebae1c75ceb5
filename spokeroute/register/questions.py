"""What a process asks the members of the core: whom, how often, and what goes along."""

from __future__ import annotations

from spokeroute.common.ids import Ms, NodeId
from spokeroute.register.named_copies import fingerprints
from spokeroute.register.replica_state import State
from spokeroute.register.value_asks import bringers
from spokeroute.transport.messages import Probe

PROBE_MS = 400
STRANGE_MS = 1_500


def members_to_ask(state: State, now_ms: Ms) -> tuple[NodeId, ...]:
    """Whom a probe goes to: all members in turn; between two of these, where calls wait for an
    instance, as many as make a proof, the one that places among them.

    Example:
        >>> members_to_ask(State(()), Ms(0))
        ()
    """
    roster = state.roster
    if roster is None:
        return state.registries
    if now_ms - state.proved_ms > STRANGE_MS:
        # All members that this process knows of may be gone: any registry has news of the roster.
        return tuple(dict.fromkeys((*roster.ids, *state.registries)))
    if now_ms - state.all_probed_ms >= PROBE_MS or now_ms - state.proved_ms >= PROBE_MS:
        return roster.ids
    order = bringers(roster.ids, state.zones, state.places, state.address)
    placing = tuple(node for node in order if node == state.reports.placement)
    return tuple(dict.fromkeys((*placing, *order)))[: roster.majority]


def question(state: State, epoch: int, base: int, now_ms: Ms) -> Probe:
    """The probe for members that have the report of the question ``base``.

    Example:
        question(state, 1, 0, now_ms).held_base == 0
    """
    said = state.reports
    held, held_no_more = state.changes.since(base)
    proved_ago_ms = now_ms - state.proved_ms if state.proved_ms >= 0 else -1
    return Probe(
        state.nonce, epoch, (), held, said.demand, said.took, said.leaving, said.busy,
        proved_ago_ms, state.address, False, base, held_no_more,
        zone=state.places.zone, named=fingerprints(state.named),
    )  # fmt: skip


def digests_here(state: State) -> tuple[str, ...]:
    """The digests of the values that are here.

    Example:
        >>> digests_here(State(()))
        ()
    """
    return tuple(got.copy.digest for got in state.here.values())
