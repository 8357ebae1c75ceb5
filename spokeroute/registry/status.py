"""What a registry can tell of itself: snapshots, read from any thread."""

from __future__ import annotations

from typing import Any

from spokeroute.dispatch import placement
from spokeroute.dispatch.scaler import roomOf
from spokeroute.logbook import ledger
from spokeroute.register import copies, keeper, steward
from spokeroute.trunk import colleagues
from spokeroute.trunk.process import Process


def _state(process: Process, name: str, kind: type[Any]) -> Any:
    state = process.actors[name].state
    assert isinstance(state, kind)
    return state


def localitiesKnown(process: Process) -> tuple[str, ...]:
    """Localities that workers or colleagues stand in.

    Example:
        localitiesKnown(process)
    """
    place: placement.State = _state(process, "placement", placement.State)
    view: colleagues.State = _state(process, "colleagues", colleagues.State)
    names = {s.locality for s in place.listing.seats}
    if names:
        names |= {k.entry.locality for k in view.view.values()} | {process.me.locality}
    return tuple(sorted(n for n in names if n))


def workerMb(process: Process) -> int:
    """The largest worker's memory; 0 while no listing came.

    Example:
        workerMb(process)
    """
    place: placement.State = _state(process, "placement", placement.State)
    return max((s.memoryMb for s in place.listing.seats), default=0)


def statusDoc(process: Process) -> dict[str, Any]:
    """The state of this registry and what it sees of the others.

    Example:
        statusDoc(process)["votes"]
    """
    nowMs = process.world.nowMs()
    kept: keeper.State = _state(process, "keeper", keeper.State)
    held: copies.State = _state(process, "copies", copies.State)
    core: steward.State = _state(process, "steward", steward.State)
    place: placement.State = _state(process, "placement", placement.State)
    view: colleagues.State = _state(process, "colleagues", colleagues.State)
    book: ledger.State = _state(process, "ledger", ledger.State)
    roster = kept.syncedRoster
    return {
        "member": process.me.node,
        "address": process.me.address,
        "locality": process.me.locality,
        "votes": kept.syncedVotes and not kept.failed,
        "diskFailed": kept.failed,
        "syncMs": nowMs - kept.writingMs if kept.writing else kept.syncMs,
        "epoch": roster.epoch if roster else 0,
        "roster": [
            {
                "member": m,
                "address": a,
                "silentMs": 0
                if m == process.me.node
                else (nowMs - core.signs[m].atMs if m in core.signs else None),
                "votes": kept.syncedVotes
                if m == process.me.node
                else (core.signs[m].votes if m in core.signs else None),
            }
            for m, a in (roster.members if roster else ())
        ],
        "provedAgoMs": nowMs - held.provedMs if held.provedMs >= 0 else None,
        "versions": {n: g.copy.version for n, g in held.ruling.items()},
        "term": place.term,
        "holdsPlacement": place.term > 0 and nowMs < place.leaseUntilMs,
        "colleagues": [
            {
                "node": k.entry.node,
                "role": k.entry.role,
                "locality": k.entry.locality,
                "address": k.entry.address,
                "heardAgoMs": nowMs - k.asOfMs,
            }
            for k in sorted(view.view.values(), key=lambda k: k.entry.node)
        ],
        "listsPushedAgoMs": nowMs - place.pushedMs if place.term else None,
        "waiting": {n: d.waiting for n, d in place.demand.items() if d.waiting},
        "noRoomFor": _noRoom(place),
        "platform": {
            "listedAgoMs": nowMs - place.listingMs if place.listing.seats else None,
            "workers": len(place.listing.seats),
            "sequence": place.listing.sequence,
            "startTokens": round(place.tokens, 1),
        },
        "instances": _instances(place),
        "thresholds": place.table.thresholds.to_dict() if place.table else None,
        "workersPct": dict(place.ranked.cuPct) if place.ranked else {},
        "evacuated": sorted(place.evacuated),
        "ledgerDurable": book.durable,
    }


def _noRoom(place: placement.State) -> list[str]:
    """Services that have calls waiting and none up or starting, with no worker to start on."""
    if place.table is None or not place.term:
        return []
    have = {p.service for p in place.floor.instances if p.state in ("starting", "up")}
    services = place.table.services
    now = {p.id: p for p in place.floor.instances}
    room = roomOf({s.id: s for s in place.listing.seats}, now, services, place.evacuated)
    most = max(room.freeMb.values(), default=0)
    return sorted(
        n
        for n, d in place.demand.items()
        if d.waiting and n not in have and n in services and services[n].memoryMb > most
    )


def _instances(place: placement.State) -> dict[str, dict[str, int]]:
    out: dict[str, dict[str, int]] = {}
    for placed in place.floor.instances:
        row = out.setdefault(placed.service, {})
        row[placed.state] = row.get(placed.state, 0) + 1
        if placed.routed:
            row["routed"] = row.get("routed", 0) + 1
    return out
