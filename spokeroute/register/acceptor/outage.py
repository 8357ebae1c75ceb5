"""A store that takes no writes: what a member does until its store is open again.

A failed write says nothing of what is on the disk: the batch may be there wholly, or not at all.
So the member goes back to what its last sync covered, answers reads from that, and votes again
only from what an environment that was opened anew has, once that one has taken a write.
"""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effects, From, Launch, Note, Tell, Tick
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.register.acceptor.outage_state import Outage, next_pause_ms
from spokeroute.register.acceptor.state import State
from spokeroute.register.cells import EMPTY, Cell
from spokeroute.register.disk.jobs import (
    DiskWrite,
    ReopenFailed,
    ReopenStore,
    StoreReopened,
    StoreWritable,
)
from spokeroute.transport.messages import CopyAsk, FetchAsk, HeldAsk, Probe

CELL_HEADER_BYTES = 256  # of a cell on disk, besides its value


def is_read(event: object) -> bool:
    """Whether a peer's message is answered from what is synced, and changes nothing.

    Example:
        >>> reads_only(None)
        False
    """
    return isinstance(event, From) and isinstance(
        event.message, Probe | FetchAsk | CopyAsk | HeldAsk
    )


def begin(state: State, reason: str, now_ms: Ms) -> tuple[State, Effects]:
    """Back to what the last sync covered; nobody gets an answer that waited for this one.

    Example:
        state, effects = begin(state, "no space left on device", now_ms)
    """
    outage = Outage(
        now_ms, reason, _size_bytes(state.writing), state.pause_ms, Ms(now_ms + state.pause_ms)
    )
    state = replace(
        state,
        roster=state.synced_roster,
        votes=state.synced_votes,
        cells=state.synced,
        dirty=frozenset(),
        pending_replies=(),
        deletions=(),
        meta_dirty=False,
        writing=None,
        writing_replies=(),
        claim_accepted_ms=_synced_claim_times(state),
        copy_progress=Map(),
        ages=state.ages.with_unsaved(state.writing.first_seen_ms if state.writing else ()),
        outage=outage,
        pause_ms=next_pause_ms(state.pause_ms),
    )
    text = (
        f"the store refused a write ({reason}): this member is read-only until its store takes "
        "one; free the disk, or raise disk_mb"
    )
    return state, (Note(text, alarm=True), Tell("membership", StoreWritable(False)))


def _size_bytes(write: DiskWrite | None) -> int:
    if write is None:
        return 0
    return sum(len(cell.value) + CELL_HEADER_BYTES for _, cell in write.cells)


def _synced_claim_times(state: State) -> Map[str, Ms]:
    """When claims were accepted: of those only whose synced value is the one in memory."""

    def digest(cells: Map[str, Cell], name: str) -> str:
        return cells.get(name, EMPTY).digest

    return Map(
        {
            name: at_ms
            for name, at_ms in state.claim_accepted_ms.items()
            if digest(state.cells, name) == digest(state.synced, name)
        }
    )


def step(state: State, outage: Outage, event: object, now_ms: Ms) -> tuple[State, Effects]:
    """Nothing is promised, accepted or adopted; the store is opened again now and then.

    Example:
        state, effects = step(state, state.outage, Tick(), now_ms)
    """
    match event:
        case Tick() if not outage.reopening and now_ms >= outage.retry_ms:
            state = replace(state, outage=replace(outage, reopening=True))
            return state, (Launch(ReopenStore(outage.probe_bytes)),)
        case ReopenFailed(reason) if outage.reopening:
            return _reopen_failed(state, outage, reason, now_ms)
        case StoreReopened() as found if outage.reopening:
            return _reopened(state, outage, found, now_ms)
    return state, ()


def _reopen_failed(state: State, outage: Outage, reason: str, now_ms: Ms) -> tuple[State, Effects]:
    """The next attempt comes after a longer pause."""
    pause_ms = next_pause_ms(outage.pause_ms)
    note = () if reason == outage.reason else (Note(f"the store stays read-only: {reason}"),)
    outage = replace(
        outage,
        reason=reason,
        pause_ms=pause_ms,
        retry_ms=Ms(now_ms + pause_ms),
        reopening=False,
    )
    return replace(state, outage=outage), note


def _reopened(
    state: State, outage: Outage, found: StoreReopened, now_ms: Ms
) -> tuple[State, Effects]:
    """Start from what the disk has: the batch that failed may be on it."""
    state = replace(
        state,
        roster=found.roster,
        votes=found.votes,
        cells=found.cells,
        synced=found.cells,
        synced_roster=found.roster,
        synced_votes=found.votes,
        holds_all_accepted=state.holds_all_accepted or found.votes,
        outage=None,
    )
    note = Note(f"the store takes writes again after {now_ms - outage.since_ms} ms")
    return state, (note, Tell("membership", StoreWritable(True)))
