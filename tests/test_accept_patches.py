"""Accept requests send a placement table as a patch to members that have the previous one."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import From, Send
from spokeroute.common.ids import FLOOR, Address, Ballot, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.acceptor import acceptor
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.changes import Ask, Swap
from spokeroute.register.patches import make_patch
from spokeroute.register.proposer import proposer
from spokeroute.register.proposer.accept_requests import expand_accept
from spokeroute.register.proposer.known_values import with_known_value
from spokeroute.transport.frames import decode
from spokeroute.transport.messages import Accept, AcceptPatch, Copy, Promise
from tests.sim.cluster import Sim
from tests.sim.net import Steps
from tests.sim.world import Node
from tests.test_patches import table

ME, OTHERS = MemberId("m1"), (MemberId("m2"), MemberId("m3"))
ROSTER = Roster(Epoch(1), tuple((m, Address(f"{m}:1")) for m in (ME, *OTHERS)))
OLD, NEW, ELSE = table(1), table(2, 3), table(9, 40)


def asked(promised: dict[str, bytes]) -> dict[str, object]:
    """The requests that a proposer which knows the old table sends after these promises."""
    state = proposer.start(ME, 7, ROSTER, 1)
    copy = Copy(FLOOR, 4, digest_of(OLD), 4, "m1")
    state = replace(state, known_values=with_known_value(state.known_values, copy, OLD))
    swap = Ask("op", FLOOR, Swap(4, NEW), "placement")
    state, effects = proposer.step(state, swap, Ms(10))
    prepare: Any = next(e.message for e in effects if isinstance(e, Send))
    out: dict[str, object] = {}
    for member, value in promised.items():
        accepted = Copy(FLOOR, 4, digest_of(value), 4, "m1")
        told = b"" if value == OLD else value
        promise = Promise(
            1, FLOOR, prepare.counter, prepare.member, True, prepare.counter, accepted, told, -1, 1
        )
        event = From(NodeId(member), Incarnation(1), promise)
        state, effects = proposer.step(state, event, Ms(20))
        out.update({e.to: e.message for e in effects if isinstance(e, Send)})
    return out


def test_a_member_with_the_previous_table_gets_a_patch() -> None:
    sent = asked({"m2": OLD, "m1": OLD})
    assert isinstance(sent["m2"], AcceptPatch) and isinstance(sent["m3"], AcceptPatch)
    assert isinstance(sent["m1"], Accept)  # sent to itself, so the size does not matter


def test_a_member_with_another_value_gets_the_full_value() -> None:
    sent = asked({"m2": ELSE, "m1": OLD})
    whole = sent["m2"]
    assert isinstance(whole, Accept) and whole.value == NEW
    assert isinstance(sent["m3"], AcceptPatch)


def member(value: bytes) -> acceptor.State:
    cell = Cell(Ballot(4, ME), Ballot(4, ME), 4, digest_of(value), value)
    return acceptor.start(OTHERS[0], ROSTER, True, Map({FLOOR: cell}))


def patch_ask() -> AcceptPatch:
    patch = make_patch(digest_of(OLD), OLD, Copy(FLOOR, 5, digest_of(NEW), 9, "m1"), NEW)
    assert patch is not None
    return AcceptPatch(1, patch)


def test_a_member_accepts_the_patched_value() -> None:
    event = From(NodeId("m1"), Incarnation(1), patch_ask())
    state, effects = acceptor.step(member(OLD), event, Ms(5))
    assert state.cells[FLOOR].value == NEW
    assert effects  # the write to its disk


def test_a_member_without_the_base_accepts_nothing_and_answers_nothing() -> None:
    event = From(NodeId("m1"), Incarnation(1), patch_ask())
    state, effects = acceptor.step(member(ELSE), event, Ms(5))
    assert state.cells[FLOOR].value == ELSE and effects == ()


def test_a_patch_with_a_wrong_result_digest_is_not_accepted() -> None:
    ask = patch_ask()
    wrong = replace(ask, patch=replace(ask.patch, copy=replace(ask.patch.copy, digest="0" * 64)))
    assert expand_accept(member(OLD), wrong) is None


@pytest.fixture
def cluster() -> Iterator[Sim]:
    made = Sim(5, registries=5, bounds=Bounds(members=5))
    yield made
    made.close()


def test_tables_are_sent_as_patches_in_a_running_cluster(cluster: Sim) -> None:
    """Also while members restart: each ends with the newest table, and full accept requests go
    only to members that lack the previous one."""
    seen: list[object] = []
    original = cluster.net._carry

    def carried(sender: Node, address: Address, frame: bytes) -> Steps:
        message = decode(frame).message
        if isinstance(message, AcceptPatch):
            seen.append(message)
        return original(sender, address, frame)

    cluster.net._carry = carried  # type: ignore[method-assign]
    cluster.settle()
    cluster.traffic(60, 12_000)
    for node in (cluster.registries[4], cluster.registries[1]):
        node.kill()
        cluster.run(2_000)
        node.start()
        cluster.run(3_000)
    cluster.run(6_000)
    digests = {r.state("acceptor").synced[FLOOR].digest for r in cluster.registries}
    assert len(digests) == 1
    assert len(seen) >= 4
