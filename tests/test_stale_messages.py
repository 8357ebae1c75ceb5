"""Messages of an earlier incarnation, term or epoch are ignored, however late they arrive."""

from __future__ import annotations

import random
from collections.abc import Generator, Iterator
from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from immutables import Map

from spokeroute.common.effects import From, Send, Tell, Tick
from spokeroute.common.ids import (
    SPREAD,
    Address,
    Epoch,
    Incarnation,
    MemberId,
    Ms,
    NodeId,
)
from spokeroute.ledger import writer
from spokeroute.ledger.entries import Record
from spokeroute.nodes import first_nonce
from spokeroute.register.acceptor import acceptor
from spokeroute.register.cells import Roster, digest_of
from spokeroute.register.changes import Ask, Read, Settled, Swap
from spokeroute.register.proposer import proposer
from spokeroute.register.replica import replica
from spokeroute.transport.messages import (
    Accept,
    Accepted,
    Copy,
    CopyCell,
    LedgerAck,
    Prepare,
    Probe,
    ProbeAck,
    Promise,
)
from tests.sim.acts import holder_of
from tests.sim.cluster import Sim, configuration
from tests.test_cut_off_exchanges import watched
from tools import judges, readback

LATE_MS = 10_000
MEMBERS = tuple(MemberId(f"m{i}") for i in range(3))
ROSTER = Roster(Epoch(1), tuple((m, Address(f"10.0.0.{i}:1")) for i, m in enumerate(MEMBERS)))
INCARNATION = Incarnation(1)


@pytest.fixture
def delayed_duplicates(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A cluster where each frame of the core is delivered a second time, ten seconds later."""
    made = Sim(request.param)
    made.settle()
    made.net.again_ms = LATE_MS
    made.env.process(watched(made))
    yield made
    made.close()


def held(sim: Sim) -> bool:
    return any(r.alive and r.state("role").term for r in sim.registries)


def read_often(sim: Sim) -> Generator[Any, Any, None]:
    """Read-backs at random registries, a few per second."""
    while True:
        sim.show(sim.rng.randrange(3))
        yield sim.env.timeout(sim.rng.uniform(100, 400))


def eventful(sim: Sim) -> None:
    """Restarts, lost disks and freezes, with orders and read-backs in between."""
    rng = random.Random(4)
    sim.env.process(read_often(sim))
    sim.traffic(30, 60_000)
    sim.run(2_000)
    for number in range(12):
        told = sim.apply(configuration(name=f"day-{number}"), rng.randrange(3))
        sim.run(rng.uniform(0, 30))
        assert sim.up_to(partial(held, sim), 5_000), "nobody holds the role"
        match number % 4:
            case 0:
                node = holder_of(sim)
                node.kill()
                sim.run(rng.uniform(50, 2_500))
                node.start()
            case 1:
                node = rng.choice(sim.registries)
                node.kill()
                sim.run(rng.uniform(50, 1_000))
                node.start(blank=True)
            case 2:
                node = rng.choice(sim.exchanges)
                node.kill()
                sim.run(rng.uniform(50, 1_000))
                node.start()
            case _:
                node = holder_of(sim)
                node.freeze()
                sim.run(2_500)
                node.wake()
        sim.run(rng.uniform(2_000, 4_000))
        assert told.status != -1
    sim.run(LATE_MS + 5_000)


@pytest.mark.parametrize("delayed_duplicates", [1, 2, 3], indirect=True)
def test_late_frames_after_changes_of_incarnation_term_and_epoch(delayed_duplicates: Sim) -> None:
    sim = delayed_duplicates
    eventful(sim)
    log = sim.log()
    assert readback.acked_reads_back(log) == []
    assert readback.refused_never_rules(log) == []
    found = [
        judges.newest_rules, judges.drained_get_nothing, judges.vanished_get_nothing,
        judges.once_never_twice, judges.not_run_holds, judges.success_is_whole,
    ]  # fmt: skip
    assert [text for judge in found for text in judge(log)[:3]] == []
    terms = [term for _, term, _ in sorted(sim.floors, key=lambda x: x[0])]
    assert terms == sorted(terms)


@pytest.mark.parametrize("delayed_duplicates", [1, 2, 4], indirect=True)
def test_these_checks_detect_late_promises_that_count(
    delayed_duplicates: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Injected fault: a promise of any ballot counts for the open round.

    Promises include their values here, because a late one without its value can't be restored and
    would do no harm.
    """
    monkeypatch.setattr(proposer, "known_digest", lambda known, name: "")
    original = proposer._on_promise

    def accepting_any_ballot(state, node, got, now_ms):  # type: ignore[no-untyped-def]
        current = state.rounds.get(got.name)
        if current is not None:
            ballot = current.ballot
            got = replace(got, counter=ballot.counter, member=ballot.member)
        return original(state, node, got, now_ms)

    monkeypatch.setattr(proposer, "_on_promise", accepting_any_ballot)
    with pytest.raises(AssertionError):
        eventful(delayed_duplicates)
        assert readback.acked_reads_back(delayed_duplicates.log()) == []


# single messages


def promise(ask: Prepare, version: int, value: bytes, counter: int, life: int) -> Promise:
    digest = digest_of(value) if value else ""
    copy = Copy(ask.name, version, digest, counter, "m1" if counter else "")
    return Promise(
        1, ask.name, ask.counter, ask.member, True, ask.counter, copy, value, -1, life
    )  # fmt: skip


def prepare_of(effects: tuple[object, ...]) -> Prepare:
    return next(
        e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Prepare)
    )


def settled(effects: tuple[object, ...]) -> list[Settled]:
    return [e.event for e in effects if isinstance(e, Tell) and isinstance(e.event, Settled)]


def test_a_promise_to_an_earlier_incarnation_is_ignored() -> None:
    """If a later incarnation uses the same ballot, a promise to the earlier one has old values."""
    state = proposer.State(MEMBERS[0], 1, ROSTER, incarnation=2)
    state, effects = proposer.step(state, Ask("op", "configuration", Read(), "operator"), Ms(0))
    ask = prepare_of(effects)
    for member in MEMBERS[1:]:
        late = From(NodeId(member), INCARNATION, promise(ask, 1, b"old", 1, 1))
        state, effects = proposer.step(state, late, Ms(3))
        assert settled(effects) == []
    for member in MEMBERS[1:]:
        now = From(NodeId(member), INCARNATION, promise(ask, 2, b"new", 2, 2))
        state, effects = proposer.step(state, now, Ms(5))
    assert [s.value for s in settled(effects)] == [b"new"]


def test_an_acceptance_to_an_earlier_incarnation_is_ignored() -> None:
    state = proposer.State(MEMBERS[0], 1, ROSTER, incarnation=2)
    state, effects = proposer.step(state, Ask("op", "floor", Swap(0, b"x"), "placement"), Ms(0))
    ask = prepare_of(effects)
    for member in MEMBERS[:2]:
        said = From(NodeId(member), INCARNATION, promise(ask, 0, b"", 0, 2))
        state, effects = proposer.step(state, said, Ms(3))
    for life, done in ((1, 0), (2, 1)):
        for member in MEMBERS[1:]:
            taken = Accepted(1, "floor", ask.counter, ask.member, True, ask.counter, life)
            state, effects = proposer.step(state, From(NodeId(member), INCARNATION, taken), Ms(5))
        assert len(settled(effects)) == done


@pytest.mark.parametrize("epoch", [0, 1, 3])
def test_a_promise_of_another_epoch_is_ignored(epoch: int) -> None:
    roster = replace(ROSTER, epoch=Epoch(2))
    state = proposer.State(MEMBERS[0], 1, roster)
    state, effects = proposer.step(state, Ask("op", "floor", Read(), "operator"), Ms(0))
    ask = prepare_of(effects)
    for member in MEMBERS[1:]:
        other = replace(promise(ask, 1, b"old", 1, 0), epoch=epoch)
        state, effects = proposer.step(state, From(NodeId(member), INCARNATION, other), Ms(3))
        assert settled(effects) == []


def test_a_queued_read_has_a_round_of_its_own() -> None:
    """Reads don't share a round: the answers to the second must come after it was requested."""
    state = proposer.State(MEMBERS[0], 1, ROSTER)
    state, effects = proposer.step(state, Ask("one", "floor", Read(), "operator"), Ms(0))
    first = prepare_of(effects)
    state, effects = proposer.step(state, Ask("two", "floor", Read(), "operator"), Ms(1))
    assert effects == ()
    state, _ = proposer.step(
        state, From(MEMBERS[1], INCARNATION, promise(first, 1, b"a", 1, 0)), Ms(2)
    )
    state, effects = proposer.step(
        state, From(MEMBERS[2], INCARNATION, promise(first, 1, b"a", 1, 0)), Ms(3)
    )
    assert [s.op_id for s in settled(effects)] == ["one"]
    second = prepare_of(effects)
    assert second.counter > first.counter
    for member in MEMBERS:  # late promises of the first round don't count for the second
        late = From(NodeId(member), INCARNATION, promise(first, 1, b"a", 1, 0))
        state, effects = proposer.step(state, late, Ms(4))
        assert settled(effects) == []


def test_no_ballot_is_used_twice_in_an_incarnation() -> None:
    """Also for registers whose counters are discarded between rounds: placement and claims."""
    state = proposer.State(MEMBERS[0], 1, ROSTER)
    drawn: list[tuple[str, int]] = []
    for number in range(40):
        name = ("placement", "claim/a", "claim/b")[number % 3]
        state, effects = proposer.step(state, Ask(f"op{number}", name, Read(), "role"), Ms(number))
        ask = prepare_of(effects)
        drawn.append((name, ask.counter))
        for member in MEMBERS[1:]:
            said = From(NodeId(member), INCARNATION, promise(ask, 1, b"v", 1, 0))
            state, effects = proposer.step(state, said, Ms(number))
        assert settled(effects)
    assert len(set(drawn)) == len(drawn)


def ack(nonce: int, version: int, epoch: int = 1) -> ProbeAck:
    copies = tuple(Copy(name, version, f"d{version}", version, "m1") for name in SPREAD)
    return ProbeAck(nonce, epoch, copies, (), ())


def test_a_reply_to_a_probe_of_an_earlier_incarnation_is_ignored() -> None:
    """Also one of another epoch. With the nonces reused, it would be a proof of old versions."""
    lives = [replica.State((), ROSTER, nonce=first_nonce(life)) for life in (7, 8)]
    nonces: list[int] = []
    for state in lives:
        state, effects = replica.step(state, Tick(), Ms(1_000))
        probe = next(e.message for e in effects if isinstance(e, Send))
        assert isinstance(probe, Probe)
        nonces.append(probe.nonce)
    for nonce, epoch, proves in (
        (nonces[0], 1, False),
        (nonces[1], 2, False),
        (nonces[1], 1, True),
    ):
        asked = state
        for member in MEMBERS[:2]:
            asked, _ = replica.step(
                asked, From(member, INCARNATION, ack(nonce, 3, epoch)), Ms(1_010)
            )
        assert (asked.latest_agreed_ms == Ms(1_000)) == proves


def test_a_ledger_acknowledgement_of_an_earlier_incarnation_is_ignored() -> None:
    state = writer.State(NodeId("m0"), "m0.2", MEMBERS[1:])
    state, _ = writer.step(state, Record("term", {}, 1, term=5), Ms(0))
    key = state.unacked[0][0]
    old = key.replace("m0.2", "m0.1").replace("-0000000001-", "-0000000900-")
    state, _ = writer.step(state, From(MEMBERS[1], INCARNATION, LedgerAck(old, old)), Ms(5))
    assert state.acked == Map()
    state, _ = writer.step(state, From(MEMBERS[1], INCARNATION, LedgerAck(key, key)), Ms(5))
    assert state.acked == Map({MEMBERS[1]: key})


def test_a_voting_member_imports_no_cells() -> None:
    """A voting member is bound by its promises, and a copied acceptance may be below one."""
    state = acceptor.start(MEMBERS[0], ROSTER, True, Map())
    ask = Prepare(1, "floor", 9, "m1")
    state, _ = acceptor.step(state, From(MEMBERS[1], INCARNATION, ask), Ms(0))
    old = CopyCell(1, "m2", Copy("floor", 1, digest_of(b"old"), 4, "m2"), b"old")
    state, _ = acceptor.step(state, acceptor.ImportCells((old,)), Ms(1))
    assert state.cells["floor"].version == 0


@pytest.mark.parametrize("epoch", [0, 1, 3])
def test_a_proposal_of_another_epoch_is_not_answered(epoch: int) -> None:
    state = acceptor.start(MEMBERS[0], replace(ROSTER, epoch=Epoch(2)), True, Map())
    value = b"forged"
    copy = Copy("floor", 1, digest_of(value), 9, "m1")
    for ask in (Prepare(epoch, "floor", 9, "m1"), Accept(epoch, copy, value)):
        after, effects = acceptor.step(state, From(MEMBERS[1], INCARNATION, ask), Ms(0))
        assert effects == () and after.cells == Map()
