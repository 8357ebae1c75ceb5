"""A proof is of its own question: it waits for the values that this one's answers named, whatever
came before or after them."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import From, Send, Tick
from spokeroute.common.ids import (
    CONFIGURATION,
    EVACUATION,
    FLOOR,
    ROSTER,
    Address,
    Epoch,
    Incarnation,
    MemberId,
    Ms,
    NodeId,
)
from spokeroute.register import replica
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.replica import State
from spokeroute.transport.messages import Copy, FetchGot, Probe, ProbeAck

MEMBERS = tuple(MemberId(f"m{number}") for number in range(3))
MEMBER = NodeId("m0")
LIFE = Incarnation(1)
NOTHING = tuple(Cell().copy(name) for name in (CONFIGURATION, EVACUATION, ROSTER))


def table(version: int) -> bytes:
    return f"table {version}".encode()


def copy_of(version: int) -> Copy:
    return Copy(FLOOR, version, digest_of(table(version)), version, "m1")


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
    got = state.ruling.get(FLOOR)
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
    assert len(state.targets) == 1


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
    assert state.targets == () and state.ruling == Map({FLOOR: state.ruling[FLOOR]})
