"""A member that missed hundreds of changes has all of them again within the catch-up bound.

The transfer resumes after an interruption, does not grow with the number of changes, and does not
delay current rounds.
"""

from __future__ import annotations

import pytest

from spokeroute.register.anti_entropy import anti_entropy
from tests.sim.changing import (
    CATCH_UP_MS,
    Traffic,
    changes,
    core_of,
    hints_lost,
    lacks,
    reads,
    whole_after,
)
from tests.sim.cluster import Sim
from tests.sim.world import Node

COUNT = 1_000
MISSED_RANGES = {"all": (0, 1_000), "first": (0, 500), "last": (500, 1_000), "middle": (300, 700)}


def write_while_away(sim: Sim, node: Node, part: str) -> None:
    """Writes a thousand changes; a member misses a part of them, or restarts again and again."""
    if part == "restarts":
        for first in range(0, COUNT, 80):  # two seconds
            node.kill()
            changes(sim, range(first, first + 20))
            node.start()
            changes(sim, range(first + 20, min(COUNT, first + 80)))
        return
    begin, end = MISSED_RANGES[part]
    changes(sim, range(begin)) if begin else None
    node.kill()
    changes(sim, range(begin, end))
    others = [r for r in sim.registries if r is not node]
    hints_lost(sim, others)
    node.start()
    if end < COUNT:
        changes(sim, range(end, COUNT))


@pytest.mark.parametrize("part", [*MISSED_RANGES, "restarts"])
def test_a_member_that_missed_changes_catches_up_within_the_bound(part: str) -> None:
    """Proposers restart and so lose their hints. Then a member that has everything fails
    permanently."""
    sim = core_of(1)
    node = sim.registries[2]
    write_while_away(sim, node, part)
    took_ms = whole_after(sim, node)
    print("missed", part, "complete after", took_ms, "ms")
    assert took_ms <= CATCH_UP_MS
    sim.registries[0].kill()
    sim.registries[0].machine_up = False
    assert reads(sim, 2, f"v{COUNT - 1}") and reads(sim, 1, f"v{COUNT - 1}")
    sim.close()


def test_changes_survive_the_loss_of_two_of_five_members_after_catch_up() -> None:
    sim = core_of(2, registries=5)
    away = sim.registries[3:]
    for node in away:
        node.kill()
    changes(sim, range(200))
    hints_lost(sim, sim.registries[:3])
    for node in away:
        node.start()
    for node in away:
        assert whole_after(sim, node) <= CATCH_UP_MS
    for node in sim.registries[:2]:
        node.kill()
        node.machine_up = False
    assert all(reads(sim, i, "v199") for i in (2, 3, 4))
    assert all(f"claim/key-{n}" in away[0].disk.cells for n in range(200))  # type: ignore[union-attr]
    sim.close()


def test_without_anti_entropy_a_member_stays_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the checks above can fail: hints alone are lost when proposers restart."""
    monkeypatch.setattr(anti_entropy, "step", lambda state, event, now_ms: (state, ()))
    sim = core_of(1)
    node = sim.registries[2]
    node.kill()
    changes(sim, range(50))
    hints_lost(sim, sim.registries[:2])
    node.start()
    sim.run(10 * CATCH_UP_MS)
    assert len([n for n in lacks(sim, node) if n.startswith("claim/")]) == 50
    sim.close()


def member_that_missed(sim: Sim, count: int, same_claims: int = 0) -> Node:
    """Returns a stopped member that missed changes and for which no proposer has hints."""
    node = sim.registries[2]
    node.kill()
    changes(sim, range(count), same_claims)
    hints_lost(sim, sim.registries[:2])
    return node


def test_transfer_size_does_not_grow_with_the_number_of_changes() -> None:
    """Ten times as many changes to the same registers transfer at most a tenth more."""
    sent: list[int] = []
    for count in (100, 1_000):
        sim = core_of(3)
        node = member_that_missed(sim, count, same_claims=20)
        traffic = Traffic(sim)
        node.start()
        whole_after(sim, node)
        sim.run(1_000)
        sent.append(traffic.transfer_bytes)
        sim.close()
    print("bytes after 100 and 1000 changes:", sent)
    assert sent[1] <= 1.1 * sent[0]


def uninterrupted_bytes() -> int:
    sim = core_of(4)
    node = member_that_missed(sim, 400)
    traffic = Traffic(sim)
    node.start()
    whole_after(sim, node)
    sim.close()
    return traffic.sent["CellsPart"]


def transfer_started(node: Node) -> bool:
    """Returns whether a member has stored a first page and has more to fetch."""
    transfer = node.state("anti_entropy").transfer
    return transfer is not None and bool(transfer.stored) and bool(transfer.buckets)


@pytest.mark.parametrize("how", ["frames", "source", "asker"])
def test_an_interrupted_transfer_resumes(how: str) -> None:
    """Interrupts a transfer after its first page: frames are lost for a second, or the source or
    the receiver is killed."""
    once = uninterrupted_bytes()
    sim = core_of(4)
    node = member_that_missed(sim, 400)
    sim.net.narrow_kbit[node.name] = 2_000.0
    traffic = Traffic(sim)
    node.start()
    assert sim.up_to(lambda: transfer_started(node), 3_000)
    transfer = node.state("anti_entropy").transfer
    assert len(lacks(sim, node)) > 100
    if how == "frames":
        traffic.drops = lambda a, b, kind: kind in ("CellsAsk", "CellsPart")
        sim.run(1_000)
        traffic.drops = lambda a, b, kind: False
    elif how == "source":
        source = next(r for r in sim.registries if r.disk and r.disk.member == transfer.source)
        source.kill()
        sim.run(500)
        source.start()
    else:
        sim.run(200)
        node.kill()
        sim.run(300)
        node.start()
    assert whole_after(sim, node) <= CATCH_UP_MS
    print(how, traffic.sent["CellsPart"], once)
    assert traffic.sent["CellsPart"] <= 1.5 * once
    sim.close()
