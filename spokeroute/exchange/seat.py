"""What a holder keeps of one instance: its line, what it was handed, and how it does."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.dial.ids import Ms, NodeId
from spokeroute.dispatch.floor import STARTING, Placed
from spokeroute.trunk.messages import Forward


@dataclass(frozen=True, slots=True)
class Waiting:
    """A forwarded call in an instance's line."""

    forward: Forward
    origin: NodeId
    deadline_ms: Ms


@dataclass(frozen=True, slots=True)
class Handed:
    """An attempt that was launched, and until when its place is kept if no answer comes."""

    attempt_id: str
    origin: NodeId
    sent_ms: Ms
    reported: bool = False
    free_at_ms: Ms = Ms(-1)


@dataclass(frozen=True, slots=True)
class Seat:
    """One instance that this process holds."""

    placed: Placed
    line: tuple[Waiting, ...] = ()
    handed: Map[str, Handed] = field(default_factory=Map)
    cold_ms: tuple[Ms, ...] = ()  # sends while cold, within the last second
    answered_ms: tuple[Ms, ...] = ()  # whole answers, within the rate's window
    busy_ms: float = 0.0  # in flight times time, in this sample
    sampled_ms: Ms = Ms(0)
    sample_start_ms: Ms = Ms(0)
    mean_milli: int = 0
    answered: int = 0
    failures: int = 0
    confirmed: bool = False
    down_ms: int = 0  # how long it is left alone after it could not be reached
    down_until_ms: Ms = Ms(-1)
    seated_ms: Ms = Ms(0)  # since when this process holds it
    reached: bool = False  # a connect succeeded while it started
    connecting: bool = False
    connect_ms: Ms = Ms(0)  # the next connect
    guest: bool = False  # nobody living holds it: one call at a time, until somebody does

    @property
    def booting(self) -> bool:
        """Whether nothing may be sent yet: it starts, and was never reached.

        Example:
            Seat(placed).booting is False
        """
        return self.placed.state == STARTING and not self.reached
