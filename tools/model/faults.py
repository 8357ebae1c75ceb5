"""Planted faults: each is one mistake in a core, put there from outside for the time of a run.

They show what the checker is worth: each must be found (``tests/test_model.py``). Nothing in
the product knows of them.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from immutables import Map

from spokeroute.common.effects import Effects, From, Launch, Send, Tell
from spokeroute.common.ids import NO_BALLOT, MemberId
from spokeroute.register import acceptor, membership, membership_policy, proposer
from spokeroute.register.acceptor import Adopt, DiskDone, DiskFailed
from spokeroute.register.cells import EMPTY, Roster, ballot_of
from spokeroute.register.copy_page import copy_page
from spokeroute.transport.messages import Accepted, CopyAsk, CopyPart, Promise
from tools.model import actions

Patch = tuple[Any, str, Any]


@dataclass(frozen=True, slots=True)
class Fault:
    """A planted fault and the scenario in which it is looked for."""

    name: str
    about: str
    scenario: str
    patches: Callable[[], tuple[Patch, ...]]


@contextlib.contextmanager
def planted(fault: Fault | None) -> Iterator[None]:
    """The cores with a fault in them, while this lasts.

    Example:
        with planted(FAULTS["lowest-ballot"]): ...
    """
    with contextlib.ExitStack() as stack:
        for owner, name, faulty in fault.patches() if fault else ():
            stack.enter_context(mock.patch.object(owner, name, faulty))
        yield


def _prepare_any_epoch() -> tuple[Patch, ...]:
    real = acceptor._prepare

    def faulty(state: Any, node: Any, life: int, ask: Any, now_ms: Any) -> Any:
        after = real(state, node, life, replace(ask, epoch=state.epoch), now_ms)
        return _with_epoch(state, after, ask.epoch)

    return ((acceptor, "_prepare", faulty),)


def _accept_any_epoch() -> tuple[Patch, ...]:
    real = acceptor._accept

    def faulty(state: Any, node: Any, life: int, ask: Any, now_ms: Any) -> Any:
        after = real(state, node, life, replace(ask, epoch=state.epoch), now_ms)
        return _with_epoch(state, after, ask.epoch)

    return ((acceptor, "_accept", faulty),)


def _with_epoch(before: Any, after: Any, epoch: int) -> Any:
    """The answer names the epoch that was asked for."""
    old = len(before.waiting)
    new = tuple(replace(e, message=replace(e.message, epoch=epoch)) for e in after.waiting[old:])
    return replace(after, waiting=(*before.waiting, *new))


def _handover_any_epoch() -> tuple[Patch, ...]:
    real = acceptor._handed

    def faulty(state: Any, hand: Any, now_ms: Any) -> Any:
        return real(state, replace(hand, epoch=state.epoch), now_ms)

    return ((acceptor, "_handed", faulty),)


def _handover_below_promise() -> tuple[Patch, ...]:
    real = acceptor._handed

    def faulty(state: Any, hand: Any, now_ms: Any) -> Any:
        name = hand.copy.name
        bare = replace(state.cells.get(name, EMPTY), promised=NO_BALLOT)
        after = real(replace(state, cells=state.cells.set(name, bare)), hand, now_ms)
        return after if after.cells[name] != bare else state

    return ((acceptor, "_handed", faulty),)


def _accept_below_promise() -> tuple[Patch, ...]:
    real = acceptor._accept

    def faulty(state: Any, node: Any, life: int, ask: Any, now_ms: Any) -> Any:
        cell = state.cells.get(ask.copy.name, EMPTY)
        bare = replace(cell, promised=NO_BALLOT)
        cells = state.cells.set(ask.copy.name, bare)
        return real(replace(state, cells=cells), node, life, ask, now_ms)

    return ((acceptor, "_accept", faulty),)


def _answer_early(kind: type) -> Callable[[], tuple[Patch, ...]]:
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


def _step_patch(change: Callable[[Any, Any], tuple[Any, Any]]) -> tuple[Patch, ...]:
    real = acceptor.step

    def faulty(state: Any, event: Any, now_ms: Any) -> tuple[Any, Effects]:
        state, event = change(state, event)
        return real(state, event, now_ms)

    return ((acceptor, "step", faulty),)


def _copy_from_silent() -> tuple[Patch, ...]:
    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, From) and isinstance(event.message, CopyAsk):
            return replace(state, whole=True), event
        return state, event

    real = membership._copy

    def faulty(state: Any, now_ms: Any) -> Any:
        # Nobody is asked by what it says of itself.
        return real(state, now_ms)

    return (*_step_patch(change), (membership, "_copy", faulty))


def _copy_from_unmoved() -> tuple[Patch, ...]:
    real_step, real_copy = acceptor.step, membership._copy

    def step(state: Any, event: Any, now_ms: Any) -> tuple[Any, Effects]:
        if isinstance(event, From) and isinstance(event.message, CopyAsk):
            page = copy_page(state.synced, event.message.epoch, event.message.after)
            return state, (Send(event.node, page),)
        return real_step(state, event, now_ms)

    def copy(state: Any, now_ms: Any) -> Any:
        if state.roster is None:
            return real_copy(state, now_ms)
        moved = {n: replace(s, epoch=state.roster.epoch) for n, s in state.signs.items()}
        after, effects = real_copy(replace(state, signs=Map(moved)), now_ms)
        return replace(after, signs=state.signs), effects

    return ((acceptor, "step", step), (membership, "_copy", copy))


def _copy_from_minority() -> tuple[Patch, ...]:
    real = membership._copied

    def faulty(state: Any, node: Any, part: CopyPart, now_ms: Any) -> Any:
        after, effects = real(state, node, part, now_ms)
        if after is state or part.last:
            return after, effects
        return after, (*effects, Tell("acceptor", Adopt(state.roster, True)))

    return ((membership, "_copied", faulty),)


def _vote_before_copy() -> tuple[Patch, ...]:
    real = membership._news

    def faulty(state: Any, roster: Roster) -> Any:
        after, effects = real(state, roster)
        return after, tuple(
            replace(e, event=Adopt(roster, True))
            if isinstance(e, Tell) and isinstance(e.event, Adopt) and state.me in roster.ids
            else e
            for e in effects
        )

    return ((membership, "_news", faulty),)


def _old_majority() -> tuple[Patch, ...]:
    def majority(roster: Roster) -> int:
        return len(roster.previous or roster.members) // 2 + 1

    return ((Roster, "majority", property(majority)),)


def _lowest_ballot() -> tuple[Patch, ...]:
    def faulty(*given: Any, **how: Any) -> Any:
        return min(*given, **how) if "key" in how else max(*given, **how)

    return ((proposer, "max", faulty),)


def _blind_roster() -> tuple[Patch, ...]:
    @dataclass(frozen=True, slots=True)
    class Blind:
        expect: int
        value: bytes

        def decide(self, version: int, value: bytes) -> bytes | None:
            return self.value

    return ((membership, "Swap", Blind),)


def _memory_after_failure() -> tuple[Patch, ...]:
    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, DiskFailed) and state.writing is not None:
            return state, DiskDone(state.writing.batch)
        return state, event

    return _step_patch(change)


def _id_kept() -> tuple[Patch, ...]:
    real = actions.new_id

    def faulty(world: Any, member: Any) -> MemberId:
        return member.id if member is not None else real(world, member)

    return ((actions, "new_id", faulty),)


def _found_beside_members() -> tuple[Patch, ...]:
    real = membership._found

    def faulty(state: Any, now_ms: Any) -> Any:
        blank = {n: replace(s, blank=True) for n, s in state.signs.items()}
        return real(replace(state, signs=Map(blank)), now_ms)

    return ((membership, "_found", faulty),)


def _joining_forgotten() -> tuple[Patch, ...]:
    real = membership_policy._changed

    def faulty(sight: Any, instead: Any, more: Any = None) -> Roster:
        return real(replace(sight, roster=replace(sight.roster, joining=())), instead, more)

    return ((membership_policy, "_changed", faulty),)


def _read_from_one() -> tuple[Patch, ...]:
    real = proposer._decide

    def faulty(state: Any, roster: Any, current: Any, now_ms: Any) -> Any:
        newest = max(current.promises.values(), key=lambda p: ballot_of(p.accepted))
        same = current.promises.update({k: newest for k in current.promises})
        return real(state, roster, replace(current, promises=same), now_ms)

    return ((proposer, "_decide", faulty),)


def _refused_for_unsure() -> tuple[Patch, ...]:
    real = proposer._settle

    def faulty(state: Any, current: Any, *rest: Any) -> Any:
        return real(state, replace(current, op=replace(current.op, offered="")), *rest)

    return ((proposer, "_settle", faulty),)


def _epoch_back() -> tuple[Patch, ...]:
    real = membership._news

    def faulty(state: Any, roster: Roster) -> Any:
        if state.roster and roster.epoch < state.roster.epoch and state.me in roster.ids:
            return state, (Tell("acceptor", Adopt(roster, state.votes)),)
        return real(state, roster)

    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, Adopt) and state.roster and event.roster.epoch < state.epoch:
            return replace(state, roster=None), event
        return state, event

    return ((membership, "_news", faulty), *_step_patch(change))


def _ballots_forgotten() -> tuple[Patch, ...]:
    real = proposer._next_op

    def faulty(state: Any, name: str, now_ms: Any) -> Any:
        after, effects = real(state, name, now_ms)
        return replace(after, used=0), effects

    return ((proposer, "_next_op", faulty),)


def _ballots_of_another_life() -> tuple[Patch, ...]:
    real = proposer.start

    def faulty(me: Any, seed: int, roster: Any, life: int) -> Any:
        return real(me, seed, roster, 1)

    return ((proposer, "start", faulty),)


def _copied_votes() -> tuple[Patch, ...]:
    real = acceptor._taken

    def faulty(state: Any, got: Any) -> Any:
        after = real(state, got)
        name = got.accepted.name
        cell = replace(after.cells[name], voted=True)
        return replace(after, cells=after.cells.set(name, cell))

    return ((acceptor, "_taken", faulty),)


FAULTS = {
    each.name: each
    for each in (
        Fault("prepare-any-epoch", "the epoch check left out in prepare", "replaced",
              _prepare_any_epoch),
        Fault("accept-any-epoch", "the epoch check left out in accept", "handed",
              _accept_any_epoch),
        Fault("handover-any-epoch", "the epoch check left out in a handover", "handed",
              _handover_any_epoch),
        Fault("handover-below-promise", "a late handover taken below the promise", "handed",
              _handover_below_promise),
        Fault("accept-below-promise", "an accept taken below the promise", "rounds",
              _accept_below_promise),
        Fault("promise-before-sync", "a promise answered before its sync", "disks",
              _answer_early(Promise)),
        Fault("accept-before-sync", "an accept answered before its sync", "disks",
              _answer_early(Accepted)),
        Fault("copy-from-silent", "cells copied from a member that never voted", "grown-unheard",
              _copy_from_silent),
        Fault("copy-from-unmoved", "cells copied from a member of the old epoch", "joining",
              _copy_from_unmoved),
        Fault("copy-from-minority", "cells copied from one previous member", "replaced",
              _copy_from_minority),
        Fault("vote-before-copy", "a newcomer votes before it copied", "replaced",
              _vote_before_copy),
        Fault("old-majority", "a majority of the old roster's size", "grown-voting", _old_majority),
        Fault("lowest-ballot", "the value of the lowest ballot is taken up", "rounds",
              _lowest_ballot),
        Fault("blind-roster", "the roster is swapped without its version", "second-blank",
              _blind_roster),
        Fault("memory-after-failure", "memory kept after a write that failed", "disks",
              _memory_after_failure),
        Fault("id-kept", "a wiped disk keeps its member's id", "disks-wiped", _id_kept),
        Fault("found-beside-members", "founding while a seed is not blank", "founding-low",
              _found_beside_members),
        Fault("joining-forgotten", "who has yet to copy is forgotten by the next epoch",
              "grown-unheard", _joining_forgotten),
        Fault("read-from-one", "a value that one member has counts as chosen", "rounds",
              _read_from_one),
        Fault("refused-for-unsure", "an overtaken offer is called refused", "overtaken",
              _refused_for_unsure),
        Fault("ballots-forgotten", "a ballot is drawn again for a register's next round",
              "lives-late", _ballots_forgotten),
        Fault("ballots-of-another-life", "a restarted proposer draws its old ballots again",
              "lives-again", _ballots_of_another_life),
        Fault("copied-votes", "a copied value counts as a vote for it", "grown-copied",
              _copied_votes),
        Fault("epoch-back", "a late roster of an earlier epoch is adopted", "grown-unheard",
              _epoch_back),
    )
}  # fmt: skip
