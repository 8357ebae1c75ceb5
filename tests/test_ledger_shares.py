"""Replication of ledger entries: lost shares are resent in order."""

from __future__ import annotations

import pytest

from spokeroute.common.effects import Effects, From, Launch, Send, Tick
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.ledger import writer
from spokeroute.ledger.entries import Record
from spokeroute.ledger.writer import LedgerWrite, LedgerWritten, unpack_share
from spokeroute.transport.messages import LedgerAck, LedgerShare

ME = NodeId("m0")
ABSENT = NodeId("m1")
PRESENT = NodeId("m2")


def recorded(state: writer.State, count: int, now_ms: int) -> tuple[writer.State, Effects]:
    """Record entries, then tick once so that they are shared."""
    for _ in range(count):
        state, _ = writer.step(state, Record("term", {}, 1, term=1), Ms(now_ms))
    return writer.step(state, Tick(), Ms(now_ms))


def shares(effects: Effects, to: NodeId) -> list[tuple[str, ...]]:
    """The keys of each share sent to a member."""
    return [
        tuple(key for key, _ in unpack_share(e.message.packed))
        for e in effects
        if isinstance(e, Send) and e.to == to and isinstance(e.message, LedgerShare)
    ]


def acknowledged(state: writer.State, member: NodeId, low: str, high: str) -> writer.State:
    event = From(member, Incarnation(1), LedgerAck(low, high))
    return writer.step(state, event, Ms(0))[0]


def started() -> tuple[writer.State, list[str]]:
    """Three entries that every member has."""
    state = writer.State(ME, "m0.1", (ABSENT, PRESENT))
    state, effects = recorded(state, 3, 1_000)
    (write,) = [e.job for e in effects if isinstance(e, Launch)]
    assert isinstance(write, LedgerWrite)
    keys = [key for key, _ in write.entries]
    state, _ = writer.step(state, LedgerWritten(keys[0], keys[2], ME), Ms(1_001))
    for member in (ABSENT, PRESENT):
        state = acknowledged(state, member, keys[0], keys[2])
    assert state.unacked == () and state.durable == keys[2]
    return state, keys


def lost_share() -> tuple[writer.State, str, str]:
    """One member misses the fourth entry twice and receives the fifth."""
    state, _ = started()
    state, effects = recorded(state, 1, 2_000)
    ((fourth,),) = shares(effects, ABSENT)
    state = acknowledged(state, PRESENT, fourth, fourth)
    state, effects = recorded(state, 1, 2_500)
    ((fifth,), again) = shares(effects, ABSENT)
    assert again == (fourth,)
    state = acknowledged(state, PRESENT, fifth, fifth)
    return acknowledged(state, ABSENT, fifth, fifth), fourth, fifth


def test_an_acknowledgement_does_not_cover_a_share_that_was_lost() -> None:
    state, fourth, fifth = lost_share()
    assert state.acked[ABSENT] < fourth
    state, effects = writer.step(state, Tick(), Ms(4_600))
    assert shares(effects, ABSENT) == [(fourth, fifth)]
    state = acknowledged(state, ABSENT, fourth, fifth)
    assert state.acked[ABSENT] == fifth


def test_these_checks_detect_an_acknowledgement_that_covers_a_lost_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = writer._on_ack
    monkeypatch.setattr(
        writer, "_on_ack", lambda state, node, low, high: real(state, node, "", high)
    )
    state, _, fifth = lost_share()
    assert state.acked[ABSENT] == fifth


def test_full_pages_of_missed_entries_are_sent_without_delay() -> None:
    state, _ = started()
    state, _ = recorded(state, 450, 2_000)
    sent: list[int] = []
    for beat in range(5):
        state, effects = writer.step(state, Tick(), Ms(4_500 + 300 * beat))
        for page in shares(effects, ABSENT):
            sent.append(len(page))
            state = acknowledged(state, ABSENT, page[0], page[-1])
    assert sent == [200, 200, 50]
