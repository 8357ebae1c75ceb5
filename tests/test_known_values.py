"""Promises omit a value only if the proposer already has it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from immutables import Map

from spokeroute.common.ids import CONFIGURATION, Address, MemberId
from spokeroute.register.proposer.known_values import (
    known_digest,
    with_known_bytes,
    with_known_value,
)
from spokeroute.transport.frames import decode
from spokeroute.transport.messages import Copy, Promise
from tests.sim.changing import core_of
from tests.sim.cluster import Sim, configuration
from tests.sim.net import Steps
from tests.sim.world import Node


@pytest.fixture
def core() -> Iterator[Sim]:
    made = core_of(3, registries=5)
    yield made
    made.close()


def watched(sim: Sim) -> list[Promise]:
    """Record the promises for the configuration register that cross the network from now on."""
    seen: list[Promise] = []
    original = sim.net._carry

    def carried(sender: Node, address: Address, frame: bytes) -> Steps:
        message = decode(frame).message
        if isinstance(message, Promise) and message.name == CONFIGURATION and message.ok:
            seen.append(message)
        return original(sender, address, frame)

    sim.net._carry = carried  # type: ignore[method-assign]
    return seen


def member(sim: Sim, registry: int) -> MemberId:
    disk = sim.registries[registry].disk
    assert disk is not None
    return disk.member


def applied(sim: Sim, registry: int, name: str) -> None:
    told = sim.apply(configuration(name=name), registry=registry)
    assert sim.up_to(lambda: told.status == 200, 4_000), told
    sim.run(200)


def test_promises_omit_the_value_that_the_proposer_wrote(core: Sim) -> None:
    applied(core, 1, "first")
    seen = watched(core)
    applied(core, 1, "second")
    mine = [each for each in seen if each.member == member(core, 1)]
    assert len(mine) >= 2 and {each.value for each in mine} == {b""}
    assert all(each.accepted.digest for each in mine)


def test_promises_include_the_newest_value_if_the_proposer_has_another(core: Sim) -> None:
    applied(core, 1, "first")
    applied(core, 2, "second")
    seen = watched(core)
    applied(core, 1, "third")
    mine = [each for each in seen if each.member == member(core, 1)]
    first = min(each.counter for each in mine)
    values = [each.value for each in mine if each.counter == first]
    assert len(values) >= 2 and all(values)
    shown = core.show(3)
    core.run(500)
    assert shown.doc["configuration"]["name"] == "third"


def test_an_omitted_value_is_restored_only_if_its_digest_matches() -> None:
    copy = Copy(CONFIGURATION, 3, "d3", 3, "m1")
    known = with_known_value(Map(), copy, b"three")
    assert known_digest(known, CONFIGURATION) == "d3"
    assert with_known_value(known, Copy("claim/k", 1, "c", 1, "m1"), b"claim") == known

    def promise(digest: str, value: bytes) -> Promise:
        accepted = Copy(CONFIGURATION, 3, digest, 3, "m1")
        return Promise(1, CONFIGURATION, 9, "m2", True, 9, accepted, value, -1)

    left_out = with_known_bytes(known, promise("d3", b""))
    assert left_out is not None and left_out.value == b"three"
    assert with_known_bytes(known, promise("other", b"")) is None
    assert with_known_bytes(Map(), promise("d3", b"")) is None
    whole, nothing = promise("other", b"other"), promise("", b"")
    assert with_known_bytes(known, whole) is whole and with_known_bytes(known, nothing) is nothing
