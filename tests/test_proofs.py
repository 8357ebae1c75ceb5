"""A proof is of its own question: it waits for the values that this one's answers named, whatever
came before or after them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from immutables import Map

from spokeroute.common.effects import From, Send, Tick
from spokeroute.common.ids import (
    CONFIGURATION,
    FLOOR,
    Address,
    Epoch,
    MemberId,
    Ms,
    NodeId,
)
from spokeroute.register.cells import Roster, digest_of
from spokeroute.register.replica import replica
from spokeroute.register.replica.replica import CompileResult, State
from spokeroute.register.value_metadata import NUMBER_FORMAT, with_metadata
from spokeroute.transport.messages import Copy, FetchGot, Finish, Probe, ProbeAck
from tests.named_tables import LIFE, NOTHING, copy_of, table

MEMBERS = tuple(MemberId(f"m{number}") for number in range(3))
MEMBER = NodeId("m0")


def begun() -> State:
    roster = Roster(Epoch(1), tuple((member, Address(f"{member}:1")) for member in MEMBERS))
    return State((), roster=roster)


def asked(state: State, at_ms: int) -> tuple[State, int]:
    """One question; its number."""
    state, effects = replica.step(state, Tick(), Ms(at_ms))
    probes = [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Probe)]
    assert len(probes) == 3, (at_ms, probes)
    return state, probes[0].nonce


def answered(state: State, nonce: int, version: int, at_ms: int) -> State:
    """Two of three members name a version, and bring no value."""
    ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
    for member in MEMBERS[:2]:
        state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return state


def came(state: State, version: int, at_ms: int) -> State:
    got = FetchGot(copy_of(version), table(version))
    return replica.step(state, From(MEMBER, LIFE, got), Ms(at_ms))[0]


def ruling(state: State) -> int:
    got = state.in_force.get(FLOOR)
    return got.copy.version if got else 0


def test_a_value_that_comes_after_the_next_answers_proves_its_own_question() -> None:
    """Each value comes later than the answers to the next question: as if none ever came, where
    only the newest question counted."""
    state = begun()
    for number in range(10):
        at_ms = 1_000 + 400 * number
        state, nonce = asked(state, at_ms)
        state = answered(state, nonce, number + 1, at_ms + 5)
        if number:
            state = came(state, number, at_ms + 10)
            assert (state.proved_ms, ruling(state)) == (at_ms - 400, number)
    assert len(state.pending_proofs) == 1


def test_a_value_that_is_newer_than_the_answer_does_not_hide_the_one_that_was_named() -> None:
    state, nonce = asked(begun(), 1_000)
    state = came(state, 7, 1_002)
    state = came(state, 8, 1_003)
    state = answered(state, nonce, 7, 1_005)
    assert (state.proved_ms, ruling(state)) == (1_000, 7)
    state, nonce = asked(state, 1_400)
    state = answered(state, nonce, 8, 1_405)
    assert (state.proved_ms, ruling(state)) == (1_400, 8)


def test_an_older_question_never_brings_an_older_value_back() -> None:
    state, first = asked(begun(), 1_000)
    state = answered(state, first, 3, 1_005)
    state, second = asked(state, 1_400)
    state = answered(state, second, 4, 1_405)
    state = came(state, 4, 1_410)
    assert (state.proved_ms, ruling(state)) == (1_400, 4)
    state = came(state, 3, 1_420)
    assert (state.proved_ms, ruling(state)) == (1_400, 4)
    assert state.pending_proofs == () and state.in_force == Map({FLOOR: state.in_force[FLOOR]})


def differ(state: State, nonce: int, versions: tuple[int, int], at_ms: int) -> list[str]:
    """Two of three members name different versions; the registers that are to be finished."""
    effects: tuple[object, ...] = ()
    for member, version in zip(MEMBERS, versions, strict=False):
        ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
        state, effects = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return [
        e.message.name for e in effects if isinstance(e, Send) and isinstance(e.message, Finish)
    ]


@pytest.mark.parametrize("proved", [False, True])
def test_a_round_that_goes_on_is_left_to_who_began_it(proved: bool) -> None:
    """Also by a process that has had no proof for long, or never: a second proposer would only
    hold the first one up."""
    state = begun()
    if proved:
        state, nonce = asked(state, 1_000)
        state = came(answered(state, nonce, 1, 1_005), 1, 1_010)
    for number in range(20):
        at_ms = 1_400 + 200 * number
        state, nonce = asked(replace(state, next_probe_ms=Ms(0)), at_ms)
        assert differ(state, nonce, (2 + number, 3 + number), at_ms + 5) == []
        ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(2 + number)), (), ())
        state, _ = replica.step(state, From(MEMBERS[0], LIFE, ack), Ms(at_ms + 5))


def test_a_round_that_was_cut_short_is_finished() -> None:
    state, finished = begun(), list[int]()
    for number in range(6):
        at_ms = 1_400 + 200 * number
        state, nonce = asked(replace(state, next_probe_ms=Ms(0)), at_ms)
        if differ(state, nonce, (2, 3), at_ms + 5):
            finished.append(at_ms - 1_400)
        for member, version in zip(MEMBERS, (2, 3), strict=False):
            ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
            state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms + 5))
    assert finished and 600 <= finished[0] <= 800


def document(version: int) -> bytes:
    return with_metadata(NUMBER_FORMAT.pack(0), NUMBER_FORMAT.pack(version))


def configuration(version: int) -> Copy:
    return Copy(CONFIGURATION, version, digest_of(document(version)), version, "m1")


def named(state: State, nonce: int, at_ms: int, floor: int, configured: int) -> State:
    """Two of three members name a placement table and a configuration."""
    copies = (*NOTHING[1:], configuration(configured), copy_of(floor))
    for member in MEMBERS[:2]:
        ack = ProbeAck(nonce, 1, copies, (), ())
        state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return state


def compiled(state: State, version: int, at_ms: int) -> State:
    done = CompileResult(configuration(version), document(version), object())
    return replica.step(state, done, Ms(at_ms))[0]


@pytest.mark.parametrize("places", [False, True])
def test_a_configuration_rules_though_no_table_of_its_question_is_here(places: bool) -> None:
    """The tables changed ten times while it was compiled: it never ruled, where a question proved
    only once all that it named was here."""
    state, nonce = asked(replace(begun(), floor_needs_configuration=places), 1_000)
    state = named(state, nonce, 1_005, 5, 1)
    state = compiled(state, 1, 1_300)
    assert state.in_force[CONFIGURATION].copy.version == 1 and state.proved_ms == -1
    state, nonce = asked(state, 1_400)
    state = named(state, nonce, 1_405, 9, 1)
    state = came(state, 9, 1_410)
    assert (state.proved_ms, ruling(state)) == (1_400, 9)


@pytest.mark.parametrize("places", [False, True])
def test_who_places_goes_by_no_table_beside_an_older_configuration(places: bool) -> None:
    """It would stop the instances of services that its configuration lacks."""
    state, nonce = asked(replace(begun(), floor_needs_configuration=places), 1_000)
    state = compiled(came(named(state, nonce, 1_005, 5, 1), 5, 1_006), 1, 1_007)
    assert (state.proved_ms, ruling(state)) == (1_000, 5)
    state, nonce = asked(state, 1_400)
    state = came(named(state, nonce, 1_405, 6, 2), 6, 1_410)
    assert state.in_force[CONFIGURATION].copy.version == 1
    assert ruling(state) == (5 if places else 6)
    assert state.proved_ms == 1_000
    state = compiled(state, 2, 1_500)
    assert (state.proved_ms, ruling(state)) == (1_400, 6)
