"""Days on which members' disks are full for a while, and other members are lost right after."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from tests.sim.acts import after, read_back, swap_registry
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told
from tools.readback import acked_reads_back

CATCH_UP_MS = 4_000
VOTES_AGAIN_MS = 1_500
SAID_MS = 1_000


@pytest.fixture
def core(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A settled cluster of a seed, a number of registries and a disk's sync time."""
    seed, registries, sync_ms = request.param
    bounds = Bounds(catch_up_ms=CATCH_UP_MS, members=registries)
    made = Sim(seed, 3, sync_ms=sync_ms, registries=registries, bounds=bounds)
    made.settle()
    assert made.up_to(lambda: all(votes(r) for r in made.registries), 10_000)
    yield made
    made.close()


EACH = pytest.mark.parametrize(
    "core",
    [(seed, size, sync) for size in (3, 5) for seed, sync in ((1, 0.5), (2, 5.0), (3, 5.0))],
    indirect=True,
)


def votes(node: Node) -> bool:
    """Whether it is up, in the roster, and takes writes."""
    if not node.alive:
        return False
    kept = node.state("acceptor")
    return bool(kept.synced_votes) and not kept.failed


def fill(node: Node) -> None:
    assert node.disk is not None
    node.disk.full = True


def free(node: Node) -> None:
    assert node.disk is not None
    node.disk.full = False


def storm(sim: Sim, for_ms: float, gap_ms: float = 250) -> None:
    """Configurations, one after the other, at whichever registry is up."""

    def steps() -> Generator[Any, Any, None]:
        number = 0
        until_ms = sim.env.now + for_ms
        while sim.env.now < until_ms:
            number += 1
            up = [i for i, node in enumerate(sim.registries) if node.alive]
            sim.apply(configuration(name=f"storm-{number}"), registry=sim.rng.choice(up))
            yield sim.env.timeout(gap_ms)

    sim.env.process(steps())


def orders(sim: Sim, from_ms: float, to_ms: float) -> list[Told]:
    return [t for t in sim.told if t.what == "apply" and from_ms <= t.at_ms < to_ms]


def all_killed(sim: Sim) -> None:
    for node in sim.registries:
        node.kill()
    sim.run(500)
    for node in sim.registries:
        node.start()
    sim.run(2_000)


def others_hear(sim: Sim, node: Node, writable: bool) -> bool:
    """Whether every other member knows whether this one's store takes writes."""
    assert node.disk is not None
    member = node.disk.member
    return all(
        other.state("membership").peer_statuses[member].writable == writable
        for other in sim.registries
        if other is not node and other.alive
    )


@EACH
def test_two_full_disks_and_two_kills_lose_nothing(core: Sim) -> None:
    """The day that the users' bench broke: a disk full for 2 s, another member killed, another
    disk full, again a kill, then all killed."""
    start_ms = core.env.now
    storm(core, 30_000)
    for first, second in ((0, 1), (2, 0)):
        full, killed = core.registries[first], core.registries[second]
        core.run(3_000)
        fill(full)
        core.run(2_000)
        assert full.state("acceptor").failed
        free(full)
        assert core.up_to(lambda n=full: votes(n), VOTES_AGAIN_MS)  # type: ignore[misc]
        core.run(3_000)
        killed.kill()
        down_ms = core.env.now
        core.run(6_000)
        went_on = orders(core, down_ms, core.env.now - 2_000)
        assert went_on and all(told.status == 200 for told in went_on)
        killed.start()
    core.run(3_000)
    assert all(votes(r) for r in core.registries)
    assert sum(t.status == 200 for t in orders(core, start_ms, core.env.now)) > 90
    all_killed(core)
    asked = read_back(core)
    assert all(told.status == 200 for told in asked)
    assert acked_reads_back(core.log()) == []


@EACH
def test_it_is_said_within_a_second_and_unsaid_as_soon(core: Sim) -> None:
    node = core.registries[1]
    assert others_hear(core, node, True)
    fill(node)
    core.apply(configuration(name="finds it full"), registry=0)
    assert core.up_to(lambda: others_hear(core, node, False), SAID_MS)
    core.run(1_500)
    free(node)
    assert core.up_to(lambda: votes(node) and others_hear(core, node, True), VOTES_AGAIN_MS)


@EACH
def test_orders_and_reads_go_on_while_a_disk_is_full(core: Sim) -> None:
    """Also those that come to the very member whose disk is full."""
    node = core.registries[0]
    fill(node)
    for number in range(12):
        told = core.apply(configuration(name=f"n-{number}"), registry=number % 3)
        assert core.up_to(lambda t=told: t.status == 200, 2_000), told  # type: ignore[misc]
    assert all(told.status == 200 for told in read_back(core))
    assert acked_reads_back(core.log()) == []


@EACH
def test_a_disk_that_stays_full_is_replaced_by_a_blank_machine(core: Sim) -> None:
    """Not before ``catch_up_ms``; and what was acknowledged meanwhile survives the next loss."""
    node = core.registries[2]
    assert node.disk is not None
    member = node.disk.member
    fill(node)
    core.apply(configuration(name="finds it full"), registry=0)
    assert core.up_to(lambda: others_hear(core, node, False), SAID_MS)
    said_ms = core.env.now
    blank = Node(core, "spare", "registry", node.zone, "10.0.9.1:1", False)
    blank.seeds = [core.registries[0].address, core.registries[1].address]
    blank.start()
    assert not core.up_to(lambda: blank.state("acceptor").epoch > 0, CATCH_UP_MS - 600)
    assert core.up_to(lambda: votes(blank), 4_000)
    assert core.env.now - said_ms <= CATCH_UP_MS + 2_000
    roster = core.registries[0].state("acceptor").roster
    assert member not in roster.ids and blank.state("acceptor").me in roster.ids
    core.registries[2] = blank
    told = core.apply(configuration(name="by the new core"), registry=1)
    assert core.up_to(lambda: told.status == 200, 2_000)
    core.registries[0].kill()
    free(node)  # it comes back as one that was replaced
    core.run(3_000)
    assert not node.state("acceptor").synced_votes
    shown = core.show(1)
    core.run(3_000)
    assert shown.status == 200 and shown.doc["configuration"]["name"] == "by the new core"
    node.kill()


@EACH
def test_a_disk_full_for_less_than_the_bound_is_not_replaced(core: Sim) -> None:
    node = core.registries[2]
    blank = Node(core, "spare", "registry", node.zone, "10.0.9.1:1", False)
    blank.seeds = [core.registries[0].address, core.registries[1].address]
    blank.start()
    core.run(3_000)
    epoch = core.registries[0].state("acceptor").epoch
    for _ in range(3):
        fill(node)
        core.apply(configuration(name="finds it full"), registry=0)
        core.run(CATCH_UP_MS - 1_000)
        free(node)
        core.run(VOTES_AGAIN_MS)
        assert votes(node) and core.registries[0].state("acceptor").epoch == epoch
    blank.kill()


@pytest.mark.parametrize("core", [(1, 3, 2.0), (2, 3, 5.0)], indirect=True)
def test_a_newcomer_whose_disk_fills_while_it_copies_begins_anew(core: Sim) -> None:
    """What it copied before its disk refused a write counts for nothing."""
    told = core.apply(configuration(name="kept"), registry=0)
    assert core.up_to(lambda: told.status == 200, 2_000)
    node = core.registries[0]
    node.kill()
    core.run(300)
    node.start(blank=True)
    until_ms = core.env.now + 3_000
    while not node.state("membership").copied and core.env.now < until_ms:
        core.run(0.5)
    assert not node.state("acceptor").synced_votes
    fill(node)
    core.run(2_000)
    assert not node.state("acceptor").synced_votes
    free(node)
    assert core.up_to(lambda: votes(node), 3_000)
    core.registries[1].kill()
    shown = core.show(2)
    core.run(3_000)
    assert shown.status == 200 and shown.doc["configuration"]["name"] == "kept"


@pytest.mark.parametrize("seed", range(20, 32))
def test_any_members_disks_fill_at_any_moments(seed: int) -> None:
    """At most one of three, or two of five, is away at a time, by a full disk, a kill, or a kill
    while its disk is full; configurations come all the while."""
    size = 3 if seed % 2 else 5
    bounds = Bounds(catch_up_ms=CATCH_UP_MS, members=size)
    sim = Sim(seed, 1, sync_ms=5.0, registries=size, bounds=bounds)
    sim.settle()
    assert sim.up_to(lambda: all(votes(r) for r in sim.registries), 10_000)
    storm(sim, 20_000, gap_ms=120)
    rng = sim.rng
    for _ in range(8):
        for node in rng.sample(sim.registries, size // 2):
            hurt(sim, node, rng.choice(("full", "kill", "both")), rng.uniform(50, 2_500))
        sim.run(2_600)
        assert sim.up_to(lambda: all(votes(r) for r in sim.registries), 3_000)
    all_killed(sim)
    assert all(told.status == 200 for told in read_back(sim))
    assert acked_reads_back(sim.log()) == []
    sim.close()


def hurt(sim: Sim, node: Node, how: str, for_ms: float) -> None:
    """Fill a member's disk, kill its process, or both; it is well again ``for_ms`` later."""
    if how != "kill":
        fill(node)
        after(sim, for_ms, lambda: free(node))
    if how == "kill":
        node.kill()
        after(sim, for_ms, node.start)
    elif how == "both":
        after(sim, for_ms / 2, node.kill)
        after(sim, for_ms, node.start)


@EACH
def test_all_machines_swapped_after_full_disks(core: Sim) -> None:
    """Each member's disk is full for 2 s; then its machine goes for good."""
    for index in range(len(core.registries)):
        fill(core.registries[index])
        told = core.apply(configuration(name=f"n-{index}"), registry=index)
        core.run(2_000)
        assert told.status == 200
        free(core.registries[index])
        assert core.up_to(lambda i=index: votes(core.registries[i]), VOTES_AGAIN_MS)  # type: ignore[misc]
        new = swap_registry(core, index, f"new{index + 1}")
        assert core.up_to(lambda n=new: votes(n), CATCH_UP_MS + 4_000)  # type: ignore[misc]
    assert all(told.status == 200 for told in read_back(core))
    assert acked_reads_back(core.log()) == []
