"""What befalls the fleet in one run, drawn from its seed: acts in series, which overlap."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

CALM_BEFORE_S = 5.0
CALM_AFTER_S = 9.0
GAPS_S = (0.3, 1.4)  # between the beginnings of two acts
LONGEST_ACT_S = 4.0
MEMBER_REST_S = 9.0  # a member counts as away until it has had the time to catch up


class ActKind(StrEnum):
    """What may be done to a fleet.

    Example:
        >>> ActKind("kill") is ActKind.KILL
        True
    """

    TERMINATE = "terminate"  # SIGTERM with its grace, then started again
    REREAD = "reread"  # SIGHUP
    KILL = "kill"  # SIGKILL, then started again
    FREEZE = "freeze"  # SIGSTOP for longer than a lease, then SIGCONT
    ROLL = "roll"  # SIGTERM to every front node, one after the other
    HERD = "herd"  # half of the front nodes are killed at once
    EVERYTHING = "everything"  # every process is killed at once, and started from its disk
    STORM = "storm"  # a configuration each 0.1 s, by two operators
    EVACUATE = "evacuate"  # a zone is emptied, and restored
    CRASH = "crash"  # a worker is lost with its instances, and comes back
    EMPTY = "empty"  # the platform drains a worker
    OVERTAKE = "overtake"  # a member reads an order late, after newer ones at the others
    REPLACE = "replace"  # a member is gone for good, a blank one comes
    GROW = "grow"  # a front node more


@dataclass(frozen=True, slots=True)
class Act:
    """One act: when, on whom, for how long; ``second`` comes ``second_s`` after a signal, while
    the first is still worked on."""

    at_s: float
    kind: ActKind
    name: str = ""
    for_s: float = 0.0
    second: ActKind | None = None
    second_s: float = 0.0


FRONT_ACTS = (ActKind.TERMINATE, ActKind.TERMINATE, ActKind.KILL, ActKind.FREEZE, ActKind.REREAD)
MEMBER_ACTS = (
    ActKind.TERMINATE, ActKind.KILL, ActKind.FREEZE, ActKind.REREAD, ActKind.OVERTAKE,
)  # fmt: skip
FLEET_ACTS = (
    ActKind.STORM, ActKind.STORM, ActKind.EVACUATE, ActKind.CRASH, ActKind.EMPTY, ActKind.HERD,
    ActKind.ROLL, ActKind.GROW,
)  # fmt: skip
RARE_ACTS = (ActKind.EVERYTHING, ActKind.REPLACE)
SECONDS = (ActKind.TERMINATE, ActKind.REREAD, ActKind.KILL)
RARE_SHARE = 0.08
MEMBER_SHARE = 0.2
FLEET_SHARE = 0.3
SECOND_SHARE = 0.3


def plan_of(
    seed: int, seconds: float, fronts: Sequence[str], members: Sequence[str]
) -> tuple[Act, ...]:
    """The acts of a seed: the same ones each time.

    Example:
        >>> plan_of(1, 30, ("ex1",), ("reg1",)) == plan_of(1, 30, ("ex1",), ("reg1",))
        True
    """
    rng = random.Random(f"soak/{seed}")
    acts: list[Act] = []
    members_free_s = replaced = 0.0
    at_s = CALM_BEFORE_S
    while at_s < seconds - CALM_AFTER_S - LONGEST_ACT_S:
        drawn = rng.random()
        free = at_s >= members_free_s
        if drawn < RARE_SHARE and free:
            kind = rng.choice(RARE_ACTS)
            if kind is ActKind.REPLACE and replaced:
                kind = ActKind.EVERYTHING
            replaced += kind is ActKind.REPLACE
            acts.append(Act(at_s, kind, members[0], rng.uniform(0.1, 1.0)))
            members_free_s = at_s + MEMBER_REST_S
        elif drawn < RARE_SHARE + MEMBER_SHARE and free:
            act = _member_act(rng, at_s, rng.choice(members))
            if act.kind is not ActKind.REREAD or act.second is not None:
                freezes = 2 if act.kind is ActKind.OVERTAKE else 1
                members_free_s = at_s + freezes * act.for_s + act.second_s + MEMBER_REST_S
            acts.append(act)
        elif drawn < RARE_SHARE + MEMBER_SHARE + FLEET_SHARE:
            for_s = rng.uniform(1.5, LONGEST_ACT_S)
            acts.append(Act(at_s, rng.choice(FLEET_ACTS), "", for_s))
        else:
            acts.append(_signal(rng, at_s, rng.choice(FRONT_ACTS), rng.choice(fronts)))
        at_s += rng.uniform(*GAPS_S)
    return tuple(acts)


def _member_act(rng: random.Random, at_s: float, name: str) -> Act:
    """What befalls one member: a signal, or orders that overtake one."""
    kind = rng.choice(MEMBER_ACTS)
    if kind is ActKind.OVERTAKE:
        return Act(at_s, kind, name, rng.uniform(1.5, 3.5))
    return _signal(rng, at_s, kind, name)


def _signal(rng: random.Random, at_s: float, kind: ActKind, name: str) -> Act:
    """A signal to one process, and at times another one soon after it."""
    for_s = rng.uniform(2.2, 3.6) if kind is ActKind.FREEZE else rng.uniform(0.1, 1.5)
    if rng.random() >= SECOND_SHARE:
        return Act(at_s, kind, name, for_s)
    second = rng.choice([each for each in SECONDS if each is not kind])
    return Act(at_s, kind, name, for_s, second, rng.uniform(0.02, 1.2))
