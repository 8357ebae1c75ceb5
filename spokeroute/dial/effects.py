"""What a pure core may ask of its shell, and the few events every core knows.

A core is ``step(state, event, nowMs) -> (state, effects)``. The shell carries the
effects out; in tests the same shell runs over a simulated world.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from spokeroute.dial.ids import Address, Incarnation, Ms, NodeId
from spokeroute.dial.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Tick:
    """The loop's heartbeat. ``gapMs`` is the time since the last: a freeze shows here."""

    gapMs: int = 0


@dataclass(frozen=True, slots=True)
class From:
    """A message that came from a colleague."""

    node: NodeId
    incarnation: Incarnation
    message: object


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a colleague by id; dropped when its address is not known."""

    to: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class SendAddress:
    """Send a message to whoever listens at an address (seeds only)."""

    address: Address
    message: object


@dataclass(frozen=True, slots=True)
class Tell:
    """Hand an event to another actor of the same process."""

    actor: str
    event: object


@dataclass(frozen=True, slots=True)
class SlotId:
    """A slab slot: the generation keeps a late report off a reused slot."""

    index: int
    generation: int


@dataclass(frozen=True, slots=True)
class Reply:
    """The one verdict for the request waiting in a slot."""

    slot: SlotId
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Launch:
    """Carry out a job at the edge; its report comes back to the actor that asked."""

    job: object


@dataclass(frozen=True, slots=True)
class Directory:
    """The address book, swapped whole: who is where."""

    entries: tuple[tuple[NodeId, Address], ...]


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the ring log; ``alarm`` writes the ring out."""

    text: str
    alarm: bool = False


Effect = Send | SendAddress | Tell | Reply | Launch | Directory | Note
Effects = tuple[Effect, ...]

S = TypeVar("S")


class Step(Protocol[S]):
    """A core's whole behaviour."""

    def __call__(self, state: S, event: object, nowMs: Ms, /) -> tuple[S, Effects]:
        """One event in; the next state and what to do out."""
        ...
