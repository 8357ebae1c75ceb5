"""Membership: founding of the core, heartbeats, and changes of the roster.

Founding needs every seed to have a blank disk, so that a member that lost its disk can't found a
second core. Blank members that appear later join as the policy decides: the roster register changes
at a majority of the old roster, all members move to the new epoch, and a newcomer votes only after
it has copied from a majority of the old members in that epoch.
"""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.common.ids import ROSTER, Address, Epoch, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.acceptor.events import Adopt, Adopted, ImportCells
from spokeroute.register.cells import Roster, pack_roster, read_roster, unpack_roster
from spokeroute.register.changes import Ask, Outcome, RosterIs, Settled, Swap
from spokeroute.register.disk.jobs import StoreWritable
from spokeroute.register.membership.bootstrap import first_roster, replaced_by_blank
from spokeroute.register.membership.heartbeats import heartbeat_targets, heartbeats, peer_status
from spokeroute.register.membership.leave import Leave, leave_decision
from spokeroute.register.membership.policy import (
    HEARTBEAT_MS,
    CoreView,
    leaver_replacement,
    lost_disks,
    missing_majority,
    next_roster,
)
from spokeroute.register.membership.state import RosterChanged as RosterChanged
from spokeroute.register.membership.state import State as State
from spokeroute.transport.messages import CopyAsk, CopyPart, Heartbeat, Probe, RosterNews, ViewEntry
from spokeroute.transport.peers import ViewNow

PROPOSAL_TIMEOUT_MS = 2_000
RECHECK_INTERVAL_MS = 50
COPY_RETRY_MS = 1_000


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """Handles one event of the membership.

    Example:
        state, effects = step(state, Tick(), now_ms)
    """
    match event:
        case Tick() if state.leaving:
            state, effects = _tick(state, now_ms)
            state, more = _update_leave_status(state, now_ms)
            return state, (*effects, *more)
        case Tick():
            return _tick(state, now_ms)
        case Leave() if not state.leaving:
            return _start_leaving(state, now_ms)
        case ViewNow(known):
            return _view_changed(state, known, now_ms)
        case From(node, _, Heartbeat() as heartbeat):
            return _heartbeat_received(state, node, heartbeat, now_ms)
        case StoreWritable(writable):
            return _store_changed(state, writable, now_ms)
        case From(node, _, RosterNews(value)) if state.writable:
            roster = read_roster(value)
            return _roster_received(state, node, roster) if roster else (state, ())
        case From(node, _, CopyPart() as part) if state.writable:
            return _copy_received(state, node, part, now_ms)
        case From(node, _, Probe(_, epoch)):
            if state.roster and epoch < state.roster.epoch:
                return state, (Send(node, RosterNews(pack_roster(state.roster))),)
        case Adopted(roster, votes):
            return _roster_adopted(state, roster, votes, now_ms)
        case Settled(op_id, _, outcome, version, value) if op_id == state.proposal:
            return _proposal_settled(state, outcome, version, value)
    return state, ()


def _tick(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if now_ms >= state.next_heartbeat_ms:
        return _heartbeat_round(state, now_ms)
    if 0 <= state.recheck_ms <= now_ms:
        return _propose_next_roster(state, now_ms)
    return state, ()


def _start_leaving(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Announces at once that this process was asked to stop."""
    state = replace(state, leaving=True, leaving_ms=now_ms)
    announcements = heartbeats(state, heartbeat_targets(state), now_ms)
    state, effects = _propose_next_roster(state, now_ms)
    return state, (*announcements, *effects)


def _update_leave_status(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Decides whether this leaving member is still needed, and what it has to hand over first."""
    status, order = leave_decision(_core_view(state, now_ms), state.votes, bool(state.proposal))
    return replace(state, leave_status=status), (Tell("handover", order),)


def _core_view(state: State, now_ms: Ms) -> CoreView:
    roster = state.roster or Roster(Epoch(0), ())
    return CoreView(
        state.me, roster, state.peer_statuses, state.zones, state.bounds.catch_up_ms,
        state.bounds.members, state.started_ms, now_ms, state.leaving_ms, state.epoch_ms,
    )  # fmt: skip


def _heartbeat_round(state: State, now_ms: Ms) -> tuple[State, Effects]:
    started_ms = state.started_ms or now_ms
    state = replace(state, next_heartbeat_ms=Ms(now_ms + HEARTBEAT_MS), started_ms=started_ms)
    effects: list[Effect] = heartbeats(state, heartbeat_targets(state), now_ms)
    if state.roster is None:
        effects.extend(_found_core(state, now_ms))
    state, more = _request_copies(state, now_ms)
    effects.extend(more)
    state, more = _propose_next_roster(state, now_ms)
    effects.extend(more)
    state, more = _log_missing_majority(state, now_ms)
    return state, (*effects, *more)


def _log_missing_majority(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Logs which members' disks are needed, once for each set of missing members."""
    missing = missing_majority(_core_view(state, now_ms)) if state.roster else None
    if missing == state.missing:
        return state, ()
    state = replace(state, missing=missing)
    text = missing.text if missing else "a majority of the core is available again"
    return state, (Note(text, alarm=missing is not None),)


def _store_changed(state: State, writable: bool, now_ms: Ms) -> tuple[State, Effects]:
    """Announces at once whether this member's store takes writes. Cells that were copied but not
    yet voted with may be lost with a failed write, so copying starts over."""
    state = replace(state, writable=writable, copied=Map(), copy_asked_ms=Map())
    effects = heartbeats(state, heartbeat_targets(state), now_ms)
    state, asks = _request_copies(state, now_ms)
    return state, (*effects, *asks)


def _view_changed(state: State, known: tuple[ViewEntry, ...], now_ms: Ms) -> tuple[State, Effects]:
    """Sends a heartbeat at once to registries that are new in the view."""
    core = [e for e in known if e.role == "registry"]
    new = tuple(e.node for e in core if e.node not in state.addresses)
    state = replace(
        state,
        addresses=Map({e.node: Address(e.address) for e in core}),
        zones=Map({state.me: state.zone, **{e.node: e.zone for e in core}}),
    )
    return state, tuple(heartbeats(state, new, now_ms))


def _found_core(state: State, now_ms: Ms) -> list[Effect]:
    roster = first_roster(state, now_ms)
    if roster is None:
        return []
    value = pack_roster(roster)
    return [Send(m, RosterNews(value)) for m in roster.ids]


def _heartbeat_received(
    state: State, node: NodeId, heartbeat: Heartbeat, now_ms: Ms
) -> tuple[State, Effects]:
    old = state.peer_statuses.get(node)
    status = peer_status(state, node, heartbeat, now_ms)
    state = replace(state, peer_statuses=state.peer_statuses.set(node, status))
    effects: list[Effect] = []
    if state.roster and heartbeat.epoch < state.roster.epoch:
        effects.append(Send(node, RosterNews(pack_roster(state.roster))))
    if state.roster is None and old is None:
        # Founding waits until all seeds have reported that they hear each other.
        effects.extend(heartbeats(state, heartbeat_targets(state), now_ms))
    if heartbeat.blank or heartbeat.leaving:
        state, more = _propose_next_roster(state, now_ms)
    else:
        state, more = _request_copies(state, now_ms)
    return state, (*effects, *more)


def _roster_received(state: State, node: NodeId, roster: Roster) -> tuple[State, Effects]:
    if state.roster and roster.epoch <= state.roster.epoch:
        return state, ()
    if state.roster is None and replaced_by_blank(state, node):
        return state, ()
    if state.me not in roster.ids:
        if state.roster is None or state.me not in state.roster.ids:
            return state, ()
        text = "this member was replaced in the roster: move its data folder away to rejoin"
        if state.leaving:
            text = "a successor is in the roster: this member stops once the successor votes"
        note = Note(text, alarm=not state.leaving)
        return state, (Tell("acceptor", Adopt(roster, False)), note)
    # A blank member that never joined was present when the core was founded, so its empty disk is
    # complete. One that joined later has less than its predecessor until it has copied.
    votes = state.votes if state.roster else state.me not in roster.joining
    return state, (Tell("acceptor", Adopt(roster, votes)),)


def _roster_adopted(state: State, roster: Roster, votes: bool, now_ms: Ms) -> tuple[State, Effects]:
    if state.roster and roster.epoch > state.roster.epoch:
        state = replace(state, copied=Map(), copy_asked_ms=Map(), epoch_ms=now_ms)
    state = replace(state, roster=roster, votes=votes)
    notices = [Tell(name, RosterChanged(roster)) for name in state.roster_listeners]
    # Newcomers wait for these heartbeats before they copy.
    announcements = heartbeats(state, heartbeat_targets(state), now_ms)
    state, asks = _request_copies(state, now_ms)
    return state, (Tell("proposer", RosterIs(roster)), *notices, *announcements, *asks)


def _request_copies(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Requests cells from as many old members as are needed, those of this zone first, and from
    another one if one is late."""
    roster = state.roster
    if roster is None or state.votes or not state.writable or state.me not in roster.ids:
        return state, ()
    asked_ms = state.copy_asked_ms
    late_ms = Ms(now_ms - COPY_RETRY_MS)
    sources = [
        m
        for m in roster.previous
        if m != state.me
        and state.copied.get(m) != "."
        and m in state.peer_statuses
        and state.peer_statuses[m].epoch == roster.epoch
    ]
    complete = sum(1 for m in roster.previous if state.copied.get(m) == ".")
    busy = sum(
        1 for m in sources if state.peer_statuses[m].votes and asked_ms.get(m, late_ms) > late_ms
    )
    idle = [m for m in sources if asked_ms.get(m, late_ms) <= late_ms]
    idle.sort(
        key=lambda m: (
            asked_ms.get(m, -1),
            not state.peer_statuses[m].votes,
            state.zones.get(m) != state.zone,
            m,
        )
    )
    chosen = idle[: max(0, len(roster.previous) // 2 + 1 - complete - busy)]
    for member in chosen:
        asked_ms = asked_ms.set(member, now_ms)
    asks = tuple(Send(m, CopyAsk(roster.epoch, state.copied.get(m, ""))) for m in chosen)
    return replace(state, copy_asked_ms=asked_ms), asks


def _copy_received(state: State, node: NodeId, part: CopyPart, now_ms: Ms) -> tuple[State, Effects]:
    roster = state.roster
    if roster is None or state.votes or part.epoch != roster.epoch:
        return state, ()
    if state.copied.get(node, "") != part.after:
        return state, ()
    copied = state.copied.set(node, part.last or ".")
    state = replace(state, copied=copied, copy_asked_ms=state.copy_asked_ms.set(node, now_ms))
    # The position is stored only up to the last page but one: after a restart the last page is
    # requested again, which then completes the copy.
    progress = ((node, part.last),) if part.last else ()
    effects: list[Effect] = [Tell("acceptor", ImportCells(part.cells, progress))]
    if part.last:
        effects.append(Send(node, CopyAsk(part.epoch, part.last)))
    complete = [m for m in roster.previous if copied.get(m) == "."]
    if len(complete) >= len(roster.previous) // 2 + 1:
        effects.append(Tell("acceptor", Adopt(roster, True)))
        effects.append(
            Note(f"copied all cells from {', '.join(complete)}; voting in epoch {roster.epoch}")
        )
    return state, tuple(effects)


def _propose_next_roster(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Proposes the next roster to its register, if this member sees that the roster must change."""
    state = replace(state, recheck_ms=Ms(-1))
    roster = state.roster
    if roster is None or not state.votes or not state.writable or state.proposal:
        return state, ()
    view = _core_view(state, now_ms)
    new = next_roster(view)
    if new is None:
        if lost_disks(view) or leaver_replacement(view):
            state = replace(state, recheck_ms=Ms(now_ms + RECHECK_INTERVAL_MS))
        return state, ()
    op_id = f"roster/{state.me}/{state.proposals + 1}"
    # The register's version is the epoch minus one: epoch 1 was founded, not written.
    change = Swap(roster.epoch - 1, pack_roster(new))
    state = replace(state, proposal=op_id, proposals=state.proposals + 1)
    return state, (Tell("proposer", Ask(op_id, ROSTER, change, "membership", PROPOSAL_TIMEOUT_MS)),)


def _proposal_settled(
    state: State, outcome: Outcome, version: int, value: bytes
) -> tuple[State, Effects]:
    state = replace(state, proposal="")
    if outcome != Outcome.DONE or not value:
        return state, ()
    roster = unpack_roster(value)
    ids = sorted(set(roster.ids) | set(roster.previous))
    return state, tuple(Send(m, RosterNews(value)) for m in ids)
