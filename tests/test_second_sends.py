"""No non-repeatable call's bytes go out twice, and each caller gets its own answer or none:
whatever the net, the holders, the instances and the slots do. Each guard, left out, is found."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from immutables import Map

from spokeroute.common.answers import Answer
from spokeroute.common.effects import Note, SlotId
from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.slab import Slots
from spokeroute.exchange import call_state, call_transitions, calls, holder
from spokeroute.exchange.resend import ResendReason, count_resend, resend_reason
from spokeroute.exchange.seen import REMEMBER_MS, Seen
from spokeroute.exchange.types import Attempt, Call
from tests.calls_made import call_to
from tests.sends_model import Sends

EXAMPLES = 150
STEPS = 40
FAULT_EXAMPLES = 1_000


def shuffled(examples: int, machine: type[Sends] = Sends) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples, stateful_step_count=STEPS, derandomize=True, deadline=None,
            database=None, phases=(Phase.generate,), suppress_health_check=list(HealthCheck),
        ),
    )  # fmt: skip


def test_each_caller_gets_its_own_answer_or_none() -> None:
    shuffled(EXAMPLES)


def no_memory(patch: pytest.MonkeyPatch) -> type[Sends]:
    """The holder takes a doubled frame for another one."""
    patch.setattr(Seen, "__contains__", lambda self, attempt_id: False)
    return Sends


def any_life(patch: pytest.MonkeyPatch) -> type[Sends]:
    """The entry takes an answer by the attempt's id alone, from whichever life of the holder."""

    def believed(state: call_state.State, attempt_id: str, sender: object) -> bool | None:
        return True if attempt_id in state.slot_of_attempt else None

    patch.setattr(calls, "is_conclusive", believed)
    return Sends


def any_holder_life(patch: pytest.MonkeyPatch) -> type[Sends]:
    """The holder takes what was meant for an earlier life."""
    honest = holder._forward

    def forward(state: holder.State, node: NodeId, message: Any, now_ms: Ms) -> Any:
        meant = replace(message, holder_incarnation=state.incarnation)
        return honest(state, node, meant, now_ms)

    patch.setattr(holder, "_forward", forward)
    return Sends


def tries_again(patch: pytest.MonkeyPatch) -> type[Sends]:
    """What may have run goes on like what did not."""

    def may_have_run(
        state: call_state.State, call: Call, each: Attempt, why: str, now_ms: Ms
    ) -> tuple[call_state.State, Any]:
        return call_transitions.continue_call(call_state.store_call(state, call), call, now_ms)

    patch.setattr(calls, "attempt_may_have_run", may_have_run)
    patch.setattr(call_transitions, "attempt_may_have_run", may_have_run)
    return Sends


def no_generation(patch: pytest.MonkeyPatch) -> type[Sends]:
    """An answer goes to whoever has the slot by now."""

    def answer(self: Slots, slot: SlotId, got: Answer) -> None:
        if self._waiting[slot.index]:
            self._waiting[slot.index] = False
            self.answered.append((SlotId(slot.index, self._generations[slot.index]), got))

    patch.setattr(Slots, "answer", answer)
    return Sends


class NodesLinks(Sends):
    """The end of a connection is told by node: all that is under way there is called unsent."""

    def unsent(self, node: NodeId, count: int) -> frozenset[str]:
        super().unsent(node, count)
        return frozenset(
            name
            for call in self.entry.calls.values()
            for name, each in call.attempts.items()
            if each.holder == node
        )


def by_node(patch: pytest.MonkeyPatch) -> type[Sends]:
    return NodesLinks


WRONG = r"may have run twice|ran after|another's|answered"


@pytest.mark.parametrize("plant", [no_memory, tries_again, no_generation])
def test_a_guard_that_is_left_out_is_found(plant: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(AssertionError, match=WRONG):
        shuffled(FAULT_EXAMPLES, plant(monkeypatch))


def doubled_after_a_restart(machine: Sends, told: bool = False) -> None:
    """The holder's first life runs the call and ends; its second one gets the same frame."""
    machine.call(once=True)
    node = machine.net[0].to
    machine.frame_arrives(which=0, doubled=True)
    machine.instance(which=0, how="silence")
    machine.frame_lost(which=1)
    machine.holder_restarts(which=node, told=told)
    machine.all_goes_on(how="silence")
    machine.all_goes_on(how="silence")


def doubled_after_a_new_floor(machine: Sends) -> None:
    """The same, once the second life holds the instances of the first."""
    doubled_after_a_restart(machine, told=True)


def late_after_a_broken_link(machine: Sends) -> None:
    """A connection ends that never came to be; the call waits on the next one, and arrives."""
    machine.call(once=True)
    machine.link_breaks(which=machine.net[0].to, reached=False, count=0)
    machine.all_goes_on(how="silence")
    machine.all_goes_on(how="silence")


@pytest.mark.parametrize(
    "way", [doubled_after_a_restart, doubled_after_a_new_floor, late_after_a_broken_link]
)
def test_rare_ways_to_a_second_send_are_closed(way: Any) -> None:
    machine = Sends()
    way(machine)
    assert [c.ran for c in machine.callers.values()] == [1]


@pytest.mark.parametrize(
    ("plant", "way"),
    [
        (any_life, doubled_after_a_restart),
        (any_holder_life, doubled_after_a_new_floor),
        (by_node, late_after_a_broken_link),
    ],
)
def test_a_guard_of_a_rare_way_is_missed(
    plant: Any, way: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    machine = plant(monkeypatch)()
    with pytest.raises(AssertionError, match=WRONG):
        way(machine)


def test_an_attempt_is_remembered_for_as_long_as_a_frame_may_be_late() -> None:
    for began_ms in (0, REMEMBER_MS - 1, REMEMBER_MS, 2 * REMEMBER_MS + 7):
        seen = Seen().add("a", Ms(0)).add("b", Ms(began_ms))
        for later_ms in range(0, REMEMBER_MS, 977):
            seen = seen.add(f"x{later_ms}", Ms(began_ms + later_ms))
            assert "b" in seen
        assert "b" not in seen.add("y", Ms(began_ms + 9 * REMEMBER_MS)).add(
            "z", Ms(began_ms + 11 * REMEMBER_MS)
        )


def test_a_second_send_says_why_it_is_allowed() -> None:
    tried = call_to("ex2", Ms(0), SlotId(0, 1))
    over = replace(tried, attempts=Map(), send_count=1)
    once = replace(over, at_most_once=True)
    assert resend_reason(tried) is ResendReason.REPEATABLE  # a second one beside the first
    assert resend_reason(replace(over, may_have_run=True)) is ResendReason.REPEATABLE
    assert resend_reason(once) is ResendReason.NOT_RUN
    assert resend_reason(replace(once, unsent=True)) is ResendReason.NEVER_SENT
    assert resend_reason(replace(once, may_have_run=True)) is None
    assert resend_reason(replace(tried, at_most_once=True)) is None
    why = replace(over, reason="refused: the instance said 503, not run")
    counts, note = count_resend(Map(), why, ResendReason.NOT_RUN, "i2")
    counts, note = count_resend(counts, why, ResendReason.NOT_RUN, "i2")
    assert counts[ResendReason.NOT_RUN] == 2 and isinstance(note, Note) and not note.alarm
    text = "send 2 of c1 to i2: not run (refused: the instance said 503, not run); 2"
    assert note.text == text
