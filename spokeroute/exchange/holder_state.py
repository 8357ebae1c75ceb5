"""The state of a holder: the instances that it holds, and when calls may be sent to them."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import AttemptId, Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.table import STARTING, UP, Placed
from spokeroute.dispatch.scaling.cold_rate import (
    COLD_PROOF_MS,
    ColdRate,
    cold_rate_of,
    is_held_only,
    is_proof_young,
)
from spokeroute.exchange.held_instance import HeldInstance, QueuedCall
from spokeroute.exchange.reasons import DRAINS, Cause
from spokeroute.exchange.seen import Seen
from spokeroute.exchange.types import FRESH_MARGIN_MS, SendAttempt, Tables


@dataclass(frozen=True, slots=True)
class State:
    """The instances that this process holds, and the inputs to its decisions about them."""

    me: NodeId
    incarnation: int
    tables: Tables = Tables()
    instances: Map[str, HeldInstance] = field(default_factory=Map)
    reject_until_ms: Ms = Ms(-1)
    next_report_ms: Ms = Ms(0)
    stopping: bool = False
    registries: tuple[NodeId, ...] = ()
    bounds: Bounds = Bounds()
    seen: Seen = Seen()


def with_instance(state: State, name: str, instance: HeldInstance) -> State:
    """The state after a change of one instance.

    Example:
        with_instance(state, "i", instance).instances["i"] is instance
    """
    return replace(state, instances=state.instances.set(name, instance))


def is_held_here(state: State, placed: Placed) -> bool:
    """Whether a row of the placement table names this life of this process as the holder.

    Example:
        is_held_here(state, placed)
    """
    return placed.holder == state.me and placed.holder_incarnation == state.incarnation


def new_instance(state: State, placed: Placed, now_ms: Ms) -> HeldInstance:
    """An instance that this process begins to hold.

    Example:
        new_instance(state, placed, Ms(20)).held_since_ms == 20
    """
    instance = HeldInstance(
        placed, sampled_ms=now_ms, sample_start_ms=now_ms, held_since_ms=now_ms,
        cold_rate=cold_rate(state, placed), fresh=placed.state == STARTING and not placed.address,
    )  # fmt: skip
    return instance if placed.state == STARTING else instance.with_takeover_wait(now_ms)


def cold_rate(state: State, placed: Placed) -> ColdRate | None:
    """The stated rate of an instance's service while it is cold; None if there is none.

    Example:
        cold_rate(state, placed) is None
    """
    table = state.tables.table
    return cold_rate_of(table.services.get(placed.service) if table else None, state.bounds)


def with_placed(state: State, old: HeldInstance, placed: Placed, now_ms: Ms) -> HeldInstance:
    """An instance after a change of its row or of the configuration.

    Example:
        with_placed(state, old, placed, Ms(20)).placed is placed
    """
    started_unseen = old.booting and placed.state == UP and not old.fresh
    instance = replace(old, placed=placed, unheld=False, cold_rate=cold_rate(state, placed))
    return instance.with_takeover_wait(now_ms) if started_unseen else instance


def proof_age_ms(state: State, now_ms: Ms) -> int:
    """How long ago the copies that this process decides by were proved to be the newest.

    Example:
        proof_age_ms(State(NodeId("a"), 1), Ms(0)) > 0
    """
    return now_ms - state.tables.proved_ms


def unheld_instance(state: State, name: str, now_ms: Ms) -> HeldInstance | None:
    """An instance without a live holder, in a deployment whose instances reject calls over their
    limit themselves. One call at a time is sent from here, because other exchanges may send too.

    Example:
        unheld_instance(state, "i", Ms(20)) is None
    """
    placed = state.tables.by_id.get(name)
    if placed is None or placed.state != UP or is_held_only(placed, state.tables.table):
        return None
    alone = replace(placed, limit=1)
    return replace(new_instance(state, alone, now_ms), unheld=True)


def send_block_reason(state: State, placed: Placed, now_ms: Ms, unheld: bool = False) -> str:
    """Return why no call may be sent to an instance now; empty when one may.

    Example:
        send_block_reason(state, placed, now_ms) == ""
    """
    if state.stopping:
        return "the holder stops"
    if not state.tables.fresh(now_ms):
        return "the holder's copies are not proved newest"
    current = state.tables.by_id.get(placed.id)
    if (
        current is None
        or not (unheld or is_held_here(state, current))
        or current.address != placed.address
    ):
        return "not held here any more"
    if current.state not in (STARTING, UP) or current.zone in state.tables.evacuated:
        return DRAINS
    if current.id in state.tables.absent:
        return Cause.DOWN.with_detail("the platform's listing has it no more, or drains it")
    return ""


def _good_until_ms(state: State, instance: HeldInstance, now_ms: Ms) -> Ms:
    """Until when the bytes of a call may leave. Those that a cold instance gets at full rate may
    not leave once its holder only trickles."""
    good_until_ms = Ms(state.tables.proved_ms + state.tables.proof_valid_ms - FRESH_MARGIN_MS)
    at_full_rate = (
        not instance.placed.warm
        and instance.cold_rate is not None
        and is_proof_young(proof_age_ms(state, now_ms))
    )
    if not at_full_rate:
        return good_until_ms
    return min(good_until_ms, Ms(state.tables.proved_ms + COLD_PROOF_MS))


def send_job(state: State, instance: HeldInstance, queued: QueuedCall, now_ms: Ms) -> SendAttempt:
    """The job that sends a queued call to its instance.

    Example:
        send_job(state, instance, queued, Ms(20)).instance == instance.placed.id
    """
    forward, placed = queued.forward, instance.placed
    good_until_ms = _good_until_ms(state, instance, now_ms)
    return SendAttempt(
        AttemptId(forward.attempt_id), placed.id, placed.service, placed.address, forward.method,
        forward.path, forward.headers, forward.body, queued.deadline_ms, good_until_ms,
        placed.identity, forward.caller_attempt, tenant=forward.tenant,
    )  # fmt: skip
