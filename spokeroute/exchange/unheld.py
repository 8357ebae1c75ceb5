"""Selection of instances that no running exchange holds, which an entry node may call directly."""

from __future__ import annotations

import zlib

from spokeroute.common.ids import Incarnation, Ms
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import Placed
from spokeroute.dispatch.scaling.cold_rate import is_held_only
from spokeroute.exchange.call_state import State, lost_instances
from spokeroute.exchange.pick import UNHELD_RULE, Picked, instances_for, usable
from spokeroute.exchange.types import Call


def pick_unheld(state: State, call: Call, now_ms: Ms) -> Picked | None:
    """An instance that no running exchange holds. Only used if instances refuse calls over their
    limit by themselves: this exchange then sends to it without a holder, one call at a time.

    Example:
        pick_unheld(state, call, now_ms)
    """
    lost = lost_instances(state, now_ms)
    tables = state.tables
    candidates = [
        placed
        for placed in instances_for(call, tables, state.places)
        if (placed.holder == "" or lost(placed))
        and usable(replace(placed, holder=state.me), tables)
        and not is_held_only(placed, tables.table)
        and placed.id not in call.tried_instances
        and state.avoided_until_ms.get(placed.id, -1) <= now_ms
        and state.draining_until_ms.get(placed.id, -1) <= now_ms
        and state.outstanding.get(placed.id, 0) < 1
    ]
    if not candidates:
        return None

    def by_distance_then_spread(placed: Placed) -> tuple[int, int]:
        spread = zlib.crc32(f"{call.request.call_id}/{placed.id}".encode())
        return state.places.distance(placed.zone), spread

    best = min(candidates, key=by_distance_then_spread)
    held_here = replace(best, holder=state.me, holder_incarnation=Incarnation(state.incarnation))
    return Picked(held_here, UNHELD_RULE)
