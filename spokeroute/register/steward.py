"""The steward: founding, signs of life, and the roster's changes.

Founding needs every seed to be a blank disk, so a lost disk can't found a second core.
A blank disk that comes later replaces a member that has been silent: the roster register
changes at the old roster's majority, everyone moves to the new epoch, and the newcomer
votes only after it copied a majority of the old members under that epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.dial.ids import ROSTER, Address, Epoch, MemberId, Ms, NodeId
from spokeroute.register.cells import Roster, packRoster, unpackRoster
from spokeroute.register.keeper import Adopt, Adopted, TakeCells
from spokeroute.register.proposer import Ask, RosterIs, Settled, Swap
from spokeroute.trunk.colleagues import ViewNow
from spokeroute.trunk.messages import Alive, CopyAsk, CopyPart, Probe, RosterNews

ALIVE_MS = 500
SILENT_MS = 6_000
CANDIDATE_MS = 1_500
COPY_RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class Sign:
    """A core node's last sign of life."""

    address: Address
    atMs: Ms
    sinceMs: Ms
    epoch: int
    votes: bool
    blank: bool
    hears: tuple[str, ...]


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
    roster: Roster | None = None
    votes: bool = False
    signs: Map[str, Sign] = field(default_factory=Map)
    addresses: Map[str, Address] = field(default_factory=Map)
    startedMs: Ms = Ms(0)
    nextMs: Ms = Ms(0)
    copied: Map[str, str] = field(default_factory=Map)  # old member -> next page, "." when whole
    copyAskedMs: Ms = Ms(0)
    proposing: str = ""
    proposedMs: Ms = Ms(0)
    draws: int = 0
    changes: tuple[str, ...] = ("placement", "ledger")


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The steward's core.

    Example:
        state, effects = step(state, Tick(), nowMs)
    """
    match event:
        case Tick() if nowMs >= state.nextMs:
            return _round(state, nowMs)
        case ViewNow(known):
            book = {e.node: Address(e.address) for e in known if e.role == "registry"}
            return replace(state, addresses=Map(book)), ()
        case From(node, _, Alive() as alive):
            return _heard(state, node, alive, nowMs)
        case From(_, _, RosterNews(value)):
            return _news(state, unpackRoster(value))
        case From(node, _, CopyPart() as part):
            return _copied(state, node, part)
        case From(node, _, Probe(_, epoch)):
            if state.roster and epoch < state.roster.epoch:
                return state, (Send(node, RosterNews(packRoster(state.roster))),)
        case Adopted(roster, votes):
            if state.roster and roster.epoch > state.roster.epoch:
                state = replace(state, copied=Map())
            state = replace(state, roster=roster, votes=votes)
            said = [Tell("proposer", RosterIs(roster))]
            told = [Tell(name, RosterChanged(roster)) for name in state.changes]
            return state, (*said, *told)
        case Settled(opId, _, outcome, version, value) if opId == state.proposing:
            return _proposed(state, outcome, version, value)
    return state, ()


def _round(state: State, nowMs: Ms) -> tuple[State, Effects]:
    startedMs = state.startedMs or nowMs
    state = replace(state, nextMs=Ms(nowMs + ALIVE_MS), startedMs=startedMs)
    effects: list[Effect] = []
    hears = tuple(n for n, s in sorted(state.signs.items()) if nowMs - s.atMs < SILENT_MS)
    alive = Alive(state.roster.epoch if state.roster else 0, state.votes, _blank(state), hears)
    for node in sorted(set(state.addresses) | set(state.roster.ids if state.roster else ())):
        if node != state.me:
            effects.append(Send(NodeId(node), alive))
    if state.roster is None:
        effects.extend(_found(state, nowMs))
    elif not state.votes and state.me in state.roster.ids:
        state, more = _copy(state, nowMs)
        effects.extend(more)
    elif state.votes:
        state, more = _replace(state, nowMs)
        effects.extend(more)
    return state, tuple(effects)


def _blank(state: State) -> bool:
    return state.roster is None


def _found(state: State, nowMs: Ms) -> list[Effect]:
    """Found the core: every seed is a registry, alive, blank, and I am the least of them."""
    if not state.found or state.address not in state.seeds:
        return []
    founders: dict[Address, MemberId] = {state.address: state.me}
    for node, sign in state.signs.items():
        if sign.address in state.seeds and nowMs - sign.atMs < SILENT_MS:
            if not sign.blank:
                return []
            founders[sign.address] = MemberId(node)
    if len(founders) != len(state.seeds) or min(founders.values()) != state.me:
        return []
    roster = Roster(Epoch(1), tuple((founders[a], a) for a in state.seeds))
    value = packRoster(roster)
    return [Send(m, RosterNews(value)) for m in roster.ids]


def _heard(state: State, node: NodeId, alive: Alive, nowMs: Ms) -> tuple[State, Effects]:
    old = state.signs.get(node)
    address = state.addresses.get(node) or (old.address if old else Address(""))
    sinceMs = old.sinceMs if old and nowMs - old.atMs < SILENT_MS else nowMs
    sign = Sign(address, nowMs, sinceMs, alive.epoch, alive.votes, alive.blank, alive.hears)
    state = replace(state, signs=state.signs.set(node, sign))
    if state.roster and alive.epoch < state.roster.epoch:
        return state, (Send(node, RosterNews(packRoster(state.roster))),)
    return state, ()


def _news(state: State, roster: Roster) -> tuple[State, Effects]:
    if state.roster and roster.epoch <= state.roster.epoch:
        return state, ()
    if state.me not in roster.ids:
        if state.roster is None or state.me not in state.roster.ids:
            return state, ()
        text = "this member was replaced in the roster: move its data folder away to join anew"
        return state, (Tell("keeper", Adopt(roster, False)), Note(text, alarm=True))
    joining = roster.joining == state.me and not state.votes
    votes = not joining
    if state.roster and not state.votes:
        votes = False
    return state, (Tell("keeper", Adopt(roster, votes)),)


def _copy(state: State, nowMs: Ms) -> tuple[State, Effects]:
    roster = state.roster
    assert roster is not None
    if nowMs - state.copyAskedMs < COPY_RETRY_MS:
        return state, ()
    effects = [
        Send(m, CopyAsk(roster.epoch, state.copied.get(m, "")))
        for m in roster.previous
        if m != state.me and state.copied.get(m) != "."
    ]
    return replace(state, copyAskedMs=nowMs), tuple(effects)


def _copied(state: State, node: NodeId, part: CopyPart) -> tuple[State, Effects]:
    roster = state.roster
    if roster is None or state.votes or part.epoch != roster.epoch:
        return state, ()
    if state.copied.get(node, "") != part.after:
        return state, ()
    copied = state.copied.set(node, part.last or ".")
    state = replace(state, copied=copied)
    effects: list[Effect] = [Tell("keeper", TakeCells(part.cells))]
    if part.last:
        effects.append(Send(node, CopyAsk(part.epoch, part.last)))
    whole = [m for m in roster.previous if copied.get(m) == "."]
    if len(whole) >= len(roster.previous) // 2 + 1:
        effects.append(Tell("keeper", Adopt(roster, True)))
        effects.append(Note(f"caught up from {', '.join(whole)}; voting in epoch {roster.epoch}"))
    return state, tuple(effects)


def _replace(state: State, nowMs: Ms) -> tuple[State, Effects]:
    """Swap a member that has been silent for a blank disk that is here.

    Only where one alone is silent and none of the others hears it: a member behind a cut is
    not a lost one, and the newcomer needs a majority of the old members to copy from.
    """
    roster = state.roster
    assert roster is not None
    if state.proposing and nowMs - state.proposedMs < SILENT_MS:
        return state, ()
    if nowMs - state.startedMs < SILENT_MS:
        return state, ()
    silent = [
        m
        for m in roster.ids
        if m != state.me and (m not in state.signs or nowMs - state.signs[m].atMs > SILENT_MS)
    ]
    blanks = sorted(
        n
        for n, s in state.signs.items()
        if s.blank
        and n not in roster.ids
        and s.address
        and nowMs - s.atMs < 2 * ALIVE_MS + 200
        and nowMs - s.sinceMs >= CANDIDATE_MS
    )
    waitsToVote = any(
        not state.signs[m].votes for m in roster.ids if m in state.signs and m not in silent
    )
    heard = (
        any(
            silent[0] in state.signs[m].hears
            for m in roster.ids
            if m in state.signs and m not in silent
        )
        if silent
        else False
    )
    if len(silent) != 1 or heard or not blanks or waitsToVote:
        return state, ()
    newcomer = MemberId(blanks[0])
    members = tuple(
        (newcomer, state.signs[newcomer].address) if m == silent[0] else (m, a)
        for m, a in roster.members
    )
    new = Roster(Epoch(roster.epoch + 1), members, roster.ids, newcomer)
    opId = f"roster/{state.me}/{state.draws + 1}"
    # The register's version is the epoch less one: epoch 1 was founded, not written.
    ask = Ask(opId, ROSTER, Swap(roster.epoch - 1, packRoster(new)), "steward")
    state = replace(state, proposing=opId, proposedMs=nowMs, draws=state.draws + 1)
    return state, (Tell("proposer", ask),)


def _proposed(state: State, outcome: str, version: int, value: bytes) -> tuple[State, Effects]:
    state = replace(state, proposing="")
    if outcome != "done" or not value:
        return state, ()
    roster = unpackRoster(value)
    ids = sorted(set(roster.ids) | set(roster.previous))
    return state, tuple(Send(m, RosterNews(value)) for m in ids)
