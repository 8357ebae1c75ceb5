"""The stand-in platform with its workers and instances, in one process of threads.

It speaks the platform contract on one port and, for each instance, the instance contract on
a port of its own. Every run, answer, start and stop is a line in its log, for the judges.
Times in the log are this process's monotonic milliseconds.
"""

from __future__ import annotations

import argparse
import json
import random
import socket
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


def now_ms() -> int:
    """Monotonic milliseconds."""
    return time.monotonic_ns() // 1_000_000


class QuietServer(ThreadingHTTPServer):
    """An HTTP server that writes no access log."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A caller that hung up is no news."""


@dataclass
class Instance:
    """One started instance and what it runs."""

    id: str
    service: str
    worker: str
    limit: int
    state: str = "starting"
    address: str = ""
    server: QuietServer | None = None
    up_at_ms: int = 0
    running: int = 0
    most: int = 0
    sockets: list[socket.socket] = field(default_factory=list)


class Standin:
    """The platform: its workers and their instances."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.lock = threading.Lock()
        self.instances: dict[str, Instance] = {}
        self.down: set[str] = set()
        self.emptied: set[str] = set()
        self.shown: set[str] = set()  # instances that the newest listing served shows as draining
        self.sequence = 0
        self.listing = b""
        self.log = open(args.log, "a", buffering=1)  # noqa: SIM115
        self.rng = random.Random(args.seed)
        self.calls: list[int] = []
        self.snapshots: list[tuple[int, dict[str, Any]]] = []

    def write(self, kind: str, **fields: Any) -> None:
        """Append an event to the log."""
        line = json.dumps({"atMs": now_ms(), "kind": kind, **fields})
        with self.lock:
            self.log.write(line + "\n")

    def workers(self) -> list[dict[str, Any]]:
        """The list of workers that are up."""
        names = self.args.zones.split(",")
        return [
            {
                "id": f"w{i + 1}",
                "zone": names[i % len(names)],
                "memoryMb": self.args.worker_mb,
                "draining": f"w{i + 1}" in self.emptied,
            }
            for i in range(self.args.workers)
            if f"w{i + 1}" not in self.down
        ]

    def snap(self) -> None:
        """The listing as it stands; callers see it late."""
        while True:
            with self.lock:
                doc = {
                    "workers": self.workers(),
                    "instances": [
                        {"id": i.id, "service": i.service, "worker": i.worker,
                         "address": i.address, "state": i.state}
                        for i in self.instances.values()
                    ],
                }  # fmt: skip
            self.snapshots.append((now_ms(), doc))
            edge = now_ms() - self.args.list_delay_ms
            while len(self.snapshots) > 1 and self.snapshots[1][0] <= edge:
                self.snapshots.pop(0)
            self.sequence += 1
            body = json.dumps({"sequence": self.sequence, **self.snapshots[0][1]}).encode()
            self.listing = body
            time.sleep(0.1)

    def capped(self) -> bool:
        """Whether this second has had all its starts and stops."""
        with self.lock:
            edge = now_ms() - 1000
            self.calls = [t for t in self.calls if t > edge]
            if len(self.calls) >= self.args.cap:
                return True
            self.calls.append(now_ms())
            return False

    def start(self, raw: dict[str, Any]) -> int:
        """Start an instance; the HTTP status."""
        if self.capped():
            return 429
        with self.lock:
            if raw["id"] in self.instances:
                return 202
            if raw["worker"] in self.down:
                return 409
            instance = Instance(raw["id"], raw["service"], raw["worker"], int(raw["limit"]))
            self.instances[instance.id] = instance
        self.write("start", instance=instance.id, service=instance.service, worker=instance.worker)
        threading.Thread(target=self.boot, args=(instance,), daemon=True).start()
        return 202

    def boot(self, instance: Instance) -> None:
        """Let an instance boot, then listen."""
        base = self.args.start_busy_ms if instance.limit > 1 else self.args.start_small_ms
        time.sleep(base / 1000 * self.rng.uniform(0.9, 1.2))
        server = QuietServer(("127.0.0.1", 0), handler_of(self, instance))
        with self.lock:
            if instance.state != "starting":
                server.server_close()
                return
            instance.server = server
            instance.address = f"127.0.0.1:{server.server_address[1]}"
            instance.state = "running"
            instance.up_at_ms = now_ms()
        self.write("up", instance=instance.id, service=instance.service, address=instance.address)
        server.serve_forever(poll_interval=0.2)

    def stop(self, name: str, why: str) -> int:
        """Stop an instance; the HTTP status."""
        with self.lock:
            instance = self.instances.pop(name, None)
            if instance is None:
                return 404
            instance.state = "stopped"
            sockets = list(instance.sockets)
        self.write("stop", instance=name, why=why, running=instance.running)
        if instance.server is not None:
            threading.Thread(target=instance.server.shutdown, daemon=True).start()
            instance.server.socket.close()
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        return 202

    def crash(self, worker: str) -> int:
        """Crash a worker with its instances; the HTTP status."""
        with self.lock:
            self.down.add(worker)
            names = [i.id for i in self.instances.values() if i.worker == worker]
        self.write("crash", worker=worker)
        for name in names:
            self.stop(name, "crash")
        return 200

    def empty(self, worker: str, out: bool) -> int:
        """Drain a worker, or end that; the HTTP status."""
        with self.lock:
            (self.emptied.add if out else self.emptied.discard)(worker)
        self.write("empty" if out else "fill", worker=worker)
        return 200

    def serve_listing(self) -> bytes:
        """The newest listing; the log says what it shows as draining for the first time."""
        doc = json.loads(self.listing)
        out = {w["id"] for w in doc["workers"] if w["draining"]}
        now = {i["id"] for i in doc["instances"] if i["worker"] in out}
        for name in now - self.shown:
            self.write("shown", instance=name)
        for name in self.shown - now:
            self.write("unshown", instance=name)
        self.shown = now
        return self.listing

    def revive(self, worker: str) -> int:
        """Bring a crashed worker back, empty; the HTTP status."""
        with self.lock:
            self.down.discard(worker)
        self.write("revive", worker=worker)
        return 200


def handler_of(standin: Standin, instance: Instance) -> type[BaseHTTPRequestHandler]:
    """The request handler of one instance's server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with standin.lock:
                instance.sockets.append(self.connection)

        def finish(self) -> None:
            with standin.lock:
                if self.connection in instance.sockets:
                    instance.sockets.remove(self.connection)
            super().finish()

        def log_message(self, *args: Any) -> None:
            """The log is the stand-in's own."""

        def answer(self, status: int, doc: Any, headers: dict[str, str]) -> None:
            body = json.dumps(doc).encode()
            head = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(body)}",
                    "Content-Type: application/json"]  # fmt: skip
            head += [f"{k}: {v}" for k, v in headers.items()]
            self.wfile.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

        def serve(self) -> None:
            if self.path == "/spokeroute/who":
                self.answer(200, {"service": instance.service, "instance": instance.id}, {})
                return
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            attempt_id = self.headers.get("Spokeroute-Attempt", "")
            call = self.headers.get("Standin-Call", "")
            with standin.lock:
                instance.running += 1
                running = instance.running
            standin.write("run", instance=instance.id, service=instance.service, call=call,
                          attempt_id=attempt_id, running=running, limit=instance.limit,
                          path=self.path, worker=instance.worker,
                          tenant=self.headers.get("Spokeroute-Tenant", ""),
                          keyShown="Authorization" in self.headers)  # fmt: skip
            cold = now_ms() - instance.up_at_ms < standin.args.cold_ms
            work_ms = standin.rng.uniform(0.6, 1.4) * standin.args.work_ms * (2 if cold else 1)
            time.sleep(work_ms / 1000)
            with standin.lock:
                instance.running -= 1
            doc = {"call": call, "instance": instance.id, "echo": body.decode("utf-8", "replace")}
            standin.write(
                "answer",
                instance=instance.id,
                call=call,
                attempt_id=attempt_id,
                body=json.dumps(doc),
            )
            self.answer(200, doc, {"Spokeroute-Attempt": attempt_id})

        do_GET = do_POST = do_PUT = do_DELETE = serve  # noqa: N815

    return Handler


def platform_handler(standin: Standin) -> type[BaseHTTPRequestHandler]:
    """The request handler of the platform's own interface."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args: Any) -> None:
            """The log is the stand-in's own."""

        def answer(self, status: int, body: bytes = b"{}") -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def do_GET(self) -> None:
            self.answer(200, standin.serve_listing()) if standin.listing else self.answer(503)

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            parts = self.path.strip("/").split("/")
            if parts[0] == "crash":
                self.answer(standin.crash(parts[1]))
            elif parts[0] == "revive":
                self.answer(standin.revive(parts[1]))
            elif parts[0] in ("empty", "fill"):
                self.answer(standin.empty(parts[1], parts[0] == "empty"))
            else:
                self.answer(standin.start(json.loads(body)))

        def do_DELETE(self) -> None:
            status = 429 if standin.capped() else standin.stop(self.path.split("/")[-1], "asked")
            self.answer(status)

    return Handler


def parser_of() -> argparse.ArgumentParser:
    """The flags of a stand-in platform."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--zones", default="north,centre,south")
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--worker-mb", type=int, default=7680)
    parser.add_argument("--start-busy-ms", type=float, default=1400)
    parser.add_argument("--start-small-ms", type=float, default=1000)
    parser.add_argument("--work-ms", type=float, default=60)
    parser.add_argument("--cold-ms", type=float, default=2000)
    parser.add_argument("--list-delay-ms", type=int, default=500)
    parser.add_argument("--cap", type=int, default=110)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def main() -> None:
    """The program's entry."""
    standin = Standin(parser_of().parse_args())
    threading.Thread(target=standin.snap, daemon=True).start()
    host, _, port = standin.args.listen.rpartition(":")
    server = QuietServer((host, int(port)), platform_handler(standin))
    server.serve_forever(poll_interval=0.2)


if __name__ == "__main__":
    main()
