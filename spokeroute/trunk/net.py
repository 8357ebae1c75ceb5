"""The real loop: one thread, one selector, frames over TCP, reports from edge threads.

Sockets and the selector live here and nowhere else. Whatever is undeliverable is
dropped: every protocol above carries its own repeats and deadlines.
"""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from spokeroute.dial.ids import Address, Ms, NodeId
from spokeroute.trunk.frames import FrameFault, cut
from spokeroute.trunk.process import Process

TICK_MS = 20
MAX_OUT_BYTES = 16 * 1024 * 1024
READ_BYTES = 256 * 1024


def monotonicMs() -> Ms:
    """This process's monotonic clock; suspended time counts where the system tells it.

    Example:
        >>> monotonicMs() <= monotonicMs()
        True
    """
    return Ms(time.monotonic_ns() // 1_000_000)


def parseAddress(address: str) -> tuple[str, int]:
    """Host and port.

    Example:
        >>> parseAddress("127.0.0.1:80")
        ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass
class Wire:
    """One TCP connection and what waits to be read or written on it."""

    sock: socket.socket
    address: Address | None = None
    inbound: bytes = b""
    outbound: deque[bytes] = field(default_factory=deque)
    outBytes: int = 0


class Loop:
    """The one loop of a process.

    Example:
        loop = Loop("127.0.0.1:7001")
        loop.run(process)
    """

    def __init__(self, listen: Address) -> None:
        self.selector = selectors.DefaultSelector()
        self.server = socket.create_server(parseAddress(listen), backlog=128)
        self.server.setblocking(False)
        self.selector.register(self.server, selectors.EVENT_READ, "accept")
        self.wakeRead, self.wakeWrite = os.pipe()
        os.set_blocking(self.wakeRead, False)
        os.set_blocking(self.wakeWrite, False)
        self.selector.register(self.wakeRead, selectors.EVENT_READ, "wake")
        self.reports: deque[tuple[str, object]] = deque()
        self.out: dict[Address, Wire] = {}
        self.stopping = False
        self.beforeStop: Callable[[], bool] | None = None
        self.onTick: Callable[[], None] | None = None
        self.lost: Callable[[NodeId], None] | None = None
        self.book: dict[NodeId, Address] = {}

    def report(self, actor: str, event: object) -> None:
        """From any thread: hand an event to an actor on the loop.

        Example:
            loop.report("calls", event)
        """
        self.reports.append((actor, event))
        # A full pipe means that the loop is about to wake anyway.
        with contextlib.suppress(BlockingIOError):
            os.write(self.wakeWrite, b"x")

    def send(self, address: Address, frame: bytes) -> None:
        """Queue a frame for an address; dropped when the colleague can't keep up.

        Example:
            loop.send(Address("127.0.0.1:7002"), frame)
        """
        wire = self.out.get(address)
        if wire is None:
            wire = self._connect(address)
            if wire is None:
                return
        if wire.outBytes + len(frame) > MAX_OUT_BYTES:
            self._close(wire)
            return
        wire.outbound.append(frame)
        wire.outBytes += len(frame)
        self._watch(wire)

    def run(self, process: Process) -> None:
        """Turn until ``stop`` was asked for and ``beforeStop`` agrees.

        Example:
            loop.run(process)
        """
        lastMs = monotonicMs()
        nextTickMs = lastMs
        while not (self.stopping and (self.beforeStop is None or self.beforeStop())):
            waitS = max(0, nextTickMs - monotonicMs()) / 1000
            ready = self.selector.select(waitS)
            nowMs = monotonicMs()
            if nowMs >= nextTickMs:
                process.tick(nowMs - lastMs)
                lastMs = nowMs
                nextTickMs = Ms(nowMs + TICK_MS)
                process.pump()
                if self.onTick is not None:
                    self.onTick()
            for key, mask in ready:
                if key.data == "accept":
                    self._accept()
                elif key.data == "wake":
                    self._drainWake()
                else:
                    self._serve(key.data, mask, process)
            while self.reports:
                actor, event = self.reports.popleft()
                process.post(actor, event)
            process.pump()
            self.book = process.book
        self.server.close()

    def stop(self) -> None:
        """Ask the loop to end; safe in a signal handler.

        Example:
            loop.stop()
        """
        self.stopping = True

    def _connect(self, address: Address) -> Wire | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect(parseAddress(address))
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            return None
        wire = Wire(sock, address)
        self.out[address] = wire
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, wire)
        return wire

    def _accept(self) -> None:
        try:
            sock, _ = self.server.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(sock, selectors.EVENT_READ, Wire(sock))

    def _drainWake(self) -> None:
        try:
            while os.read(self.wakeRead, 4096):
                pass
        except BlockingIOError:
            pass

    def _serve(self, wire: Wire, mask: int, process: Process) -> None:
        try:
            if mask & selectors.EVENT_READ:
                data = wire.sock.recv(READ_BYTES)
                if not data:
                    self._close(wire)
                    return
                frames, wire.inbound = cut(wire.inbound + data)
                for frame in frames:
                    process.received(frame)
            if mask & selectors.EVENT_WRITE:
                self._flush(wire)
        except BlockingIOError:
            return
        except FrameFault as fault:
            process.world.note(f"trunk: closed a connection: {fault}", False)
            self._close(wire)
        except OSError:
            self._close(wire)

    def _flush(self, wire: Wire) -> None:
        while wire.outbound:
            frame = wire.outbound[0]
            sent = wire.sock.send(frame)
            wire.outBytes -= sent
            if sent < len(frame):
                wire.outbound[0] = frame[sent:]
                return
            wire.outbound.popleft()
        self._watch(wire)

    def _watch(self, wire: Wire) -> None:
        mask = selectors.EVENT_READ
        if wire.outbound:
            mask |= selectors.EVENT_WRITE
        self.selector.modify(wire.sock, mask, wire)

    def _close(self, wire: Wire) -> None:
        if wire.address is not None and self.out.get(wire.address) is wire:
            del self.out[wire.address]
            if self.lost is not None:
                for node, address in self.book.items():
                    if address == wire.address:
                        self.lost(node)
        try:
            self.selector.unregister(wire.sock)
        except KeyError:
            return
        wire.sock.close()
