"""The quicker replacement of frozen states does what the standard one does."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spokeroute.common.replacing import _copier, replace
from spokeroute.dispatch.configuration.models import Service
from spokeroute.exchange.holder import State as HolderState
from spokeroute.register.replica.state import State as ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    number: int
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Derived(Base):
    more: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    number: int

    def __post_init__(self) -> None:
        if self.number < 0:
            raise ValueError("below zero")


CHANGES = st.fixed_dictionaries(
    {}, optional={"number": st.integers(), "names": st.tuples(st.text()), "more": st.floats()}
)


@given(st.integers(), CHANGES)
def test_it_gives_what_the_standard_one_gives(number: int, changes: dict[str, Any]) -> None:
    old = Derived(number, ("a",), 1.5)
    new = replace(old, **changes)
    assert repr(new) == repr(dataclasses.replace(old, **changes))
    assert type(new) is Derived and new is not old
    assert old == Derived(number, ("a",), 1.5)


def test_a_frozen_copy_stays_frozen() -> None:
    new = replace(Base(1), number=2)
    with pytest.raises(dataclasses.FrozenInstanceError):
        new.number = 3  # type: ignore[misc]


def test_an_unknown_field_is_refused_and_changes_nothing() -> None:
    old = Base(1)
    with pytest.raises(TypeError, match="nothing"):
        replace(old, nothing=2)  # type: ignore[call-arg]
    assert old == Base(1)


def test_classes_that_do_more_go_the_standard_way() -> None:
    assert _copier(Checked)[0] is None
    with pytest.raises(ValueError, match="below zero"):
        replace(Checked(1), number=-1)
    assert replace(Service("a", 1, 1), limit=3) == Service("a", 1, 3)  # it has no slots


@pytest.mark.parametrize("kind", [HolderState, ReplicaState])
def test_the_cores_states_are_copied_quickly(kind: type) -> None:
    assert _copier(kind)[0] is not None
