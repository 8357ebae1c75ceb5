"""Which instance a call goes to: the routed ones on the ordinary path, the head of the
ranked list that is still fit after a failure. Written exceptions are named here."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

from spokeroute.dispatch.floor import UP, Placed
from spokeroute.exchange.types import LISTS_AGE_MS, Call, Tables
from spokeroute.trunk.messages import Lists


@dataclass(frozen=True, slots=True)
class Picked:
    """The instance, and by which rule: routed, successor, or an exception."""

    placed: Placed
    rule: str


def usable(placed: Placed, tables: Tables) -> bool:
    """Whether calls may go to an instance at all.

    Example:
        usable(placed, tables)
    """
    return (
        placed.state == UP
        and placed.holder != ""
        and placed.address != ""
        and placed.locality not in tables.evacuated
    )


def pick(
    call: Call,
    tables: Tables,
    lists: Lists | None,
    listsMs: int,
    outstanding: Mapping[str, int],
    shunnedMs: Mapping[str, int],
    me: str,
    nowMs: int,
) -> Picked | None:
    """The instance for a call's next try, or None where it has to be held.

    Example:
        pick(call, tables, None, 0, {}, {}, "ex1", nowMs)
    """
    here = [p for p in tables.byService.get(call.service.name, ()) if usable(p, tables)]
    if call.touched:
        return _successor(call, tables, here, lists, listsMs, nowMs, shunnedMs)
    open_ = [p for p in here if shunnedMs.get(p.id, -1) <= nowMs]
    routed = [p for p in open_ if p.routed]
    if routed:
        return Picked(_least(routed, outstanding, me, call), "routed")
    if any(p.routed for p in here):
        return _afterLoss(call, tables, here, open_, lists, listsMs, nowMs)
    if open_:
        # Exception: nothing is routed (the floor is catching up), so any usable one serves.
        return Picked(_least(open_, outstanding, me, call), "unrouted")
    return None


def _least(group: list[Placed], outstanding: Mapping[str, int], me: str, call: Call) -> Placed:
    """Fewest of this exchange's own calls by limit; near ones, then a spread, among equals."""
    return min(
        group,
        key=lambda p: (
            outstanding.get(p.id, 0) / max(1, p.limit),
            not p.warm,
            p.holder != me,
            zlib.crc32(f"{call.ask.callId}/{p.id}".encode()),
        ),
    )


def _ranked(
    call: Call, worker: str, tables: Tables, lists: Lists | None, listsMs: int, nowMs: int
) -> tuple[str, ...] | None:
    if lists is None or nowMs - listsMs > LISTS_AGE_MS:
        return None
    if tables.table is not None and lists.desiredVersion < tables.table.version:
        return None
    for each in lists.successors:
        if each.service == call.service.name and each.worker == worker:
            return each.ranked
    return None


def _afterLoss(
    call: Call,
    tables: Tables,
    here: list[Placed],
    open_: list[Placed],
    lists: Lists | None,
    listsMs: int,
    nowMs: int,
) -> Picked | None:
    """Every routed instance just failed for others: their successors take over."""
    byId: dict[str, Placed] = {p.id: p for p in open_}
    for lost in here:
        if lost.routed and lost.id not in byId:
            for name in _ranked(call, lost.worker, tables, lists, listsMs, nowMs) or ():
                if name in byId:
                    return Picked(byId[name], "successor")
    return None


def _successor(
    call: Call,
    tables: Tables,
    here: list[Placed],
    lists: Lists | None,
    listsMs: int,
    nowMs: int,
    shunnedMs: Mapping[str, int],
) -> Picked | None:
    worker = call.failed[-1].worker if call.failed else ""
    fit: dict[str, Placed] = {
        p.id: p
        for p in here
        if p.id not in call.touched and p.warm and shunnedMs.get(p.id, -1) <= nowMs
    }
    ranked = _ranked(call, worker, tables, lists, listsMs, nowMs)
    if ranked is not None:
        for name in ranked:
            if name in fit:
                return Picked(fit[name], "successor")
    # Exception: no list of this worker, or one past its age or of an older desired
    # state: floor order decides.
    others = [p for p in fit.values() if p.worker != worker]
    if others:
        return Picked(others[0], "floor order")
    # Exception: the worker is the only one with the service.
    rest = list(fit.values())
    return Picked(rest[0], "same worker") if rest else None
