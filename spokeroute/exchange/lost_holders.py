"""Holders that are gone: what becomes of the attempts that they had.

Their instances have another holder, or none; their link broke; or they say nothing
(``silence.py``). A repeatable call goes on, any other waits for its answer.
"""

from __future__ import annotations

from spokeroute.common.effects import Effect, Effects, Send, Unreached
from spokeroute.common.ids import Ms
from spokeroute.common.replacing import replace
from spokeroute.exchange.call_state import State
from spokeroute.exchange.call_transitions import lose_attempt, unsent_attempt
from spokeroute.exchange.reasons import Cause
from spokeroute.exchange.silence import look
from spokeroute.exchange.types import LinkDown
from spokeroute.transport.call_messages import Ping


def lose_moved(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """An attempt whose instance has another holder, or none, gets no answer from the old one if
    that one is silent; one that lives hands on what it was given, and answers.

    Example:
        state, effects = lose_moved(state, now_ms)
    """
    effects: list[Effect] = []
    by_id = state.tables.by_id
    for call in list(state.calls.values()):
        for attempt_id, each in list(call.attempts.items()):
            placed = by_id.get(each.instance)
            moved = placed is not None and (
                (placed.holder, placed.holder_incarnation) != (each.holder, each.holder_incarnation)
            )
            if moved and each.holder in state.silence.since_ms:
                state, more = lose_attempt(
                    state, attempt_id, Cause.LOST.said("the instance's holder is gone"), now_ms
                )
                effects.extend(more)
    return state, tuple(effects)


def link_down(state: State, broken: LinkDown, now_ms: Ms) -> tuple[State, Effects]:
    """What was handed over a broken connection may run; what still waited on it was not sent.

    Example:
        state, effects = link_down(state, LinkDown("ex2"), now_ms)
    """
    effects: list[Effect] = []
    state = replace(state, silence=state.silence.lost(broken.node, now_ms))
    for call in list(state.calls.values()):
        for attempt_id, each in list(call.attempts.items()):
            if each.holder != broken.node:
                continue
            if attempt_id in broken.unsent:
                state, more = unsent_attempt(state, attempt_id, now_ms)
                effects.extend(more)
            elif broken.reached:
                why = Cause.LOST.said("the holder's link broke")
                state, more = lose_attempt(state, attempt_id, why, now_ms)
                effects.extend(more)
    return state, tuple(effects)


def ask_silent(state: State, now_ms: Ms) -> tuple[State, Effects]:
    """Ask holders that say nothing; leave silent ones alone, and repeat what may be repeated.

    Example:
        state, effects = ask_silent(state, now_ms)
    """
    calls = tuple(call for call in state.calls.values() if call.attempts)
    if not calls and not state.silence.asked_ms:
        return state, ()
    silence, ask, silent = look(state.silence, calls, state.me, now_ms)
    state = replace(state, silence=silence)
    effects: list[Effect] = [Send(node, Ping()) for node in ask]
    effects.extend(Unreached(node) for node in silent)
    for call in calls:
        for attempt_id, each in call.attempts.items():
            if each.holder in silent and not call.at_most_once:
                state, more = lose_attempt(
                    state, attempt_id, Cause.LOST.said("its holder is silent"), now_ms
                )
                effects.extend(more)
    return state, tuple(effects)
