"""What a process asks the members of the core: whom, how often, and what goes along."""

from __future__ import annotations

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.places import Distance
from spokeroute.common.replacing import replace
from spokeroute.register.replica.copy_fingerprints import fingerprints
from spokeroute.register.replica.state import State
from spokeroute.register.replica.value_requests import distance_of, value_sources
from spokeroute.transport.messages import Probe

PROBE_MS = 400
FAR_MS = 1_200  # between two turns that also go to members of other regions that no proof needs
LATE_MS = 450  # a proof older than a turn and a beat: one of those that were asked may be gone
STRANGE_MS = 1_500
OTHER_REGION = Distance.OTHER_REGION


def members_to_ask(state: State, now_ms: Ms) -> tuple[NodeId, ...]:
    """Whom a probe goes to. In turn: the member that places, all members of this region, and as
    many others as make a proof; more rarely, where members differ, and where a proof is late,
    all. Between two turns, where calls wait for an instance, as many as make a proof.

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
    late = now_ms - state.proved_ms >= LATE_MS
    if late or state.disagreements or now_ms - state.all_probed_ms >= FAR_MS:
        return roster.ids
    order = value_sources(roster.ids, state.zones, state.places, state.address)
    placing = tuple(node for node in order if node == state.reports.placement)
    nearest = tuple(dict.fromkeys((*placing, *order)))[: roster.majority]
    if now_ms - state.turn_ms < PROBE_MS:
        return nearest
    near = tuple(n for n in order if distance_of(n, state.zones, state.places) != OTHER_REGION)
    return tuple(dict.fromkeys((*nearest, *near)))


def members_to_report(state: State, now_ms: Ms) -> frozenset[str]:
    """To whom reports go with a probe: in turn, to all that are asked; between two turns, where
    calls wait, to the member that places. The others only have them for the day when they place.

    Example:
        >>> members_to_report(State(()), Ms(0))
        frozenset()
    """
    roster, placing = state.roster, state.reports.placement
    members = roster.ids if roster is not None else state.registries
    between_turns = now_ms - state.turn_ms < PROBE_MS
    return frozenset((placing,) if between_turns and placing in members else members)


def turned(state: State, asked: int, now_ms: Ms) -> State:
    """With when members were asked in turn, and when all of them were.

    Example:
        >>> turned(State(()), 0, Ms(5)).all_probed_ms
        5
    """
    if state.roster is None or asked >= len(state.roster.ids):
        return replace(state, turn_ms=now_ms, all_probed_ms=now_ms)
    turn = now_ms - state.turn_ms >= PROBE_MS
    return replace(state, turn_ms=now_ms) if turn else state


def light_question(state: State, epoch: int, demand: bool, now_ms: Ms) -> Probe:
    """The probe without reports on held instances; with what is asked for, or without that as well.

    Example:
        >>> light_question(State(()), 1, False, Ms(0)).reports
        False
    """
    asked_for = state.reports.demand if demand else ()
    proved_ago_ms = now_ms - state.proved_ms if state.proved_ms >= 0 else -1
    return Probe(
        state.nonce, epoch, (), (), asked_for, (), state.reports.leaving, (), proved_ago_ms,
        state.address, False, zone=state.places.zone, named=fingerprints(state.named),
        reports=False,
    )  # fmt: skip


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
    return tuple(got.copy.digest for got in state.local_copies.values())
