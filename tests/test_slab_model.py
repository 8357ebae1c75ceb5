"""Model test of slots: a waiter gets the answer to its own request or none, however late other
answers arrive."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from spokeroute.common.answers import Answer
from spokeroute.common.effects import SlotId
from spokeroute.common.slab import Slab, Slots

SIZE = 2
WHICH = st.integers(0, 30)


def answer_of(slot: SlotId) -> Answer:
    return Answer(200, (), f"{slot.index}/{slot.generation}".encode())


class Waiters(RuleBasedStateMachine):
    """Takes, answers and frees slots of both implementations, and checks the answers."""

    def __init__(self) -> None:
        super().__init__()
        self.slots, self.slab = Slots(SIZE), Slab(SIZE)
        self.taken: list[tuple[SlotId, SlotId]] = []
        self.waiting: list[tuple[SlotId, SlotId]] = []
        self.told: set[SlotId] = set()

    @rule()
    def take(self) -> None:
        slot, other = self.slots.take(), self.slab.take()
        assert (slot is None) == (other is None) == (len(self.waiting) == SIZE)
        if slot is not None and other is not None:
            self.taken.append((slot, other))
            self.waiting.append((slot, other))

    @precondition(lambda self: self.taken)
    @rule(which=WHICH)
    def answer(self, which: int) -> None:
        """Answer any request so far, also repeatedly."""
        slot, other = self.taken[which % len(self.taken)]
        self.slots.answer(slot, answer_of(slot))
        self.slab.answer(other, answer_of(other))
        while self.slots.answered:
            whose, answer = self.slots.answered.popleft()
            assert answer == answer_of(whose), "another's answer"
            assert whose not in self.told, "answered twice"
            assert whose in [s for s, _ in self.waiting], "an answer nobody waits for"
            self.told.add(whose)

    @precondition(lambda self: self.taken)
    @rule(which=WHICH)
    def look(self, which: int) -> None:
        """Wait for any request, also from a thread that has freed its slot."""
        _, other = self.taken[which % len(self.taken)]
        got = self.slab.wait(other, 0.0)
        assert got in (None, answer_of(other)), "another's answer"

    @precondition(lambda self: self.taken)
    @rule(which=WHICH)
    def free(self, which: int) -> None:
        """Free any slot, also twice or after it was taken again."""
        slot, other = self.taken[which % len(self.taken)]
        self.slots.free(slot)
        self.slab.free(other)
        if (slot, other) in self.waiting:
            self.waiting.remove((slot, other))


def run_model(examples: int) -> None:
    run_state_machine_as_test(
        Waiters,
        settings=settings(
            max_examples=examples, stateful_step_count=30, derandomize=True, deadline=None,
            database=None, phases=(Phase.generate,), suppress_health_check=list(HealthCheck),
        ),
    )  # fmt: skip


def test_a_waiter_gets_its_own_answer_or_none() -> None:
    run_model(200)


def slots_by_index(patch: pytest.MonkeyPatch) -> None:
    def answer(self: Slots, slot: SlotId, got: Answer) -> None:
        if self._waiting[slot.index]:
            self._waiting[slot.index] = False
            self.answered.append((SlotId(slot.index, self._generations[slot.index]), got))

    patch.setattr(Slots, "answer", answer)


def slots_freed_by_index(patch: pytest.MonkeyPatch) -> None:
    def free(self: Slots, slot: SlotId) -> None:
        self._waiting[slot.index] = False
        self._free.append(slot.index)

    patch.setattr(Slots, "free", free)


def slab_by_index(patch: pytest.MonkeyPatch) -> None:
    def answer(self: Slab, slot: SlotId, got: Answer) -> None:
        self._slots[slot.index].answer = got

    patch.setattr(Slab, "answer", answer)


def slab_waits_by_index(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Slab, "wait", lambda self, slot, wait_s: self._slots[slot.index].answer)


@pytest.mark.parametrize(
    "fault", [slots_by_index, slots_freed_by_index, slab_by_index, slab_waits_by_index]
)
def test_a_missing_generation_check_is_found(fault: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        run_model(300)
