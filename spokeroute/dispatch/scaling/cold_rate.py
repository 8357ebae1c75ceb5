"""The stated rate of a cold instance, and how its holder keeps within it.

The bound counts what all processes send to a cold instance in a second. Its holder alone sends to
it. A holder that lost the core may send for a while beside its successor, so it slows to a trickle
as soon as its proof is old, and every holder leaves room for two such trickles. A holder that takes
over an instance that calls may have reached waits until its predecessor has slowed down, and the
second in which the predecessor sent its last calls at full rate is over.
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Ms
from spokeroute.dispatch.configuration.configuration import Service, Table
from spokeroute.dispatch.placement.table import Placed

COLD_PROOF_MS = 1_200  # with an older proof a holder only trickles
SEND_MARGIN_MS = 100  # from the decision to send until the bytes leave
RATE_SECOND_MS = 1_000
TAKEOVER_WAIT_MS = COLD_PROOF_MS + RATE_SECOND_MS + SEND_MARGIN_MS
TRICKLE_SHARE = 8
TRICKLING_PREDECESSORS = 2


@dataclass(frozen=True, slots=True)
class ColdRate:
    """What a cold instance may get in a second from its holder, and from one with an old proof.

    Example:
        >>> ColdRate.within(20.0)
        ColdRate(most_per_s=16, trickle_per_s=2)
    """

    most_per_s: int
    trickle_per_s: int

    @staticmethod
    def within(bound_per_s: float) -> ColdRate:
        """The rates that keep a cold instance within a bound over all processes.

        Example:
            >>> ColdRate.within(5.0)
            ColdRate(most_per_s=3, trickle_per_s=1)
        """
        whole = int(bound_per_s)
        trickle = max(1, whole // TRICKLE_SHARE)
        return ColdRate(max(1, whole - TRICKLING_PREDECESSORS * trickle), trickle)

    def allowed(self, proof_age_ms: int) -> int:
        """How many calls may arrive in a second, by the age of the holder's proof.

        Example:
            >>> ColdRate(16, 2).allowed(400), ColdRate(16, 2).allowed(5_000)
            (16, 2)
        """
        return self.most_per_s if is_proof_young(proof_age_ms) else self.trickle_per_s


def is_proof_young(proof_age_ms: int) -> bool:
    """Whether a holder's proof is young enough for its full rate.

    Example:
        >>> is_proof_young(400), is_proof_young(1_150)
        (True, False)
    """
    return proof_age_ms < COLD_PROOF_MS - SEND_MARGIN_MS


def cold_rate_of(service: Service | None, bounds: Bounds) -> ColdRate | None:
    """The rates for a service's cold instances; None if it states no rate, or they are never cold.

    Example:
        >>> cold_rate_of(Service("s", 128, 4, cold_per_s=10.0), Bounds())
        ColdRate(most_per_s=16, trickle_per_s=2)
    """
    if service is None or service.cold_per_s is None or is_never_cold(service):
        return None
    return ColdRate.within(service.cold_per_s * bounds.cold_overshoot + bounds.cold_start_slack)


def is_never_cold(service: Service) -> bool:
    """Whether a service's instances are warm from their start on, whatever a listing says.

    Example:
        >>> is_never_cold(Service("s", 128, 4, cold_ms=0, cold_per_s=0.0))
        True
    """
    return service.cold_ms == 0 and not service.cold_per_s


def is_held_only(placed: Placed, table: Table | None) -> bool:
    """Whether only an instance's holder may send to it: it is cold, and its service states a rate
    that processes without a holder can't share.

    Example:
        is_held_only(placed, table) is False
    """
    service = table.services.get(placed.service) if table else None
    return not placed.warm and service is not None and service.cold_per_s is not None


def arrivals_in_second(ends_ms: tuple[Ms, ...], in_flight: int, now_ms: Ms) -> int:
    """How many calls may have arrived within a second that ends now: those in flight, and those
    that ended in it. A call arrives between its dispatch and its end, however long its sending
    thread or its connection took.

    Example:
        >>> arrivals_in_second((Ms(100), Ms(900)), 2, Ms(1_500))
        3
    """
    return in_flight + sum(1 for at_ms in ends_ms if now_ms - at_ms < RATE_SECOND_MS)
