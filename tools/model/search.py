"""Searches: every order to a depth, seeded random walks, and the shrinking of a failing run."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from tools.model.actions import Asks, apply, enabled
from tools.model.history import BrokenInvariantError, Invariant
from tools.model.scenario import Scenario, begin
from tools.model.world import World, agreed

PROGRESS_STATES = 20_000
WEIGHTS = {
    "deliver": 10.0, "repeat": 2.0, "ask": 2.0, "sync": 8.0, "full": 0.2, "full-late": 0.2,
    "restart": 0.3, "restart-late": 0.3, "wipe": 0.2, "join": 0.4, "leave": 0.4, "end": 3.0,
    "tick": 1.0,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Failure:
    """A run that breaks an invariant."""

    invariant: Invariant
    text: str
    actions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How far a search came."""

    states: int
    steps: int
    depth: int  # the greatest that was searched whole
    seconds: float
    failure: Failure | None = None
    whole: bool = False  # nothing was left to be explored


def advance(world: World, action: str, asks: Asks) -> World | None:
    """The world after an action, with what its readers would take for chosen."""
    after = apply(world, action, asks)
    if after is None:
        return None
    moved = len(after.members) != len(world.members) or any(
        new.disk is not old.disk for new, old in zip(after.members, world.members, strict=False)
    )
    return agreed(after) if moved else after


def replay(scenario: Scenario, actions: tuple[str, ...]) -> Failure | None:
    """Go through a script; actions that can't happen where they stand are passed over.

    Example:
        replay(SCENARIOS["rounds"], ("ask a",)) is None
    """
    world = begin(scenario)
    taken: list[str] = []
    for action in actions:
        taken.append(action)
        try:
            after = advance(world, action, scenario.asks)
        except BrokenInvariantError as broken:
            return Failure(broken.invariant, str(broken), tuple(taken))
        if after is None:
            taken.pop()
            continue
        world = after
    return None


def explore(scenario: Scenario, depth: int, seconds: float, say: Callable[[str], None]) -> Outcome:
    """Breadth-first over all orders, to a depth or as long as the time lasts."""
    began = time.monotonic()
    first = begin(scenario)
    seen = {first.key}
    parents: list[tuple[int, str]] = [(-1, "")]
    level: list[tuple[int, World]] = [(0, first)]
    steps = 0
    for at in range(depth):
        found: list[tuple[int, World]] = []
        for index, world in level:
            for action in enabled(world, scenario.asks):
                steps += 1
                try:
                    after = advance(world, action, scenario.asks)
                except BrokenInvariantError as broken:
                    actions = (*_path(parents, index), action)
                    failure = Failure(broken.invariant, str(broken), actions)
                    return Outcome(len(seen), steps, at, time.monotonic() - began, failure)
                if after is None:
                    continue
                key = after.key
                if key in seen:
                    continue
                seen.add(key)
                if len(seen) % PROGRESS_STATES == 0:
                    spent = time.monotonic() - began
                    say(f"{len(seen)} states, {steps} steps, depth {at + 1}, {spent:.0f} s")
                if at + 1 < depth:
                    found.append((len(parents), after))
                    parents.append((index, action))
            if time.monotonic() - began > seconds:
                return Outcome(len(seen), steps, at, time.monotonic() - began)
        level = found
        if not found and at + 1 < depth:
            return Outcome(len(seen), steps, at + 1, time.monotonic() - began, whole=True)
    return Outcome(len(seen), steps, depth, time.monotonic() - began)


def _path(parents: list[tuple[int, str]], index: int) -> tuple[str, ...]:
    out: list[str] = []
    while index > 0:
        index, action = parents[index]
        out.append(action)
    return tuple(reversed(out))


def walk(scenario: Scenario, seed: int, steps: int) -> tuple[int, Failure | None]:
    """One random run: how many steps it took, and what it broke."""
    rng = random.Random(f"{scenario.name}/{seed}")
    world = begin(scenario)
    taken: list[str] = []
    tilt = {kind: weight * rng.choice((0.1, 0.5, 1.0, 3.0)) for kind, weight in WEIGHTS.items()}
    for _ in range(steps):
        options = enabled(world, scenario.asks)
        if not options:
            break
        action = _draw(rng, options, tilt)
        taken.append(action)
        try:
            after = advance(world, action, scenario.asks)
        except BrokenInvariantError as broken:
            return len(taken), Failure(broken.invariant, str(broken), tuple(taken))
        if after is None:
            taken.pop()
            continue
        world = after
    return len(taken), None


def _draw(rng: random.Random, options: list[str], tilt: dict[str, float]) -> str:
    """A kind by its weight, then one of that kind; of frames, the older ones a little sooner."""
    kinds: dict[str, list[str]] = {}
    for option in options:
        kinds.setdefault(option.partition(" ")[0], []).append(option)
    names = list(kinds)
    kind = rng.choices(names, [tilt[name] for name in names])[0]
    those = kinds[kind]
    if kind == "deliver" and rng.random() < 0.5:
        return those[0]
    return rng.choice(those)


def walks(
    scenario: Scenario, seed: int, count: int, steps: int, seconds: float,
    say: Callable[[str], None],
) -> Outcome:  # fmt: skip
    """Random runs one after the other, until one fails or all are through."""
    began = time.monotonic()
    total = 0
    for number in range(count):
        taken, failure = walk(scenario, seed + number, steps)
        total += taken
        spent = time.monotonic() - began
        if failure is not None:
            return Outcome(number + 1, total, 0, spent, failure)
        if spent > seconds:
            return Outcome(number + 1, total, 0, spent)
        if (number + 1) % 200 == 0:
            say(f"{number + 1} walks, {total} steps, {spent:.0f} s")
    return Outcome(count, total, 0, time.monotonic() - began, whole=True)


def shrink(scenario: Scenario, failure: Failure) -> Failure:
    """Delta debugging: the actions without which the same invariant still breaks go."""
    best = failure
    size = max(1, len(best.actions) // 2)
    while size:
        at = 0
        while at < len(best.actions):
            fewer = best.actions[:at] + best.actions[at + size :]
            got = replay(scenario, fewer)
            if got is not None and got.invariant == best.invariant:
                best = got
            else:
                at += size
        size //= 2
    return best
