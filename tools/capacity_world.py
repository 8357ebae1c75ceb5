"""Hollow nodes: the product's own cores and frames, many to a process, on a simulated clock and
network. Sockets, threads, disks, callers and instances are not there; their answers come after a
simulated time, and what the edges would read or parse is read and parsed here."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from spokeroute.common.answers import Answer, Ran
from spokeroute.common.effects import Send, SlotId
from spokeroute.common.ids import Address, Ms, NodeId, Version
from spokeroute.dispatch.configuration import build_table
from spokeroute.dispatch.platform import ListPlatform, PlatformCall
from spokeroute.exchange.connect import Connect
from spokeroute.exchange.types import AttemptDone, Revoke, SendAttempt
from spokeroute.ledger.writer import LedgerWrite, LedgerWritten
from spokeroute.nodes import Start, build_exchange
from spokeroute.register.acceptor import DiskDone, DiskWrite
from spokeroute.register.disk import Loaded
from spokeroute.register.replica import Compile, Compiled
from spokeroute.registry.platform_edge import read_listing
from spokeroute.registry_node import build_registry
from spokeroute.transport.process import Me, Process
from tools.capacity_meter import Meter
from tools.capacity_platform import HollowPlatform
from tools.capacity_size import REGION_OF

TICK_MS = 20
SYNC_MS = 5.0
COMPILE_MS = 5.0
WORK_MS = 40.0
REACH_MS = 1.5  # a kept connection to an instance
ZONE_MS, ZONES_MS, REGIONS_MS = 0.2, 1.4, 30.0


@dataclass(frozen=True, slots=True)
class Stamp:
    """Something that happened at a simulated time."""

    at_ms: float
    what: str
    name: str


class Clock:
    """The simulated clock and what is due on it.

    Example:
        clock = Clock()
        clock.after(5, act)
        clock.run(10)
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def after(self, wait_ms: float, act: Callable[[], None]) -> None:
        """Let something happen later."""
        self.count += 1
        heapq.heappush(self.due, (self.now_ms + wait_ms, self.count, act))

    def run(self, for_ms: float) -> None:
        """Let simulated time pass."""
        until = self.now_ms + for_ms
        while self.due and self.due[0][0] <= until:
            self.now_ms, _, act = heapq.heappop(self.due)
            act()
        self.now_ms = until


class Net:
    """Every frame arrives, in order, after its span's time."""

    def __init__(self, clock: Clock, meter: Meter) -> None:
        self.clock = clock
        self.meter = meter
        self.nodes: dict[Address, HollowNode] = {}

    def span(self, a: HollowNode, b: HollowNode) -> tuple[str, float]:
        """How far two nodes are apart, and how long that takes."""
        if a.me.zone == b.me.zone:
            return "zone", ZONE_MS
        if REGION_OF[a.me.zone] == REGION_OF[b.me.zone]:
            return "zones", ZONES_MS
        return "regions", REGIONS_MS

    def send(self, sender: HollowNode, address: Address, frame: bytes, kind: str) -> None:
        """Carry a frame."""
        there = self.nodes.get(address)
        if there is None:
            self.meter.note("frames to nobody")
            return
        span, wait_ms = self.span(sender, there)
        self.meter.passed(sender.me.node, "out", kind, span, len(frame))

        def arrive() -> None:
            self.meter.passed(there.me.node, "in", kind, span, len(frame))
            there.frame(frame, kind)

        self.clock.after(wait_ms, arrive)


class HollowNode:
    """One node: the product's actors over edges that only take time."""

    def __init__(self, fleet: Fleet, me: Me) -> None:
        self.fleet = fleet
        self.me = me
        self.meter = fleet.meter
        self.clock = fleet.clock
        self.slots: dict[int, Callable[[Answer], None]] = {}
        self.next_slot = 0
        self.kind = ""
        self.process: Process = Process(me, self)
        fleet.net.nodes[me.address] = self

    def build(self, start: Start, loaded: Loaded | None) -> None:
        """Put the product's actors together and the meter around them."""
        process = (
            build_exchange(self.me, self, start)
            if loaded is None
            else build_registry(self.me, self, start, loaded)
        )
        self.process = process
        for name, actor in process.actors.items():
            actor.step_function = self.meter.wrapped(name, actor.step_function)
        framed, perform = process._frame, process.perform

        def frame(address: Address, to: NodeId, message: object) -> None:
            self.kind = type(message).__name__
            self.meter.enter()
            framed(address, to, message)

        def carry(actor: str, effect: Any) -> None:
            self.kind = ""
            perform(actor, effect)
            if type(effect) is Send and effect.to != self.me.node:
                went = "addressed" if self.kind else "no address"
                self.meter.note(f"{went}: {type(effect.message).__name__}")

        # The hooks for the counts: the process has no others.
        process._frame = frame  # type: ignore[method-assign]
        process.perform = carry  # type: ignore[method-assign]

    # the world that the product's process stands on

    def now_ms(self) -> Ms:
        """Milliseconds of this world's monotonic clock."""
        return Ms(int(self.clock.now_ms))

    def send(self, address: Address, frame: bytes) -> None:
        """Send a frame to an address; it may be lost."""
        self.meter.leave(f"encode {self.kind}")
        self.meter.enter()
        self.fleet.net.send(self, address, frame, self.kind)
        self.meter.leave("")

    def cut(self, address: Address) -> None:
        """Every connection here came to be."""

    def launch(self, actor: str, job: object) -> None:
        """Start a job at the edge; its report goes to the actor."""
        self.meter.enter()
        self._launch(actor, job)
        self.meter.leave("")

    def _launch(self, actor: str, job: object) -> None:
        match job:
            case DiskWrite():
                size_bytes = sum(len(cell.value) for _, cell in job.cells)
                self.meter.passed(self.me.node, "disk", "DiskWrite", "zone", size_bytes)
                self.later(SYNC_MS, actor, lambda: DiskDone(job.batch))
            case LedgerWrite():
                size_bytes = sum(len(text) for _, text in job.entries)
                self.meter.passed(self.me.node, "disk", "LedgerWrite", "zone", size_bytes)
                low, high = job.entries[0][0], job.entries[-1][0]
                self.later(SYNC_MS, actor, lambda: LedgerWritten(low, high, job.ack_to))
            case Compile():
                self.later(COMPILE_MS, actor, lambda: self._compiled(job))
            case SendAttempt():
                self.fleet.stamp("attempt", job.service)
                done = AttemptDone(
                    job.attempt_id, Ran.YES, "", 200, (("Content-Type", "application/json"),),
                    self.fleet.answer, True,
                )  # fmt: skip
                self.later(REACH_MS + WORK_MS, actor, lambda: done)
            case Revoke():
                pass
            case Connect():
                self.later(REACH_MS, actor, lambda: self.fleet.platform.connect(job))
            case ListPlatform():
                self.later(3.0, actor, self._listing)
            case PlatformCall():
                self.fleet.stamp(f"platform {job.op}", job.service)
                self.meter.note(f"platform {job.op}")
                self.later(2.0, actor, lambda: self.fleet.platform.call(job))

    def reply(self, slot: SlotId, answer: Answer) -> None:
        """Give a waiting request its answer."""
        told = self.slots.pop(slot.index, None)
        if told is not None:
            told(answer)

    def note(self, text: str, alarm: bool) -> None:
        """Keep a line in the ring log; an alarm writes the ring out."""
        self.fleet.noted(text)

    def fatal(self, fault: BaseException) -> None:
        """A core failed: the process ends."""
        raise fault

    # the edges

    def _compiled(self, job: Compile) -> Compiled:
        self.meter.enter()
        table = build_table(Version(job.copy.version), job.copy.digest, job.value)
        self.meter.leave("edge build_table")
        return Compiled(job.copy, job.value, table)

    def _listing(self) -> object:
        body = self.fleet.platform.listing()
        self.meter.passed(self.me.node, "in", "listing", "zone", len(body))
        self.meter.enter()
        got = read_listing(body)
        self.meter.leave("edge read_listing")
        return got

    def later(self, wait_ms: float, actor: str, make: Callable[[], object]) -> None:
        """An edge's report, in its time."""

        def report() -> None:
            self.turn(lambda: self.process.post(actor, make()))

        self.clock.after(wait_ms, report)

    def turn(self, act: Callable[[], None]) -> None:
        """The loop goes round once: something came, and every inbox is emptied."""
        meter = self.meter
        meter.node = self.me.node
        meter.enter()
        act()
        self.process.pump()
        meter.leave("loop")

    def frame(self, data: bytes, kind: str) -> None:
        """A frame came in."""

        def take() -> None:
            self.meter.enter()
            self.process.received(data)
            self.meter.leave(f"decode {kind}")

        self.turn(take)

    def beat(self) -> None:
        """The heartbeat."""
        self.turn(lambda: self.process.tick(TICK_MS))
        self.clock.after(TICK_MS, self.beat)

    def ask(
        self, actor: str, make: Callable[[SlotId], object], told: Callable[[Answer], None]
    ) -> None:
        """A request on a slot of its own."""
        self.next_slot += 1
        slot = SlotId(self.next_slot, 1)
        self.slots[slot.index] = told
        self.turn(lambda: self.process.post(actor, make(slot)))

    def state(self, actor: str) -> Any:
        """An actor's state."""
        return self.process.actors[actor].state


class Fleet:
    """What hollow nodes share: clock, network, platform and counts."""

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self.clock = Clock()
        self.net = Net(self.clock, meter)
        self.platform = HollowPlatform(self.clock)
        self.answer = b'{"answer":"' + 200 * b"x" + b'"}'
        self.stamps: list[Stamp] = []
        self.stamping = False
        self.notes: dict[str, int] = {}

    def stamp(self, what: str, name: str) -> None:
        """Keep when something happened, for cold starts."""
        if self.stamping:
            self.stamps.append(Stamp(self.clock.now_ms, what, name))

    def noted(self, text: str) -> None:
        """A node's line for its ring log; only how often is kept."""
        head = text[:40]
        self.notes[head] = self.notes.get(head, 0) + 1
