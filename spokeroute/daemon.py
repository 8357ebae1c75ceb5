"""The daemons: the cores on the real loop, with their bounded threads at the edge."""

from __future__ import annotations

import os
import secrets
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from absl import logging

from spokeroute.dial.effects import SlotId
from spokeroute.dial.http import serve
from spokeroute.dial.ids import Address, Incarnation, Ms, NodeId, Version
from spokeroute.dial.props import Props, PropsFault
from spokeroute.dial.slab import Slab
from spokeroute.dial.verdict import Verdict
from spokeroute.dispatch.desired import MAX_CONFIGURATION_BYTES, buildTable
from spokeroute.dispatch.platform import ListPlatform, PlatformCall
from spokeroute.dispatch.role import Resign
from spokeroute.exchange.front import Front
from spokeroute.exchange.sender import Sender
from spokeroute.exchange.types import LinkDown, Revoke, SendTry, Stopping
from spokeroute.logbook.ledger import KEEP_ENTRIES, LedgerWrite, LedgerWritten
from spokeroute.logbook.ring import Ring
from spokeroute.nodes import Start, buildExchange, buildRegistry
from spokeroute.register.copies import Compile, Compiled
from spokeroute.register.disk import Disk, DiskFault
from spokeroute.register.keeper import DiskDone, DiskFailed, DiskWrite
from spokeroute.registry.api import Api
from spokeroute.registry.platformEdge import PlatformEdge
from spokeroute.trunk.net import Loop, monotonicMs
from spokeroute.trunk.process import Me, Process

STOP_S = 9.0
SLOTS = 512
CALL_THREADS = 160
MOST_WAITING = 128

Job = Callable[[str, Any], None]


class RealWorld:
    """What a process stands on when it is a real one."""

    def __init__(self, loop: Loop, ring: Ring, slab: Slab) -> None:
        self.loop = loop
        self.ring = ring
        self.slab = slab
        self.jobs: dict[type, Job] = {}
        self.compiler = ThreadPoolExecutor(1, thread_name_prefix="compile")
        self.jobs[Compile] = lambda actor, job: self._later(actor, job)

    def _later(self, actor: str, job: Compile) -> None:
        def compile_() -> None:
            table = buildTable(Version(job.copy.version), job.copy.digest, job.value)
            self.loop.report(actor, Compiled(job.copy, job.value, table))

        self.compiler.submit(compile_)

    def nowMs(self) -> Ms:
        return monotonicMs()

    def send(self, address: Address, frame: bytes) -> None:
        self.loop.send(address, frame)

    def launch(self, actor: str, job: object) -> None:
        self.jobs[type(job)](actor, job)

    def reply(self, slot: SlotId, verdict: Verdict) -> None:
        self.slab.answer(slot, verdict)

    def note(self, text: str, alarm: bool) -> None:
        self.ring.note(text, alarm)

    def fatal(self, fault: BaseException) -> None:
        logging.error("a core failed; this process ends: %s", fault, exc_info=fault)
        self.ring.note(f"a core failed: {fault!r}", alarm=True)
        os._exit(70)


def _listen(props: Props) -> Loop:
    try:
        return Loop(Address(props.trunk))
    except OSError as fault:
        raise PropsFault(
            f"trunk address {props.trunk} can't be listened on ({fault.strerror}): "
            "end the process that has it, or give another port"
        ) from fault


def _http(app: Any, props: Props, threads: int, mostBytes: int) -> Any:
    try:
        return serve(app, props.http, threads, MOST_WAITING, mostBytes)
    except (OSError, ValueError) as fault:
        raise PropsFault(
            f"http address {props.http} can't be listened on ({fault}): "
            "end the process that has it, or give another port"
        ) from fault


def _serveOnThread(server: Any) -> None:
    threading.Thread(target=server.run, name="http", daemon=True).start()


def _onSignals(loop: Loop, first: Callable[[], None]) -> None:
    def stop(number: int, frame: object) -> None:
        first()
        loop.stop()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)


def runExchange(props: Props) -> int:
    """Run an exchange until SIGTERM.

    Example:
        runExchange(readProps("ex1.toml", {}))
    """
    threading.stack_size(256 * 1024)
    loop = _listen(props)
    ring = Ring(props.name)
    slab = Slab(SLOTS)
    world = RealWorld(loop, ring, slab)
    me = Me(
        NodeId(props.name), Incarnation(secrets.randbits(48)), Address(props.trunk),
        "exchange", props.locality,
    )  # fmt: skip
    seeds = tuple(Address(s) for s in props.seeds)
    process = buildExchange(me, world, Start(seeds, secrets.randbits(30)))
    sender = Sender(lambda done: loop.report("holder", done))
    world.jobs[SendTry] = lambda actor, job: sender.launch(job)
    world.jobs[Revoke] = lambda actor, job: sender.launch(job)
    loop.lost = lambda node: process.post("calls", LinkDown(node))
    front = Front(props.name, slab, lambda event: loop.report("calls", event))
    front.ready = lambda: process.actors["calls"].state.tables.fresh(monotonicMs())
    loop.onTick = lambda: front.proved.set() if front.ready() else None
    server, dispatcher = _http(front, props, CALL_THREADS, 1024 * 1024)
    front.dispatcher = dispatcher
    _serveOnThread(server)
    stoppedAt: list[float] = []

    def first() -> None:
        stoppedAt.append(time.monotonic())
        loop.report("calls", Stopping())

    def drained() -> bool:
        state = process.actors["calls"].state
        late = time.monotonic() - stoppedAt[0] > STOP_S
        return late or (state.stopping and not state.calls and not _handed(process))

    loop.beforeStop = drained
    _onSignals(loop, first)
    loop.run(process)
    time.sleep(0.2)  # the last verdicts leave on waitress's threads
    return 0


def _handed(process: Process) -> bool:
    return any(
        not h.reported
        for seat in process.actors["holder"].state.seats.values()
        for h in seat.handed.values()
    )


class DiskEdge:
    """The disk's one thread: batches of cells, and ledger entries between them."""

    def __init__(self, disk: Disk, loop: Loop) -> None:
        self.disk = disk
        self.loop = loop
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="disk")

    def write(self, actor: str, job: DiskWrite) -> None:
        self.pool.submit(self._write, actor, job)

    def _write(self, actor: str, job: DiskWrite) -> None:
        try:
            self.disk.write(job)
        except Exception as fault:  # lmdb raises many kinds
            self.loop.report(actor, DiskFailed(f"{type(fault).__name__}: {fault}"))
            return
        self.loop.report(actor, DiskDone(job.batch))

    def ledger(self, actor: str, job: LedgerWrite) -> None:
        self.pool.submit(self._ledger, actor, job)

    def _ledger(self, actor: str, job: LedgerWrite) -> None:
        try:
            self.disk.append(job.entries, KEEP_ENTRIES)
        except Exception as fault:
            logging.error("ledger entries were not kept: %s; free the disk", fault)
            return
        self.loop.report(actor, LedgerWritten(job.entries[-1][0], job.ackTo))


def runRegistry(props: Props) -> int:
    """Run a registry until SIGTERM.

    Example:
        runRegistry(readProps("reg1.toml", {}))
    """
    threading.stack_size(512 * 1024)
    try:
        disk = Disk(Path(props.data), props.diskMb)
        loaded = disk.load()
    except DiskFault as fault:
        raise PropsFault(str(fault)) from fault
    loop = _listen(props)
    ring = Ring(props.name)
    slab = Slab(64)
    world = RealWorld(loop, ring, slab)
    me = Me(
        loaded.member, Incarnation(secrets.randbits(48)), Address(props.trunk),
        "registry", props.locality,
    )  # fmt: skip
    seeds = tuple(Address(s) for s in props.seeds)
    rank = seeds.index(me.address) if me.address in seeds else len(seeds)
    process = buildRegistry(
        me, world, Start(seeds, secrets.randbits(30), props.found, rank), loaded
    )
    edge = DiskEdge(disk, loop)
    world.jobs[DiskWrite] = edge.write
    world.jobs[LedgerWrite] = edge.ledger
    platform = PlatformEdge(props.platform, loop.report)
    world.jobs[ListPlatform] = platform.list
    world.jobs[PlatformCall] = platform.call
    api = Api(process, slab, disk, lambda event: loop.report("operator", event))
    server, _ = _http(api, props, 16, MAX_CONFIGURATION_BYTES + 1024)
    _serveOnThread(server)
    stoppedAt: list[float] = []

    def first() -> None:
        stoppedAt.append(time.monotonic())
        loop.report("role", Resign())

    def quiet() -> bool:
        idle = process.actors["keeper"].state.writing is None
        waitedS = time.monotonic() - stoppedAt[0]
        return (waitedS > 0.3 and idle) or waitedS > 3.0

    loop.beforeStop = quiet
    _onSignals(loop, first)
    loop.run(process)
    edge.pool.shutdown(wait=True)
    disk.close()
    return 0
