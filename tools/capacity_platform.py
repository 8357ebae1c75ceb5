"""The hollow platform: workers, instances that boot, and a listing as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from spokeroute.dispatch.platform import PlatformCall, PlatformDone
from spokeroute.exchange.connect import Connect, ConnectDone
from tools.capacity_size import SERVICE_MB, Size, floor_of, worker_name, zone_of

BOOT_MS = 300.0
SNAP_MS = 100.0


class ClockLike(Protocol):
    """The fleet's clock."""

    now_ms: float

    def after(self, wait_ms: float, act: Callable[[], None]) -> None:
        """Carry an act out later, on the simulated clock."""
        ...


@dataclass
class Server:
    """An instance as the platform knows it."""

    service: str
    worker: str
    address: str
    state: str
    up_ms: float = -1.0
    told: str = ""  # the address that its start's answer names


class HollowPlatform:
    """What is listed changes at once; a reader sees the newest snapshot, at most 0.1 s old."""

    def __init__(self, clock: ClockLike) -> None:
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.seats: list[dict[str, object]] = []
        self.changed = True
        self.shown = b""
        self.sequence = 0
        self.snapped_ms = -1e9
        self.starts = 0
        self.failed: list[str] = []
        self.tells_address = True

    def fill(self, size: Size) -> None:
        """The workers and instances of a size, all running."""
        room_mb = SERVICE_MB * (2 * (size.instances // size.nodes) + 64)
        self.seats = [
            {"id": worker_name(i), "zone": zone_of(i), "memoryMb": room_mb, "draining": False}
            for i in range(size.nodes)
        ]
        for placed in floor_of(size).instances:
            self.servers[placed.id] = Server(
                placed.service, placed.worker, placed.address, "running"
            )

    def listing(self) -> bytes:
        """The answer to GET /listing."""
        if self.clock.now_ms - self.snapped_ms >= SNAP_MS:
            self.snapped_ms = self.clock.now_ms
            self.sequence += 1
            if self.changed:
                self.changed = False
                rows = [
                    {"id": name, "service": s.service, "worker": s.worker, "address": s.address,
                     "state": s.state}
                    for name, s in self.servers.items()
                ]  # fmt: skip
                doc = {"workers": self.seats, "instances": rows}
                self.shown = json.dumps(doc, separators=(",", ":")).encode()[1:]
        return b'{"sequence":%d,' % self.sequence + self.shown

    def call(self, job: PlatformCall) -> PlatformDone:
        """A start or a stop."""
        if job.op == "stop":
            self.servers.pop(job.instance, None)
        elif job.instance not in self.servers:
            self.starts += 1
            address = f"10.128.{self.starts // 256 % 256}.{self.starts % 256}:8080"
            server = Server(job.service, job.worker, "", "starting", told=address)
            self.servers[job.instance] = server

            def boot() -> None:
                server.address, server.state = address, "running"
                server.up_ms = self.clock.now_ms
                self.changed = True

            self.clock.after(BOOT_MS, boot)
        self.changed = True
        started = self.servers.get(job.instance)
        told = started.told if started is not None and self.tells_address else ""
        return PlatformDone(job.op, job.instance, "ok", "", job.instance, told)

    def connect(self, job: Connect) -> ConnectDone:
        """Whether an instance listens yet."""
        server = self.servers.get(job.instance)
        up = server is not None and server.state == "running"
        return ConnectDone(job.instance, job.address, up, not up)

    def fail(self, number: int) -> str:
        """One running instance fails: it is listed so, and goes once it is off the floor."""
        running = [n for n, s in self.servers.items() if s.state == "running"]
        name = running[number * 7919 % len(running)]
        self.servers[name].state = "failed"
        self.failed.append(name)
        if len(self.failed) > 20:
            self.servers.pop(self.failed.pop(0), None)
        self.changed = True
        return name
