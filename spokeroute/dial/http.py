"""The HTTP edge towards callers and operators: waitress, bounded, with prompt refusals.

waitress queues a request before the application sees it. The dispatcher here notes when
that was, and hands what is past the bound to a few threads that only refuse.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import waitress.server
from waitress.task import ThreadedTaskDispatcher

from spokeroute.dial.verdict import Verdict

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]
REASONS = {
    200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
    422: "Unprocessable Content", 429: "Too Many Requests", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
HOP = frozenset(
    ("connection", "keep-alive", "te", "trailers", "transfer-encoding", "upgrade", "server",
     "date", "content-length", "proxy-authenticate", "proxy-authorization")
)  # fmt: skip


class BoundedDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """waitress's dispatcher with a bound on its line and a memory of when each came."""

    REFUSERS = 2

    def __init__(self, mostWaiting: int) -> None:
        super().__init__()
        self.mostWaiting = mostWaiting
        self.local = threading.local()
        self.late: list[Any] = []
        self.lateReady = threading.Semaphore(0)
        self.cameMs: dict[int, int] = {}
        for number in range(self.REFUSERS):
            name = f"refuser-{number}"
            threading.Thread(target=self._refuse, name=name, daemon=True).start()

    def add_task(self, task: Any) -> None:
        self.cameMs[id(task)] = time.monotonic_ns() // 1_000_000
        with self.lock:
            idle = len(self.threads) - self.stop_count - self.active_count
            over = len(self.queue) - idle >= self.mostWaiting
            if not over:
                self.queue.append(_Timed(self, task))
                self.queue_cv.notify()
        if over:
            self.late.append(_Timed(self, task))
            self.lateReady.release()

    def _refuse(self) -> None:
        self.local.refusing = True
        while True:
            self.lateReady.acquire()
            self.late.pop(0).service()

    def refusing(self) -> bool:
        """Whether this thread is one that only refuses.

        Example:
            dispatcher.refusing()
        """
        return bool(getattr(self.local, "refusing", False))

    def waitedMs(self) -> int:
        """How long the request of this thread stood in line.

        Example:
            dispatcher.waitedMs()
        """
        return int(getattr(self.local, "waitedMs", 0))


class _Timed:
    """A task that tells its thread how long it waited."""

    def __init__(self, dispatcher: BoundedDispatcher, task: Any) -> None:
        self.dispatcher = dispatcher
        self.task = task

    def service(self) -> None:
        nowMs = time.monotonic_ns() // 1_000_000
        cameMs = self.dispatcher.cameMs.pop(id(self.task), nowMs)
        self.dispatcher.local.waitedMs = nowMs - cameMs
        self.task.service()

    def cancel(self) -> None:
        self.task.cancel()


def serve(
    app: WsgiApp, address: str, threads: int, mostWaiting: int, maxBodyBytes: int
) -> tuple[Any, BoundedDispatcher]:
    """A listening server; run it with ``server.run()`` on a thread of its own.

    Example:
        server, dispatcher = serve(app, "127.0.0.1:8001", 64, 128, 1 << 20)
    """
    dispatcher = BoundedDispatcher(mostWaiting)
    dispatcher.set_thread_count(threads)
    server = waitress.server.create_server(
        app,
        listen=address,
        _dispatcher=dispatcher,
        threads=threads,
        max_request_body_size=maxBodyBytes,
        max_request_header_size=64 * 1024,
        inbuf_overflow=512 * 1024,
        connection_limit=1000,
        channel_timeout=60,
        channel_request_lookahead=1,
        backlog=512,
        ident="spokeroute",
        clear_untrusted_proxy_headers=False,
        expose_tracebacks=False,
        asyncore_use_poll=True,
    )
    return server, dispatcher


def respond(verdict: Verdict, start: Any) -> Iterable[bytes]:
    """A verdict as WSGI's answer.

    Example:
        return respond(Verdict(200, (), b"{}"), start)
    """
    reason = REASONS.get(verdict.status, "Status")
    headers = [(k, v) for k, v in verdict.headers if k.lower() not in HOP]
    headers.append(("Content-Length", str(len(verdict.body))))
    start(f"{verdict.status} {reason}", headers)
    return [verdict.body]


def readBody(environ: dict[str, Any], mostBytes: int) -> bytes | None:
    """The whole body, or None when it is over the bound.

    Example:
        readBody(environ, 1 << 20)
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > mostBytes:
        return None
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body
