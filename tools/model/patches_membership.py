"""What planted faults put in the place of the membership's functions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from immutables import Map

from spokeroute.common.effects import Effects, From, Send, Tell
from spokeroute.common.ids import MemberId
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.acceptor import Adopt
from spokeroute.register.acceptor.copy_page import copy_page
from spokeroute.register.cells import Roster
from spokeroute.register.membership import handover, membership
from spokeroute.register.membership import policy as membership_policy
from spokeroute.transport.messages import CopyAsk, CopyPart
from tools.model import actions
from tools.model.patches import Patch, step_patch


def copy_from_silent() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        copy_from_silent()
    """

    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, From) and isinstance(event.message, CopyAsk):
            return replace(state, holds_all_accepted=True), event
        return state, event

    return step_patch(change)


def copy_from_unmoved() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        copy_from_unmoved()
    """
    real_step, real_copy = acceptor.step, membership._request_copies

    def step(state: Any, event: Any, now_ms: Any) -> tuple[Any, Effects]:
        if isinstance(event, From) and isinstance(event.message, CopyAsk):
            page = copy_page(state.synced, event.message.epoch, event.message.after)
            return state, (Send(event.node, page),)
        return real_step(state, event, now_ms)

    def copy(state: Any, now_ms: Any) -> Any:
        if state.roster is None:
            return real_copy(state, now_ms)
        moved = {n: replace(s, epoch=state.roster.epoch) for n, s in state.peer_statuses.items()}
        after, effects = real_copy(replace(state, peer_statuses=Map(moved)), now_ms)
        return replace(after, peer_statuses=state.peer_statuses), effects

    return ((acceptor, "step", step), (membership, "_request_copies", copy))


def copy_from_minority() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        copy_from_minority()
    """
    real = membership._copy_received

    def faulty(state: Any, node: Any, part: CopyPart, now_ms: Any) -> Any:
        after, effects = real(state, node, part, now_ms)
        if after is state or part.last:
            return after, effects
        return after, (*effects, Tell("acceptor", Adopt(state.roster, True)))

    return ((membership, "_copy_received", faulty),)


def vote_before_copy() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        vote_before_copy()
    """
    real = membership._roster_received

    def faulty(state: Any, node: Any, roster: Roster) -> Any:
        after, effects = real(state, node, roster)
        return after, tuple(
            replace(e, event=Adopt(roster, True))
            if isinstance(e, Tell) and isinstance(e.event, Adopt) and state.me in roster.ids
            else e
            for e in effects
        )

    return ((membership, "_roster_received", faulty),)


def old_majority() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        old_majority()
    """

    def majority(roster: Roster) -> int:
        return len(roster.previous or roster.members) // 2 + 1

    return ((Roster, "majority", property(majority)),)


def blind_roster() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        blind_roster()
    """

    @dataclass(frozen=True, slots=True)
    class Blind:
        expect: int
        value: bytes

        def decide(self, version: int, value: bytes) -> bytes | None:
            return self.value

    return ((membership, "Swap", Blind),)


def id_kept() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        id_kept()
    """
    real = actions.new_id

    def faulty(world: Any, member: Any) -> MemberId:
        return member.id if member is not None else real(world, member)

    return ((actions, "new_id", faulty),)


def found_beside_members() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        found_beside_members()
    """
    real = membership._found_core

    def faulty(state: Any, now_ms: Any) -> Any:
        blank = {n: replace(s, blank=True) for n, s in state.peer_statuses.items()}
        return real(replace(state, peer_statuses=Map(blank)), now_ms)

    return ((membership, "_found_core", faulty),)


def found_on_old_signs() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        found_on_old_signs()
    """
    real = membership._found_core

    def faulty(state: Any, now_ms: Any) -> Any:
        all_of_them = tuple(sorted({state.me, *state.peer_statuses}))
        signs = {n: replace(s, hears=all_of_them) for n, s in state.peer_statuses.items()}
        return real(replace(state, peer_statuses=Map(signs)), now_ms)

    return ((membership, "_found_core", faulty),)


def leave_at_once() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        leave_at_once()
    """

    def faulty(state: Any, now_ms: Any) -> Any:
        """What was handed over is not asked for: all is said to be there."""
        return replace(state, done=True), ()

    return ((handover, "_compare", faulty),)


def joining_forgotten() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        joining_forgotten()
    """
    real = membership_policy._with_changes

    def faulty(sight: Any, instead: Any, more: Any = None) -> Roster:
        return real(replace(sight, roster=replace(sight.roster, joining=())), instead, more)

    return ((membership_policy, "_with_changes", faulty),)


def epoch_back() -> tuple[Patch, ...]:
    """See the fault of this name.

    Example:
        epoch_back()
    """
    real = membership._roster_received

    def faulty(state: Any, node: Any, roster: Roster) -> Any:
        if state.roster and roster.epoch < state.roster.epoch and state.me in roster.ids:
            return state, (Tell("acceptor", Adopt(roster, state.votes)),)
        return real(state, node, roster)

    def change(state: Any, event: Any) -> tuple[Any, Any]:
        if isinstance(event, Adopt) and state.roster and event.roster.epoch < state.epoch:
            return replace(state, roster=None), event
        return state, event

    return ((membership, "_roster_received", faulty), *step_patch(change))
