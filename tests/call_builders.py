"""Open calls for tests of the pure cores."""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import SlotId
from spokeroute.common.ids import CallId, Incarnation, InstanceId, Ms, NodeId, WorkerId
from spokeroute.dispatch.configuration.configuration import Route, Service
from spokeroute.exchange.types import Attempt, Call, CallIn, Phase


def call_to(holder: str, sent_ms: Ms, slot: SlotId) -> Call:
    """A repeatable call with one open attempt at a holder."""
    request = CallIn(slot, CallId("c1"), "a", "GET", "/x", "", (), b"", "5000", "", 0)
    attempt = Attempt(InstanceId("i"), WorkerId("w"), NodeId(holder), Incarnation(1), sent_ms)
    return Call(
        request, Route("/x", "s"), Service("s", 128, 4), sent_ms, Ms(sent_ms + 5_000), Phase.TRYING,
        Ms(sent_ms + 5_000), at_most_once=False, attempts=Map({"c1.0": attempt}),
    )  # fmt: skip
