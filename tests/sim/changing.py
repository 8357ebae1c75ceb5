"""Hundreds of changes to a core without exchanges, and what its members have of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import FLOOR, PLACEMENT
from spokeroute.dispatch.placement.table import pack_placement_table, unpack_placement_table
from spokeroute.register.cells import EMPTY, Cell
from spokeroute.register.changes import Ask
from spokeroute.register.claims import Win
from spokeroute.transport.frames import decode
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told

CATCH_UP_MS = 6_000
STEP_MS = 10
ORDER_MS = 6_000
SAME_PROPOSER = 50  # changes
ANTI_ENTROPY = ("DigestAsk", "DigestDiffers", "CellsAsk", "CellsPart")


@dataclass(frozen=True, slots=True)
class NextFloor:
    """The placement table once more, with the next sequence."""

    def decide(self, version: int, value: bytes) -> bytes | None:
        if not value:
            return None
        floor = unpack_placement_table(value)
        return pack_placement_table(replace(floor, sequence=floor.sequence + 1))


@dataclass
class Traffic:
    """Bytes between members by the kind of message, the largest frame of each, and what is lost."""

    sim: Sim
    sent: Counter[str] = field(default_factory=Counter)
    frames: Counter[str] = field(default_factory=Counter)
    largest: dict[str, int] = field(default_factory=dict)
    drops: Callable[[Node, Node, str], bool] = lambda a, b, kind: False

    def __post_init__(self) -> None:
        self.sim.net.loses = self.see

    def see(self, sender: Node, there: Node, frame: bytes) -> bool:
        kind = type(decode(frame).message).__name__
        self.sent[kind] += len(frame)
        self.frames[kind] += 1
        self.largest[kind] = max(self.largest.get(kind, 0), len(frame))
        return self.drops(sender, there, kind)

    @property
    def anti_entropy_bytes(self) -> int:
        return sum(self.sent[kind] for kind in ANTI_ENTROPY)

    @property
    def transfer_bytes(self) -> int:
        """A value comes with a page or as a hint, whichever is first: both are counted."""
        return self.anti_entropy_bytes + self.sent["HandOver"]


def core_of(seed: int, registries: int = 3, sync_ms: float = 0.5) -> Sim:
    """A settled core with a configuration, and no exchanges."""
    bounds = Bounds(catch_up_ms=CATCH_UP_MS, members=registries)
    sim = Sim(seed, 0, sync_ms=sync_ms, registries=registries, bounds=bounds)
    sim.start()
    assert sim.up_to(lambda: all(votes(r) for r in sim.registries), 12_000)
    first = sim.apply(configuration(name="first"))
    assert sim.up_to(lambda: first.status == 200, 4_000), first
    assert sim.up_to(lambda: FLOOR in disk_of(sim.registries[0]), 6_000)
    return sim


def votes(node: Node) -> bool:
    return node.alive and bool(node.state("acceptor").synced_votes)


def disk_of(node: Node) -> dict[str, Cell]:
    assert node.disk is not None
    return dict(node.disk.cells)


def change(sim: Sim, number: int, claim: str = "") -> Told:
    """One configuration, one placement table and one claim more, at a member that is up."""
    up = [i for i, r in enumerate(sim.registries) if r.alive]
    index = up[number // SAME_PROPOSER % len(up)]
    node = sim.registries[index]
    told = sim.apply(configuration(name=f"v{number}"), registry=index)
    node.report("proposer", Ask(f"f{number}", FLOOR, NextFloor(), ""), node.births)
    name = claim or f"key-{number}"
    win = Win(f"call-{number}", "f" * 40, 4_000)
    node.report("proposer", Ask(f"c{number}", f"claim/{name}", win, "", 4_000), node.births)
    return told


def changes(sim: Sim, numbers: range, same_claims: int = 0) -> None:
    """Many changes, each acknowledged before the next."""
    for number in numbers:
        claim = f"same-{number % same_claims}" if same_claims else ""
        until_ms = sim.env.now + ORDER_MS
        told = change(sim, number, claim)
        while told.status != 200:
            assert sim.env.now < until_ms, told
            if told.status != -1:
                told = sim.apply(told.sent, registry=0 if sim.registries[0].alive else 1)
            sim.run(STEP_MS)


def lacks(sim: Sim, node: Node) -> set[str]:
    """The registers of which a member's disk has less than another's."""
    behind: set[str] = set()
    assert node.disk is not None
    for other in sim.registries:
        if other is node or other.disk is None or other.disk.roster != node.disk.roster:
            continue
        for name, cell in other.disk.cells.items():
            if node.disk.cells.get(name, EMPTY).accepted < cell.accepted:
                behind.add(name)
    return behind - {PLACEMENT}  # renewed all the while


def hints_lost(sim: Sim, nodes: list[Node]) -> None:
    """Restart members one after the other: what they meant to hand on is forgotten."""
    for node in nodes:
        node.kill()
        sim.run(300)
        node.start()
        sim.run(1_200)


def whole_after(sim: Sim, node: Node, most_ms: float = CATCH_UP_MS) -> float:
    """How long until a member has all that the others have."""
    back_ms = sim.env.now
    assert sim.up_to(lambda: node.alive and not lacks(sim, node), most_ms), len(lacks(sim, node))
    return sim.env.now - back_ms


def reads(sim: Sim, index: int, name: str) -> bool:
    """Whether an operator reads this configuration back at a member."""
    told = sim.show(index)
    assert sim.up_to(lambda: told.status != -1, 5_000)
    return told.status == 200 and told.doc["configuration"]["name"] == name
