"""Disks that are lost and machines that are exchanged: a member is whole again soon after its
return, so that the next loss takes nothing that was acknowledged."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Address, Ballot, Epoch, MemberId, Ms
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.membership.policy import CoreView, PeerStatus, lost_disks, next_roster
from tests.sim.acts import swap_registry
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tools.log import Told

CATCH_UP_MS = 4_000
BOUNDS = Bounds(catch_up_ms=CATCH_UP_MS)


@pytest.fixture
def core(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A cluster of a seed, a number of registries and a disk's sync time."""
    seed, registries, sync_ms = request.param
    bounds = replace(BOUNDS, members=registries)
    made = Sim(seed, 3, sync_ms=sync_ms, registries=registries, bounds=bounds)
    yield made
    made.close()


def laden(sim: Sim, count: int = 2_500) -> None:
    """Give every member hundreds of KB of cells that don't compress, as claims would be."""
    rng = sim.rng
    cells: dict[str, Cell] = {}
    for number in range(count):
        ballot = Ballot(1, sim.registries[0].state("acceptor").me)
        value = rng.randbytes(150)
        name = f"claim/{rng.randrange(10**12)}-{number}"
        cells[name] = Cell(ballot, ballot, 1, digest_of(value), value)
    for node in sim.registries:
        assert node.process is not None and node.disk is not None
        node.disk.cells.update(cells)
        actor = node.process.actors["acceptor"]
        state = actor.state
        actor.state = replace(
            state, cells=state.cells.update(cells), synced=state.synced.update(cells)
        )


def whole(sim: Sim) -> bool:
    """Whether every member has every claim that was planted."""
    disks = [n.disk for n in sim.registries if n.disk is not None]
    return all(sum(1 for c in d.cells if c.startswith("claim/")) >= 2_500 for d in disks)


def votes(node: Node) -> bool:
    return node.alive and bool(node.state("acceptor").synced_votes)


def acked(sim: Sim, doc: dict[str, object], registry: int) -> Told:
    told = sim.apply(doc, registry=registry)
    assert sim.up_to(lambda: told.status == 200, 4_000), told
    return told


def shown(sim: Sim, name: str, registry: int) -> bool:
    told = sim.show(registry)
    assert sim.up_to(lambda: told.status != -1, 5_000)
    return told.status == 200 and told.doc["configuration"]["name"] == name


def blank_again(sim: Sim, nodes: list[Node], away_ms: float) -> float:
    """Lose the disks of some members at once; how long after their return all of them vote."""
    for node in nodes:
        node.kill()
    sim.run(away_ms)
    back_ms = sim.env.now
    for node in nodes:
        node.start(blank=True)
    assert sim.up_to(lambda: all(votes(n) for n in nodes), 10_000)
    return sim.env.now - back_ms


@pytest.mark.parametrize(
    ("core", "away_ms"),
    [((1, 3, 0.5), 1_000), ((2, 3, 5.0), 3_500), ((3, 3, 5.0), 1_300)],
    indirect=["core"],
)
def test_a_lost_disk_is_made_up_for_soon_after_its_return(core: Sim, away_ms: float) -> None:
    """The acknowledging member loses its disk and comes back blank; then each of the others
    does, as soon as the return of the one before it is ``catch_up_ms`` ago."""
    core.settle()
    laden(core)
    for index in (0, 1, 2, 0):
        name = f"kept-{index}-{core.env.now}"
        acked(core, configuration(name=name), index)
        took_ms = blank_again(core, [core.registries[index]], away_ms)
        assert took_ms <= 1_000 and whole(core)
        core.run(CATCH_UP_MS - took_ms)
        assert shown(core, name, (index + 1) % 3)


@pytest.mark.parametrize("core", [(1, 3, 5.0)], indirect=True)
def test_the_second_loss_is_for_good(core: Sim) -> None:
    """What was acknowledged while the blank member caught up is there too."""
    core.settle()
    laden(core)
    acked(core, configuration(name="first"), 0)
    core.registries[0].kill()
    core.run(1_200)
    core.registries[0].start(blank=True)
    core.run(300)
    acked(core, configuration(name="second"), 1)
    core.run(CATCH_UP_MS - 300 - 200)
    core.registries[1].kill()
    assert shown(core, "second", 0) and shown(core, "second", 2)


@pytest.mark.parametrize("core", [(1, 5, 5.0), (2, 5, 0.5)], indirect=True)
def test_five_members_bear_two_lost_disks_again_and_again(core: Sim) -> None:
    core.settle()
    assert all(len(r.state("acceptor").roster.members) == 5 for r in core.registries)
    laden(core)
    for pair in ((0, 1), (2, 3), (4, 0)):
        name = f"kept-{pair}"
        acked(core, configuration(name=name), pair[0])
        took_ms = blank_again(core, [core.registries[i] for i in pair], 1_000)
        assert took_ms <= 1_000 and whole(core)
        core.run(CATCH_UP_MS - took_ms)
    assert shown(core, "kept-(4, 0)", 2)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_all_seeds_exchanged_for_other_machines(core: Sim) -> None:
    """One after the other, each with settings that name the old seeds."""
    core.settle()
    old = list(core.seeds)
    for index in range(3):
        acked(core, configuration(name=f"before-{index}"), index)
        new = swap_registry(core, index, f"new{index + 1}")
        new.seeds = old
        gone_ms = core.env.now
        assert core.up_to(lambda n=new: votes(n), 12_000)  # type: ignore[misc]
        assert core.env.now - gone_ms <= CATCH_UP_MS + 2_000
    assert shown(core, "before-2", 1)


@pytest.mark.parametrize("core", [(1, 3, 5.0)], indirect=True)
def test_a_member_whose_disk_is_kept_votes_at_once(core: Sim) -> None:
    core.settle()
    core.registries[1].kill()
    core.run(2_000)
    core.registries[1].start()
    assert core.up_to(lambda: votes(core.registries[1]), 50)
    core.registries[0].kill()
    assert acked(core, configuration(name="on two"), 2)


MEMBERS = tuple((MemberId(f"m{i}"), Address(f"10.0.0.{i}:1")) for i in range(3))


def sight(signs: dict[str, PeerStatus], now_ms: int = 20_000, members: int = 3) -> CoreView:
    roster = Roster(Epoch(4), MEMBERS)
    zones = {"m0": "a", "m1": "b", "m2": "c", "b1": "a", "b2": "b", "b3": "a"}
    return CoreView(MemberId("m0"), roster, signs, zones, CATCH_UP_MS, members, Ms(0), Ms(now_ms))


def sign(node: str, at_ms: int, blank: bool = False, address: str = "") -> PeerStatus:
    there = address or dict(MEMBERS).get(MemberId(node), Address(f"10.9.0.{node[1]}:1"))
    return PeerStatus(
        Address(there), Ms(at_ms), Ms(at_ms - 3_000 if blank else 0), 4, not blank, blank, ()
    )


def test_a_blank_member_at_a_members_address_is_its_lost_disk() -> None:
    here = {"m1": sign("m1", 19_900)}
    seen = sight({**here, "m2": sign("m2", 19_400), "b1": sign("b1", 19_900, True, "10.0.0.2:1")})
    assert lost_disks(seen) == {"m2": "b1"}
    new = next_roster(seen)
    assert new is not None and new.ids == ("m0", "m1", "b1") and new.joining == ("b1",)


def test_a_member_heard_after_the_blank_one_has_its_disk() -> None:
    """An address has one process: whoever spoke last is there."""
    seen = sight({
        "m1": sign("m1", 19_900), "m2": sign("m2", 19_950),
        "b1": sign("b1", 19_900, True, "10.0.0.2:1"),
    })  # fmt: skip
    assert lost_disks(seen) == {} and next_roster(seen) is None


def test_a_blank_member_elsewhere_waits_for_the_silence() -> None:
    signs = {"m1": sign("m1", 19_900), "b1": sign("b1", 19_900, True)}
    early = sight({**signs, "m2": sign("m2", 20_000 - CATCH_UP_MS + 100)})
    late = sight({**signs, "m2": sign("m2", 20_000 - CATCH_UP_MS - 100)})
    assert next_roster(early) is None
    new = next_roster(late)
    assert new is not None and new.ids == ("m0", "m1", "b1")


def test_the_core_grows_by_pairs_from_the_zones_that_have_the_fewest() -> None:
    signs = {"m1": sign("m1", 19_900), "m2": sign("m2", 19_900), "b1": sign("b1", 19_900, True)}
    assert next_roster(sight(signs, members=5)) is None
    signs |= {"b2": sign("b2", 19_900, True), "b3": sign("b3", 19_900, True)}
    new = next_roster(sight(signs, members=5))
    assert new is not None and new.ids == ("m0", "m1", "m2", "b1", "b2")
    assert next_roster(sight(signs, members=3)) is None


def test_whoever_joined_and_is_not_known_to_vote_still_copies_first() -> None:
    """A newcomer that missed the epoch it came with must not vote by the next."""
    roster = Roster(
        Epoch(5), (*MEMBERS[:2], (MemberId("b9"), MEMBERS[2][1])), (), (MemberId("b9"),)
    )
    blank_at_m1 = sign("b1", 19_900, True, "10.0.0.1:1")
    waits = replace(sign("b9", 19_900, True, "10.0.0.2:1"), blank=True)
    seen = replace(sight({"b1": blank_at_m1, "b9": waits}), roster=roster)
    new = next_roster(seen)
    assert new is not None and new.ids == ("m0", "b1", "b9") and new.joining == ("b1", "b9")


def unwritable(node: str, for_ms: int, blank: bool = False, now_ms: int = 20_000) -> PeerStatus:
    since_ms = Ms(now_ms - for_ms)
    return replace(sign(node, now_ms - 100, blank), writable=False, unwritable_ms=since_ms)


def test_a_member_that_takes_no_writes_for_long_is_replaced_and_not_before() -> None:
    signs = {"m1": sign("m1", 19_900), "b2": sign("b2", 19_900, True)}
    early = sight({**signs, "m2": unwritable("m2", CATCH_UP_MS - 100)})
    late = sight({**signs, "m2": unwritable("m2", CATCH_UP_MS + 100)})
    assert next_roster(early) is None
    new = next_roster(late)
    assert new is not None and new.ids == ("m0", "m1", "b2") and new.joining == ("b2",)
    assert next_roster(sight({"m1": signs["m1"], "m2": late.peer_statuses["m2"]})) is None
    blank = {**signs, "b2": unwritable("b2", 5_000, blank=True)}
    assert next_roster(sight({**blank, "m2": late.peer_statuses["m2"]})) is None


def test_nothing_else_changes_while_a_member_takes_no_writes() -> None:
    """A newcomer needs a majority to copy from, that moved to its epoch."""
    full = {"m1": unwritable("m1", 1_000)}
    gone = {**full, "m2": sign("m2", 20_000 - CATCH_UP_MS - 100), "b2": sign("b2", 19_900, True)}
    assert next_roster(sight(gone)) is None
    grows = {**full, "m2": sign("m2", 19_900), "b2": sign("b2", 19_900, True)}
    assert next_roster(sight({**grows, "b3": sign("b3", 19_900, True)}, members=5)) is None
    grows |= {"m1": sign("m1", 19_900), "b3": sign("b3", 19_900, True)}
    new = next_roster(sight(grows, members=5))
    assert new is not None and len(new.ids) == 5
