"""Fails the attempts of lost holders.

A holder is lost if its instances have another holder or none, if its link broke, or if it is
silent (``silent_holders.py``). A repeatable call is retried; any other waits for its answer.
"""

from __future__ import annotations

from spokeroute.common.effects import Effect, Effects, Send, Unreached
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.call_state import State
from spokeroute.exchange.call_transitions import lose_attempt, unsent_attempt
from spokeroute.exchange.reasons import Cause
from spokeroute.exchange.silent_holders import check_holders
from spokeroute.exchange.types import LinkDown
from spokeroute.transport.call_messages import Ping


def fail_moved_attempts(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Fail attempts whose instance has another holder, or none, if the old holder is silent. An
    old holder that is alive still dispatches the calls that it has, and answers.

    Example:
        state, effects = fail_moved_attempts(state, now_ms)
    """
    effects: list[Effect] = []
    by_id = state.tables.by_id
    for call in list(state.calls.values()):
        for attempt_id, each in list(call.attempts.items()):
            placed = by_id.get(each.instance)
            moved = placed is not None and (
                (placed.holder, placed.holder_incarnation) != (each.holder, each.holder_incarnation)
            )
            if moved and each.holder in state.silence.silent_since_ms:
                state, more = lose_attempt(
                    state,
                    attempt_id,
                    Cause.LOST.with_detail("the instance's holder is gone"),
                    now_ms,
                )
                effects.extend(more)
    return state, tuple(effects)


def on_link_down(state: State, broken: LinkDown, now_ms: Ms) -> tuple[State, Effects]:
    """A link broke: attempts that were sent over it may run; those not sent yet did not.

    Example:
        state, effects = on_link_down(state, LinkDown("ex2"), now_ms)
    """
    effects: list[Effect] = []
    state = replace(state, silence=state.silence.with_link_lost(broken.node, now_ms))
    for call in list(state.calls.values()):
        for attempt_id, each in list(call.attempts.items()):
            if each.holder != broken.node:
                continue
            if attempt_id in broken.unsent:
                state, more = unsent_attempt(state, attempt_id, now_ms)
                effects.extend(more)
            elif broken.reached:
                why = Cause.LOST.with_detail("the holder's link broke")
                state, more = lose_attempt(state, attempt_id, why, now_ms)
                effects.extend(more)
    return state, tuple(effects)


def ping_silent_holders(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ping holders without a recent message; fail the repeatable attempts of silent ones.

    Example:
        state, effects = ping_silent_holders(state, now_ms)
    """
    calls = tuple(call for call in state.calls.values() if call.attempts)
    if not calls and not state.silence.last_ping_ms:
        return state, ()
    silence, ping, silent = check_holders(state.silence, calls, state.me, now_ms)
    state = replace(state, silence=silence)
    effects: list[Effect] = [Send(node, Ping()) for node in ping]
    effects.extend(Unreached(node) for node in silent)
    for call in calls:
        for attempt_id, each in call.attempts.items():
            if each.holder in silent and not call.at_most_once:
                state, more = lose_attempt(
                    state, attempt_id, Cause.LOST.with_detail("its holder is silent"), now_ms
                )
                effects.extend(more)
    return state, tuple(effects)
