"""The keeper: one member's promises and acceptances, answered only once they are synced.

What was asked while a sync runs waits for the next one, so syncs are grouped. Questions
(probes, fetches) are answered from what is synced, never from what is on its way.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effect, Effects, From, Launch, Note, Send, Tell, Tick
from spokeroute.dial.ids import PLACEMENT, SPREAD, Ballot, MemberId, Ms, NodeId
from spokeroute.register.cells import EMPTY, Cell, Roster, ballotOf
from spokeroute.trunk.messages import (
    Accept,
    Accepted,
    Copy,
    CopyAsk,
    CopyCell,
    CopyPart,
    FetchAsk,
    FetchGot,
    HandOver,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
)

COPY_PAGE_BYTES = 1024 * 1024
COPY_PAGE_CELLS = 500
INLINE_BYTES = 128 * 1024
CLAIM_KEEP_MS = 900_000
AGE_EVERY_MS = 10_000


@dataclass(frozen=True, slots=True)
class DiskWrite:
    """A job for the disk's thread: put these cells and sync, drop those names."""

    batch: int
    cells: tuple[tuple[str, Cell], ...]
    drops: tuple[str, ...]
    roster: Roster | None
    votes: bool


@dataclass(frozen=True, slots=True)
class DiskDone:
    """A batch is synced."""

    batch: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """A batch could not be written: this member stops voting."""

    reason: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """From the steward: a chosen roster, and whether this member votes under it."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class Adopted:
    """To the steward: the roster is on disk."""

    roster: Roster
    votes: bool


@dataclass(frozen=True, slots=True)
class TakeCells:
    """From the steward: cells copied from an old member while joining."""

    cells: tuple[CopyCell, ...]


@dataclass(frozen=True, slots=True)
class AbsentNow:
    """From placement: instances on the floor that are gone or going by the newest listing."""

    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HandTo:
    """From the proposer: hand this chosen copy to a member that missed it."""

    member: NodeId
    copy: Copy


@dataclass(frozen=True, slots=True)
class State:
    """The cells in memory, those on disk, and who waits for the next sync."""

    me: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell] = field(default_factory=Map)
    synced: Map[str, Cell] = field(default_factory=Map)
    dirty: frozenset[str] = frozenset()
    waiting: tuple[Effect, ...] = ()
    drops: tuple[str, ...] = ()
    metaDirty: bool = False
    writing: DiskWrite | None = None
    writingReplies: tuple[Effect, ...] = ()
    syncedRoster: Roster | None = None
    syncedVotes: bool = False
    batch: int = 0
    writingMs: Ms = Ms(0)  # since when the present sync runs
    syncMs: int = 0  # how long the last one took
    failed: bool = False
    whole: bool = False  # it voted in this process's life, so it has all that it accepted
    born: Map[str, Ms] = field(default_factory=Map)  # claims, by this process's clock
    ageMs: Ms = Ms(0)
    absent: tuple[str, ...] = ()

    @property
    def epoch(self) -> int:
        """The epoch this member is at; 0 without a roster.

        Example:
            State(me, None, False).epoch == 0
        """
        return self.roster.epoch if self.roster else 0


def start(me: MemberId, roster: Roster | None, votes: bool, cells: Map[str, Cell]) -> State:
    """The state as the disk has it.

    Example:
        start(MemberId("m1"), None, False, Map()).epoch == 0
    """
    return State(
        me,
        roster,
        votes,
        cells=cells,
        synced=cells,
        syncedRoster=roster,
        syncedVotes=votes,
        whole=votes,
    )


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The keeper's core.

    Example:
        state, effects = step(state, From(node, incarnation, prepare), nowMs)
    """
    if state.failed:
        return state, ()
    match event:
        case From(node, _, Prepare() as ask):
            return _stamped(_flush(_prepare(state, node, ask)), nowMs)
        case From(node, _, Accept() as ask):
            return _stamped(_flush(_accept(state, node, ask)), nowMs)
        case From(_, _, HandOver(epoch, copy, value)):
            return _flush(_handed(state, epoch, copy, value))
        case From(node, _, Probe() as probe):
            return state, _probe(state, node, probe)
        case From(node, _, FetchAsk(name, version, digest)):
            cell = state.synced.get(name, EMPTY)
            if cell.version == version and cell.digest == digest:
                return state, (Send(node, FetchGot(cell.copy(name), cell.value)),)
        case From(node, _, CopyAsk(epoch, after)):
            if state.syncedRoster and state.syncedRoster.epoch == epoch and state.whole:
                return state, (Send(node, _page(state, epoch, after)),)
        case HandTo(member, copy):
            cell = state.synced.get(copy.name, EMPTY)
            if cell.accepted == ballotOf(copy):
                hand = HandOver(state.epoch, copy, cell.value)
                return state, (Send(member, hand),)
        case Adopt(roster, votes):
            if state.roster and (roster.epoch, votes) < (state.roster.epoch, state.votes):
                return state, ()
            done = Tell("steward", Adopted(roster, votes))
            whole = state.whole or votes
            state = replace(state, roster=roster, votes=votes, whole=whole, metaDirty=True)
            return _flush(replace(state, waiting=(*state.waiting, done)))
        case TakeCells(cells):
            for taken in cells:
                state = _taken(state, taken)
            return _flush(state)
        case AbsentNow(instances):
            return replace(state, absent=instances), ()
        case Tick() if nowMs >= state.ageMs:
            return _flush(_aged(state, nowMs))
        case DiskDone(batch) if state.writing and state.writing.batch == batch:
            return _stamped(_flushed(replace(state, syncMs=nowMs - state.writingMs)), nowMs)
        case DiskFailed(reason):
            text = f"the disk refused a write ({reason}): this member stops voting; free the disk"
            return replace(state, failed=True), (Note(text, alarm=True),)
    return state, ()


def _prepare(state: State, node: NodeId, ask: Prepare) -> State:
    ballot = Ballot(ask.counter, MemberId(ask.member))
    cell = state.cells.get(ask.name, EMPTY)
    if ask.epoch != state.epoch or not state.votes:
        return state
    ok = ballot > cell.promised
    if ok:
        cell = replace(cell, promised=ballot)
        state = _put(state, ask.name, cell)
    promise = Promise(
        ask.epoch, ask.name, ask.counter, ask.member, ok,
        cell.promised.counter, cell.copy(ask.name), cell.value,
    )  # fmt: skip
    return replace(state, waiting=(*state.waiting, Send(node, promise)))


def _accept(state: State, node: NodeId, ask: Accept) -> State:
    copy = ask.copy
    ballot = ballotOf(copy)
    cell = state.cells.get(copy.name, EMPTY)
    if ask.epoch != state.epoch or not state.votes:
        return state
    ok = ballot >= cell.promised
    if ok:
        cell = Cell(ballot, ballot, copy.version, copy.digest, ask.value)
        state = _put(state, copy.name, cell)
    done = Accepted(ask.epoch, copy.name, copy.counter, copy.member, ok, cell.promised.counter)
    return replace(state, waiting=(*state.waiting, Send(node, done)))


def _handed(state: State, epoch: int, copy: Copy, value: bytes) -> State:
    cell = state.cells.get(copy.name, EMPTY)
    ballot = ballotOf(copy)
    if epoch != state.epoch or ballot < cell.promised or ballot <= cell.accepted:
        return state
    return _put(state, copy.name, Cell(ballot, ballot, copy.version, copy.digest, value))


def _taken(state: State, got: CopyCell) -> State:
    name = got.accepted.name
    cell = state.cells.get(name, EMPTY)
    promised = max(cell.promised, Ballot(got.promisedCounter, MemberId(got.promisedMember)))
    accepted = ballotOf(got.accepted)
    if accepted > cell.accepted:
        cell = Cell(promised, accepted, got.accepted.version, got.accepted.digest, got.value)
    return _put(state, name, replace(cell, promised=promised))


def _put(state: State, name: str, cell: Cell) -> State:
    return replace(state, cells=state.cells.set(name, cell), dirty=state.dirty | {name})


def _aged(state: State, nowMs: Ms) -> State:
    """Let claims go that have been here, by running time, for longer than any repeat."""
    born = state.born.mutate()
    cells = state.cells.mutate()
    drops: list[str] = []
    for name in state.cells:
        if name.startswith("claim/"):
            sinceMs = born.get(name)
            if sinceMs is None:
                born[name] = nowMs
            elif nowMs - sinceMs > CLAIM_KEEP_MS:
                drops.append(name)
                del born[name]
                del cells[name]
    return replace(
        state,
        born=born.finish(),
        cells=cells.finish(),
        dirty=state.dirty.difference(drops),
        drops=(*state.drops, *drops),
        ageMs=Ms(nowMs + AGE_EVERY_MS),
    )


def _probe(state: State, node: NodeId, probe: Probe) -> Effects:
    if state.syncedRoster is None or not state.syncedVotes:
        return ()
    copies = tuple(state.synced.get(name, EMPTY).copy(name) for name in (*SPREAD, PLACEMENT))
    values = tuple(
        FetchGot(copy, state.synced[copy.name].value)
        for copy in copies
        if copy.version
        and copy.digest not in probe.have
        and len(state.synced[copy.name].value) <= INLINE_BYTES
        and copy.name != PLACEMENT
    )
    ack = ProbeAck(probe.nonce, state.syncedRoster.epoch, copies, values, state.absent)
    return (Send(node, ack),)


def _page(state: State, epoch: int, after: str) -> CopyPart:
    cells: list[CopyCell] = []
    sizeBytes = 0
    names = sorted(n for n in state.synced if n > after)
    for name in names:
        cell = state.synced[name]
        cells.append(
            CopyCell(cell.promised.counter, cell.promised.member, cell.copy(name), cell.value)
        )
        sizeBytes += len(cell.value)
        if sizeBytes > COPY_PAGE_BYTES or len(cells) >= COPY_PAGE_CELLS:
            return CopyPart(epoch, after, tuple(cells), name)
    return CopyPart(epoch, after, tuple(cells), "")


def _flush(state: State) -> tuple[State, Effects]:
    """Start a sync when none runs; replies that need none go out with the next."""
    if state.writing is not None:
        return state, ()
    if not (state.dirty or state.metaDirty or state.drops):
        return replace(state, waiting=()), state.waiting
    batch = state.batch + 1
    cells = tuple((name, state.cells[name]) for name in sorted(state.dirty) if name in state.cells)
    write = DiskWrite(batch, cells, state.drops, state.roster, state.votes)
    state = replace(
        state,
        batch=batch,
        writing=write,
        writingReplies=state.waiting,
        waiting=(),
        dirty=frozenset(),
        drops=(),
        metaDirty=False,
    )
    return state, (Launch(write),)


def _stamped(done: tuple[State, Effects], nowMs: Ms) -> tuple[State, Effects]:
    state, effects = done
    if any(isinstance(e, Launch) for e in effects):
        state = replace(state, writingMs=nowMs)
    return state, effects


def _flushed(state: State) -> tuple[State, Effects]:
    write = state.writing
    assert write is not None
    synced = state.synced.mutate()
    for name, cell in write.cells:
        synced[name] = cell
    for name in write.drops:
        synced.pop(name, None)
    replies = state.writingReplies
    state = replace(
        state,
        synced=synced.finish(),
        writing=None,
        writingReplies=(),
        syncedRoster=write.roster,
        syncedVotes=write.votes,
    )
    state, effects = _flush(state)
    return state, (*replies, *effects)
