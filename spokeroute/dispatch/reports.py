"""What the exchanges report, folded into what placement decides by."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

from spokeroute.dial.ids import Incarnation, Ms, NodeId
from spokeroute.dispatch.scaler import Demand, smooth
from spokeroute.trunk.messages import DemandReport, HeldReport, Probe

HOLDER_SILENT_MS = 2_500
DEAF_MS = 1_000  # a proof may be on its way to one that just started, or after an outage


@dataclass(frozen=True, slots=True)
class Reported:
    """An exchange's newest report."""

    incarnation: Incarnation
    atMs: Ms
    held: tuple[HeldReport, ...]
    demand: tuple[DemandReport, ...]
    leaving: bool = False
    busy: tuple[str, ...] = ()
    deafSinceMs: Ms = Ms(-1)  # it is heard, and has had no proof: nothing seems to reach it


def reported(old: Reported | None, incarnation: Incarnation, probe: Probe, nowMs: Ms) -> Reported:
    """What a probe says of its sender.

    Example:
        reported(None, incarnation, probe, nowMs).atMs == nowMs
    """
    deafMs = Ms(-1)
    if not 0 <= probe.provedAgoMs <= HOLDER_SILENT_MS:
        same = old is not None and old.incarnation == incarnation and old.deafSinceMs >= 0
        deafMs = old.deafSinceMs if old is not None and same else nowMs
    return Reported(incarnation, nowMs, probe.held, probe.demand, probe.leaving, probe.busy, deafMs)


def liveHolders(reports: Mapping[str, Reported], nowMs: int) -> dict[NodeId, Incarnation]:
    """Exchanges heard from lately that are neither leaving nor deaf, and their incarnations.

    Example:
        >>> liveHolders({}, 0)
        {}
    """
    return {
        NodeId(node): r.incarnation
        for node, r in reports.items()
        if nowMs - r.atMs <= HOLDER_SILENT_MS
        and not r.leaving
        and not (r.deafSinceMs >= 0 and nowMs - r.deafSinceMs > DEAF_MS)
    }


def meansOf(reports: Mapping[str, Reported]) -> dict[str, int]:
    """Mean requests in flight by instance, in thousandths.

    A silent exchange's last report stands until its instances have another holder.

    Example:
        >>> meansOf({})
        {}
    """
    newest: dict[str, tuple[int, int]] = {}
    for reported in reports.values():
        for held in reported.held:
            if reported.atMs >= newest.get(held.instance, (-1, 0))[0]:
                newest[held.instance] = (reported.atMs, held.meanInFlightMilli)
    return {instance: mean for instance, (_, mean) in newest.items()}


def suspectsOf(reports: Mapping[str, Reported], nowMs: int) -> frozenset[str]:
    """Instances whose holder can't get a proof of who they are, or only sees failures.

    Example:
        >>> suspectsOf({}, 0)
        frozenset()
    """
    return frozenset(
        held.instance
        for r in reports.values()
        if nowMs - r.atMs <= HOLDER_SILENT_MS
        for held in r.held
        if held.failures > 0 and held.answered == 0 and not held.confirmed
    )


def demandNow(
    old: Map[str, Demand], reports: Mapping[str, Reported], nowMs: int, dtMs: int
) -> Map[str, Demand]:
    """Every service's smoothed demand.

    Example:
        >>> len(demandNow(Map(), {}, 0, 100))
        0
    """
    sums: dict[str, tuple[int, int, int]] = {}
    for reported in reports.values():
        if nowMs - reported.atMs > HOLDER_SILENT_MS:
            continue
        for d in reported.demand:
            inFlight, waiting, arrived = sums.get(d.service, (0, 0, 0))
            sums[d.service] = (inFlight + d.inFlight, waiting + d.waiting, arrived + d.arrived)
    out = old.mutate()
    for name in set(old) | set(sums):
        inFlight, waiting, arrived = sums.get(name, (0, 0, 0))
        out[name] = smooth(old.get(name, Demand()), inFlight, waiting, arrived, nowMs, dtMs)
    return out.finish()
