"""The membership: founding, heartbeats, and the roster's changes.

Founding needs every seed to be a blank disk, so a lost disk can't found a second core.
Blank disks that come later are taken in as ``membership`` says: the roster register changes
at the old roster's majority, everyone moves to the new epoch, and a newcomer votes only
after it copied a majority of the old members under that epoch.
"""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.common.ids import ROSTER, Address, Epoch, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.acceptor.events import Adopt, Adopted, TakeCells
from spokeroute.register.cells import Roster, pack_roster, read_roster, unpack_roster
from spokeroute.register.changes import Ask, Outcome, RosterIs, Settled, Swap
from spokeroute.register.disk.store import StoreWritable
from spokeroute.register.membership.bootstrap import founded, outlived
from spokeroute.register.membership.heartbeats import everyone, heartbeats, status_of
from spokeroute.register.membership.leave import Leave, parting
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

ASK_MS = 2_000
TURN_EVERY_MS = 50
COPY_RETRY_MS = 1_000


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """The membership's core.

    Example:
        state, effects = step(state, Tick(), now_ms)
    """
    match event:
        case Tick() if state.leaving:
            state, effects = _turn(state, now_ms)
            state, more = _part(state, now_ms)
            return state, (*effects, *more)
        case Tick():
            return _turn(state, now_ms)
        case Leave() if not state.leaving:
            return _leave(state, now_ms)
        case ViewNow(known):
            return _viewed(state, known, now_ms)
        case From(node, _, Heartbeat() as alive):
            return _heard(state, node, alive, now_ms)
        case StoreWritable(writable):
            return _store(state, writable, now_ms)
        case From(node, _, RosterNews(value)) if state.writable:
            roster = read_roster(value)
            return _news(state, node, roster) if roster else (state, ())
        case From(node, _, CopyPart() as part) if state.writable:
            return _copied(state, node, part, now_ms)
        case From(node, _, Probe(_, epoch)):
            if state.roster and epoch < state.roster.epoch:
                return state, (Send(node, RosterNews(pack_roster(state.roster))),)
        case Adopted(roster, votes):
            return _adopted(state, roster, votes, now_ms)
        case Settled(op_id, _, outcome, version, value) if op_id == state.proposing:
            return _proposed(state, outcome, version, value)
    return state, ()


def _turn(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if now_ms >= state.next_ms:
        return _round(state, now_ms)
    if 0 <= state.turn_ms <= now_ms:
        return _replace(state, now_ms)
    return state, ()


def _leave(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """This process is asked to stop: everyone hears of it at once."""
    state = replace(state, leaving=True, leaving_ms=now_ms)
    greetings = heartbeats(state, everyone(state), now_ms)
    state, effects = _replace(state, now_ms)
    return state, (*greetings, *effects)


def _part(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Whether this member, which leaves, is still needed, and what it has to hand over first."""
    standing, order = parting(_view(state, now_ms), state.votes, bool(state.proposing))
    return replace(state, leave_status=standing), (Tell("handover", order),)


def _view(state: State, now_ms: Ms) -> CoreView:
    roster = state.roster or Roster(Epoch(0), ())
    return CoreView(
        state.me, roster, state.peer_statuses, state.zones, state.bounds.catch_up_ms,
        state.bounds.members, state.started_ms, now_ms, state.leaving_ms, state.epoch_ms,
    )  # fmt: skip


def _round(state: State, now_ms: Ms) -> tuple[State, Effects]:
    started_ms = state.started_ms or now_ms
    state = replace(state, next_ms=Ms(now_ms + HEARTBEAT_MS), started_ms=started_ms)
    effects: list[Effect] = heartbeats(state, everyone(state), now_ms)
    if state.roster is None:
        effects.extend(_found(state, now_ms))
    state, more = _copy(state, now_ms)
    effects.extend(more)
    state, more = _replace(state, now_ms)
    effects.extend(more)
    state, more = _told_missing(state, now_ms)
    return state, (*effects, *more)


def _told_missing(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Say whose disks are needed, once for each such set of members."""
    missing = missing_majority(_view(state, now_ms)) if state.roster else None
    if missing == state.missing:
        return state, ()
    state = replace(state, missing=missing)
    text = missing.text if missing else "a majority of the core is here again"
    return state, (Note(text, alarm=missing is not None),)


def _store(state: State, writable: bool, now_ms: Ms) -> tuple[State, Effects]:
    """The others hear at once whether this member's store takes writes. What was copied and not
    yet voted with may be lost with a failed write: copying begins anew."""
    state = replace(state, writable=writable, copied=Map(), copy_asked_ms=Map())
    effects = heartbeats(state, everyone(state), now_ms)
    state, asks = _copy(state, now_ms)
    return state, (*effects, *asks)


def _viewed(state: State, known: tuple[ViewEntry, ...], now_ms: Ms) -> tuple[State, Effects]:
    """Whoever is new in the view is greeted at once."""
    core = [e for e in known if e.role == "registry"]
    new = tuple(e.node for e in core if e.node not in state.addresses)
    state = replace(
        state,
        addresses=Map({e.node: Address(e.address) for e in core}),
        zones=Map({state.me: state.zone, **{e.node: e.zone for e in core}}),
    )
    return state, tuple(heartbeats(state, new, now_ms))


def _found(state: State, now_ms: Ms) -> list[Effect]:
    roster = founded(state, now_ms)
    if roster is None:
        return []
    value = pack_roster(roster)
    return [Send(m, RosterNews(value)) for m in roster.ids]


def _heard(state: State, node: NodeId, alive: Heartbeat, now_ms: Ms) -> tuple[State, Effects]:
    old = state.peer_statuses.get(node)
    sign = status_of(state, node, alive, now_ms)
    state = replace(state, peer_statuses=state.peer_statuses.set(node, sign))
    effects: list[Effect] = []
    if state.roster and alive.epoch < state.roster.epoch:
        effects.append(Send(node, RosterNews(pack_roster(state.roster))))
    if state.roster is None and old is None:
        # Founding waits until all seeds said that they hear each other.
        effects.extend(heartbeats(state, everyone(state), now_ms))
    if alive.blank or alive.leaving:
        state, more = _replace(state, now_ms)
    else:
        state, more = _copy(state, now_ms)
    return state, (*effects, *more)


def _news(state: State, node: NodeId, roster: Roster) -> tuple[State, Effects]:
    if state.roster and roster.epoch <= state.roster.epoch:
        return state, ()
    if state.roster is None and outlived(state, node):
        return state, ()
    if state.me not in roster.ids:
        if state.roster is None or state.me not in state.roster.ids:
            return state, ()
        text = "this member was replaced in the roster: move its data folder away to join anew"
        if state.leaving:
            text = "its successor is in the roster: this member ends once the successor votes"
        news = Note(text, alarm=not state.leaving)
        return state, (Tell("acceptor", Adopt(roster, False)), news)
    # A blank member that never joined was here when the core was founded: its empty disk tells
    # the truth. One that joined has less than the member before it until it copied.
    votes = state.votes if state.roster else state.me not in roster.joining
    return state, (Tell("acceptor", Adopt(roster, votes)),)


def _adopted(state: State, roster: Roster, votes: bool, now_ms: Ms) -> tuple[State, Effects]:
    if state.roster and roster.epoch > state.roster.epoch:
        state = replace(state, copied=Map(), copy_asked_ms=Map(), epoch_ms=now_ms)
    state = replace(state, roster=roster, votes=votes)
    told = [Tell(name, RosterChanged(roster)) for name in state.changes]
    greetings = heartbeats(state, everyone(state), now_ms)  # newcomers wait for them to copy
    state, asks = _copy(state, now_ms)
    return state, (Tell("proposer", RosterIs(roster)), *told, *greetings, *asks)


def _copy(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ask as many old members as are needed for their cells, those of this zone first; another
    one where one is late."""
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
    whole = sum(1 for m in roster.previous if state.copied.get(m) == ".")
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
    chosen = idle[: max(0, len(roster.previous) // 2 + 1 - whole - busy)]
    for member in chosen:
        asked_ms = asked_ms.set(member, now_ms)
    asks = tuple(Send(m, CopyAsk(roster.epoch, state.copied.get(m, ""))) for m in chosen)
    return replace(state, copy_asked_ms=asked_ms), asks


def _copied(state: State, node: NodeId, part: CopyPart, now_ms: Ms) -> tuple[State, Effects]:
    roster = state.roster
    if roster is None or state.votes or part.epoch != roster.epoch:
        return state, ()
    if state.copied.get(node, "") != part.after:
        return state, ()
    copied = state.copied.set(node, part.last or ".")
    state = replace(state, copied=copied, copy_asked_ms=state.copy_asked_ms.set(node, now_ms))
    # The last page is asked for again after a restart, and ends the copy then.
    reached = ((node, part.last),) if part.last else ()
    effects: list[Effect] = [Tell("acceptor", TakeCells(part.cells, reached))]
    if part.last:
        effects.append(Send(node, CopyAsk(part.epoch, part.last)))
    whole = [m for m in roster.previous if copied.get(m) == "."]
    if len(whole) >= len(roster.previous) // 2 + 1:
        effects.append(Tell("acceptor", Adopt(roster, True)))
        effects.append(Note(f"caught up from {', '.join(whole)}; voting in epoch {roster.epoch}"))
    return state, tuple(effects)


def _replace(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Bring the next roster to its register, if this member sees that there should be one."""
    state = replace(state, turn_ms=Ms(-1))
    roster = state.roster
    if roster is None or not state.votes or not state.writable or state.proposing:
        return state, ()
    view = _view(state, now_ms)
    new = next_roster(view)
    if new is None:
        if lost_disks(view) or leaver_replacement(view):
            state = replace(state, turn_ms=Ms(now_ms + TURN_EVERY_MS))
        return state, ()
    op_id = f"roster/{state.me}/{state.draws + 1}"
    # The register's version is the epoch less one: epoch 1 was founded, not written.
    change = Swap(roster.epoch - 1, pack_roster(new))
    state = replace(state, proposing=op_id, draws=state.draws + 1)
    return state, (Tell("proposer", Ask(op_id, ROSTER, change, "membership", ASK_MS)),)


def _proposed(state: State, outcome: Outcome, version: int, value: bytes) -> tuple[State, Effects]:
    state = replace(state, proposing="")
    if outcome != Outcome.DONE or not value:
        return state, ()
    roster = unpack_roster(value)
    ids = sorted(set(roster.ids) | set(roster.previous))
    return state, tuple(Send(m, RosterNews(value)) for m in ids)
