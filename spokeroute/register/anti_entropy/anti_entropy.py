"""Anti-entropy: a voting member fetches from the others what it lacks or has in an older version.

When it starts, after a silence, when its store was reopened, and otherwise rarely, a member sends
its digests to each other member in turn. Where buckets differ, it lists what it has there and is
sent what is newer, one page at a time. It asks for the next page once the previous one is synced,
and after a pause of half the time which that page took. Between pages nothing is remembered except
what is on disk, so an interrupted transfer resumes where it stopped, from whichever member answers.

What is sent is the accept of an earlier ballot of the same epoch, delivered late. The acceptor
accepts it by the same rule as a proposer's, so it need not be known whether the value was chosen.
"""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effect, Effects, From, Note, Send, Tell, Tick
from spokeroute.common.ids import NO_BALLOT, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.anti_entropy.cell_index import (
    CellsReloaded,
    CellsSynced,
    bucket_of,
    index_of,
)
from spokeroute.register.anti_entropy.page import MAX_PAGE_BYTES, MIN_PAGE_BYTES, page_of
from spokeroute.register.anti_entropy.state import (
    LastHeartbeat,
    PartialValue,
    Transfer,
    all_due,
    others_of,
)
from spokeroute.register.anti_entropy.state import State as State
from spokeroute.register.anti_entropy.state import start as start
from spokeroute.register.cells import EMPTY, ballot_of, digest_of
from spokeroute.register.changes import Ask, Renew
from spokeroute.transport.anti_entropy_messages import (
    CellPiece,
    CellsAsk,
    CellsPart,
    DigestAsk,
    DigestDiffers,
    HeldCell,
)
from spokeroute.transport.messages import HandOver, Heartbeat

SILENCE_MS = 1_500  # a member that was silent for so long, or heard nobody, has missed something
RECOVERY_WAIT_MS = 3_000  # before a returning member is asked: time to catch up itself
ROUTINE_INTERVAL_MS = 30_000
ANSWER_TIMEOUT_MS = 1_000
SYNC_TIMEOUT_MS = 2_000  # a page that is not on disk by then was refused in part
RENEW_TIMEOUT_MS = 2_000
REFUSED_WAIT_MS = 1_000  # a round in progress delivers its own accept by then
MAX_REWRITTEN = 64  # registers in one transfer
MAX_ATTEMPTS = 3
FAST_PAGE_MS, SLOW_PAGE_MS = 60, 250  # faster pages are followed by larger ones, slower by smaller
MAX_REST_MS = 500
HELD_BYTES = 64  # size of a register's entry in a request, which is no larger than a page
NO_PARTIAL = HeldCell("", 0, "")


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """Handles one event of anti-entropy.

    Example:
        state, effects = step(state, Tick(), now_ms)
    """
    match event:
        case CellsSynced() as synced:
            return _synced(state, synced, now_ms)
        case From(node, _, Heartbeat() as heartbeat):
            return _heartbeat_received(state, node, heartbeat, now_ms), ()
        case CellsReloaded(cells, roster, votes):
            state = replace(state, cells=cells, index=index_of(cells), roster=roster, votes=votes)
            return replace(state, due=all_due(state), transfer=None, partial=None), ()
        case From(node, _, DigestAsk(epoch, number, digests)) if _may_answer(state, epoch):
            differs = DigestDiffers(epoch, number, state.index.differs(digests))
            return state, (Send(node, differs),)
        case From(node, _, CellsAsk() as ask) if _may_answer(state, ask.epoch):
            return state, (Send(node, page_of(state.cells, state.born, state.index, ask, now_ms)),)
        case From(node, _, DigestDiffers(epoch, number, buckets)) if _awaited(state, node, number):
            transfer = state.transfer
            if transfer is None or transfer.buckets is not None or epoch != state.epoch:
                return state, ()
            transfer = replace(transfer, buckets=buckets, awaiting_answer=False, attempts=0)
            return _continue_transfer(replace(state, transfer=transfer), now_ms)
        case From(node, _, CellsPart() as page) if _awaited(state, node, page.number):
            return _page_received(state, page, now_ms)
        case Tick():
            return _tick(state, now_ms)
    return state, ()


def _may_answer(state: State, epoch: int) -> bool:
    return state.votes and epoch == state.epoch and epoch > 0


def _awaited(state: State, node: NodeId, number: int) -> bool:
    transfer = state.transfer
    return bool(
        transfer and transfer.awaiting_answer and transfer.source == node and number == state.number
    )


def _synced(state: State, synced: CellsSynced, now_ms: Ms) -> tuple[State, Effects]:
    joined = synced.votes and not state.votes
    epoch_changed = synced.roster is not None and synced.roster.epoch != state.epoch
    state = replace(
        state,
        roster=synced.roster,
        votes=synced.votes,
        cells=synced.cells,
        born=synced.born,
        index=state.index.with_changes(synced.names, synced.cells),
    )
    if joined or epoch_changed:
        return replace(state, due=all_due(state), transfer=None), ()
    transfer = state.transfer
    if transfer is None or not transfer.unsynced:
        return state, ()
    unsynced = transfer.unsynced
    for name in synced.names:
        if name in unsynced and synced.cells.get(name, EMPTY).accepted >= unsynced[name]:
            unsynced = unsynced.delete(name)
    return _continue_transfer(replace(state, transfer=replace(transfer, unsynced=unsynced)), now_ms)


def _heartbeat_received(state: State, node: NodeId, heartbeat: Heartbeat, now_ms: Ms) -> State:
    old = state.heartbeats.get(node)
    others_heard = [
        h for n, h in state.heartbeats.items() if n != node and now_ms - h.at_ms <= SILENCE_MS
    ]
    state = replace(
        state,
        heartbeats=state.heartbeats.set(
            node, LastHeartbeat(now_ms, heartbeat.epoch, heartbeat.votes)
        ),
    )
    if old is None or now_ms - old.at_ms <= SILENCE_MS or node not in others_of(state):
        return state
    not_before_ms = Ms(now_ms + RECOVERY_WAIT_MS) if others_heard else now_ms
    return replace(state, due=state.due.set(node, not_before_ms))


def _tick(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if state.roster is None or not state.votes:
        return (replace(state, transfer=None) if state.transfer else state), ()
    if state.transfer is not None:
        return _check_transfer(state, state.transfer, now_ms)
    state = _with_routine_comparison(state, now_ms)
    for source in sorted(state.due, key=lambda n: (state.due[n], n)):
        heartbeat = state.heartbeats.get(source)
        present = heartbeat is not None and now_ms - heartbeat.at_ms <= SILENCE_MS
        ready = present and now_ms >= state.due[source]
        if heartbeat and ready and heartbeat.votes and heartbeat.epoch == state.epoch:
            return _start_transfer(replace(state, due=state.due.delete(source)), source, now_ms)
    return state, ()


def _with_routine_comparison(state: State, now_ms: Ms) -> State:
    """Marks one of the other members, each in turn, as due at a long interval."""
    if state.next_routine_ms < 0:
        return replace(state, next_routine_ms=Ms(now_ms + ROUTINE_INTERVAL_MS))
    others = others_of(state)
    if now_ms < state.next_routine_ms or not others:
        return state
    node = others[(now_ms // ROUTINE_INTERVAL_MS) % len(others)]
    due = state.due.set(node, state.due.get(node, now_ms))
    return replace(state, due=due, next_routine_ms=Ms(now_ms + ROUTINE_INTERVAL_MS))


def _start_transfer(state: State, source: NodeId, now_ms: Ms) -> tuple[State, Effects]:
    number = state.number + 1
    state = replace(state, number=number, transfer=Transfer(source, now_ms))
    return state, (Send(source, DigestAsk(state.epoch, number, state.index.packed())),)


def _check_transfer(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    """Retries with a smaller page when an answer is late. After ``MAX_ATTEMPTS`` it gives up, and
    other members come before this one."""
    if not transfer.awaiting_answer:
        return _continue_transfer(state, now_ms)
    if now_ms - transfer.asked_ms < ANSWER_TIMEOUT_MS * transfer.attempts:
        return state, ()
    state = replace(state, page_bytes=max(MIN_PAGE_BYTES, state.page_bytes // 2))
    if transfer.attempts >= MAX_ATTEMPTS:
        return replace(state, transfer=None, due=state.due.set(transfer.source, now_ms)), ()
    attempts = transfer.attempts + 1
    if transfer.buckets is None:
        state, effects = _start_transfer(state, transfer.source, now_ms)
        assert state.transfer is not None
        return replace(state, transfer=replace(state.transfer, attempts=attempts)), effects
    return _request_page(state, replace(transfer, attempts=attempts), now_ms)


def _continue_transfer(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Requests the next page once the previous one is on disk and the pause is over."""
    transfer = state.transfer
    if transfer is None or transfer.awaiting_answer or transfer.buckets is None:
        return state, ()
    if not transfer.buckets:
        return _end_transfer(state, transfer, now_ms)
    late = now_ms - transfer.asked_ms > SYNC_TIMEOUT_MS
    if now_ms < transfer.rest_until_ms or (transfer.unsynced and not late):
        return state, ()
    return _request_page(state, replace(transfer, unsynced=Map(), attempts=1), now_ms)


def _end_transfer(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    """Ends a transfer. A member that promised a ballot and never got its accept, which reads can
    cause, may not accept an earlier ballot. Registers that are still behind after a while are
    rewritten by a new round each."""
    behind = [
        name
        for name, ballot in sorted(transfer.refused.items())
        if state.cells.get(name, EMPTY).accepted < ballot
    ]
    if behind and now_ms - transfer.asked_ms < REFUSED_WAIT_MS:
        return state, ()
    state = replace(state, transfer=None, partial=None)
    effects: list[Effect] = []
    for name in behind[:MAX_REWRITTEN]:
        op_id = f"renew/{state.me}/{state.number}/{name}"
        effects.append(Tell("proposer", Ask(op_id, name, Renew(), "", RENEW_TIMEOUT_MS)))
    if transfer.stored:
        effects.append(Note(f"copied {transfer.stored} registers from {transfer.source}"))
    return state, tuple(effects)


def _request_page(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    buckets: list[int] = []
    have: list[HeldCell] = []
    for bucket in transfer.buckets or ():
        ballots = state.index.ballots(bucket)
        if have and (len(have) + len(ballots)) * HELD_BYTES > state.page_bytes:
            break
        buckets.append(bucket)
        known = dict(ballots.items())
        for name, ballot in transfer.received.get(bucket, Map()).items():
            known[name] = max(ballot, known.get(name, NO_BALLOT))
        have.extend(HeldCell(n, b.counter, b.member) for n, b in sorted(known.items()))
    partial = state.partial
    partial_cell = (
        HeldCell(partial.copy.name, partial.copy.counter, partial.copy.member)
        if partial
        else NO_PARTIAL
    )
    number = state.number + 1
    ask = CellsAsk(
        state.epoch, number, tuple(buckets), tuple(have), partial_cell,
        len(partial.data) if partial else 0, state.page_bytes,
    )  # fmt: skip
    transfer = replace(transfer, asked_ms=now_ms, awaiting_answer=True)
    return replace(state, number=number, transfer=transfer), (Send(transfer.source, ask),)


def _page_received(state: State, page: CellsPart, now_ms: Ms) -> tuple[State, Effects]:
    transfer = state.transfer
    if transfer is None or transfer.buckets is None or page.epoch != state.epoch:
        return state, ()
    effects: list[Effect] = []
    for piece in page.pieces:
        state, value = _assembled(state, piece)
        if value is None:
            continue
        copy, ballot = piece.copy, ballot_of(piece.copy)
        bucket = bucket_of(copy.name)
        received = transfer.received.get(bucket, Map()).set(copy.name, ballot)
        transfer = replace(transfer, received=transfer.received.set(bucket, received))
        cell = state.cells.get(copy.name, EMPTY)
        if ballot <= cell.accepted or digest_of(value) != copy.digest:
            continue  # already present, or corrupted in transit
        if ballot < cell.promised:
            refused = transfer.refused.set(copy.name, ballot)
            transfer = replace(transfer, refused=refused)
            continue
        unsynced = transfer.unsynced.set(copy.name, ballot)
        transfer = replace(transfer, unsynced=unsynced, stored=transfer.stored + 1)
        effects.append(Send(state.me, HandOver(page.epoch, copy, value, piece.age_ms)))
    took_ms = now_ms - transfer.asked_ms
    remaining = tuple(b for b in transfer.buckets or () if b not in page.done)
    rest_until_ms = Ms(now_ms + min(took_ms // 2, MAX_REST_MS))
    transfer = replace(
        transfer, buckets=remaining, awaiting_answer=False, rest_until_ms=rest_until_ms
    )
    state = replace(
        state, transfer=transfer, page_bytes=_next_page_bytes(state.page_bytes, took_ms)
    )
    state, more = _continue_transfer(state, now_ms)
    return state, (*effects, *more)


def _assembled(state: State, piece: CellPiece) -> tuple[State, bytes | None]:
    """Adds a piece; returns the complete value, or None while part of it is missing."""
    partial, data = state.partial, piece.data
    if piece.offset:
        if partial is None or partial.copy != piece.copy or len(partial.data) != piece.offset:
            return replace(state, partial=None), None
        data = partial.data + piece.data
    if len(data) < piece.total_bytes:
        return replace(state, partial=PartialValue(piece.copy, data)), None
    if partial is not None and partial.copy.name == piece.copy.name:
        state = replace(state, partial=None)
    return state, data


def _next_page_bytes(page_bytes: int, took_ms: int) -> int:
    """Returns the next page size: as large as the link carries without delaying other traffic."""
    if took_ms > SLOW_PAGE_MS:
        return max(MIN_PAGE_BYTES, page_bytes // 2)
    return min(MAX_PAGE_BYTES, page_bytes * 2) if took_ms < FAST_PAGE_MS else page_bytes
