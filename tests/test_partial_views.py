"""Nodes know only part of the fleet: a node also writes to holders that are in nobody's view.

It knows the address of such a holder only from the placement table.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import Send, Unreached
from spokeroute.common.ids import Address, Incarnation, NodeId
from spokeroute.transport import peers
from spokeroute.transport.call_messages import Ping, RoomAsk
from spokeroute.transport.frames import decode
from spokeroute.transport.process import Me, Process
from tests.sim.cluster import Sim
from tests.sim.rare_services import with_rare_services
from tests.test_scenarios import clean

BOOT_MS = 700.0
SERVICES = 40
THERE = Address("10.9.0.1:1")


class Recorder:
    """A world that records what was sent and which connections were cut."""

    def __init__(self) -> None:
        self.sent: list[tuple[Address, object]] = []
        self.cuts: list[Address] = []

    def now_ms(self) -> int:
        return 0

    def send(self, address: Address, frame: bytes) -> None:
        self.sent.append((address, decode(frame).message))

    def cut(self, address: Address) -> None:
        self.cuts.append(address)


def process() -> tuple[Process, Recorder]:
    world = Recorder()
    me = Me(NodeId("ex1"), Incarnation(1), Address("10.1.0.1:1"), "exchange", "north")
    made: Any = Process(me, world)  # type: ignore[arg-type]
    return made, world


def test_an_address_given_once_is_remembered() -> None:
    here, world = process()
    here.perform("calls", Send(NodeId("ex2"), Ping()))
    assert world.sent == []  # its address is unknown
    here.perform("calls", Send(NodeId("ex2"), RoomAsk("a"), THERE))
    here.perform("calls", Send(NodeId("ex2"), Ping()))
    here.perform("calls", Unreached(NodeId("ex2")))
    assert world.sent == [(THERE, RoomAsk("a")), (THERE, Ping())]
    assert world.cuts == [THERE]


def test_a_nodes_own_address_overrides_one_from_others() -> None:
    here, world = process()
    here.perform("calls", Send(NodeId("ex2"), Ping(), THERE))
    here.sender_addresses[NodeId("ex2")] = Address("10.9.0.2:1")
    here.perform("calls", Send(NodeId("ex2"), Ping()))
    assert [address for address, _ in world.sent] == [THERE, "10.9.0.2:1"]


@pytest.fixture(params=[1, 2, 3])
def sparse(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[Sim]:
    """Twelve exchanges that know three others each; services that boot for longer than the silence
    time-out."""
    monkeypatch.setattr(peers, "VIEW_SIZE", 4)
    monkeypatch.setattr(peers, "SHUFFLE_SIZE", 2)
    bounds = Bounds(rejection_safe=True, stop_drains=True, stale_ms=9_000)
    sim = Sim(request.param, 12, bounds=bounds)
    sim.platform.own_names = True
    sim.platform.start_small_ms = BOOT_MS
    sim.settle(with_rare_services("sparse", SERVICES, BOOT_MS))
    yield sim
    sim.close()


def test_calls_that_wait_for_a_boot_succeed_at_holders_in_nobodys_view(sparse: Sim) -> None:
    """Nothing fails here, so no call may end with 502."""
    asked = []
    for number in range(SERVICES):
        asked.append(sparse.call(f"/rare/{number}", sparse.exchanges[number % 12]))
        sparse.run(70)
    sparse.run(4_000)
    ended = [(each.status, each.kind) for each in asked if each.status != 200]
    assert ended == []
    clean(sparse)
