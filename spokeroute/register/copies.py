"""Copies of the spread registers, and the proof that they are the newest.

A process asks the core's members for their synced versions. When a majority answers a
question sent at T and names the same ballot for a register, that value is chosen and
nothing newer was chosen before T. The copies then rule for the lease, counted from T.
Without a proof they rule nothing. Gossip only brings copies sooner.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Launch, Send, Tell, Tick
from spokeroute.dial.ids import DESIRED_STATE, ROSTER, SPREAD, Ms, NodeId
from spokeroute.register.cells import Roster, ballotOf, unpackRoster
from spokeroute.register.proposer import Chosen
from spokeroute.trunk.colleagues import CopiesNow, GossipHeard, ViewNow
from spokeroute.trunk.messages import (
    Copy,
    DemandReport,
    FetchAsk,
    FetchGot,
    Finish,
    HeldReport,
    Probe,
    ProbeAck,
    RosterNews,
    Took,
)

PROBE_MS = 400
URGENT_MS = 150
LEASE_MS = 2_000
FINISH_MS = 900
OPEN_PROBES = 8


@dataclass(frozen=True, slots=True)
class Compile:
    """A job for an edge thread: read a desired state into tables."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class Compiled:
    """The tables of a desired state."""

    copy: Copy
    value: bytes
    table: object


@dataclass(frozen=True, slots=True)
class Reports:
    """From the calls' core: what goes to the core with the next probe."""

    held: tuple[HeldReport, ...]
    demand: tuple[DemandReport, ...]
    took: tuple[Took, ...] = ()
    leaving: bool = False
    busy: tuple[str, ...] = ()
    urgent: bool = False  # calls wait for an instance: ask sooner


@dataclass(frozen=True, slots=True)
class Fresh:
    """To whoever decides: these copies were the newest at ``asOfMs``; ``absent`` instances
    are gone or going by a listing that some member read since."""

    asOfMs: Ms
    versions: Mapping[str, int]
    values: Mapping[str, bytes]
    table: object
    changed: bool
    absent: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Asked:
    """One probe and its answers."""

    sentMs: Ms
    acks: Map[str, ProbeAck] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class Got:
    """A copy that is here."""

    copy: Copy
    value: bytes
    table: object = None


@dataclass(frozen=True, slots=True)
class State:
    """What this process holds and what it can prove."""

    listeners: tuple[str, ...]
    roster: Roster | None = None
    registries: tuple[NodeId, ...] = ()
    probes: Map[int, Asked] = field(default_factory=Map)
    nonce: int = 0
    nextMs: Ms = Ms(0)
    ruling: Map[str, Got] = field(default_factory=Map)
    here: Map[str, Got] = field(default_factory=Map)  # newest fetched, perhaps not yet proved
    target: Map[str, Copy] = field(default_factory=Map)
    targetMs: Ms = Ms(-1)
    source: NodeId = NodeId("")
    provedMs: Ms = Ms(-1)
    reports: Reports = Reports((), ())
    fetchingMs: Map[str, Ms] = field(default_factory=Map)
    compiling: str = ""
    absentOf: Map[str, tuple[Ms, tuple[str, ...]]] = field(default_factory=Map)  # by member


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The copies' core.

    Example:
        state, effects = step(State(("calls",)), Tick(), nowMs)
    """
    match event:
        case Tick() if nowMs >= state.nextMs:
            return _probe(state, nowMs)
        case From(node, _, ProbeAck() as ack):
            return _acked(state, node, ack, nowMs)
        case From(node, _, FetchGot(copy, value)):
            return _arrived(state, copy, value, nowMs)
        case Chosen(copy, value):
            return _arrived(state, copy, value, nowMs)
        case Compiled(copy, value, table):
            state = _keep(replace(state, compiling=""), Got(copy, value, table))
            return _prove(state)
        case From(node, _, FetchAsk(name, version, digest)):
            got = state.ruling.get(name)
            if got and got.copy.version == version and got.copy.digest == digest:
                return state, (Send(node, FetchGot(got.copy, got.value)),)
        case GossipHeard(node, copies):
            return _heard(state, node, copies, nowMs)
        case From(_, _, RosterNews(value)):
            roster = unpackRoster(value)
            if state.roster is None or roster.epoch > state.roster.epoch:
                return replace(state, roster=roster, probes=Map()), ()
        case ViewNow(known):
            found = tuple(NodeId(e.node) for e in known if e.role == "registry")
            return replace(state, registries=found), ()
        case Reports() as reports:
            nextMs = state.nextMs
            if reports.urgent:
                nextMs = Ms(nextMs - PROBE_MS + URGENT_MS)
            return replace(state, reports=reports, nextMs=nextMs), ()
    return state, ()


def _probe(state: State, nowMs: Ms) -> tuple[State, Effects]:
    nonce = state.nonce + 1
    epoch = state.roster.epoch if state.roster else 0
    have = tuple(got.copy.digest for got in state.here.values())
    said = state.reports
    ask = Probe(nonce, epoch, have, said.held, said.demand, said.took, said.leaving, said.busy)
    to = state.roster.ids if state.roster else state.registries
    probes = state.probes.set(nonce, Asked(nowMs))
    if nonce - OPEN_PROBES in probes:
        probes = probes.delete(nonce - OPEN_PROBES)
    effects: list[Effect] = [Send(node, ask) for node in to]
    last = state.probes.get(nonce - 1)
    stuck = nowMs - state.provedMs > FINISH_MS
    if stuck and last is not None and state.roster and len(last.acks) >= state.roster.majority:
        agreed = _agreed(state.roster, last)
        helper = sorted(last.acks)[nonce % len(last.acks)]
        effects.extend(Send(NodeId(helper), Finish(n)) for n in SPREAD if n not in agreed)
    state = replace(state, nonce=nonce, nextMs=Ms(nowMs + PROBE_MS), probes=probes)
    return state, tuple(effects)


def _agreed(roster: Roster, asked: Asked) -> dict[str, Copy]:
    """The registers for which a majority named one ballot."""
    found: dict[str, Copy] = {}
    for name in SPREAD:
        counts: dict[tuple[int, str], int] = {}
        for ack in asked.acks.values():
            for copy in ack.copies:
                if copy.name == name:
                    key = (copy.counter, copy.member)
                    counts[key] = counts.get(key, 0) + 1
                    if counts[key] >= roster.majority:
                        found[name] = copy
    return found


def _acked(state: State, node: NodeId, ack: ProbeAck, nowMs: Ms) -> tuple[State, Effects]:
    roster, asked = state.roster, state.probes.get(ack.nonce)
    if roster is None or asked is None or ack.epoch != roster.epoch or node not in roster.ids:
        return state, ()
    state = replace(state, absentOf=state.absentOf.set(node, (asked.sentMs, ack.absent)))
    early: list[Effect] = []
    for got in ack.values:
        state, more = _arrived(state, got.copy, got.value, nowMs)
        early.extend(more)
    state, effects = _weighed(state, roster, node, replace(asked, acks=asked.acks.set(node, ack)),
                              ack.nonce, nowMs)  # fmt: skip
    return state, (*early, *effects)


def _weighed(
    state: State, roster: Roster, node: NodeId, asked: Asked, nonce: int, nowMs: Ms
) -> tuple[State, Effects]:
    state = replace(state, probes=state.probes.set(nonce, asked))
    if len(asked.acks) < roster.majority or asked.sentMs <= state.targetMs:
        return state, ()
    agreed = _agreed(roster, asked)
    if len(agreed) < len(SPREAD):
        return state, ()
    state = replace(state, target=Map(agreed), targetMs=asked.sentMs, source=node)
    state, effects = _fetchMissing(state, tuple(agreed.values()), node, nowMs)
    state, more = _prove(state)
    return state, (*effects, *more)


def _same(a: Copy, b: Copy) -> bool:
    return a.version == b.version and a.digest == b.digest


def _fetchMissing(
    state: State, copies: tuple[Copy, ...], node: NodeId, nowMs: Ms
) -> tuple[State, Effects]:
    effects: list[Effect] = []
    for copy in copies:
        got = state.here.get(copy.name)
        if copy.version == 0 or (got and _same(got.copy, copy)) or state.compiling == copy.digest:
            continue
        ruling = state.ruling.get(copy.name)
        if ruling and ruling.copy.version >= copy.version:
            continue
        if nowMs - state.fetchingMs.get(copy.name, Ms(-1000)) < PROBE_MS:
            continue
        state = replace(state, fetchingMs=state.fetchingMs.set(copy.name, nowMs))
        effects.append(Send(node, FetchAsk(copy.name, copy.version, copy.digest)))
    return state, tuple(effects)


def _heard(
    state: State, node: NodeId, copies: tuple[Copy, ...], nowMs: Ms
) -> tuple[State, Effects]:
    newer: list[Copy] = []
    for copy in copies:
        got = state.here.get(copy.name)
        if got is None or copy.version > got.copy.version:
            newer.append(copy)
    return _fetchMissing(state, tuple(newer), node, nowMs)


def _arrived(state: State, copy: Copy, value: bytes, nowMs: Ms) -> tuple[State, Effects]:
    got = state.here.get(copy.name)
    if got and got.copy.version >= copy.version:
        wanted = state.target.get(copy.name)
        if _same(got.copy, copy) or wanted is None or not _same(wanted, copy):
            return state, ()
    if copy.name == DESIRED_STATE:
        if state.compiling == copy.digest:
            return state, ()
        return replace(state, compiling=copy.digest), (Launch(Compile(copy, value)),)
    return _prove(_keep(state, Got(copy, value)))


def _keep(state: State, got: Got) -> State:
    return replace(state, here=state.here.set(got.copy.name, got))


def _prove(state: State) -> tuple[State, Effects]:
    """If all that the newest proof names is here, it rules from that proof's time."""
    if state.targetMs <= state.provedMs:
        return state, ()
    ruling = state.ruling
    for name, copy in state.target.items():
        if copy.version == 0:
            continue
        old, got = ruling.get(name), state.here.get(name)
        if got is None or not _same(got.copy, copy):
            if old is None or not _same(old.copy, copy):
                return state, ()
            continue
        if old is None or old.copy.version < copy.version:
            ruling = ruling.set(name, replace(got, copy=copy))
        elif not _same(old.copy, copy):
            return state, ()  # never back to an older one
        elif ballotOf(old.copy) != ballotOf(copy):
            ruling = ruling.set(name, replace(old, copy=copy))
    changed = any(
        name not in state.ruling or not _same(state.ruling[name].copy, got.copy)
        for name, got in ruling.items()
    )
    state = replace(state, ruling=ruling, provedMs=state.targetMs)
    fresh = freshOf(state, changed)
    effects: list[Effect] = [Tell(name, fresh) for name in state.listeners]
    if changed:
        copies = tuple(ruling[n].copy for n in sorted(ruling))
        effects.append(Tell("colleagues", CopiesNow(copies)))
        if ROSTER in ruling:
            roster = unpackRoster(ruling[ROSTER].value)
            if state.roster is None or roster.epoch > state.roster.epoch:
                state = replace(state, roster=roster, probes=Map())
    return state, tuple(effects)


def freshOf(state: State, changed: bool) -> Fresh:
    """What the ruling copies say, for whoever decides.

    Example:
        freshOf(State(()), False).versions == {}
    """
    table = state.ruling[DESIRED_STATE].table if DESIRED_STATE in state.ruling else None
    return Fresh(
        state.provedMs,
        {name: got.copy.version for name, got in state.ruling.items()},
        {name: got.value for name, got in state.ruling.items() if name != DESIRED_STATE},
        table,
        changed,
        frozenset(
            name
            for sentMs, names in state.absentOf.values()
            if state.provedMs - sentMs < LEASE_MS
            for name in names
        ),
    )
