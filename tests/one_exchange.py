"""A front node on loopback without a core: the real HTTP front, cores and sender, and one instance
that records the headers of each request."""

from __future__ import annotations

import http.client
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from spokeroute.common.bounds import Bounds
from spokeroute.common.clock import monotonic_ms
from spokeroute.common.ids import (
    Address,
    Incarnation,
    InstanceId,
    Ms,
    NodeId,
    ServiceName,
    Term,
    Version,
    WorkerId,
    ZoneName,
)
from spokeroute.common.slab import Slots
from spokeroute.daemon import RealWorld
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    build_table,
    pack_configuration,
)
from spokeroute.dispatch.placement.table import UP, Placed, PlacementTable, pack_placement_table
from spokeroute.exchange.front import Front
from spokeroute.exchange.sender import Sender
from spokeroute.exchange.types import Revoke, SendAttempt
from spokeroute.http.dialect import Dialect
from spokeroute.ledger.ring import RingLog
from spokeroute.nodes import Start, build_exchange
from spokeroute.register.replica.replica import FreshCopies
from spokeroute.transport.net import Loop
from spokeroute.transport.process import Me

BOUNDS = Bounds(stale_ms=60_000, rejection_safe=True, wait_optional=True)
IN_FORCE_WITHIN_S = 20.0
Head = list[tuple[str, str]]


@dataclass
class Instance:
    """Answers every request, and records its headers."""

    dialect: Dialect
    shown: list[Head] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _handler_of(self))
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


def _handler_of(instance: Instance) -> type[BaseHTTPRequestHandler]:
    attempt, seal = instance.dialect.instance.attempt_header, instance.dialect.instance.seal_header

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args: Any) -> None:
            """Do not log requests."""

        def serve(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            instance.shown.append(self.headers.items())
            self.send_response(200)
            self.send_header(attempt, self.headers.get(attempt, ""))
            self.send_header(seal, "sealed")
            self.send_header("Content-Length", "4")
            self.end_headers()
            self.wfile.write(b"done")

        do_GET = do_POST = serve  # noqa: N815

    return Handler


class OneExchange:
    """The front node and its instance."""

    def __init__(self, dialect: Dialect, bounds: Bounds = BOUNDS) -> None:
        self.dialect = dialect
        self.instance = Instance(dialect)
        self.ended = False
        self.loop = Loop(Address("127.0.0.1:0"))
        self.ring = RingLog("ex1")
        slots = Slots(32)
        world = RealWorld(self.loop, self.ring, slots)
        trunk = Address(f"127.0.0.1:{self.loop.server.getsockname()[1]}")
        self.me = Me(NodeId("ex1"), Incarnation(7), trunk, "exchange", "north")
        self.process = build_exchange(self.me, world, Start((), 1, bounds=bounds))
        sender = Sender(lambda done: self.loop.report("holder", done), dialect.instance)
        world.jobs[SendAttempt] = lambda actor, job: sender.launch(job)
        world.jobs[Revoke] = lambda actor, job: sender.launch(job)
        self.front = Front(
            "ex1", slots, lambda event: self.process.post("calls", event), dialect.caller
        )
        self.front.ready = lambda: self.process.actors["calls"].state.tables.fresh(monotonic_ms())
        self.front.listen("127.0.0.1:0", "127.0.0.1:0", self.loop.selector)
        listener = self.front.listener
        assert listener is not None
        self.port = listener.effective_port
        self.loop.edge = self.front
        self.loop.before_stop = lambda: self.ended
        self.thread = threading.Thread(target=self.loop.run, args=(self.process,), daemon=True)
        self.thread.start()

    def prove(
        self, configuration: Configuration, service: str, version: int = 1, age_ms: int = 0
    ) -> None:
        """Report a proof of a configuration, as of some time ago, and of a placement table with the
        instance."""
        value = pack_configuration(configuration, f"a{version}", version, "")
        placed = Placed(
            InstanceId("i-1"), ServiceName(service), WorkerId("w1"), ZoneName("north"),
            Address(self.instance.address), 4, UP, True, True, self.me.node, self.me.incarnation,
            "i-1", self.me.address,
        )  # fmt: skip
        floor = pack_placement_table(PlacementTable(Term(1), version, (placed,)))
        now_ms = monotonic_ms()
        fresh = FreshCopies(
            now_ms, {"configuration": version, "floor": version}, {"floor": floor},
            build_table(Version(version), "", value), True, number=version,
            configuration_ms=Ms(now_ms - age_ms),
        )  # fmt: skip
        for actor in ("holder", "calls"):
            self.loop.report(actor, fresh)
        until_s = time.monotonic() + IN_FORCE_WITHIN_S
        while not self._in_force(version):
            assert time.monotonic() < until_s, f"version {version} is not in force"
            time.sleep(0.002)

    def _in_force(self, version: int) -> bool:
        table = self.process.actors["calls"].state.tables.table
        return table is not None and table.version == version

    def connection(self) -> http.client.HTTPConnection:
        """A connection for several requests."""
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)

    def ask(
        self, path: str, head: Head, kept: http.client.HTTPConnection | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request with the headers as given, on a kept connection or on a new one."""
        connection = kept or self.connection()
        connection.putrequest("GET", path, skip_host=True)
        for name, value in [("Host", "host.example"), *head]:
            connection.putheader(name, value)
        connection.endheaders()
        answer = connection.getresponse()
        got = answer.status, dict(answer.headers.items()), answer.read()
        if kept is None:
            connection.close()
        return got

    def close(self) -> None:
        self.ended = True
        self.loop.stop()
        self.thread.join(20)
        self.process.close()
        self.instance.close()
