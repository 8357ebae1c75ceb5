"""A call that is not repeatable must not be sent twice to where it may have run, and each caller
gets its own answer or none, whatever the network, holders, instances and slots do. If a guard of
the code is removed, the tests notice."""

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
from spokeroute.exchange.seen import MIN_RETENTION_MS, Seen
from spokeroute.exchange.types import Attempt, Call
from tests.call_builders import call_to
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


def fault_duplicates_accepted(patch: pytest.MonkeyPatch) -> type[Sends]:
    """Fault: the holder takes a duplicated frame for a new one."""
    patch.setattr(Seen, "__contains__", lambda self, attempt_id: False)
    return Sends


def fault_any_incarnation_answers(patch: pytest.MonkeyPatch) -> type[Sends]:
    """Fault: the entry node accepts an answer by the attempt's id, from any holder incarnation."""

    def accept_any_incarnation(
        state: call_state.State, attempt_id: str, sender: object
    ) -> bool | None:
        return True if attempt_id in state.slot_of_attempt else None

    patch.setattr(calls, "is_conclusive", accept_any_incarnation)
    return Sends


def fault_any_incarnation_accepts(patch: pytest.MonkeyPatch) -> type[Sends]:
    """Fault: the holder accepts what was sent to an earlier incarnation."""
    original = holder._on_forward

    def forward(state: holder.State, node: NodeId, message: Any, now_ms: Ms) -> Any:
        meant = replace(message, holder_incarnation=state.incarnation)
        return original(state, node, meant, now_ms)

    patch.setattr(holder, "_on_forward", forward)
    return Sends


def fault_resend_after_may_have_run(patch: pytest.MonkeyPatch) -> type[Sends]:
    """Fault: an attempt that may have run is handled like one that did not."""

    def may_have_run(
        state: call_state.State, call: Call, each: Attempt, why: str, now_ms: Ms
    ) -> tuple[call_state.State, Any]:
        return call_transitions.continue_call(call_state.store_call(state, call), call, now_ms)

    patch.setattr(calls, "attempt_may_have_run", may_have_run)
    patch.setattr(call_transitions, "attempt_may_have_run", may_have_run)
    return Sends


def fault_generation_ignored(patch: pytest.MonkeyPatch) -> type[Sends]:
    """Fault: an answer goes to the call that has the slot now."""

    def answer(self: Slots, slot: SlotId, got: Answer) -> None:
        if self._waiting[slot.index]:
            self._waiting[slot.index] = False
            self.answered.append((SlotId(slot.index, self._generations[slot.index]), got))

    patch.setattr(Slots, "answer", answer)
    return Sends


class UnsentByNode(Sends):
    """Fault: when a connection ends, every open attempt at that node is reported as unsent."""

    def unsent(self, node: NodeId, count: int) -> frozenset[str]:
        super().unsent(node, count)
        return frozenset(
            name
            for call in self.entry.calls.values()
            for name, each in call.attempts.items()
            if each.holder == node
        )


def fault_unsent_by_node(patch: pytest.MonkeyPatch) -> type[Sends]:
    return UnsentByNode


WRONG = r"may have run twice|ran after|another's|answered"


@pytest.mark.parametrize(
    "inject", [fault_duplicates_accepted, fault_resend_after_may_have_run, fault_generation_ignored]
)
def test_a_removed_guard_is_noticed(inject: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(AssertionError, match=WRONG):
        shuffled(FAULT_EXAMPLES, inject(monkeypatch))


def duplicate_after_a_restart(machine: Sends, told: bool = False) -> None:
    """The holder's first incarnation runs the call and ends; the second gets the same frame."""
    machine.call(once=True)
    node = machine.net[0].to
    machine.frame_arrives(which=0, doubled=True)
    machine.instance(which=0, how="silence")
    machine.frame_lost(which=1)
    machine.holder_restarts(which=node, told=told)
    machine.all_goes_on(how="silence")
    machine.all_goes_on(how="silence")


def duplicate_after_new_placements(machine: Sends) -> None:
    """The same, after the second incarnation took over the instances of the first."""
    duplicate_after_a_restart(machine, told=True)


def late_after_a_broken_link(machine: Sends) -> None:
    """A connection fails before it is established; the call waits on the next one, and arrives."""
    machine.call(once=True)
    machine.link_breaks(which=machine.net[0].to, reached=False, count=0)
    machine.all_goes_on(how="silence")
    machine.all_goes_on(how="silence")


@pytest.mark.parametrize(
    "sequence",
    [duplicate_after_a_restart, duplicate_after_new_placements, late_after_a_broken_link],
)
def test_rare_sequences_do_not_send_twice(sequence: Any) -> None:
    machine = Sends()
    sequence(machine)
    assert [c.ran for c in machine.callers.values()] == [1]


@pytest.mark.parametrize(
    ("inject", "sequence"),
    [
        (fault_any_incarnation_answers, duplicate_after_a_restart),
        (fault_any_incarnation_accepts, duplicate_after_new_placements),
        (fault_unsent_by_node, late_after_a_broken_link),
    ],
)
def test_a_removed_guard_is_noticed_in_rare_sequences(
    inject: Any, sequence: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    machine = inject(monkeypatch)()
    with pytest.raises(AssertionError, match=WRONG):
        sequence(machine)


def test_an_attempt_is_remembered_for_as_long_as_a_frame_may_be_late() -> None:
    for began_ms in (0, MIN_RETENTION_MS - 1, MIN_RETENTION_MS, 2 * MIN_RETENTION_MS + 7):
        seen = Seen().add("a", Ms(0)).add("b", Ms(began_ms))
        for later_ms in range(0, MIN_RETENTION_MS, 977):
            seen = seen.add(f"x{later_ms}", Ms(began_ms + later_ms))
            assert "b" in seen
        assert "b" not in seen.add("y", Ms(began_ms + 9 * MIN_RETENTION_MS)).add(
            "z", Ms(began_ms + 11 * MIN_RETENTION_MS)
        )


def test_a_resend_states_why_it_is_allowed() -> None:
    tried = call_to("ex2", Ms(0), SlotId(0, 1))
    over = replace(tried, attempts=Map(), send_count=1)
    once = replace(over, at_most_once=True)
    assert resend_reason(tried) is ResendReason.REPEATABLE  # a second attempt beside the first
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
