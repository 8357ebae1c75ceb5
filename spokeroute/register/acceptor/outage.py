"""Read-only mode of a member whose store has failed a write.

After a failed write it is unknown whether the batch is on disk: all of it may be, or none. The
member therefore reverts to its last synced state and answers reads from that. It votes again only
after the environment was reopened, accepted a test write, and its contents were read back.
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

CELL_HEADER_BYTES = 256  # stored size of a cell, apart from its value


def is_read(event: object) -> bool:
    """Whether an event is a peer's read, which is answered from synced state and changes nothing.

    Example:
        >>> is_read(None)
        False
    """
    return isinstance(event, From) and isinstance(
        event.message, Probe | FetchAsk | CopyAsk | HeldAsk
    )


def begin(state: State, reason: str, now_ms: Ms) -> tuple[State, Effects]:
    """Revert to the last synced state and drop the replies that waited for the failed write.

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
        f"store write failed ({reason}): this member is read-only until a write succeeds; free "
        "disk space, or raise disk_mb"
    )
    return state, (Note(text, alarm=True), Tell("membership", StoreWritable(False)))


def _size_bytes(write: DiskWrite | None) -> int:
    if write is None:
        return 0
    return sum(len(cell.value) + CELL_HEADER_BYTES for _, cell in write.cells)


def _synced_claim_times(state: State) -> Map[str, Ms]:
    """Acceptance times of the claims whose synced value is the one in memory."""

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
    """Promise, accept and adopt nothing; reopen the store at intervals.

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
    """Schedule the next attempt after a longer pause."""
    pause_ms = next_pause_ms(outage.pause_ms)
    note = () if reason == outage.reason else (Note(f"store is still read-only: {reason}"),)
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
    """Resume from the contents of the disk, which may include the batch whose write failed."""
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
    note = Note(f"store accepts writes again after {now_ms - outage.since_ms} ms")
    return state, (note, Tell("membership", StoreWritable(True)))
