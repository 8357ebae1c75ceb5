"""A configuration number is bound to one content: unit tests, and tests on simulated clusters."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import pytest
from immutables import Map

from spokeroute.common.effects import Effects, From, Launch, Reply, SlotId, Tell, Tick
from spokeroute.common.ids import (
    CONFIGURATION,
    Address,
    Ballot,
    Epoch,
    Incarnation,
    MemberId,
    Ms,
    NodeId,
    number_register,
)
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.acceptor import DiskDone, DiskWrite
from spokeroute.register.acceptor.expiry import CLAIM_RETENTION_MS
from spokeroute.register.cells import Cell, Roster
from spokeroute.register.changes import Ask, Outcome, Read, Settled
from spokeroute.register.configuration_numbers import (
    MAX_KEPT_NUMBERS,
    NUMBER_KEEP_MS,
    BindNumber,
    HighestWins,
    is_number_register,
)
from spokeroute.register.replica.replica import FreshCopies
from spokeroute.register.value_metadata import NUMBER_FORMAT
from spokeroute.registry import operator
from spokeroute.registry.operator import Apply
from spokeroute.transport.messages import Prepare
from tests.sim.acts import after, swap_registry
from tests.sim.cluster import Sim, configuration
from tools.log import Told
from tools.readback import one_content_a_number


def named(name: str) -> dict[str, Any]:
    return configuration(name=name)


def wait(sim: Sim, told: Told, most_ms: float = 20_000) -> Told:
    assert sim.up_to(lambda: told.done_ms >= 0, most_ms), told
    return told


def sent(sim: Sim, name: str, number: int, registry: int = 0) -> Told:
    return wait(sim, sim.apply(named(name), registry, number=number))


def in_force(sim: Sim, registry: int = 0) -> dict[str, Any]:
    shown = wait(sim, sim.show(registry))
    assert shown.status == 200, shown
    return {"name": shown.doc["configuration"]["name"], "number": shown.doc.get("number", 0)}


def voting(sim: Sim) -> bool:
    return all(r.alive and r.state("acceptor").synced_votes for r in sim.registries)


def ready(sim: Sim) -> None:
    """Start the core and wait until it votes; these tests need no instances."""
    sim.start()
    assert sim.up_to(lambda: voting(sim), 8_000)


# unit tests


def asked(effects: Effects) -> Ask:
    return next(e.event for e in effects if isinstance(e, Tell) and isinstance(e.event, Ask))


def order(content: str, number: int = 70) -> Apply:
    return Apply(SlotId(1, 1), NUMBER_FORMAT.pack(number) + content.encode(), -1, content, number)


def settle(
    state: operator.State, ask: Ask, value: bytes, version: int = 1, outcome: Outcome = Outcome.DONE
) -> tuple[operator.State, Effects]:
    got = Settled(ask.op_id, ask.register, outcome, version, value, False)
    return operator.step(state, got, Ms(5))


def test_a_number_is_bound_before_the_configuration_is_written() -> None:
    state, effects = operator.step(operator.State("m1"), order("a"), Ms(0))
    bind = asked(effects)
    assert (bind.register, bind.change) == (number_register(70), BindNumber("a"))
    state, effects = settle(state, bind, b"a")
    write = asked(effects)
    assert (write.register, write.change) == (CONFIGURATION, HighestWins(order("a").value))
    state, effects = settle(state, write, order("a").value)
    assert [e.answer.status for e in effects if isinstance(e, Reply)] == [200]
    assert not state.open


@pytest.mark.parametrize("outcome", [Outcome.DONE, Outcome.UNSURE])
def test_other_content_is_refused_and_nothing_is_written(outcome: Outcome) -> None:
    """Also if our binding was proposed and another one is stored: a binding is permanent, so ours
    was never chosen."""
    state, effects = operator.step(operator.State("m1"), order("b"), Ms(0))
    state, effects = settle(state, asked(effects), b"a", outcome=outcome)
    read = asked(effects)
    assert (read.register, read.change) == (CONFIGURATION, Read())
    state, effects = settle(state, read, NUMBER_FORMAT.pack(60), 3)
    (reply,) = (e for e in effects if isinstance(e, Reply))
    assert reply.answer.status == 409
    assert b'"number": 70' in reply.answer.body and b"has not come in force" in reply.answer.body
    assert not state.open


def test_a_number_that_can_t_be_bound_is_never_refused() -> None:
    for outcome, status in ((Outcome.TIMEOUT, 503), (Outcome.UNSURE, 504)):
        state, effects = operator.step(operator.State("m1"), order("b"), Ms(0))
        state, effects = settle(state, asked(effects), b"", 0, outcome)
        assert [e.answer.status for e in effects if isinstance(e, Reply)] == [status]


def test_an_order_overtaken_after_its_proposal_is_acknowledged() -> None:
    state, effects = operator.step(operator.State("m1"), order("a"), Ms(0))
    state, effects = settle(state, asked(effects), b"a")
    state, effects = settle(state, asked(effects), NUMBER_FORMAT.pack(80), 9, Outcome.UNSURE)
    again = asked(effects)
    assert again.register == CONFIGURATION
    state, effects = settle(state, again, NUMBER_FORMAT.pack(80), 9)
    assert [e.answer.status for e in effects if isinstance(e, Reply)] == [200]


# expiry


def kept_numbers(state: acceptor.State) -> list[str]:
    return sorted(n for n in state.cells if is_number_register(n))


def member_after_expiry(
    numbers: int, in_force: int, wait_ms: int = NUMBER_KEEP_MS + 20_000
) -> acceptor.State:
    """A member with this many number registers, after two expiry runs."""
    cell = Cell(Ballot(1, MemberId("m1")), Ballot(1, MemberId("m1")), 1, "d", b"c")
    cells: Map[str, Cell] = Map({str(number_register(n)): cell for n in range(1, numbers + 1)})
    state = acceptor.start(MemberId("m1"), None, True, cells)
    state, _ = acceptor.step(state, Tick(0), Ms(0))
    fresh = FreshCopies(Ms(0), {}, {}, None, True, number=in_force)
    state, _ = acceptor.step(state, fresh, Ms(10))
    state, _ = acceptor.step(state, Tick(0), Ms(wait_ms))
    return state


def test_a_member_keeps_the_newest_numbers() -> None:
    state = member_after_expiry(MAX_KEPT_NUMBERS + 5, MAX_KEPT_NUMBERS + 5)
    assert kept_numbers(state) == [number_register(n) for n in range(6, MAX_KEPT_NUMBERS + 6)]
    assert state.writing is not None and len(state.writing.deletions) == 5
    assert (
        len(kept_numbers(member_after_expiry(MAX_KEPT_NUMBERS, MAX_KEPT_NUMBERS)))
        == MAX_KEPT_NUMBERS
    )


def test_no_number_at_or_above_the_one_in_force_expires() -> None:
    """Even if thousands above it were bound and never came in force."""
    assert kept_numbers(member_after_expiry(MAX_KEPT_NUMBERS + 5, 3))[0] == number_register(3)
    assert kept_numbers(member_after_expiry(MAX_KEPT_NUMBERS + 5, 0))[0] == number_register(1)


def test_a_number_with_a_recent_round_does_not_expire() -> None:
    assert (
        len(kept_numbers(member_after_expiry(MAX_KEPT_NUMBERS + 5, 9_000, NUMBER_KEEP_MS - 10)))
        == MAX_KEPT_NUMBERS + 5
    )
    cells = member_after_expiry(MAX_KEPT_NUMBERS + 5, 9_000, 10).cells
    roster = Roster(Epoch(1), ((MemberId("m1"), Address("10.0.0.1:1")),))
    state = acceptor.start(MemberId("m1"), roster, True, cells)
    state, _ = acceptor.step(state, FreshCopies(Ms(0), {}, {}, None, True, number=9_000), Ms(0))
    state, _ = acceptor.step(state, Tick(0), Ms(0))
    late = Prepare(1, number_register(2), 9, "m2")
    state, _ = acceptor.step(state, From(NodeId("m2"), Incarnation(1), late), Ms(70_000))
    state, _ = acceptor.step(state, Tick(0), Ms(90_000))
    assert kept_numbers(state)[:2] == [number_register(2), number_register(6)]


def test_a_register_recreated_before_its_deletion_was_written_stays_on_disk() -> None:
    """Guards against deleting a live register: a deletion waits for a sync, a promise for the same
    register joins its batch in the meantime, and the batch then deleted the register."""
    roster = Roster(Epoch(1), ((MemberId("m1"), Address("10.0.0.1:1")),))
    state = acceptor.start(MemberId("m1"), roster, True, Map({"claim/k": Cell()}))

    def prepare(name: str, now_ms: int) -> Effects:
        nonlocal state
        ask = From(NodeId("m2"), Incarnation(1), Prepare(1, name, 9, "m2"))
        state, effects = acceptor.step(state, ask, Ms(now_ms))
        return effects

    state, _ = acceptor.step(state, Tick(0), Ms(0))
    prepare("floor", CLAIM_RETENTION_MS)  # a sync is in progress
    state, _ = acceptor.step(state, Tick(0), Ms(CLAIM_RETENTION_MS + 10_000))
    assert "claim/k" not in state.cells
    prepare("claim/k", CLAIM_RETENTION_MS + 10_001)
    state, effects = acceptor.step(state, DiskDone(1), Ms(CLAIM_RETENTION_MS + 10_002))
    (write,) = (e.job for e in effects if isinstance(e, Launch))
    assert isinstance(write, DiskWrite)
    assert [name for name, _ in write.cells] == ["claim/k"] and write.deletions == ()


# on clusters


def test_one_number_is_confirmed_for_one_content(sim: Sim) -> None:
    ready(sim)
    assert sent(sim, "seventy", 70).status == 200
    for registry in range(3):
        for name in ("other", "third", "fourth"):
            told = sent(sim, name, 70, registry)
            assert (told.status, told.doc["kind"], told.doc["number"]) == (409, "number_taken", 70)
        assert sent(sim, "seventy", 70, registry).status == 200
    assert in_force(sim) == {"name": "seventy", "number": 70}


def test_a_lower_number_is_acknowledged_and_changes_nothing(sim: Sim) -> None:
    ready(sim)
    first = sent(sim, "seventy", 70)
    lower = sent(sim, "sixty", 60, 1)
    assert lower.status == 200 and lower.doc["number"] == 70
    assert lower.doc["version"] == first.doc["version"]
    assert in_force(sim, 2) == {"name": "seventy", "number": 70}
    assert sent(sim, "sixty", 60, 2).status == 200
    assert sent(sim, "sixty again", 60).status == 409


def test_the_same_content_is_acknowledged_hundreds_of_versions_later(sim: Sim) -> None:
    """At any member, after a restart of all and after replacement of every member."""
    ready(sim)
    assert sent(sim, "first", 7).status == 200
    for number in range(10, 310):
        assert sent(sim, f"v{number}", number, number % 3).status == 200
    for node in sim.registries:
        node.kill()
    sim.run(500)
    for node in sim.registries:
        node.start()
    assert sim.up_to(lambda: voting(sim), 8_000)
    check_old(sim)
    for index in range(3):
        swap_registry(sim, index, f"new{index}")
        assert sim.up_to(lambda: voting(sim), 40_000)
    check_old(sim)


def check_old(sim: Sim) -> None:
    for registry in range(3):
        for name, number in (("first", 7), ("v10", 10), ("v200", 200), ("v309", 309)):
            assert sent(sim, name, number, registry).status == 200
            assert sent(sim, f"not {name}", number, registry).status == 409
        assert in_force(sim, registry) == {"name": "v309", "number": 309}


@pytest.mark.parametrize("seed", range(1, 9))
def test_two_contents_at_once_at_two_members(seed: int) -> None:
    sim = Sim(seed, exchanges=1)
    ready(sim)
    for number in range(1, 21):
        told = [
            sim.apply(named(f"{number} {who}"), registry, number=number)
            for who, registry in (("a", 0), ("b", 1))
        ]
        sim.run(sim.rng.uniform(0, 3))
        told.append(sim.apply(named(f"{number} c"), 2, number=number))
        for each in told:
            wait(sim, each)
        assert sorted(t.status for t in told) == [200, 409, 409]
        won = next(t for t in told if t.status == 200)
        assert in_force(sim, number % 3) == {"name": won.detail, "number": number}
    assert not one_content_a_number(sim.log())
    sim.close()


@pytest.mark.parametrize("seed", range(1, 9))
def test_two_contents_at_once_during_a_partition(seed: int) -> None:
    """One member is partitioned from the others. The partition heals while both orders are open or
    after the isolated side has given up. Orders are resent until they have a clear answer."""
    sim = Sim(seed, exchanges=1)
    ready(sim)
    rng = random.Random(seed)
    for number in range(1, 7):
        alone = rng.randrange(3)
        cut = {
            pair
            for r in range(3)
            if r != alone
            for pair in (
                (f"reg{alone + 1}", f"reg{r + 1}"),
                (f"reg{r + 1}", f"reg{alone + 1}"),
            )
        }
        after(sim, rng.uniform(0, 4), partial(sim.net.cuts.update, cut))
        after(sim, rng.uniform(100, 9_000), sim.net.cuts.clear)
        first = sim.apply(named(f"{number} alone"), alone, number=number)
        sim.run(rng.uniform(0, 6))
        second = sim.apply(named(f"{number} others"), (alone + 1) % 3, number=number)
        answers = [clear(sim, first, alone), clear(sim, second, (alone + 1) % 3)]
        assert sorted(answers) == [200, 409]
        sim.run(9_000)
        assert not one_content_a_number(sim.log())
    sim.close()


def clear(sim: Sim, told: Told, registry: int) -> int:
    """Resend the order unchanged until it has a clear answer, and return that."""
    for _ in range(12):
        wait(sim, told)
        if told.status in (200, 409):
            return told.status
        registry = (registry + 1) % 3
        told = sim.apply(told.sent, registry, number=told.number)
    raise AssertionError(f"no clear answer: {told}")


@pytest.mark.parametrize("seed", range(1, 13))
def test_a_proposer_that_dies_between_the_two_rounds(seed: int) -> None:
    """The number stays bound to its first content, whose order can finish at any other member."""
    sim = Sim(seed, exchanges=1, sync_ms=2.0)
    ready(sim)
    assert sent(sim, "one", 1).status == 200
    first = sim.apply(named("first"), 0, number=70)
    sim.run(2.0 + seed)
    sim.registries[0].kill()
    second = sim.apply(named("second"), 1, number=70)
    answers = {"second": clear(sim, second, 1), "first": clear(sim, first, 1)}
    assert sorted(answers.values()) == [200, 409]
    won = next(name for name, status in answers.items() if status == 200)
    assert in_force(sim, 2) == {"name": won, "number": 70}
    sim.registries[0].start()
    assert sim.up_to(lambda: voting(sim), 8_000)
    assert sent(sim, won, 70).status == 200
    assert not one_content_a_number(sim.log())
    sim.close()


def test_many_concurrent_orders_with_lost_answers(sim: Sim) -> None:
    """300 numbers with two contents each, resent to any member before and after an answer while
    members crash: exactly one content is confirmed for each number."""
    ready(sim)
    rng = random.Random(5)
    orders = [(f"{number} {who}", number) for number in range(1, 301) for who in "ab"]
    for name, number in orders:
        sim.apply(named(name), rng.randrange(3), number=number)
        sim.run(rng.uniform(0, 20))
        if number % 60 == 0 and name.endswith("a"):
            fallen = rng.choice(sim.registries)
            fallen.kill()
            after(sim, 700, fallen.start)
    sim.run(6_000)
    assert sim.up_to(lambda: voting(sim), 8_000)
    rng.shuffle(orders)
    for name, number in orders:
        for registry in rng.sample(range(3), 2):
            assert sent(sim, name, number, registry).status in (200, 409)
    confirmed = {(t.number, t.detail) for t in sim.told if t.status == 200 and t.number}
    assert sorted(n for n, _ in confirmed) == list(range(1, 301))
    assert not one_content_a_number(sim.log())
    assert in_force(sim)["number"] == 300


def test_the_judge_detects_two_contents_under_one_number(
    sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Injected fault: the last binding of a number wins."""
    monkeypatch.setattr(BindNumber, "decide", lambda self, version, value: self.content.encode())
    ready(sim)
    assert [sent(sim, name, 70, 1).status for name in ("a", "b")] == [200, 200]
    assert any("2 contents" in text for text in one_content_a_number(sim.log()))
    monkeypatch.undo()
    assert sent(sim, "a", 70, 2).status == 409  # b was bound last
    assert any("was refused" in text for text in one_content_a_number(sim.log()))
