"""A member's replies, state and reports while its store refuses writes."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from spokeroute.common.effects import Effects, From, Launch, Send, Tell, Tick
from spokeroute.common.ids import Address, Ballot, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.ledger import writer as ledger
from spokeroute.ledger.entries import Record
from spokeroute.ledger.writer import LedgerFailed, LedgerWrite, LedgerWritten
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.acceptor import Adopt, Adopted, ImportCells
from spokeroute.register.anti_entropy.cell_index import CellsReloaded
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.disk.jobs import (
    DiskDone,
    DiskFailed,
    DiskWrite,
    ReopenFailed,
    ReopenStore,
    StoreReopened,
    StoreWritable,
)
from spokeroute.register.membership.accepted_copies import HandOverCopy
from spokeroute.transport.messages import (
    Accept,
    Accepted,
    Copy,
    CopyAsk,
    CopyCell,
    CopyPart,
    FetchAsk,
    FetchGot,
    HandOver,
    LedgerAck,
    LedgerShare,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
)

ME, OTHER = MemberId("m0"), NodeId("m1")
ROSTER = Roster(Epoch(3), ((ME, Address("10.0.0.1:1")), (MemberId("m1"), Address("10.0.0.2:1"))))
NAME = "configuration"
OLD = Cell(Ballot(4, ME), Ballot(4, ME), 7, digest_of(b"old"), b"old")


def peer(message: object) -> From:
    return From(OTHER, Incarnation(1), message)


def accept(counter: int, value: bytes, name: str = NAME) -> From:
    copy = Copy(name, counter, digest_of(value), counter, ME)
    return peer(Accept(3, copy, value))


def sent(effects: Effects) -> list[object]:
    return [e.message for e in effects if isinstance(e, Send)]


def told(effects: Effects) -> list[object]:
    return [e.event for e in effects if isinstance(e, Tell)]


def jobs(effects: Effects) -> list[object]:
    return [e.job for e in effects if isinstance(e, Launch)]


@pytest.fixture
def failed() -> acceptor.State:
    """A member whose write of a newer value failed while another one was waiting."""
    state = acceptor.start(ME, ROSTER, True, Map({NAME: OLD}))
    state, effects = acceptor.step(state, accept(5, b"new"), Ms(1_000))
    assert [type(job) for job in jobs(effects)] == [DiskWrite] and sent(effects) == []
    state, effects = acceptor.step(state, accept(6, b"newer"), Ms(1_001))
    assert effects == ()
    state, effects = acceptor.step(state, DiskFailed("full"), Ms(1_005))
    assert told(effects) == [StoreWritable(False)]
    assert sent(effects) == []
    return state


def test_reads_are_answered_from_synced_state(failed: acceptor.State) -> None:
    state, effects = acceptor.step(
        failed, peer(Probe(9, 3, (), (), (), (), False, (), -1)), Ms(1_010)
    )
    (ack,) = sent(effects)
    assert isinstance(ack, ProbeAck) and OLD.copy(NAME) in ack.copies
    state, effects = acceptor.step(state, peer(FetchAsk(NAME, 7, OLD.digest)), Ms(1_010))
    assert sent(effects) == [FetchGot(OLD.copy(NAME), b"old")]
    state, effects = acceptor.step(state, peer(FetchAsk(NAME, 5, digest_of(b"new"))), Ms(1_010))
    assert sent(effects) == []
    state, effects = acceptor.step(state, peer(CopyAsk(3, "")), Ms(1_010))
    (part,) = sent(effects)
    assert isinstance(part, CopyPart) and [c.value for c in part.cells] == [b"old"]
    state, effects = acceptor.step(state, HandOverCopy(OTHER, OLD.copy(NAME)), Ms(1_010))
    assert sent(effects) == [HandOver(3, OLD.copy(NAME), b"old")]
    assert state == failed


def test_nothing_is_promised_accepted_or_adopted(failed: acceptor.State) -> None:
    copied = CopyCell(9, ME, Copy(NAME, 9, digest_of(b"c"), 9, ME), b"c")
    newer = Roster(Epoch(4), ROSTER.members)
    for event in (
        peer(Prepare(3, NAME, 9, ME)), accept(9, b"x"), ImportCells((copied,)), Adopt(newer, True),
        peer(HandOver(3, Copy(NAME, 9, digest_of(b"h"), 9, ME), b"h")), DiskDone(1),
        DiskFailed("again"), Tick(),
    ):  # fmt: skip
        state, effects = acceptor.step(failed, event, Ms(1_010))
        assert (state, effects) == (failed, ()), event


def test_the_reopen_pause_grows_to_a_limit_and_resets(failed: acceptor.State) -> None:
    state, now_ms, pauses = failed, 1_005, []
    for _ in range(5):
        asked_ms = now_ms
        while not (done := acceptor.step(state, Tick(), Ms(now_ms)))[1]:
            now_ms += 10
        state, effects = done
        (job,) = jobs(effects)
        assert isinstance(job, ReopenStore) and job.probe_bytes >= len(b"new")
        pauses.append(now_ms - asked_ms)
        assert acceptor.step(state, Tick(), Ms(now_ms + 60_000)) == (state, ())  # one at a time
        state, _ = acceptor.step(state, ReopenFailed("full"), Ms(now_ms))
    assert pauses == [200, 400, 800, 1_000, 1_000]
    state, _ = acceptor.step(state, Tick(), Ms(now_ms + 1_000))
    state, _ = acceptor.step(state, StoreReopened(ROSTER, True, Map({NAME: OLD})), Ms(now_ms))
    assert state.pause_ms == 400  # no write has succeeded since
    state, effects = acceptor.step(state, accept(5, b"new"), Ms(now_ms))
    (write,) = jobs(effects)
    assert isinstance(write, DiskWrite)
    state, effects = acceptor.step(state, DiskDone(write.batch), Ms(now_ms))
    assert state.pause_ms == 200
    (said,) = sent(effects)
    assert isinstance(said, Accepted) and said.ok and said.counter == 5


def test_a_roster_found_in_the_failed_batch_is_reported(failed: acceptor.State) -> None:
    newer = Roster(Epoch(4), ROSTER.members)
    state, _ = acceptor.step(failed, Tick(), Ms(2_000))
    new = replace(OLD, value=b"new", version=8, digest=digest_of(b"new"))
    state, effects = acceptor.step(state, StoreReopened(newer, True, Map({NAME: new})), Ms(2_001))
    whole = CellsReloaded(Map({NAME: new}), newer, True)
    assert told(effects) == [StoreWritable(True), whole, Adopted(newer, True)]
    assert not state.failed and state.epoch == 4 and state.synced[NAME] == new


def test_a_member_that_never_voted_is_not_copied_from() -> None:
    """Until its vote is synced a member's cells may not be synced either, so others must not copy
    from it."""
    state = acceptor.start(ME, ROSTER, False, Map({NAME: OLD}))
    state, effects = acceptor.step(state, Adopt(ROSTER, True), Ms(1))
    (write,) = jobs(effects)
    assert isinstance(write, DiskWrite)
    assert acceptor.step(state, peer(CopyAsk(3, "")), Ms(2))[1] == ()
    lost, _ = acceptor.step(state, DiskFailed("full"), Ms(3))
    assert acceptor.step(lost, peer(CopyAsk(3, "")), Ms(4))[1] == ()
    done, _ = acceptor.step(state, DiskDone(write.batch), Ms(3))
    assert len(acceptor.step(done, peer(CopyAsk(3, "")), Ms(4))[1]) == 1


@dataclass
class Store:
    """The contents of a member's disk, and the replies that the member has sent."""

    cells: dict[str, Cell] = field(default_factory=dict)
    answers: list[Promise | Accepted] = field(default_factory=list)

    def covers(self, answer: Promise | Accepted) -> bool:
        """Whether the disk covers a reply."""
        ballot = Ballot(answer.counter, MemberId(answer.member))
        cell = self.cells[NAME]
        if isinstance(answer, Promise):
            return cell.promised >= ballot
        return cell.accepted >= ballot


ACTS = st.sampled_from(("prepare", "accept", "done", "full, there", "full", "tick", "reopened"))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(ACTS, st.integers(5, 12)), max_size=40))
def test_no_reply_is_sent_for_unsynced_state(acts: list[tuple[str, int]]) -> None:
    """Any order of requests, syncs, reopens and failures, with the batch on disk or not."""
    store = Store({NAME: OLD})
    state = acceptor.start(ME, ROSTER, True, Map(store.cells))
    for number, (act, counter) in enumerate(acts):
        event: object = Tick()
        if act == "prepare":
            event = peer(Prepare(3, NAME, counter, ME))
        elif act == "accept":
            event = accept(counter, f"value {counter}".encode())
        elif act == "reopened" and state.outage is not None and state.outage.reopening:
            event = StoreReopened(ROSTER, True, Map(store.cells))
        elif state.writing is not None and act in ("done", "full", "full, there"):
            if act != "full":
                store.cells.update(state.writing.cells)
            event = DiskDone(state.writing.batch) if act == "done" else DiskFailed("full")
        state, effects = acceptor.step(state, event, Ms(number * 300))
        store.answers += [m for m in sent(effects) if isinstance(m, Promise | Accepted) and m.ok]
        assert all(store.covers(answer) for answer in store.answers)
        if isinstance(event, StoreReopened):
            assert state.cells == state.synced == Map(store.cells)


def entered(state: ledger.State, count: int) -> ledger.State:
    for number in range(count):
        state, _ = ledger.step(state, Record("term", {"n": number}, 1), Ms(0))
    return state


def beat(state: ledger.State, now_ms: int) -> tuple[ledger.State, list[LedgerWrite]]:
    state, effects = ledger.step(state, Tick(), Ms(now_ms))
    return state, [job for job in jobs(effects) if isinstance(job, LedgerWrite)]


def test_own_refused_entries_are_rewritten_before_later_ones_count() -> None:
    state = ledger.State(NodeId(ME), "m0.1")
    state, (first,) = beat(entered(state, 3), 1_000)
    low, high = first.entries[0][0], first.entries[-1][0]
    state, _ = ledger.step(state, LedgerFailed(low, high, NodeId(ME)), Ms(1_010))
    state, (later, whole) = beat(entered(state, 2), 3_000)
    assert len(later.entries) == 2 and len(whole.entries) == 5 and whole.entries[0][0] == low
    ends = later.entries[-1][0]
    state, _ = ledger.step(state, LedgerWritten(later.entries[0][0], ends, NodeId(ME)), Ms(3_010))
    assert state.durable == ""
    state, _ = ledger.step(state, LedgerWritten(low, ends, NodeId(ME)), Ms(3_020))
    assert state.durable == ends and not state.gaps and state.unacked == ()


def test_another_members_entries_are_not_acknowledged_past_a_gap() -> None:
    state = ledger.State(NodeId(ME), "m0.1", (OTHER,))
    keys = [f"k{number:03d}" for number in range(500)]
    state, effects = ledger.step(
        state, peer(LedgerShare(ledger.pack_share(tuple((k, "{}") for k in keys[:9])))), Ms(1)
    )
    assert [type(job) for job in jobs(effects)] == [LedgerWrite]
    state, _ = ledger.step(state, LedgerFailed(keys[0], keys[8], OTHER), Ms(2))
    state, _ = ledger.step(state, LedgerFailed(keys[9], keys[400], OTHER), Ms(2))
    state, effects = ledger.step(state, LedgerWritten(keys[401], keys[410], OTHER), Ms(3))
    assert effects == ()
    for low, high in ((0, 199), (200, 399), (400, 430), (431, 440)):
        state, effects = ledger.step(state, LedgerWritten(keys[low], keys[high], OTHER), Ms(4))
        assert sent(effects) == [LedgerAck(keys[low], keys[high])], low
    assert not state.gaps


def test_a_gap_whose_writer_discarded_the_entries_is_skipped_eventually() -> None:
    state = ledger.State(NodeId(ME), "m0.1", (OTHER,))
    state, _ = ledger.step(state, LedgerFailed("k1", "k2", OTHER), Ms(2))
    given: list[object] = []
    for number in range(ledger.MAX_WITHHELD_ACKS + 1):
        key = f"k{number + 100}"
        state, effects = ledger.step(state, LedgerWritten(key, key, OTHER), Ms(3))
        given += sent(effects)
    last = f"k{ledger.MAX_WITHHELD_ACKS + 100}"
    assert given == [LedgerAck(last, last)]
