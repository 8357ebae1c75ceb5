"""How soon the core works again after it failed, and what may delay its return."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from spokeroute.common.answers import Answer
from spokeroute.common.bounds import Bounds
from spokeroute.common.clock import monotonic_ms
from spokeroute.common.effects import Effects, From, Send, SendAddress, SlotId, Tell, Tick
from spokeroute.common.ids import Address, Epoch, Incarnation, MemberId, Ms, NodeId, Term
from spokeroute.dispatch.placement import role
from spokeroute.dispatch.placement.role import Resign, RoleHolder, pack_role
from spokeroute.register.cells import Roster
from spokeroute.register.changes import Ask, Outcome, Read, Settled, Swap
from spokeroute.register.proposer import proposer
from spokeroute.transport.frames import Envelope, encode
from spokeroute.transport.messages import Finish, Heartbeat, Prepare, RoleFree
from spokeroute.transport.net import Loop, parse_address
from spokeroute.transport.process import Me, Process
from tests.sim.acts import holder_of
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.ports import free_ports

WRITE_MS, PROOF_MS, ROLE_MS = 600, 1_000, 1_200


@pytest.fixture
def core(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A cluster with a given seed, disk sync time and number of registries."""
    seed, sync_ms, registries = request.param
    bounds = Bounds(catch_up_ms=4_000, members=registries)
    made = Sim(seed, 9, sync_ms=sync_ms, registries=registries, bounds=bounds)
    made.settle()
    made.traffic(60, 30_000)
    made.run(3_000)
    yield made
    made.close()


EACH = pytest.mark.parametrize(
    "core", [(1, 0.5, 3), (2, 5.0, 3), (3, 5.0, 3), (4, 5.0, 5), (5, 0.5, 5)], indirect=True
)


def kill_and_restart(sim: Sim, nodes: list[Node], within_ms: float) -> None:
    """Kills processes at the same time; each returns within a second, in random order."""
    for node in nodes:
        node.kill()
    order = list(nodes)
    sim.rng.shuffle(order)
    sim.run(400)
    for node in order:
        node.start()
        sim.run(within_ms / len(order))


@dataclass
class Times:
    """How long after the core's return each operation first worked; -1 until then."""

    write: float = -1.0
    read: float = -1.0
    role: float = -1.0
    proof: float = -1.0


def returned(sim: Sim, most_ms: float = 6_000) -> Times:
    """Requests every operation of the returned core at once, and measures the times."""
    back_ms = sim.env.now
    wrote = sim.apply(configuration(name="after"), registry=0)
    shown = [sim.show(i) for i in range(len(sim.registries))]
    times = Times()
    while sim.env.now < back_ms + most_ms and -1.0 in vars(times).values():
        sim.run(10)
        took = sim.env.now - back_ms
        seen = {
            "write": wrote.status == 200,
            "read": all(t.status == 200 for t in shown),
            "role": any(r.state("role").term for r in sim.registries),
            "proof": all(_proved(e, int(took)) for e in sim.exchanges),
        }
        for name, there in seen.items():
            if there and getattr(times, name) < 0:
                setattr(times, name, took)
    print(times)
    return times


def _proved(exchange: Node, took_ms: int) -> bool:
    tables = exchange.state("calls").tables
    return tables.table is not None and tables.proved_ms >= exchange.now_ms() - took_ms


def _in_time(times: Times) -> None:
    assert 0 <= times.write <= WRITE_MS and 0 <= times.read <= WRITE_MS
    assert 0 <= times.proof <= PROOF_MS
    assert 0 <= times.role <= ROLE_MS


@EACH
def test_the_core_works_soon_after_it_was_killed(core: Sim) -> None:
    kill_and_restart(core, core.registries, 600)
    _in_time(returned(core))


@EACH
def test_the_core_works_soon_after_all_nodes_were_killed(core: Sim) -> None:
    kill_and_restart(core, core.nodes, 600)
    _in_time(returned(core))


@pytest.mark.parametrize("core", [(1, 5.0, 3), (2, 0.5, 5)], indirect=True)
def test_a_long_outage_does_not_delay_the_recovery(core: Sim) -> None:
    """A member that stayed and kept retrying starts over when the others are back."""
    stays = core.registries[0]
    gone = core.registries[1:]
    for node in gone:
        node.kill()
    core.run(9_000)
    for node in gone:
        node.start()
    _in_time(returned(core))
    assert stays.births == 1


@pytest.mark.parametrize("core", [(1, 0.5, 3), (2, 5.0, 5)], indirect=True)
def test_a_failed_holder_is_replaced_after_its_lease(core: Sim) -> None:
    holder = holder_of(core)
    term = holder.state("role").term
    holder.kill()
    holder.machine_up = False
    gone_ms = core.env.now
    assert core.up_to(
        lambda: any(r.alive and r.state("role").term > term for r in core.registries), 4_000
    )
    assert core.env.now - gone_ms <= 2_200


@pytest.mark.parametrize("core", [(1, 0.5, 3), (2, 5.0, 3)], indirect=True)
@pytest.mark.parametrize("how", ["killed", "blank", "stopped"])
def test_a_void_lease_is_not_waited_for(core: Sim, how: str) -> None:
    """The holder restarted, lost its disk, or stopped in order."""
    holder = holder_of(core)
    term = holder.state("role").term
    if how == "stopped":
        holder.report("role", Resign(), holder.births)
    else:
        holder.kill()
        core.run(300)
        holder.start(blank=how == "blank")
    void_ms = core.env.now
    assert core.up_to(
        lambda: any(r.alive and r.state("role").term > term for r in core.registries), 4_000
    )
    assert core.env.now - void_ms <= 900


def test_two_members_never_hold_the_role_at_once() -> None:
    """Holders are killed, frozen, restarted and cut off; leases never overlap in real time."""
    sim = Sim(11, 3)
    sim.settle()
    for number in range(40):
        node = sim.rng.choice(sim.registries)
        act = sim.rng.randrange(4)
        if act == 0:
            node.kill()
            sim.run(sim.rng.uniform(50, 1_500))
            node.start()
        elif act == 1:
            node.freeze()
            sim.run(sim.rng.uniform(50, 4_000))
            node.wake()
        elif act == 2:
            cut = {(node.name, o.name) for o in sim.registries} | {
                (o.name, node.name) for o in sim.registries
            }
            sim.net.cuts |= cut
            sim.run(sim.rng.uniform(50, 4_000))
            sim.net.cuts.clear()
        else:
            node.report("role", Resign(), node.births)
            sim.run(50)
            node.kill()
            node.start()
        for _ in range(sim.rng.randrange(5, 60)):
            sim.run(10)
            holds = [
                r.name
                for r in sim.registries
                if r.alive and r.state("role").term and r.now_ms() < r.state("role").lease_until_ms
            ]
            assert len(holds) <= 1, (number, holds)
    sim.close()


ME, OTHER = NodeId("m1"), NodeId("m2")


def requested_operation(effects: tuple[object, ...]) -> Ask:
    return next(e.event for e in effects if isinstance(e, Tell) and isinstance(e.event, Ask))


def settle_read(
    state: role.State, ask: Ask, holder: RoleHolder, version: int, now_ms: int
) -> tuple[role.State, Effects]:
    settled = Settled(ask.op_id, "placement", Outcome.DONE, version, pack_role(holder), False)
    return role.step(state, settled, Ms(now_ms))


def test_a_late_message_of_an_earlier_incarnation_frees_no_role() -> None:
    """A member's incarnations are counted on its disk: only a later one voids a lease."""
    state = role.State(ME, 5, (ME, OTHER))
    state, effects = role.step(state, Tick(), Ms(10))
    state, _ = settle_read(state, requested_operation(effects), RoleHolder(OTHER, 7, 3), 9, 12)
    for incarnation, wanted in ((6, False), (7, False), (8, True)):
        alive = From(
            OTHER, Incarnation(incarnation), Heartbeat(1, True, False, (), "", True, False)
        )
        state, _ = role.step(state, alive, Ms(20))
        state, effects = role.step(state, Tick(), Ms(30))
        state, effects = role.step(state, Tick(), Ms(400))
        assert any(isinstance(e, Tell) for e in effects) == wanted, incarnation


def test_a_released_role_is_read_before_it_is_taken() -> None:
    state = role.State(ME, 5, (ME, OTHER))
    state, effects = role.step(state, Tick(), Ms(10))
    state, _ = settle_read(state, requested_operation(effects), RoleHolder(OTHER, 7, 3), 9, 12)
    state, _ = role.step(state, From(OTHER, Incarnation(7), RoleFree(3)), Ms(20))
    state, _ = role.step(state, Tick(), Ms(30))
    state, effects = role.step(state, Tick(), Ms(300))
    ask = requested_operation(effects)
    assert isinstance(ask.change, Read)
    state, effects = settle_read(state, ask, RoleHolder("", 0, 3), 10, 310)
    offer = requested_operation(effects)
    assert isinstance(offer.change, Swap) and state.offered_term == Term(4)
    assert offer.change.expect == 10


def test_an_open_round_restarts_when_a_member_is_back() -> None:
    """The first request was lost at the stopped machine and is not waited for."""
    members = tuple((MemberId(f"m{i}"), Address(f"10.0.0.{i}:1")) for i in range(3))
    state = proposer.State(MemberId("m0"), 1, Roster(Epoch(1), members))
    state, effects = proposer.step(state, Ask("op", "floor", Read(), ""), Ms(0))
    assert len(effects) == 3
    alive = From(NodeId("m1"), Incarnation(4), Heartbeat(1, True, False, (), "", True, False))
    state, _ = proposer.step(state, alive, Ms(100))
    prepares: list[Send] = []
    for now_ms in range(110, 180, 10):
        state, effects = proposer.step(state, Tick(), Ms(now_ms))
        prepares += [e for e in effects if isinstance(e, Send) and isinstance(e.message, Prepare)]
    assert len(prepares) == 3
    state, effects = proposer.step(state, alive, Ms(300))  # the same incarnation, heard again
    state, effects = proposer.step(state, Tick(), Ms(330))
    assert effects == ()


class LoopWorld:
    """The minimal world of a process on a real event loop."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop

    def now_ms(self) -> Ms:
        return monotonic_ms()

    def send(self, address: Address, frame: bytes) -> None:
        self.loop.send(address, frame)

    def cut(self, address: Address) -> None:
        self.loop.cut(address)

    def launch(self, actor: str, job: object) -> None: ...

    def reply(self, slot: SlotId, answer: Answer) -> None: ...

    def note(self, text: str, alarm: bool) -> None: ...

    def fatal(self, fault: BaseException) -> None:
        raise fault


@pytest.fixture
def talker() -> Iterator[tuple[str, socket.socket, threading.Thread]]:
    """A process on a real event loop that sends a message to a server at every tick."""
    here, there = (f"127.0.0.1:{p}" for p in free_ports(2))
    server = socket.create_server(parse_address(there), backlog=0)
    server.settimeout(5)
    loop = Loop(Address(here))
    me = Me(NodeId("m1"), Incarnation(1), Address(here), "exchange", "north")
    process = Process(me, LoopWorld(loop))

    def step(state: int, event: object, now_ms: Ms) -> tuple[int, Effects]:
        return state, (SendAddress(Address(there), Finish("floor")),)

    process.add("talker", 0, step, takes=(Finish,))
    thread = threading.Thread(target=loop.run, args=(process,), daemon=True)
    yield here, server, thread
    loop.stop()
    thread.join(5)
    process.close()
    server.close()


def test_a_machine_that_is_back_is_connected_at_once(
    talker: tuple[str, socket.socket, threading.Thread],
) -> None:
    """While the machine was away, the SYN packet was lost, and the kernel retries it only after
    seconds."""
    _, server, thread = talker
    crowd = [
        socket.socket() for _ in range(3)
    ]  # they fill the accept queue: further SYNs are dropped
    for each in crowd:
        each.setblocking(False)
        each.connect_ex(server.getsockname())
    time.sleep(0.1)
    thread.start()
    time.sleep(1.3)
    back_s = time.monotonic()
    heard = False
    while not heard:
        sock, _ = server.accept()
        sock.settimeout(0.05)
        with contextlib.suppress(TimeoutError):
            heard = bool(sock.recv(100))
    assert time.monotonic() - back_s < 0.55
    for each in crowd:
        each.close()


def test_a_new_incarnation_at_an_address_gets_a_new_connection(
    talker: tuple[str, socket.socket, threading.Thread],
) -> None:
    """The machine lost power, so the connection to the earlier incarnation still looks open. A late
    frame of that incarnation closes nothing."""
    here, server, thread = talker
    address = f"127.0.0.1:{server.getsockname()[1]}"
    thread.start()
    first, _ = server.accept()
    first.settimeout(5)
    speaker = socket.create_connection(parse_address(Address(here)))
    for incarnation in (1, 1, 2):
        time.sleep(0.05)
        speaker.sendall(encode(Envelope("m2", incarnation, address, "", Finish("floor"))))
    second, _ = server.accept()
    second.settimeout(0.05)
    while first.recv(65536):
        pass  # ends once the event loop has closed it
    speaker.sendall(encode(Envelope("m2", 1, address, "", Finish("floor"))))
    until = time.monotonic() + 0.5
    while time.monotonic() < until:
        assert second.recv(65536)
    for each in (first, second, speaker):
        each.close()
