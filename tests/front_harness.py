"""An HTTP front on loopback without a cluster behind it, and a raw-socket caller."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable

from spokeroute.common.answers import Answer
from spokeroute.common.effects import Effects, Reply, SlotId
from spokeroute.common.ids import Address, Incarnation, Ms, NodeId
from spokeroute.common.slab import Slots
from spokeroute.daemon import RealWorld
from spokeroute.exchange.front import Front
from spokeroute.exchange.types import CallerGone, CallIn
from spokeroute.http.dialect import CallerDialect
from spokeroute.ledger.ring import RingLog
from spokeroute.transport.net import Loop
from spokeroute.transport.process import Me, Process

OTHER = CallerDialect(
    wait_header="Time-Left", wait_required=False, attempt_header="Try-Id",
    key_header="Once", client_header="Who", ready_path="/health/up",
)  # fmt: skip
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: "
GET = b"GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n"


class FrontHarness:
    """A front on its own loop, and the calls that it posted."""

    ended: bool

    def __init__(self, slots: int = 8, announce_ms: int = 0, grace_ms: int = 9_000) -> None:
        self.calls: queue.Queue[CallIn] = queue.Queue()
        self.gone: queue.Queue[SlotId] = queue.Queue()
        self.answer: Callable[[CallIn], Answer | None] = lambda call: Answer(200, (), b"done")
        trunk = Address("127.0.0.1:0")
        self.loop = Loop(trunk)
        box = Slots(slots)
        world = RealWorld(self.loop, RingLog("ex1"), box)
        me = Me(NodeId("ex1"), Incarnation(1), trunk, "exchange", "north")
        self.process = Process(me, world)
        self.process.add("calls", None, self.step)
        self.front = Front("ex1", box, self.post, OTHER, announce_ms, grace_ms)
        self.is_ready = True
        self.front.ready = lambda: self.is_ready
        self.front.listen("127.0.0.1:0", "127.0.0.1:0", self.loop.selector)
        ports = [listener.effective_port for listener in self.front.listeners]
        self.address, self.ready_address = (f"127.0.0.1:{port}" for port in ports)
        self.loop.edge = self.front
        self.loop.before_stop = self.over
        self.ended = False
        self.thread = threading.Thread(target=self.loop.run, args=(self.process,), daemon=True)
        self.thread.start()

    def step(self, state: None, event: object, now_ms: Ms) -> tuple[None, Effects]:
        if isinstance(event, CallerGone):
            self.gone.put(event.slot)
        if isinstance(event, Reply):
            return None, (event,)
        if not isinstance(event, CallIn):
            return None, ()
        self.calls.put(event)
        answer = self.answer(event)
        return None, (Reply(event.slot, answer),) if answer else ()

    def over(self) -> bool:
        return self.ended or (self.front.drained() and self.front.close_listeners())

    def post(self, event: object) -> None:
        self.process.post("calls", event)

    def hold(self) -> None:
        """Leave calls unanswered until ``reply``."""
        self.answer = lambda call: None

    def reply(self, slot: SlotId, answer: Answer) -> None:
        """Answer a call that was left unanswered."""
        self.loop.report("calls", Reply(slot, answer))

    def call(self) -> CallIn:
        """The next call that the front posted."""
        return self.calls.get(timeout=20)

    def stop(self) -> None:
        """Shut down as after SIGTERM."""
        self.front.begin_shutdown()
        self.loop.stop()

    def close(self) -> None:
        self.ended = True
        self.loop.stop()
        self.thread.join(20)
        self.process.close()


class Caller:
    """A connection to the front that sends and receives raw bytes."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=20)
        self.read = bytearray()

    def send(self, data: bytes) -> Caller:
        self.sock.sendall(data)
        return self

    def more(self) -> bool:
        got = self.sock.recv(65536)
        self.read += got
        return bool(got)

    def answer(self, method: str = "GET") -> tuple[int, dict[str, str], bytes]:
        """Read the next complete answer."""
        while b"\r\n\r\n" not in self.read:
            assert self.more(), f"closed after {self.read!r}"
        head, _, self.read = self.read.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(": ")
            assert name.lower() not in headers, f"{name} comes twice"
            headers[name.lower()] = value
        status = int(first.split(" ")[1])
        bare = method == "HEAD" or status in (204, 304)
        length = 0 if bare else int(headers["content-length"])
        while len(self.read) < length:
            assert self.more(), "cut short"
        body = bytes(self.read[:length])
        del self.read[:length]
        return status, headers, body

    def closed(self) -> bool:
        """Whether the other side closed the connection without sending more bytes."""
        assert self.read == b""
        return not self.more()
