"""What a scenario is: where a run begins, and how much of each kind of trouble it may meet."""

from __future__ import annotations

from dataclasses import dataclass, replace

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Address, Epoch, MemberId, Ms
from spokeroute.register.cells import Roster
from spokeroute.register.changes import Ask, Change
from tools.model.actions import MOST_DRAWN, Asks, ClientAsk, apply
from tools.model.disk import Disk
from tools.model.history import History
from tools.model.world import CLIENT, World, boot

START_MS = Ms(10_000)


@dataclass(frozen=True, slots=True)
class Once:
    """A write-once content.

    Example:
        Once(b"x").decide(1, b"y") is None
    """

    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The content, if there is none.

        Example:
            Once(b"x").decide(0, b"") == b"x"
        """
        return None if version else self.value


class PreludeError(Exception):
    """A scenario's prelude does not fit the cores any more."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A beginning: members, clients' asks, and a budget for each kind of trouble."""

    name: str
    asks: Asks
    budget: dict[str, int]
    members: int = 3
    core: int = 3  # how many members it should have
    syncs: bool = False
    blank: bool = False  # whether the core is still to be founded
    prelude: tuple[str, ...] = ()  # what happened before


def asks(*lines: tuple[str, int, str, Change]) -> Asks:
    """What clients ask: the name of each ask, the member that it goes to, the register, the change.

    Example:
        asks(("r", 0, "configuration", Read()))["r"].slot == 0
    """
    return {
        op: ClientAsk(slot, Ask(op, register, change, CLIENT))
        for op, slot, register, change in lines
    }


def begin(scenario: Scenario) -> World:
    """A scenario's first world, after its prelude."""
    ids = tuple(MemberId(f"m{i + 1}") for i in range(scenario.members))
    members = tuple((name, Address(f"h{i + 1}:1")) for i, name in enumerate(ids))
    ample = dict.fromkeys(scenario.budget, len(scenario.prelude))
    ample |= {"beat": len(scenario.prelude), "repeat": 9, "wipe": 9, "join": 9}
    budget = {**ample, **{f"ask {op}": 1 for op in scenario.asks}, "drawn": MOST_DRAWN}
    disk = Disk()
    if not scenario.blank:
        disk = Disk(roster=Roster(Epoch(1), members), votes=True)
    world = World(
        (),
        (),
        Map(budget),
        History(),
        Bounds(members=scenario.core),
        scenario.blank,
        tuple(address for _, address in members),
        scenario.syncs,
    )
    for slot, (name, address) in enumerate(members):
        world = boot(world, slot, name, address, disk, START_MS)
    world = replace(world, bag=())
    for action in scenario.prelude:
        after = apply(world, action, scenario.asks)
        if after is None:
            raise PreludeError(f"{scenario.name}: {action!r} can't happen where it stands")
        world = after
    left = {name: n for name, n in world.budget.items() if name == "drawn" or name[:4] == "ask "}
    return replace(world, budget=Map({**scenario.budget, **left}))


def with_members(scenario: Scenario, members: int) -> Scenario:
    """The same with another number of members.

    Example:
        with_members(scenario, 5).members == 5
    """
    return replace(scenario, members=members, core=max(scenario.core, members))
