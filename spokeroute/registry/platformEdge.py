"""The edge towards the platform: listing, starts and stops, on bounded threads.

A call goes out only while its term's lease holds, and is not retried here: the placement
role asks again, with the same instance id.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3

from spokeroute.dial.ids import Address, InstanceId, LocalityName, ServiceName, WorkerId
from spokeroute.dispatch.plan import Listed
from spokeroute.dispatch.platform import (
    ListPlatform,
    PlatformCall,
    PlatformDone,
    PlatformListed,
)
from spokeroute.dispatch.scaler import WorkerSeat
from spokeroute.trunk.net import monotonicMs

THREADS = 16
LIST_S = 2.0
CALL_S = 2.0
MAX_LISTING_BYTES = 8 * 1024 * 1024


def _listed(raw: Any) -> Listed:
    return Listed(
        InstanceId(str(raw["id"])),
        ServiceName(str(raw["service"])),
        WorkerId(str(raw["worker"])),
        Address(str(raw.get("address", ""))),
        str(raw["state"]),
    )


def readListing(body: bytes) -> PlatformListed:
    """A listing, read with care: what can't be read is a failed listing, not an empty one.

    Example:
        >>> readListing(b"{}").ok
        False
    """
    try:
        raw: Any = json.loads(body)
        seats = tuple(
            WorkerSeat(WorkerId(str(w["id"])), LocalityName(str(w["locality"])), int(w["memoryMb"]))
            for w in raw["workers"]
        )
        listed = tuple(_listed(i) for i in raw["instances"])
        return PlatformListed(True, int(raw["sequence"]), seats, listed)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        return PlatformListed(False, 0, (), (), f"unreadable listing: {type(fault).__name__}")


class PlatformEdge:
    """Carries out platform jobs.

    Example:
        edge = PlatformEdge("127.0.0.1:9000", loop.report)
    """

    def __init__(self, address: str, report: Callable[[str, object], None]) -> None:
        self.report = report
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=THREADS, block=False, retries=False
        )
        self.threads = ThreadPoolExecutor(THREADS, thread_name_prefix="platform")

    def list(self, actor: str, job: ListPlatform) -> None:
        """Read the listing.

        Example:
            edge.list("placement", ListPlatform())
        """
        self.threads.submit(self._list, actor)

    def _list(self, actor: str) -> None:
        try:
            answer = self.pool.request("GET", "/listing", timeout=LIST_S, redirect=False)
            if answer.status != 200 or len(answer.data) > MAX_LISTING_BYTES:
                got = PlatformListed(False, 0, (), (), f"status {answer.status}")
            else:
                got = readListing(answer.data)
        except urllib3.exceptions.HTTPError as fault:
            got = PlatformListed(False, 0, (), (), type(fault).__name__)
        self.report(actor, got)

    def call(self, actor: str, job: PlatformCall) -> None:
        """Start or stop an instance.

        Example:
            edge.call("placement", job)
        """
        self.threads.submit(self._call, actor, job)

    def _call(self, actor: str, job: PlatformCall) -> None:
        self.report(actor, self._done(job))

    def _done(self, job: PlatformCall) -> PlatformDone:
        if monotonicMs() >= job.goodUntilMs:
            return PlatformDone(job.op, job.instance, "late", "the term's lease ran out")
        try:
            if job.op == "start":
                body = json.dumps({
                    "id": job.instance, "service": job.service, "worker": job.worker,
                    "memoryMb": job.memoryMb, "limit": job.limit,
                }).encode()  # fmt: skip
                answer = self.pool.request(
                    "POST", "/instances", body=body, timeout=CALL_S, redirect=False,
                    headers={"Content-Type": "application/json"},
                )  # fmt: skip
            else:
                answer = self.pool.request(
                    "DELETE", f"/instances/{job.instance}", timeout=CALL_S, redirect=False
                )
        except urllib3.exceptions.HTTPError as fault:
            return PlatformDone(job.op, job.instance, "failed", type(fault).__name__)
        if answer.status in (200, 202, 204) or (job.op == "stop" and answer.status == 404):
            return PlatformDone(job.op, job.instance, "ok", "")
        if answer.status == 429:
            return PlatformDone(job.op, job.instance, "refused", "over the platform's cap")
        return PlatformDone(job.op, job.instance, "failed", f"status {answer.status}")
