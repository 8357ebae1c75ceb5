"""The operator API: WSGI over waitress. Long work (reading a configuration) stays on the
request's own thread; what decides goes to the loop."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from spokeroute.dial.http import readBody, respond
from spokeroute.dial.slab import Slab
from spokeroute.dial.verdict import Verdict, problem
from spokeroute.dispatch.desired import (
    MAX_CONFIGURATION_BYTES,
    DesiredState,
    Fault,
    packDesired,
    readDesired,
)
from spokeroute.register.cells import digestOf
from spokeroute.register.disk import Disk
from spokeroute.registry.operator import Apply, Evacuate, Show, ShowEvacuated
from spokeroute.registry.status import localitiesKnown, statusDoc, workerMb
from spokeroute.trunk.process import Process

WAIT_S = 12.0
MAX_ENTRIES = 2_000


def faultsVerdict(faults: tuple[Fault, ...]) -> Verdict:
    """Every fault of a configuration, with its path and remedy.

    Example:
        faultsVerdict((Fault("lanes", "is missing", "add it"),)).status == 422
    """
    listed = [{"path": f.path, "reason": f.reason, "remedy": f.remedy} for f in faults[:500]]
    return problem(
        422, "the configuration was not taken", f"{len(faults)} faults; nothing changed",
        "mend each fault and apply again", {"faults": listed, "kind": "faults"},
    )  # fmt: skip


class Api:
    """Routes the operator's requests.

    Example:
        api = Api(process, slab, disk, post)
    """

    def __init__(
        self, process: Process, slab: Slab, disk: Disk, post: Callable[[object], None]
    ) -> None:
        self.process = process
        self.slab = slab
        self.disk = disk
        self.post = post

    def __call__(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        return respond(self._route(environ), start)

    def _route(self, environ: dict[str, Any]) -> Verdict:
        method = environ.get("REQUEST_METHOD", "GET")
        parts = [p for p in environ.get("PATH_INFO", "/").split("/") if p]
        match method, parts:
            case "GET", ["ready"]:
                ready = bool(statusDoc(self.process)["votes"])
                return Verdict(200 if ready else 503, (), b"ready" if ready else b"not voting")
            case "PUT", ["desired-state"]:
                return self._apply(environ)
            case "GET", ["desired-state"]:
                return self._loop(Show)
            case "GET", ["evacuation"]:
                return self._loop(ShowEvacuated)
            case "PUT" | "DELETE", ["evacuation", name]:
                return self._evacuate(name, method == "PUT")
            case "GET", ["status"]:
                doc = json.dumps(statusDoc(self.process)).encode()
                return Verdict(200, (("Content-Type", "application/json"),), doc)
            case "GET", ["ledger"]:
                return self._ledger(environ)
        return problem(
            404, "no such resource", f"{method} /{'/'.join(parts)}",
            "use /desired-state, /evacuation/<locality>, /status, /ledger or /ready",
        )  # fmt: skip

    def _loop(self, kind: Callable[[Any], object]) -> Verdict:
        slot = self.slab.take()
        if slot is None:
            return problem(503, "too many operator requests", "no slot is free", "wait a second",
                           headers=(("Retry-After", "1"),))  # fmt: skip
        try:
            self.post(kind(slot))
            verdict = self.slab.wait(slot, WAIT_S)
        finally:
            self.slab.free(slot)
        return verdict or problem(
            504, "this registry's loop did not answer", "it may still be applied",
            "read it back with `spokeroute desk show`",
        )  # fmt: skip

    def _apply(self, environ: dict[str, Any]) -> Verdict:
        body = readBody(environ, MAX_CONFIGURATION_BYTES)
        if body is None:
            return problem(413, "configuration too large", "over the size bound",
                           f"keep it to {MAX_CONFIGURATION_BYTES} bytes")  # fmt: skip
        expect = -1
        raw = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
        if raw and raw != "*":
            if not raw.isascii() or not raw.isdigit() or len(raw) > 15:
                return problem(400, "bad If-Match", f"it was {raw[:40]!r}", "give a version")
            expect = int(raw)
        got = readDesired(body, localitiesKnown(self.process))
        if isinstance(got, DesiredState):
            most = workerMb(self.process)
            large = tuple(
                Fault(f"services[{i}].memoryMb", f"{s.memoryMb} MB fits no worker",
                      f"the largest has {most} MB")
                for i, s in enumerate(got.services) if most and s.memoryMb > most
            )  # fmt: skip
            if large:
                return faultsVerdict(large)
            value = packDesired(got, secrets.token_hex(8))
            return self._loop(lambda slot: Apply(slot, value, digestOf(value), expect))
        return faultsVerdict(got)

    def _evacuate(self, name: str, out: bool) -> Verdict:
        known = localitiesKnown(self.process)
        if known and name not in known:
            return problem(404, "unknown locality", f"no locality {name!r}",
                           f"known: {', '.join(known)}")  # fmt: skip
        return self._loop(lambda slot: Evacuate(slot, name, out, known))

    def _ledger(self, environ: dict[str, Any]) -> Verdict:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = query.get("after", [""])[0][:100]
        raw = query.get("limit", ["500"])[0]
        if not raw.isascii() or not raw.isdigit() or not 1 <= int(raw) <= MAX_ENTRIES:
            return problem(400, "bad limit", f"it was {raw[:20]!r}", f"choose 1 to {MAX_ENTRIES}")
        entries = self.disk.entries(after, int(raw))
        text = "".join(f"{line}\n" for _, line in entries)
        headers = (
            ("Content-Type", "application/x-ndjson"),
            ("Spokeroute-Durable", str(statusDoc(self.process)["ledgerDurable"])),
        )
        return Verdict(200, headers, text.encode())
