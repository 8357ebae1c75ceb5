"""A proof belongs to one probe: it waits only for the values that this probe's answers named."""

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


def initial_state() -> State:
    roster = Roster(Epoch(1), tuple((member, Address(f"{member}:1")) for member in MEMBERS))
    return State((), roster=roster)


def send_probe(state: State, at_ms: int) -> tuple[State, int]:
    """Sends one probe; returns its number."""
    state, effects = replica.step(state, Tick(), Ms(at_ms))
    probes = [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Probe)]
    assert len(probes) == 3, (at_ms, probes)
    return state, probes[0].nonce


def receive_answers(state: State, nonce: int, version: int, at_ms: int) -> State:
    """Two of three members report a version without its value."""
    ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
    for member in MEMBERS[:2]:
        state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return state


def receive_value(state: State, version: int, at_ms: int) -> State:
    got = FetchGot(copy_of(version), table(version))
    return replica.step(state, From(MEMBER, LIFE, got), Ms(at_ms))[0]


def version_in_force(state: State) -> int:
    got = state.in_force.get(FLOOR)
    return got.copy.version if got else 0


def test_a_value_that_arrives_after_the_next_answers_proves_its_own_probe() -> None:
    """Each value arrives after the answers to the next probe. If only the newest probe counted,
    nothing would ever be proved."""
    state = initial_state()
    for number in range(10):
        at_ms = 1_000 + 400 * number
        state, nonce = send_probe(state, at_ms)
        state = receive_answers(state, nonce, number + 1, at_ms + 5)
        if number:
            state = receive_value(state, number, at_ms + 10)
            assert (state.proved_ms, version_in_force(state)) == (at_ms - 400, number)
    assert len(state.pending_proofs) == 1


def test_a_newer_value_does_not_hide_the_one_that_was_named() -> None:
    state, nonce = send_probe(initial_state(), 1_000)
    state = receive_value(state, 7, 1_002)
    state = receive_value(state, 8, 1_003)
    state = receive_answers(state, nonce, 7, 1_005)
    assert (state.proved_ms, version_in_force(state)) == (1_000, 7)
    state, nonce = send_probe(state, 1_400)
    state = receive_answers(state, nonce, 8, 1_405)
    assert (state.proved_ms, version_in_force(state)) == (1_400, 8)


def test_an_older_probe_never_restores_an_older_value() -> None:
    state, first = send_probe(initial_state(), 1_000)
    state = receive_answers(state, first, 3, 1_005)
    state, second = send_probe(state, 1_400)
    state = receive_answers(state, second, 4, 1_405)
    state = receive_value(state, 4, 1_410)
    assert (state.proved_ms, version_in_force(state)) == (1_400, 4)
    state = receive_value(state, 3, 1_420)
    assert (state.proved_ms, version_in_force(state)) == (1_400, 4)
    assert state.pending_proofs == () and state.in_force == Map({FLOOR: state.in_force[FLOOR]})


def receive_different_answers(
    state: State, nonce: int, versions: tuple[int, int], at_ms: int
) -> list[str]:
    """Two of three members report different versions; returns the registers to be finished."""
    effects: tuple[object, ...] = ()
    for member, version in zip(MEMBERS, versions, strict=False):
        ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
        state, effects = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return [
        e.message.name for e in effects if isinstance(e, Send) and isinstance(e.message, Finish)
    ]


@pytest.mark.parametrize("proved", [False, True])
def test_a_round_in_progress_is_left_to_its_proposer(proved: bool) -> None:
    """A process does not interfere even if it has had no proof for long, or never: a second
    proposer would only delay the first one."""
    state = initial_state()
    if proved:
        state, nonce = send_probe(state, 1_000)
        state = receive_value(receive_answers(state, nonce, 1, 1_005), 1, 1_010)
    for number in range(20):
        at_ms = 1_400 + 200 * number
        state, nonce = send_probe(replace(state, next_probe_ms=Ms(0)), at_ms)
        assert receive_different_answers(state, nonce, (2 + number, 3 + number), at_ms + 5) == []
        ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(2 + number)), (), ())
        state, _ = replica.step(state, From(MEMBERS[0], LIFE, ack), Ms(at_ms + 5))


def test_an_interrupted_round_is_finished() -> None:
    state, finished = initial_state(), list[int]()
    for number in range(6):
        at_ms = 1_400 + 200 * number
        state, nonce = send_probe(replace(state, next_probe_ms=Ms(0)), at_ms)
        if receive_different_answers(state, nonce, (2, 3), at_ms + 5):
            finished.append(at_ms - 1_400)
        for member, version in zip(MEMBERS, (2, 3), strict=False):
            ack = ProbeAck(nonce, 1, (*NOTHING, copy_of(version)), (), ())
            state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms + 5))
    assert finished and 600 <= finished[0] <= 800


def document(version: int) -> bytes:
    return with_metadata(NUMBER_FORMAT.pack(0), NUMBER_FORMAT.pack(version))


def configuration(version: int) -> Copy:
    return Copy(CONFIGURATION, version, digest_of(document(version)), version, "m1")


def receive_copies(state: State, nonce: int, at_ms: int, floor: int, configured: int) -> State:
    """Two of three members report a placement table and a configuration."""
    copies = (*NOTHING[1:], configuration(configured), copy_of(floor))
    for member in MEMBERS[:2]:
        ack = ProbeAck(nonce, 1, copies, (), ())
        state, _ = replica.step(state, From(member, LIFE, ack), Ms(at_ms))
    return state


def finish_compilation(state: State, version: int, at_ms: int) -> State:
    done = CompileResult(configuration(version), document(version), object())
    return replica.step(state, done, Ms(at_ms))[0]


@pytest.mark.parametrize("core_node", [False, True])
def test_a_configuration_comes_into_force_without_the_table_of_its_probe(core_node: bool) -> None:
    """The placement table changed ten times while the configuration was compiled. If a probe proved
    only once all its values had arrived, the configuration would never come into force."""
    state, nonce = send_probe(replace(initial_state(), floor_needs_configuration=core_node), 1_000)
    state = receive_copies(state, nonce, 1_005, 5, 1)
    state = finish_compilation(state, 1, 1_300)
    assert state.in_force[CONFIGURATION].copy.version == 1 and state.proved_ms == -1
    state, nonce = send_probe(state, 1_400)
    state = receive_copies(state, nonce, 1_405, 9, 1)
    state = receive_value(state, 9, 1_410)
    assert (state.proved_ms, version_in_force(state)) == (1_400, 9)


@pytest.mark.parametrize("core_node", [False, True])
def test_a_core_node_uses_no_table_with_an_older_configuration(core_node: bool) -> None:
    """It would stop the instances of services that its older configuration lacks."""
    state, nonce = send_probe(replace(initial_state(), floor_needs_configuration=core_node), 1_000)
    state = finish_compilation(
        receive_value(receive_copies(state, nonce, 1_005, 5, 1), 5, 1_006), 1, 1_007
    )
    assert (state.proved_ms, version_in_force(state)) == (1_000, 5)
    state, nonce = send_probe(state, 1_400)
    state = receive_value(receive_copies(state, nonce, 1_405, 6, 2), 6, 1_410)
    assert state.in_force[CONFIGURATION].copy.version == 1
    assert version_in_force(state) == (5 if core_node else 6)
    assert state.proved_ms == 1_000
    state = finish_compilation(state, 2, 1_500)
    assert (state.proved_ms, version_in_force(state)) == (1_400, 6)
