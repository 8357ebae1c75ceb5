"""What the HTTP front keeps of requests that it has not answered."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.common.effects import SlotId
from spokeroute.http.connections import Connection


@dataclass(slots=True)
class OpenCall:
    """A call that was posted to the loop."""

    connection: Connection
    slot: SlotId
    until_ms: int


@dataclass(frozen=True, slots=True)
class EarlyRequest:
    """A request that arrived before this process's first proof, and until when it may wait."""

    connection: Connection
    received_ms: int
    until_ms: int
