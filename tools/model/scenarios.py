"""Where runs begin, and how much of each kind of trouble they may meet."""

from __future__ import annotations

from dataclasses import dataclass, replace

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Address, Epoch, MemberId, Ms
from spokeroute.register.cells import Roster
from spokeroute.register.changes import Ask, Change, Read, Swap
from tools.model.actions import MOST_DRAWN, Asks, ClientAsk, apply
from tools.model.disk import Disk
from tools.model.history import History
from tools.model.preludes import (
    FOUNDING,
    GROWN,
    GROWN_CONTENDED,
    GROWN_COPIED,
    GROWN_UNHEARD,
    GROWN_VOTING,
    HANDED,
    JOINING,
    LATE_PROMISES,
    REPLACED,
    SECOND_BLANK,
)
from tools.model.world import CLIENT, World, boot

START_MS = Ms(10_000)
CONFIGURATION = "configuration"
PLACEMENT = "placement"
NUMBER = "number/7"


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


def _asks(*lines: tuple[str, int, str, Change]) -> Asks:
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


SCENARIOS = {
    each.name: each
    for each in (
        Scenario(
            "rounds",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "disks",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "restart": 2, "full": 2, "beat": 2},
        ),
        Scenario(
            "lives",
            _asks(
                ("a", 0, PLACEMENT, Swap(0, b"A")),
                ("b", 0, PLACEMENT, Swap(0, b"B")),
                ("r", 0, PLACEMENT, Read()),
                ("x", 1, NUMBER, Once(b"X")),
            ),
            {"round": 1, "restart": 1, "repeat": 2},
        ),
        Scenario(
            "lives-late",
            _asks(
                ("a", 0, PLACEMENT, Swap(0, b"A")),
                ("r", 0, PLACEMENT, Read()),
                ("x", 1, NUMBER, Once(b"X")),
            ),
            {"restart": 1},
            prelude=LATE_PROMISES,
        ),
        Scenario(
            "lives-again",
            _asks(
                ("a", 0, PLACEMENT, Swap(0, b"A")),
                ("r", 0, PLACEMENT, Read()),
                ("x", 1, NUMBER, Once(b"X")),
            ),
            {"restart": 1},
            prelude=(*LATE_PROMISES, "restart m1"),
        ),
        Scenario(
            "numbers",
            _asks(
                ("a", 0, NUMBER, Once(b"A")),
                ("b", 1, NUMBER, Once(b"B")),
                ("c", 2, NUMBER, Once(b"C")),
                ("r", 2, NUMBER, Read()),
            ),
            {"round": 3, "restart": 1, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "replace",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 1, CONFIGURATION, Read()),
                ("s", 0, CONFIGURATION, Read()),
            ),
            {"round": 3, "wipe": 1, "beat": 10},
            syncs=True,
        ),
        Scenario(
            "grow",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
                ("s", 0, CONFIGURATION, Read()),
            ),
            {"round": 4, "join": 2, "beat": 16},
            core=5,
            syncs=True,
        ),
        Scenario(
            "replaced",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "beat": 4},
            syncs=True,
            prelude=REPLACED,
        ),
        Scenario(
            "joining",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "beat": 4},
            syncs=True,
            prelude=JOINING,
        ),
        Scenario(
            "second-blank",
            _asks(("r", 1, CONFIGURATION, Read())),
            {"round": 1, "beat": 3},
            members=5,
            core=5,
            syncs=True,
            prelude=SECOND_BLANK,
        ),
        Scenario(
            "grown",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 2, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "wipe": 1, "beat": 8},
            core=5,
            syncs=True,
            prelude=GROWN,
        ),
        Scenario(
            "grown-contended",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "beat": 6},
            core=5,
            syncs=True,
            prelude=GROWN_CONTENDED,
        ),
        Scenario(
            "grown-copied",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2},
            core=5,
            syncs=True,
            prelude=GROWN_COPIED,
        ),
        Scenario(
            "grown-voting",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 2, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "beat": 6},
            core=5,
            syncs=True,
            prelude=GROWN_VOTING,
        ),
        Scenario(
            "grown-unheard",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 1, "wipe": 1, "beat": 8},
            core=5,
            syncs=True,
            prelude=GROWN_UNHEARD,
        ),
        Scenario(
            "handed",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 2, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "repeat": 1, "beat": 3},
            syncs=True,
            prelude=HANDED,
        ),
        Scenario(
            "overtaken",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(1, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 2, "repeat": 1},
            syncs=True,
        ),
        Scenario(
            "disks-wiped",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 1, CONFIGURATION, Read()),
            ),
            {"round": 2, "wipe": 1, "beat": 6},
            syncs=True,
        ),
        Scenario(
            "leaving",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 3, "leave": 1, "beat": 14},
            syncs=True,
        ),
        Scenario(
            "succession",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("r", 2, CONFIGURATION, Read()),
            ),
            {"round": 3, "leave": 2, "join": 1, "beat": 14, "restart": 1},
            syncs=True,
        ),
        Scenario("found", _asks(), {"wipe": 1, "beat": 8}, blank=True, syncs=True),
        Scenario(
            "founding",
            _asks(
                ("a", 2, CONFIGURATION, Swap(0, b"A")),
                ("r", 1, CONFIGURATION, Read()),
            ),
            {"wipe": 1, "beat": 6},
            blank=True,
            syncs=True,
            prelude=FOUNDING,
        ),
        Scenario(
            "founding-low",
            _asks(
                ("a", 2, CONFIGURATION, Swap(0, b"A")),
                ("r", 1, CONFIGURATION, Read()),
            ),
            {"wipe": 1, "beat": 6, "low": 1},
            blank=True,
            syncs=True,
            prelude=FOUNDING,
        ),
        Scenario(
            "everything",
            _asks(
                ("a", 0, CONFIGURATION, Swap(0, b"A")),
                ("b", 1, CONFIGURATION, Swap(0, b"B")),
                ("c", 0, CONFIGURATION, Swap(1, b"C")),
                ("p", 0, PLACEMENT, Swap(0, b"m1")),
                ("q", 1, PLACEMENT, Swap(0, b"m2")),
                ("r", 2, CONFIGURATION, Read()),
                ("s", 1, CONFIGURATION, Read()),
            ),
            {
                "round": 8,
                "beat": 30,
                "silence": 2,
                "wipe": 2,
                "leave": 1,
                "join": 2,
                "restart": 4,
                "repeat": 4,
                "full": 1,
            },
        ),
    )
}


def with_members(scenario: Scenario, members: int) -> Scenario:
    """The same with another number of members.

    Example:
        with_members(SCENARIOS["rounds"], 5).members == 5
    """
    return replace(scenario, members=members, core=max(scenario.core, members))
