"""Operators' orders that are read late: a copy of an older order must not undo a newer one."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest
from waitress import wasyncore

from spokeroute.common.answers import Answer
from spokeroute.dispatch.placement.table import EvacuationChange, pack_evacuated, unpack_evacuated
from spokeroute.http.arrivals import ARRIVAL_MARK, MarkingServer, serve
from spokeroute.http.wsgi import respond
from spokeroute.register.cells import digest_of
from spokeroute.register.seen_values import SeenRegisters, SeenValue
from spokeroute.registry.status import seen_registers
from tests.sim.cluster import Sim
from tests.test_numbers import in_force, named, ready, wait

REQUEST = b"PUT /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Versions:
    """What a registry has seen, and the marks that requests reached its application with."""

    def __init__(self) -> None:
        self.seen = 1
        self.marks: list[object] = []

    def app(self, environ: dict[str, Any], start: Any) -> Any:
        self.marks.append(environ[ARRIVAL_MARK])
        return respond(Answer(200, (), b"{}"), start)


class TurnDispatcher:
    """Runs requests on the test's thread, after the turn of the loop that read them."""

    def __init__(self) -> None:
        self.tasks: list[Any] = []

    def add_task(self, task: Any) -> None:
        self.tasks.append(task)

    def run(self) -> None:
        while self.tasks:
            self.tasks.pop(0).service()


@pytest.fixture
def versions() -> Versions:
    return Versions()


@pytest.fixture
def server(versions: Versions) -> Iterator[MarkingServer]:
    """A listening server whose loop turns only when a test turns it."""
    made = serve(versions.app, "127.0.0.1:0", 1, 1 << 20, lambda: versions.seen)
    made.task_dispatcher = TurnDispatcher()
    yield made
    made.close()


def turn(server: MarkingServer, turns: int = 6) -> None:
    """Let the server's loop turn, as it does while its process runs."""
    for _ in range(turns):
        wasyncore.poll2(0.01, server._map)
        server.task_dispatcher.run()


def connect(server: MarkingServer) -> socket.socket:
    return socket.create_connection((server.effective_host, int(server.effective_port)), timeout=5)


def test_a_request_of_a_frozen_process_has_the_mark_from_before(
    server: MarkingServer, versions: Versions
) -> None:
    """The kernel takes connection and request while the process is stopped; when it wakes it may
    learn what is new before it reads the request."""
    turn(server)
    with connect(server) as sock:
        sock.sendall(REQUEST)
        versions.seen = 3
        turn(server)
    assert versions.marks == [1]


def test_a_request_held_back_on_an_open_connection_has_the_mark_from_before(
    server: MarkingServer, versions: Versions
) -> None:
    """A cut holds the bytes back; the process runs all the while."""
    with connect(server) as sock:
        turn(server)
        versions.seen = 3
        turn(server)
        sock.sendall(REQUEST)
        turn(server)
        answer = sock.recv(65536)
    assert versions.marks == [1]
    assert b"Connection: close" in answer  # so that what follows gets a newer mark


def test_connections_that_waited_together_all_have_the_mark_from_before(
    server: MarkingServer, versions: Versions
) -> None:
    turn(server)
    waiting = [connect(server) for _ in range(5)]
    versions.seen = 3
    for each in waiting:
        each.sendall(REQUEST)
    turn(server, 12)
    for each in waiting:
        each.close()
    assert versions.marks == [1] * 5


def test_a_new_connection_has_the_newest_mark(server: MarkingServer, versions: Versions) -> None:
    for seen in (1, 2, 3):
        versions.seen = seen
        server.refresh()
        turn(server)
        with connect(server) as sock:
            sock.sendall(REQUEST)
            turn(server)
    assert versions.marks == [1, 2, 3]


def test_a_kept_connection_stays_open_while_nothing_changes(
    server: MarkingServer, versions: Versions
) -> None:
    with connect(server) as sock:
        for _ in range(3):
            sock.sendall(REQUEST)
            turn(server)
            assert b"Connection: close" not in sock.recv(65536)
    assert versions.marks == [1, 1, 1]


def test_an_order_that_may_be_older_than_the_newest_one_changes_nothing() -> None:
    first = pack_evacuated(frozenset({"north"}))
    second = pack_evacuated(frozenset())
    seen = SeenValue(1, digest_of(first))
    order = EvacuationChange("north", False, (), "r-1", seen=seen)
    assert unpack_evacuated(order.decide(1, first) or b"") == frozenset()
    again = pack_evacuated(frozenset({"north"}))
    assert order.decide(3, again) is None
    # A member may have seen a value that was never chosen under its version.
    other = SeenValue(1, digest_of(second))
    assert EvacuationChange("north", False, (), "r-2", seen=other).decide(1, first) is None
    assert EvacuationChange("north", False, (), "r-3", seen=SeenValue(2)).decide(1, first)


def registers_seen_by(sim: Sim, registry: int) -> SeenRegisters:
    process = sim.registries[registry].process
    assert process is not None
    return seen_registers(process)


def seen_by(sim: Sim, registry: int) -> SeenValue:
    return registers_seen_by(sim, registry).evacuation


@pytest.mark.parametrize("out", [True, False])
def test_a_late_copy_is_refused_and_a_meant_order_is_not(sim: Sim, out: bool) -> None:
    """Both directions: a late restore after an evacuation, a late evacuation after a restore."""
    ready(sim)
    assert wait(sim, sim.evacuate("north", out, 0)).status == 200
    before = seen_by(sim, 1)
    assert wait(sim, sim.evacuate("north", not out, 2)).status == 200
    assert wait(sim, sim.evacuate("north", out, 0)).status == 200
    late = wait(sim, sim.evacuate("north", not out, 1, seen=before))
    assert (late.status, late.doc["kind"]) == (503, "overtaken")
    stands = ["north"] if out else []
    assert wait(sim, sim.evacuated(1)).doc["evacuated"] == stands
    meant = wait(sim, sim.evacuate("north", not out, 1, seen=seen_by(sim, 1)))
    assert meant.status == 200


def test_opposite_orders_in_quick_succession_are_all_taken(sim: Sim) -> None:
    """Each at another member, as soon as the one before was acknowledged and 20 ms passed."""
    ready(sim)
    for count in range(12):
        sim.run(20)
        registry = count % 3
        out = count % 2 == 0
        told = wait(sim, sim.evacuate("north", out, registry, seen=seen_by(sim, registry)))
        assert (told.status, told.doc["evacuated"]) == (200, ["north"] if out else [])


def test_an_order_that_was_applied_is_acknowledged_again_however_late(sim: Sim) -> None:
    ready(sim)
    before = seen_by(sim, 1)
    assert wait(sim, sim.evacuate("north", True, 0, "e-1")).status == 200
    assert wait(sim, sim.evacuate("north", False, 2, "r-1")).status == 200
    again = wait(sim, sim.evacuate("north", True, 1, "e-1", seen=before))
    assert (again.status, again.doc["evacuated"]) == (200, [])
    # One with an id that nobody carried out is no newer for it.
    lost = wait(sim, sim.evacuate("north", True, 1, "e-2", seen=before))
    assert (lost.status, lost.doc["kind"]) == (503, "overtaken")


def test_a_late_configuration_without_a_number_does_not_replace_a_newer_one(sim: Sim) -> None:
    ready(sim)
    assert wait(sim, sim.apply(named("one"))).status == 200
    before = registers_seen_by(sim, 1).configuration
    assert wait(sim, sim.apply(named("two"), 2)).status == 200
    late = wait(sim, sim.apply(named("one"), 1, seen=before))
    assert (late.status, late.doc["kind"]) == (503, "overtaken")
    assert in_force(sim)["name"] == "two"
    newest = registers_seen_by(sim, 1).configuration
    assert wait(sim, sim.apply(named("three"), 1, seen=newest)).status == 200


def test_the_refusal_names_the_remedy_and_is_counted(sim: Sim) -> None:
    ready(sim)
    before = seen_by(sim, 1)
    assert wait(sim, sim.evacuate("north", True, 0)).status == 200
    late = wait(sim, sim.evacuate("centre", True, 1, seen=before))
    assert "new connection" in late.doc["remedy"] and json.dumps(late.doc)
    assert sim.registries[1].state("operator").overtaken == 1
    assert any("refused to evacuate centre" in text for _, _, text in sim.notes)
