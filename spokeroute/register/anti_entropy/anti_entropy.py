"""Anti-entropy: a voting member takes from the others what it lacks or has older.

At its start, after a silence, when its store was opened anew, and rarely otherwise, a member
sends its digests to each other member in turn. Where buckets differ, it names what it has there
and is handed what is newer, a page at a time: the next page is asked for once the one before is
synced, and after a rest of half as long as that page took. Nothing is remembered between pages but
what is on disk, so a transfer that was cut goes on where it was, from whichever member answers.

What is handed is the accept of an earlier ballot of the same epoch, delivered late: the acceptor
takes it by the same rule as a proposer's, so nothing has to be known to be chosen.
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
from spokeroute.register.anti_entropy.state import Heard, Part, Transfer, all_due, others_of
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

AWAY_MS = 1_500  # a member that was silent for so long, or heard nobody, has missed something
BACK_MS = 3_000  # a member that was away is asked once it had time to become whole itself
IDLE_MS = 30_000
ANSWER_MS = 1_000
SYNC_MS = 2_000  # a page that is not on disk by then was refused in part
RENEW_MS = 2_000
REFUSED_MS = 1_000  # a round that is open brings its own accept by then
MAX_REWRITTEN = 64  # in one transfer
TRIES = 3
QUICK_MS, SLOW_MS = 60, 250  # a page that took less is followed by a larger one
MAX_REST_MS = 500
HELD_BYTES = 64  # what a register takes to be named in an ask, which is no larger than a page
NOTHING = HeldCell("", 0, "")


def step(state: State, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """Anti-entropy's core.

    Example:
        state, effects = step(state, Tick(), now_ms)
    """
    match event:
        case CellsSynced() as synced:
            return _synced(state, synced, now_ms)
        case From(node, _, Heartbeat() as beat):
            return _heard(state, node, beat, now_ms), ()
        case CellsReloaded(cells, roster, votes):
            state = replace(state, cells=cells, index=index_of(cells), roster=roster, votes=votes)
            return replace(state, due=all_due(state), transfer=None, part=None), ()
        case From(node, _, DigestAsk(epoch, number, digests)) if _answers(state, epoch):
            differs = DigestDiffers(epoch, number, state.index.differs(digests))
            return state, (Send(node, differs),)
        case From(node, _, CellsAsk() as ask) if _answers(state, ask.epoch):
            return state, (Send(node, page_of(state.cells, state.born, state.index, ask, now_ms)),)
        case From(node, _, DigestDiffers(epoch, number, buckets)) if _open(state, node, number):
            transfer = state.transfer
            if transfer is None or transfer.buckets is not None or epoch != state.epoch:
                return state, ()
            transfer = replace(transfer, buckets=buckets, waits=False, tries=0)
            return _go_on(replace(state, transfer=transfer), now_ms)
        case From(node, _, CellsPart() as part) if _open(state, node, part.number):
            return _arrived(state, part, now_ms)
        case Tick():
            return _wake(state, now_ms)
    return state, ()


def _answers(state: State, epoch: int) -> bool:
    return state.votes and epoch == state.epoch and epoch > 0


def _open(state: State, node: NodeId, number: int) -> bool:
    transfer = state.transfer
    return bool(transfer and transfer.waits and transfer.source == node and number == state.number)


def _synced(state: State, synced: CellsSynced, now_ms: Ms) -> tuple[State, Effects]:
    joined = synced.votes and not state.votes
    moved = synced.roster is not None and synced.roster.epoch != state.epoch
    state = replace(
        state,
        roster=synced.roster,
        votes=synced.votes,
        cells=synced.cells,
        born=synced.born,
        index=state.index.changed(synced.names, synced.cells),
    )
    if joined or moved:
        return replace(state, due=all_due(state), transfer=None), ()
    transfer = state.transfer
    if transfer is None or not transfer.unsynced:
        return state, ()
    unsynced = transfer.unsynced
    for name in synced.names:
        if name in unsynced and synced.cells.get(name, EMPTY).accepted >= unsynced[name]:
            unsynced = unsynced.delete(name)
    return _go_on(replace(state, transfer=replace(transfer, unsynced=unsynced)), now_ms)


def _heard(state: State, node: NodeId, beat: Heartbeat, now_ms: Ms) -> State:
    old = state.heard.get(node)
    others = [h for n, h in state.heard.items() if n != node and now_ms - h.at_ms <= AWAY_MS]
    state = replace(state, heard=state.heard.set(node, Heard(now_ms, beat.epoch, beat.votes)))
    if old is None or now_ms - old.at_ms <= AWAY_MS or node not in others_of(state):
        return state
    not_before_ms = Ms(now_ms + BACK_MS) if others else now_ms
    return replace(state, due=state.due.set(node, not_before_ms))


def _wake(state: State, now_ms: Ms) -> tuple[State, Effects]:
    if state.roster is None or not state.votes:
        return (replace(state, transfer=None) if state.transfer else state), ()
    if state.transfer is not None:
        return _watched(state, state.transfer, now_ms)
    state = _in_turn(state, now_ms)
    for source in sorted(state.due, key=lambda n: (state.due[n], n)):
        heard = state.heard.get(source)
        here = heard is not None and now_ms - heard.at_ms <= AWAY_MS
        ready = here and now_ms >= state.due[source]
        if heard and ready and heard.votes and heard.epoch == state.epoch:
            return _begin(replace(state, due=state.due.delete(source)), source, now_ms)
    return state, ()


def _in_turn(state: State, now_ms: Ms) -> State:
    """Now and then, one of the others, each in its turn."""
    if state.idle_ms < 0:
        return replace(state, idle_ms=Ms(now_ms + IDLE_MS))
    others = others_of(state)
    if now_ms < state.idle_ms or not others:
        return state
    node = others[(now_ms // IDLE_MS) % len(others)]
    due = state.due.set(node, state.due.get(node, now_ms))
    return replace(state, due=due, idle_ms=Ms(now_ms + IDLE_MS))


def _begin(state: State, source: NodeId, now_ms: Ms) -> tuple[State, Effects]:
    number = state.number + 1
    state = replace(state, number=number, transfer=Transfer(source, now_ms))
    return state, (Send(source, DigestAsk(state.epoch, number, state.index.packed())),)


def _watched(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    """No answer: ask again for less; then another member's turn comes before this one's."""
    if not transfer.waits:
        return _go_on(state, now_ms)
    if now_ms - transfer.asked_ms < ANSWER_MS * transfer.tries:
        return state, ()
    state = replace(state, page_bytes=max(MIN_PAGE_BYTES, state.page_bytes // 2))
    if transfer.tries >= TRIES:
        return replace(state, transfer=None, due=state.due.set(transfer.source, now_ms)), ()
    tries = transfer.tries + 1
    if transfer.buckets is None:
        state, effects = _begin(state, transfer.source, now_ms)
        assert state.transfer is not None
        return replace(state, transfer=replace(state.transfer, tries=tries)), effects
    return _ask(state, replace(transfer, tries=tries), now_ms)


def _go_on(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ask for the next page, once the one before is on disk and the link had its rest."""
    transfer = state.transfer
    if transfer is None or transfer.waits or transfer.buckets is None:
        return state, ()
    if not transfer.buckets:
        return _end(state, transfer, now_ms)
    late = now_ms - transfer.asked_ms > SYNC_MS
    if now_ms < transfer.rest_until_ms or (transfer.unsynced and not late):
        return state, ()
    return _ask(state, replace(transfer, unsynced=Map(), tries=1), now_ms)


def _end(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    """A member that promised a ballot and never got its accept, as reads leave it, may not take an
    earlier one: what is still behind after a while is written anew by a round of its own."""
    behind = [
        name
        for name, ballot in sorted(transfer.refused.items())
        if state.cells.get(name, EMPTY).accepted < ballot
    ]
    if behind and now_ms - transfer.asked_ms < REFUSED_MS:
        return state, ()
    state = replace(state, transfer=None, part=None)
    effects: list[Effect] = []
    for name in behind[:MAX_REWRITTEN]:
        op_id = f"renew/{state.me}/{state.number}/{name}"
        effects.append(Tell("proposer", Ask(op_id, name, Renew(), "", RENEW_MS)))
    if transfer.cells:
        effects.append(Note(f"took {transfer.cells} registers over from {transfer.source}"))
    return state, tuple(effects)


def _ask(state: State, transfer: Transfer, now_ms: Ms) -> tuple[State, Effects]:
    buckets: list[int] = []
    have: list[HeldCell] = []
    for bucket in transfer.buckets or ():
        held = state.index.held(bucket)
        if have and (len(have) + len(held)) * HELD_BYTES > state.page_bytes:
            break
        buckets.append(bucket)
        known = dict(held.items())
        for name, ballot in transfer.handed.get(bucket, Map()).items():
            known[name] = max(ballot, known.get(name, NO_BALLOT))
        have.extend(HeldCell(n, b.counter, b.member) for n, b in sorted(known.items()))
    part = state.part
    begun = HeldCell(part.copy.name, part.copy.counter, part.copy.member) if part else NOTHING
    number = state.number + 1
    ask = CellsAsk(
        state.epoch, number, tuple(buckets), tuple(have), begun, len(part.data) if part else 0,
        state.page_bytes,
    )  # fmt: skip
    transfer = replace(transfer, asked_ms=now_ms, waits=True)
    return replace(state, number=number, transfer=transfer), (Send(transfer.source, ask),)


def _arrived(state: State, part: CellsPart, now_ms: Ms) -> tuple[State, Effects]:
    transfer = state.transfer
    if transfer is None or transfer.buckets is None or part.epoch != state.epoch:
        return state, ()
    effects: list[Effect] = []
    for piece in part.pieces:
        state, value = _pieced(state, piece)
        if value is None:
            continue
        copy, ballot = piece.copy, ballot_of(piece.copy)
        bucket = bucket_of(copy.name)
        handed = transfer.handed.get(bucket, Map()).set(copy.name, ballot)
        transfer = replace(transfer, handed=transfer.handed.set(bucket, handed))
        cell = state.cells.get(copy.name, EMPTY)
        if ballot <= cell.accepted or digest_of(value) != copy.digest:
            continue  # had meanwhile, or spoiled on its way
        if ballot < cell.promised:
            refused = transfer.refused.set(copy.name, ballot)
            transfer = replace(transfer, refused=refused)
            continue
        unsynced = transfer.unsynced.set(copy.name, ballot)
        transfer = replace(transfer, unsynced=unsynced, cells=transfer.cells + 1)
        effects.append(Send(state.me, HandOver(part.epoch, copy, value, piece.age_ms)))
    took_ms = now_ms - transfer.asked_ms
    left = tuple(b for b in transfer.buckets or () if b not in part.done)
    rest_until_ms = Ms(now_ms + min(took_ms // 2, MAX_REST_MS))
    transfer = replace(transfer, buckets=left, waits=False, rest_until_ms=rest_until_ms)
    state = replace(state, transfer=transfer, page_bytes=_page_bytes(state.page_bytes, took_ms))
    state, more = _go_on(state, now_ms)
    return state, (*effects, *more)


def _pieced(state: State, piece: CellPiece) -> tuple[State, bytes | None]:
    """A whole value, or None while there is only a part of it."""
    part, data = state.part, piece.data
    if piece.offset:
        if part is None or part.copy != piece.copy or len(part.data) != piece.offset:
            return replace(state, part=None), None
        data = part.data + piece.data
    if len(data) < piece.total_bytes:
        return replace(state, part=Part(piece.copy, data)), None
    if part is not None and part.copy.name == piece.copy.name:
        state = replace(state, part=None)
    return state, data


def _page_bytes(page_bytes: int, took_ms: int) -> int:
    """Pages are as large as the link carries without holding up what is behind them."""
    if took_ms > SLOW_MS:
        return max(MIN_PAGE_BYTES, page_bytes // 2)
    return min(MAX_PAGE_BYTES, page_bytes * 2) if took_ms < QUICK_MS else page_bytes
