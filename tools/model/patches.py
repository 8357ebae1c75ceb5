"""What planted faults put in the place of the acceptor's and proposer's functions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from spokeroute.common.effects import Effects, Launch, Send
from spokeroute.common.ids import NO_BALLOT
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.acceptor import DiskDone, DiskFailed
from spokeroute.register.cells import EMPTY, ballot_of
from spokeroute.register.proposer import proposer

Patch = tuple[Any, str, Any]
"""An owner, the name of one of its functions, and the faulty one."""


def prepare_any_epoch() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        prepare_any_epoch()
    """
    return _any_epoch("_prepare")


def accept_any_epoch() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        accept_any_epoch()
    """
    return _any_epoch("_accept")


def _any_epoch(name: str) -> tuple[Patch, ...]:
    """A function of the acceptor takes asks of any epoch for its own."""
    real = getattr(acceptor, name)

    def faulty(state: Any, node: Any, life: int, ask: Any, now_ms: Any) -> Any:
        after = real(state, node, life, replace(ask, epoch=state.epoch), now_ms)
        return _with_epoch(state, after, ask.epoch)

    return ((acceptor, name, faulty),)


def _with_epoch(before: Any, after: Any, epoch: int) -> Any:
    """The answer names the epoch that was asked for."""
    old = len(before.pending_replies)
    new = tuple(
        replace(e, message=replace(e.message, epoch=epoch)) for e in after.pending_replies[old:]
    )
    return replace(after, pending_replies=(*before.pending_replies, *new))


def handover_any_epoch() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        handover_any_epoch()
    """
    real = acceptor._accept_handover

    def faulty(state: Any, hand: Any, now_ms: Any) -> Any:
        return real(state, replace(hand, epoch=state.epoch), now_ms)

    return ((acceptor, "_accept_handover", faulty),)


def handover_below_promise() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        handover_below_promise()
    """
    real = acceptor._accept_handover

    def faulty(state: Any, hand: Any, now_ms: Any) -> Any:
        name = hand.copy.name
        bare = replace(state.cells.get(name, EMPTY), promised=NO_BALLOT)
        after = real(replace(state, cells=state.cells.set(name, bare)), hand, now_ms)
        return after if after.cells[name] != bare else state

    return ((acceptor, "_accept_handover", faulty),)


def accept_below_promise() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        accept_below_promise()
    """
    real = acceptor._accept

    def faulty(state: Any, node: Any, life: int, ask: Any, now_ms: Any) -> Any:
        cell = state.cells.get(ask.copy.name, EMPTY)
        bare = replace(cell, promised=NO_BALLOT)
        cells = state.cells.set(ask.copy.name, bare)
        return real(replace(state, cells=cells), node, life, ask, now_ms)

    return ((acceptor, "_accept", faulty),)


def answer_early(kind: type) -> Callable[[], tuple[Patch, ...]]:
    """Answers of a kind go out before their sync.

    Example:
        answer_early(Promise)()
    """

    def patches() -> tuple[Patch, ...]:
        real = acceptor._flush

        def faulty(state: Any) -> Any:
            after, effects = real(state)
            if not any(isinstance(e, Launch) for e in effects):
                return after, effects
            early = tuple(
                e for e in after.writing_replies
                if isinstance(e, Send) and isinstance(e.message, kind)
            )  # fmt: skip
            late = tuple(e for e in after.writing_replies if e not in early)
            return replace(after, writing_replies=late), (*effects, *early)

        return ((acceptor, "_flush", faulty),)

    return patches


def step_patch(change: Callable[[Any, Any], tuple[Any, Any]]) -> tuple[Patch, ...]:
    """The acceptor's step over a state and an event that were changed.

    Example:
        step_patch(lambda state, event: (state, event))
    """
    real = acceptor.step

    def faulty(state: Any, event: Any, now_ms: Any) -> tuple[Any, Effects]:
        state, event = change(state, event)
        return real(state, event, now_ms)

    return ((acceptor, "step", faulty),)


def lowest_ballot() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        lowest_ballot()
    """

    def faulty(*given: Any, **how: Any) -> Any:
        return min(*given, **how) if "key" in how else max(*given, **how)

    return ((proposer, "max", faulty),)


def memory_after_failure() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        memory_after_failure()
    """

    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, DiskFailed) and state.writing is not None:
            return state, DiskDone(state.writing.batch)
        return state, event

    return step_patch(change)


def read_from_one() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        read_from_one()
    """
    real = proposer._decide

    def faulty(state: Any, roster: Any, current: Any, now_ms: Any) -> Any:
        newest = max(current.promises.values(), key=lambda p: ballot_of(p.accepted))
        same = current.promises.update({k: newest for k in current.promises})
        return real(state, roster, replace(current, promises=same), now_ms)

    return ((proposer, "_decide", faulty),)


def refused_for_unsure() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        refused_for_unsure()
    """
    real = proposer._settle

    def faulty(state: Any, current: Any, *rest: Any) -> Any:
        return real(state, replace(current, op=replace(current.op, offered="")), *rest)

    return ((proposer, "_settle", faulty),)


def ballots_forgotten() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        ballots_forgotten()
    """
    real = proposer._next_op

    def faulty(state: Any, name: str, now_ms: Any) -> Any:
        after, effects = real(state, name, now_ms)
        return replace(after, counter_floor=0), effects

    return ((proposer, "_next_op", faulty),)


def ballots_of_another_life() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        ballots_of_another_life()
    """
    real = proposer.start

    def faulty(me: Any, seed: int, roster: Any, life: int) -> Any:
        return real(me, seed, roster, 1)

    return ((proposer, "start", faulty),)


def copied_votes() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        copied_votes()
    """
    real = acceptor._import_cell

    def faulty(state: Any, got: Any) -> Any:
        after = real(state, got)
        name = got.accepted.name
        cell = replace(after.cells[name], voted=True)
        return replace(after, cells=after.cells.set(name, cell))

    return ((acceptor, "_import_cell", faulty),)
