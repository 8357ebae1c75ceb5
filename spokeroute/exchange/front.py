"""The callers' door: a WSGI application that hands calls to the loop and waits."""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from spokeroute.dial.http import BoundedDispatcher, readBody, respond
from spokeroute.dial.slab import Slab
from spokeroute.dial.verdict import Kind, Ran, Verdict, refusal
from spokeroute.exchange.filters import MAX_BODY_BYTES, MAX_WAIT_MS
from spokeroute.exchange.types import CallerGone, CallIn
from spokeroute.trunk.net import monotonicMs

LOOK_S = 0.25
GUARD_MS = 1_500
FIRST_PROOF_S = 4.0


class Front:
    """Takes calls in and gives each its one verdict.

    Example:
        front = Front("ex1", slab, post)
        list(front(environ, start))
    """

    def __init__(self, node: str, slab: Slab, post: Callable[[object], None]) -> None:
        self.node = node
        self.slab = slab
        self.post = post
        self.dispatcher: BoundedDispatcher | None = None
        self.ready: Callable[[], bool] = lambda: False
        self.draw = secrets.token_hex(4)
        self.count = 0
        self.proved = threading.Event()

    def __call__(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        return respond(self._verdict(environ), start)

    def _verdict(self, environ: dict[str, Any]) -> Verdict:
        path = environ.get("PATH_INFO", "/")
        try:
            path = path.encode("latin-1").decode("utf-8")
        except UnicodeError:
            return refusal(Kind.NO_LANE, reason="the path is not UTF-8")
        if path == "/spokeroute/ready":
            ready = self.ready()
            return Verdict(200 if ready else 503, (), b"ready" if ready else b"no proof yet")
        dispatcher = self.dispatcher
        if dispatcher is not None and dispatcher.refusing():
            return refusal(Kind.OVERLOAD, Ran.NO, "the line of calls is full", retryAfterS=1)
        body = readBody(environ, MAX_BODY_BYTES)
        if body is None:
            return refusal(Kind.TOO_LARGE)
        slot = self.slab.take()
        if slot is None:
            return refusal(Kind.OVERLOAD, Ran.NO, "every slot is taken", retryAfterS=1)
        try:
            return self._wait(environ, path, body, slot, dispatcher)
        finally:
            self.slab.free(slot)

    def _wait(
        self,
        environ: dict[str, Any],
        path: str,
        body: bytes,
        slot: Any,
        dispatcher: BoundedDispatcher | None,
    ) -> Verdict:
        self.count += 1
        wait = environ.get("HTTP_SPOKEROUTE_WAIT_MS", "")
        ask = CallIn(
            slot,
            f"{self.node}-{self.draw}-{slot.index}-{slot.generation}",
            environ.get("HTTP_SPOKEROUTE_AGENT") or environ.get("REMOTE_ADDR", ""),
            environ.get("REQUEST_METHOD", "GET"),
            path,
            environ.get("QUERY_STRING", ""),
            _headers(environ),
            body,
            wait,
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            dispatcher.waitedMs() if dispatcher else 0,
        )
        ask = replace(ask, waitedMs=ask.waitedMs + self._firstProof(wait))
        self.post(ask)
        waitMs = int(wait) if wait.isascii() and wait.isdigit() and len(wait) < 8 else 0
        untilMs = monotonicMs() + min(waitMs, MAX_WAIT_MS) + GUARD_MS
        gone = environ.get("waitress.client_disconnected")
        told = False
        while True:
            verdict = self.slab.wait(slot, LOOK_S)
            if verdict is not None:
                return verdict
            if monotonicMs() > untilMs:
                return refusal(Kind.UNKNOWN, Ran.MAYBE, "this exchange's loop did not answer")
            if gone is not None and not told and gone():
                told = True
                self.post(CallerGone(slot))

    def _firstProof(self, wait: str) -> int:
        """A process that just started has no proof yet: a call waits for the first one, for at
        most half of its own wait. Later on, no proof is a refusal at once."""
        if self.proved.is_set() or not wait.isascii() or not wait.isdigit() or len(wait) > 7:
            return 0
        sinceMs = monotonicMs()
        self.proved.wait(min(int(wait) / 2000, FIRST_PROOF_S))
        return monotonicMs() - sinceMs


def _headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    found = [
        (key[5:].replace("_", "-").title(), str(value))
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        found.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(found)
