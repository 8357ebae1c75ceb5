"""Builds the probes to the members of the core: to whom, how often, and with which reports."""

from __future__ import annotations

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.places import Distance
from spokeroute.common.replacing import replace
from spokeroute.register.replica.copy_fingerprints import fingerprints
from spokeroute.register.replica.state import State
from spokeroute.register.replica.value_requests import distance_of, value_sources
from spokeroute.transport.messages import Probe

PROBE_INTERVAL_MS = 400
FULL_PROBE_INTERVAL_MS = 1_200  # between probes to members of other regions that no proof needs
LATE_PROOF_MS = 450  # an interval and a tick: one of the probed members may be down
STALE_ROSTER_MS = 1_500  # after so long without a proof, all known members may have been replaced
OTHER_REGION = Distance.OTHER_REGION


def members_to_probe(state: State, now_ms: Ms) -> tuple[NodeId, ...]:
    """Returns the members that the next probe goes to. At the regular interval these are the
    placement holder, all members of this region, and as many others as a proof needs. All members
    are probed at a longer interval, while members disagree, and while a proof is late. Between two
    regular probes, while calls wait for an instance, only as many as a proof needs.

    Example:
        >>> members_to_probe(State(()), Ms(0))
        ()
    """
    roster = state.roster
    if roster is None:
        return state.registries
    if now_ms - state.proved_ms > STALE_ROSTER_MS:
        # All known members may be gone: any registry can send the newest roster.
        return tuple(dict.fromkeys((*roster.ids, *state.registries)))
    late = now_ms - state.proved_ms >= LATE_PROOF_MS
    if late or state.disagreements or now_ms - state.last_full_probe_ms >= FULL_PROBE_INTERVAL_MS:
        return roster.ids
    order = value_sources(roster.ids, state.zones, state.places, state.address)
    placing = tuple(node for node in order if node == state.reports.placement)
    needed = tuple(dict.fromkeys((*placing, *order)))[: roster.majority]
    if now_ms - state.last_turn_ms < PROBE_INTERVAL_MS:
        return needed
    near = tuple(n for n in order if distance_of(n, state.zones, state.places) != OTHER_REGION)
    return tuple(dict.fromkeys((*needed, *near)))


def members_to_report(state: State, now_ms: Ms) -> frozenset[str]:
    """Returns the members that get reports with a probe: at the regular interval all that are
    probed; between two regular probes, while calls wait, only the placement holder. The others need
    the reports only in case they become the placement holder.

    Example:
        >>> members_to_report(State(()), Ms(0))
        frozenset()
    """
    roster, placing = state.roster, state.reports.placement
    members = roster.ids if roster is not None else state.registries
    between_turns = now_ms - state.last_turn_ms < PROBE_INTERVAL_MS
    return frozenset((placing,) if between_turns and placing in members else members)


def with_probe_times(state: State, probed: int, now_ms: Ms) -> State:
    """Records the time of a probe to ``probed`` members: as a regular one, and as one to all.

    Example:
        >>> with_probe_times(State(()), 0, Ms(5)).last_full_probe_ms
        5
    """
    if state.roster is None or probed >= len(state.roster.ids):
        return replace(state, last_turn_ms=now_ms, last_full_probe_ms=now_ms)
    turn = now_ms - state.last_turn_ms >= PROBE_INTERVAL_MS
    return replace(state, last_turn_ms=now_ms) if turn else state


def probe_without_reports(state: State, epoch: int, demand: bool, now_ms: Ms) -> Probe:
    """Returns a probe without reports on held instances, and with demand only if ``demand`` is set.

    Example:
        >>> probe_without_reports(State(()), 1, False, Ms(0)).reports
        False
    """
    reported_demand = state.reports.demand if demand else ()
    proved_ago_ms = now_ms - state.proved_ms if state.proved_ms >= 0 else -1
    return Probe(
        state.nonce, epoch, (), (), reported_demand, (), state.reports.leaving, (), proved_ago_ms,
        state.address, False, zone=state.places.zone, named=fingerprints(state.agreed),
        reports=False,
    )  # fmt: skip


def probe_with_reports(state: State, epoch: int, base: int, now_ms: Ms) -> Probe:
    """Returns the probe for members that have the report of probe number ``base``.

    Example:
        probe_with_reports(state, 1, 0, now_ms).held_base == 0
    """
    reports = state.reports
    held, held_no_more = state.report_changes.since(base)
    proved_ago_ms = now_ms - state.proved_ms if state.proved_ms >= 0 else -1
    return Probe(
        state.nonce, epoch, (), held, reports.demand, reports.took, reports.leaving, reports.busy,
        proved_ago_ms, state.address, False, base, held_no_more,
        zone=state.places.zone, named=fingerprints(state.agreed),
    )  # fmt: skip


def local_digests(state: State) -> tuple[str, ...]:
    """Returns the digests of the values that are stored locally.

    Example:
        >>> local_digests(State(()))
        ()
    """
    return tuple(local.copy.digest for local in state.local_copies.values())
