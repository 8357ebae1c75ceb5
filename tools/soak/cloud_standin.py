"""A stand-in of the users' platform, for the adapter's dialect: its lists, starts and stops, and
the instances that it runs. Every run, answer, start and stop is a line in its log, for the judges.

    python -m tools.soak.cloud_standin --listen 127.0.0.1:8700 --log LOG --limits LIMITS.json
"""

from __future__ import annotations

import json
import secrets
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

from tools.standin import Instance, QuietServer, Standin, now_ms, parser_of

PAGE = 100


class CloudStandin(Standin):
    """The platform, which names its instances itself and gives them their addresses at once."""

    def __init__(self, args: Any) -> None:
        super().__init__(args)
        self.limits: dict[str, int] = json.loads(Path(args.limits).read_text())
        self.by_nonce: dict[str, Instance] = {}

    def started(self, raw: dict[str, Any]) -> tuple[int, dict[str, str]]:
        """A start: the status, and the instance's name and address. The same nonce again is the
        same instance."""
        if self.capped():
            return 429, {}
        with self.lock:
            instance = self.by_nonce.get(raw["nonce"])
            if instance is None:
                if raw["worker"] in self.down:
                    return 409, {}
                name = f"i-{secrets.token_hex(5)}"
                limit = self.limits.get(raw["service"], 1)
                instance = Instance(name, raw["service"], raw["worker"], limit)
                handler = sealed_handler(self, instance)
                server = QuietServer(("127.0.0.1", 0), handler, bind_and_activate=False)
                server.server_bind()  # nothing listens there before it has booted
                instance.server = server
                instance.address = f"127.0.0.1:{server.server_address[1]}"
                self.by_nonce[raw["nonce"]] = self.instances[name] = instance
                threading.Thread(target=self.boot, args=(instance,), daemon=True).start()
        self.write("start", instance=instance.id, service=instance.service, worker=instance.worker)
        return 200, {"identifier": instance.id, "address": instance.address}

    def boot(self, instance: Instance) -> None:
        """Let an instance boot, then listen."""
        base = self.args.start_busy_ms if instance.limit > 1 else self.args.start_small_ms
        time.sleep(base / 1000 * self.rng.uniform(0.9, 1.2))
        server = instance.server
        assert server is not None
        with self.lock:
            if instance.state != "starting":
                server.server_close()
                return
            server.server_activate()
            instance.state = "running"
            instance.up_at_ms = now_ms()
        self.write("up", instance=instance.id, service=instance.service, address=instance.address)
        server.serve_forever(poll_interval=0.2)

    def pages(self) -> list[dict[str, Any]]:
        """The instances of the listing that is served now, as the platform writes them."""
        doc = json.loads(self.listing or b'{"workers": [], "instances": []}')
        draining = {each["id"] for each in doc["workers"] if each["draining"]}
        zones = {each["id"]: each["zone"] for each in doc["workers"]}
        return [
            {
                "identifier": each["id"], "service": each["service"], "address": each["address"],
                "zone": zones.get(each["worker"], ""), "worker": each["worker"], "version": "v1",
                "concurrency-slots": self.limits.get(each["service"], 1), "cold-remaining-ms": 0,
                "state": "draining" if each["worker"] in draining else "ready",
            }
            for each in doc["instances"]
            if each["state"] == "running"
        ]  # fmt: skip

    def seats(self) -> list[dict[str, Any]]:
        """The workers of the listing that is served now."""
        doc = json.loads(self.listing or b'{"workers": []}')
        return [
            {
                "name": each["id"], "zone": each["zone"], "memory-mb": each["memoryMb"],
                "free-memory-mb": each["memoryMb"],
                "state": "draining" if each["draining"] else "ready",
            }
            for each in doc["workers"]
        ]  # fmt: skip


def sealed_handler(standin: CloudStandin, instance: Instance) -> type[BaseHTTPRequestHandler]:
    """The request handler of one instance's server: it runs what is meant for it and fits in."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            with standin.lock:
                instance.sockets.append(self.connection)

        def finish(self) -> None:
            with standin.lock:
                if self.connection in instance.sockets:
                    instance.sockets.remove(self.connection)
            super().finish()

        def log_message(self, *args: Any) -> None:
            """The log is the stand-in's own."""

        def answer(self, status: int, body: bytes, headers: dict[str, str]) -> None:
            head = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}"]
            head += [f"{name}: {value}" for name, value in headers.items()]
            self.wfile.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

        def serve(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            meant = self.headers.get("X-Expected-Instance", instance.id)
            if meant != instance.id:
                self.answer(421, b"", {"X-Instance-Id": instance.id})
                return
            with standin.lock:
                full = instance.running >= instance.limit
                instance.running += 0 if full else 1
                running = instance.running
            if full:
                self.answer(503, b"", {"X-Not-Executed": "1"})
                return
            self.run(body.decode("utf-8", "replace"), running)

        def run(self, body: str, running: int) -> None:
            # A repeatable attempt may run at several instances under its caller's one id.
            attempt_id = f"{self.headers.get('X-Attempt-Id', '')}@{instance.id}"
            call = self.headers.get("Standin-Call", "")
            standin.write("run", instance=instance.id, service=instance.service, call=call,
                          attempt_id=attempt_id, running=running, limit=instance.limit,
                          path=self.path, worker=instance.worker,
                          tenant=self.headers.get("X-Tenant-Name", ""),
                          keyShown="Authorization" in self.headers)  # fmt: skip
            time.sleep(standin.rng.uniform(0.6, 1.4) * standin.args.work_ms / 1000)
            with standin.lock:
                instance.running -= 1
            doc = json.dumps({"call": call, "instance": instance.id, "echo": body})
            standin.write("answer", instance=instance.id, call=call, attempt_id=attempt_id,
                          body=doc)  # fmt: skip
            echoed = self.headers.get("X-Attempt-Id", "")
            seal = {"X-Attempt-Id": echoed, "X-Server-Seal": instance.id}
            self.answer(200, doc.encode(), seal)

        do_GET = do_POST = serve  # noqa: N815

    return Handler


def cloud_handler(standin: CloudStandin) -> type[BaseHTTPRequestHandler]:
    """The request handler of the platform's own interface."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args: Any) -> None:
            """The log is the stand-in's own."""

        def answer(self, status: int, doc: Any) -> None:
            body = json.dumps(doc).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def do_GET(self) -> None:
            if self.path == "/api/workers":
                self.answer(200, {"workers": standin.seats()})
                return
            _, _, token = self.path.partition("page-token=")
            begin = int(token or 0)
            found = standin.pages()
            more = str(begin + PAGE) if begin + PAGE < len(found) else None
            self.answer(200, {"instances": found[begin : begin + PAGE], "next-token": more})

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            parts = self.path.strip("/").split("/")
            match parts:
                case ["api", "start"]:
                    self.answer(*standin.started(json.loads(body)))
                case ["api", "stop"]:
                    status = standin.stop(json.loads(body)["identifier"], "asked")
                    self.answer(200 if status == 202 else status, {})
                case ["crash", worker]:
                    self.answer(standin.crash(worker), {})
                case ["revive", worker]:
                    self.answer(standin.revive(worker), {})
                case ["empty" | "fill" as verb, worker]:
                    self.answer(standin.empty(worker, verb == "empty"), {})
                case _:
                    self.answer(404, {})

    return Handler


def main() -> None:
    """The program's entry."""
    parser = parser_of()
    parser.add_argument("--limits", required=True, help="JSON file: calls at once, by service")
    standin = CloudStandin(parser.parse_args())
    threading.Thread(target=standin.snap, daemon=True).start()
    host, _, port = standin.args.listen.rpartition(":")
    server = QuietServer((host, int(port)), cloud_handler(standin))
    server.serve_forever(poll_interval=0.2)


if __name__ == "__main__":
    main()
