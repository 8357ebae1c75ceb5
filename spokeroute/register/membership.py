"""The steward: founding, signs of life, and the roster's changes.

Founding needs every seed to be a blank disk, so a lost disk can't found a second core.
Blank disks that come later are taken in as ``membership`` says: the roster register changes
at the old roster's majority, everyone moves to the new epoch, and a newcomer votes only
after it copied a majority of the old members under that epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.common.ids import ROSTER, Address, Epoch, MemberId, Ms, NodeId
from spokeroute.register.acceptor_events import Adopt, Adopted, TakeCells
from spokeroute.register.cells import Roster, pack_roster, read_roster, unpack_roster
from spokeroute.register.changes import Ask, Outcome, RosterIs, Settled, Swap
from spokeroute.register.leave import Leave, Standing, parting
from spokeroute.register.membership_policy import (
    HEARTBEAT_MS,
    CoreView,
    PeerStatus,
    absence,
    lost_disks,
    next_roster,
    succession,
)
from spokeroute.register.missing import Missing
from spokeroute.register.store import StoreWritable
from spokeroute.transport.messages import CopyAsk, CopyPart, Heartbeat, Probe, RosterNews, ViewEntry
from spokeroute.transport.peers import ViewNow

ASK_MS = 2_000
TURN_EVERY_MS = 50
COPY_RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class RosterChanged:
    """To placement: the ledger should hear of it."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class State:
    """What this member knows of the core."""

    me: MemberId
    address: Address
    seeds: tuple[Address, ...]
    found: bool
    zone: str
    roster: Roster | None = None
    votes: bool = False
    signs: Map[str, PeerStatus] = field(default_factory=Map)
    addresses: Map[str, Address] = field(default_factory=Map)
    zones: Map[str, str] = field(default_factory=Map)
    started_ms: Ms = Ms(0)
    next_ms: Ms = Ms(0)
    copied: Map[str, str] = field(default_factory=Map)  # old member -> next page, "." when whole
    copy_asked_ms: Map[str, Ms] = field(default_factory=Map)
    proposing: str = ""
    turn_ms: Ms = Ms(-1)  # when a lost disk is looked at again
    draws: int = 0
    changes: tuple[str, ...] = ("placement", "ledger", "role")
    bounds: Bounds = Bounds()
    writable: bool = True  # whether this member's store takes writes
    leaving: bool = False  # whether this process was asked to stop
    leaving_ms: Ms = Ms(-1)  # since when
    standing: Standing = Standing.NEEDED  # whether this member, which leaves, may end
    epoch_ms: Ms = Ms(0)  # since when it is at the roster's epoch
    missing: Missing | None = None  # who is away where too many are, for long


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """The steward's core.

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
    greetings = _greet(state, _everyone(state), now_ms)
    state, effects = _replace(state, now_ms)
    return state, (*greetings, *effects)


def _part(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Whether this member, which leaves, is still needed, and what it has to hand over first."""
    standing, order = parting(_view(state, now_ms), state.votes, bool(state.proposing))
    return replace(state, standing=standing), (Tell("handover", order),)


def _view(state: State, now_ms: Ms) -> CoreView:
    roster = state.roster or Roster(Epoch(0), ())
    return CoreView(
        state.me, roster, state.signs, state.zones, state.bounds.catch_up_ms,
        state.bounds.members, state.started_ms, now_ms, state.leaving_ms, state.epoch_ms,
    )  # fmt: skip


def _round(state: State, now_ms: Ms) -> tuple[State, Effects]:
    started_ms = state.started_ms or now_ms
    state = replace(state, next_ms=Ms(now_ms + HEARTBEAT_MS), started_ms=started_ms)
    effects: list[Effect] = _greet(state, _everyone(state), now_ms)
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
    missing = absence(_view(state, now_ms)) if state.roster else None
    if missing == state.missing:
        return state, ()
    state = replace(state, missing=missing)
    text = missing.text if missing else "a majority of the core is here again"
    return state, (Note(text, alarm=missing is not None),)


def _store(state: State, writable: bool, now_ms: Ms) -> tuple[State, Effects]:
    """The others hear at once whether this member's store takes writes. What was copied and not
    yet voted with may be lost with a failed write: copying begins anew."""
    state = replace(state, writable=writable, copied=Map(), copy_asked_ms=Map())
    effects = _greet(state, _everyone(state), now_ms)
    state, asks = _copy(state, now_ms)
    return state, (*effects, *asks)


def _everyone(state: State) -> tuple[str, ...]:
    return tuple(sorted({*state.addresses, *(state.roster.ids if state.roster else ())}))


def _greet(state: State, nodes: tuple[str, ...], now_ms: Ms) -> list[Effect]:
    """A sign of life to others of the core."""
    silent_ms = state.bounds.catch_up_ms
    hears = tuple(n for n, s in sorted(state.signs.items()) if now_ms - s.at_ms < silent_ms)
    roster = state.roster
    alive = Heartbeat(
        roster.epoch if roster else 0, state.votes, roster is None, hears,
        state.address if roster is None else "", state.writable, state.leaving,
    )  # fmt: skip
    return [Send(NodeId(node), alive) for node in nodes if node != state.me]


def _viewed(state: State, known: tuple[ViewEntry, ...], now_ms: Ms) -> tuple[State, Effects]:
    """Whoever is new in the view is greeted at once."""
    core = [e for e in known if e.role == "registry"]
    new = tuple(e.node for e in core if e.node not in state.addresses)
    state = replace(
        state,
        addresses=Map({e.node: Address(e.address) for e in core}),
        zones=Map({state.me: state.zone, **{e.node: e.zone for e in core}}),
    )
    return state, tuple(_greet(state, new, now_ms))


def _found(state: State, now_ms: Ms) -> list[Effect]:
    """Found the core: every seed is a registry, alive, blank, and I am the least of them. Each
    said so after it heard of all the others: one that adopted the roster of an earlier founding
    together with a disk that was lost since can't have."""
    if not state.found or state.address not in state.seeds:
        return []
    here = {
        node: sign
        for node, sign in state.signs.items()
        if sign.address in state.seeds and now_ms - sign.at_ms < state.bounds.catch_up_ms
    }
    if not all(sign.blank for sign in here.values()):
        return []
    founders: dict[Address, MemberId] = {}
    for node, sign in sorted(here.items(), key=lambda item: (item[1].at_ms, item[0])):
        founders[sign.address] = MemberId(node)
    founders[state.address] = state.me
    ids = set(founders.values())
    if len(founders) != len(state.seeds) or min(ids) != state.me:
        return []
    if not all(ids <= {node, *here[node].hears} for node in ids - {state.me}):
        return []
    roster = Roster(Epoch(1), tuple((founders[a], a) for a in state.seeds))
    value = pack_roster(roster)
    return [Send(m, RosterNews(value)) for m in roster.ids]


def _heard(state: State, node: NodeId, alive: Heartbeat, now_ms: Ms) -> tuple[State, Effects]:
    old = state.signs.get(node)
    known = state.addresses.get(node) or (old.address if old else Address(""))
    address = Address(alive.address) or known
    here = old is not None and now_ms - old.at_ms < state.bounds.catch_up_ms
    since_ms = old.since_ms if old and here else now_ms
    leaving_ms = old.leaving_ms if old and old.leaving and alive.leaving else now_ms
    unwritable_ms = old.unwritable_ms if old and here and not old.writable else now_ms
    sign = PeerStatus(
        address, now_ms, since_ms, alive.epoch, alive.votes, alive.blank, alive.hears,
        alive.writable, alive.leaving, Ms(-1) if alive.writable else unwritable_ms,
        leaving_ms if alive.leaving else Ms(-1),
    )  # fmt: skip
    state = replace(state, signs=state.signs.set(node, sign))
    effects: list[Effect] = []
    if state.roster and alive.epoch < state.roster.epoch:
        effects.append(Send(node, RosterNews(pack_roster(state.roster))))
    if state.roster is None and old is None:
        # Founding waits until all seeds said that they hear each other.
        effects.extend(_greet(state, _everyone(state), now_ms))
    if alive.blank or alive.leaving:
        state, more = _replace(state, now_ms)
    else:
        state, more = _copy(state, now_ms)
    return state, (*effects, *more)


def _news(state: State, node: NodeId, roster: Roster) -> tuple[State, Effects]:
    if state.roster and roster.epoch <= state.roster.epoch:
        return state, ()
    if state.roster is None and _outlived(state, node):
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


def _outlived(state: State, node: NodeId) -> bool:
    """Whether a blank disk was heard of at a node's address since that node was heard itself: a
    late frame of its founds nothing, as this member may have told the new one that it is blank."""
    old = state.signs.get(node)
    return old is not None and any(
        sign.blank and sign.address == old.address and sign.at_ms > old.at_ms
        for sign in state.signs.values()
    )


def _adopted(state: State, roster: Roster, votes: bool, now_ms: Ms) -> tuple[State, Effects]:
    if state.roster and roster.epoch > state.roster.epoch:
        state = replace(state, copied=Map(), copy_asked_ms=Map(), epoch_ms=now_ms)
    state = replace(state, roster=roster, votes=votes)
    told = [Tell(name, RosterChanged(roster)) for name in state.changes]
    greetings = _greet(state, _everyone(state), now_ms)  # newcomers wait for them to copy
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
        and m in state.signs
        and state.signs[m].epoch == roster.epoch
    ]
    whole = sum(1 for m in roster.previous if state.copied.get(m) == ".")
    busy = sum(1 for m in sources if state.signs[m].votes and asked_ms.get(m, late_ms) > late_ms)
    idle = [m for m in sources if asked_ms.get(m, late_ms) <= late_ms]
    idle.sort(
        key=lambda m: (
            asked_ms.get(m, -1), not state.signs[m].votes, state.zones.get(m) != state.zone, m,
        )
    )  # fmt: skip
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
    sight = _view(state, now_ms)
    new = next_roster(sight)
    if new is None:
        if lost_disks(sight) or succession(sight):
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
