"""An answer to a probe omits copies that the probe named, without any other effect."""

from __future__ import annotations

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from spokeroute.common.ids import SPREAD
from spokeroute.common.replacing import replace
from spokeroute.register.replica.copy_fingerprints import (
    FINGERPRINT_BYTES,
    fingerprints,
    with_named_copies,
    without_known_copies,
)
from spokeroute.transport.frames import Envelope, encode
from spokeroute.transport.messages import Copy, ProbeAck
from tests.sim.cluster import Sim
from tools.log import Told

COPIES = st.builds(
    lambda versions, counters: tuple(
        Copy(name, version, f"{version:064x}", counter, "m1")
        for name, version, counter in zip(SPREAD, versions, counters, strict=True)
    ),
    st.tuples(*[st.integers(0, 3)] * len(SPREAD)),
    st.tuples(*[st.integers(-1, 3)] * len(SPREAD)),
)


def by_name(copies: tuple[Copy, ...]) -> Map[str, Copy]:
    return Map({copy.name: copy for copy in copies})


@given(COPIES, COPIES)
def test_the_sender_restores_all_copies_of_a_member(
    named: tuple[Copy, ...], has: tuple[Copy, ...]
) -> None:
    reduced = without_known_copies(fingerprints(by_name(named)), has)
    assert by_name(with_named_copies(by_name(named), reduced)) == by_name(has)
    assert {copy.name for copy in reduced} == {
        one.name for one, other in zip(has, named, strict=True) if one != other
    }


@pytest.mark.parametrize("named", [b"", b"short", bytes(FINGERPRINT_BYTES * len(SPREAD) + 1)])
def test_malformed_fingerprints_name_no_copy(named: bytes) -> None:
    has = tuple(Copy(name, 1, "d", 1, "m1") for name in SPREAD)
    assert without_known_copies(named, has) == has


def test_an_answer_without_changes_is_short() -> None:
    has = tuple(Copy(name, 9, "d" * 64, 1_000, "m-123456") for name in SPREAD)
    reduced = without_known_copies(fingerprints(by_name(has)), has)
    ack = ProbeAck(1, 1, reduced, (), ())
    long = len(encode(Envelope("m1", 1, "h:1", "e1", replace(ack, copies=has))))
    short = len(encode(Envelope("m1", 1, "h:1", "e1", ack)))
    assert 4 * short < long


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_proofs_continue_across_changes_and_restarts(seed: int) -> None:
    """Shortened answers prove the newest configuration on every exchange, also after members were
    away and restarted."""
    sim = Sim(seed)
    sim.settle()
    for number in range(4):
        node = sim.registries[number % 3]
        node.kill()
        reply = sim.apply({**_document(sim), "name": f"n{number}"}, (number + 1) % 3)
        assert sim.up_to(partial(_is_done, reply), 6_000)
        node.start()
        sim.run(3_000)
        versions = {
            e.state("replica").in_force["configuration"].copy.version for e in sim.exchanges
        }
        assert len(versions) == 1
    sim.close()


def _is_done(reply: Told) -> bool:
    return reply.status == 200


def _document(sim: Sim) -> dict[str, object]:
    document: dict[str, object] = sim.told[0].sent
    return document
