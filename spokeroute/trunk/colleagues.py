"""Colleagues: partial views shuffled between neighbours, and gossip of versions.

Each process keeps a bounded view. Every period it hands a part of it to a neighbour and
takes a part back; the news ages, and what is too old is forgotten. Versions of the spread
registers travel with it, and a process that lacks a newer one fetches it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import (
    Directory,
    Effect,
    Effects,
    From,
    Send,
    SendAddress,
    Tell,
    Tick,
)
from spokeroute.dial.ids import Address, Ms, NodeId
from spokeroute.trunk.messages import Copy, Shuffle, ViewEntry
from spokeroute.trunk.process import Me

PERIOD_MS = 500
FORGET_MS = 12_000
VIEW_SIZE = 24
PART_SIZE = 8


@dataclass(frozen=True, slots=True)
class Known:
    """A colleague and when the newest news of it was true."""

    entry: ViewEntry
    asOfMs: Ms


@dataclass(frozen=True, slots=True)
class CopiesNow:
    """From the owner of the copies: the versions this process may spread."""

    copies: tuple[Copy, ...]


@dataclass(frozen=True, slots=True)
class GossipHeard:
    """To the owner of the copies: a neighbour knows these versions."""

    node: NodeId
    copies: tuple[Copy, ...]


@dataclass(frozen=True, slots=True)
class ViewNow:
    """To whoever asked for views: the colleagues known now."""

    known: tuple[ViewEntry, ...]


@dataclass(frozen=True, slots=True)
class State:
    """This process's partial view."""

    me: Me
    seeds: tuple[Address, ...]
    seed: int
    listeners: tuple[str, ...]
    copiesOwner: str
    view: Map[str, Known] = field(default_factory=Map)
    copies: tuple[Copy, ...] = ()
    nextMs: Ms = Ms(0)
    rounds: int = 0


def mine(state: State) -> ViewEntry:
    """This process's own entry.

    Example:
        mine(state).ageMs == 0
    """
    me = state.me
    return ViewEntry(me.node, me.incarnation, me.address, me.role, me.locality, 0)


def merge(state: State, entries: tuple[ViewEntry, ...], nowMs: Ms) -> State:
    """Take newer news in; forget the oldest past the view's size. Core nodes stay.

    Example:
        state = merge(state, shuffle.entries, nowMs)
    """
    view = state.view
    for entry in entries:
        asOfMs = Ms(nowMs - max(0, entry.ageMs))
        if entry.node == state.me.node or nowMs - asOfMs > FORGET_MS:
            continue
        old = view.get(entry.node)
        if old is None or old.asOfMs < asOfMs:
            view = view.set(entry.node, Known(entry, asOfMs))
    return replace(state, view=_trim(view, nowMs))


def _trim(view: Map[str, Known], nowMs: Ms) -> Map[str, Known]:
    for name, known in view.items():
        if nowMs - known.asOfMs > FORGET_MS:
            view = view.delete(name)
    if len(view) > VIEW_SIZE:
        fronts = [k for k in view.values() if k.entry.role != "registry"]
        fronts.sort(key=lambda k: (k.asOfMs, k.entry.node))
        for known in fronts[: len(view) - VIEW_SIZE]:
            view = view.delete(known.entry.node)
    return view


def part(state: State, nowMs: Ms, rng: random.Random) -> tuple[ViewEntry, ...]:
    """The part of the view that goes out: self, every core node, and a few at random.

    Example:
        part(state, nowMs, random.Random(1))[0].node == state.me.node
    """
    aged = [replace(k.entry, ageMs=nowMs - k.asOfMs) for k in state.view.values()]
    core = [e for e in aged if e.role == "registry"]
    rest = sorted((e for e in aged if e.role != "registry"), key=lambda e: e.node)
    return (mine(state), *core, *rng.sample(rest, min(PART_SIZE, len(rest))))


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The colleagues' core.

    Example:
        state, effects = step(state, Tick(), nowMs)
    """
    match event:
        case Tick() if nowMs >= state.nextMs:
            return _round(state, nowMs)
        case From(node, _, Shuffle(entries, copies, wantsReply)):
            rng = random.Random(f"{state.seed}/{state.rounds}/{node}")
            answer = Shuffle(part(state, nowMs, rng), state.copies, False)
            state = merge(state, entries, nowMs)
            effects: list[Effect] = _published(state)
            effects.append(Tell(state.copiesOwner, GossipHeard(node, copies)))
            if wantsReply:
                effects.append(Send(node, answer))
            return state, tuple(effects)
        case CopiesNow(copies):
            return replace(state, copies=copies), ()
    return state, ()


def _published(state: State) -> list[Effect]:
    known = tuple(sorted((k.entry for k in state.view.values()), key=lambda e: e.node))
    book = tuple((NodeId(e.node), Address(e.address)) for e in known)
    effects: list[Effect] = [Directory(book)]
    effects.extend(Tell(name, ViewNow(known)) for name in state.listeners)
    return effects


def _round(state: State, nowMs: Ms) -> tuple[State, Effects]:
    rng = random.Random(f"{state.seed}/{state.rounds}")
    state = replace(
        state,
        nextMs=Ms(nowMs + PERIOD_MS),
        rounds=state.rounds + 1,
        view=_trim(state.view, nowMs),
    )
    news = Shuffle(part(state, nowMs, rng), state.copies, True)
    effects: list[Effect] = _published(state)
    names = sorted(state.view)
    if names:
        effects.append(Send(NodeId(rng.choice(names)), news))
    if len(names) < 3 or state.rounds % 4 == 0:
        targets = [a for a in state.seeds if a != state.me.address]
        if targets:
            effects.append(SendAddress(rng.choice(targets), news))
    return state, tuple(effects)
