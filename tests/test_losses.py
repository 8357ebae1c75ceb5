"""Lost disks and replaced machines: a member is complete again soon after its return.

Otherwise the next loss would take data that was acknowledged.
"""

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
    """A cluster with a given seed, number of registries and disk sync time."""
    seed, registries, sync_ms = request.param
    bounds = replace(BOUNDS, members=registries)
    made = Sim(seed, 3, sync_ms=sync_ms, registries=registries, bounds=bounds)
    yield made
    made.close()


def plant_claims(sim: Sim, count: int = 2_500) -> None:
    """Gives every member hundreds of KB of incompressible cells, like those of claims."""
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


def all_have_claims(sim: Sim) -> bool:
    """Returns whether every member has every claim that was planted."""
    disks = [n.disk for n in sim.registries if n.disk is not None]
    return all(sum(1 for c in d.cells if c.startswith("claim/")) >= 2_500 for d in disks)


def votes(node: Node) -> bool:
    return node.alive and bool(node.state("acceptor").synced_votes)


def apply_acked(sim: Sim, doc: dict[str, object], registry: int) -> Told:
    reply = sim.apply(doc, registry=registry)
    assert sim.up_to(lambda: reply.status == 200, 4_000), reply
    return reply


def shows_configuration(sim: Sim, name: str, registry: int) -> bool:
    reply = sim.show(registry)
    assert sim.up_to(lambda: reply.status != -1, 5_000)
    return reply.status == 200 and reply.doc["configuration"]["name"] == name


def blank_again(sim: Sim, nodes: list[Node], away_ms: float) -> float:
    """Wipes the disks of some members at once; returns how long after their return all vote."""
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
def test_a_member_with_a_lost_disk_is_complete_soon_after_its_return(
    core: Sim, away_ms: float
) -> None:
    """The acknowledging member loses its disk and returns blank; then each other member does, each
    ``catch_up_ms`` after the return of the previous one."""
    core.settle()
    plant_claims(core)
    for index in (0, 1, 2, 0):
        name = f"kept-{index}-{core.env.now}"
        apply_acked(core, configuration(name=name), index)
        took_ms = blank_again(core, [core.registries[index]], away_ms)
        assert took_ms <= 1_000 and all_have_claims(core)
        core.run(CATCH_UP_MS - took_ms)
        assert shows_configuration(core, name, (index + 1) % 3)


@pytest.mark.parametrize("core", [(1, 3, 5.0)], indirect=True)
def test_a_permanent_second_loss_loses_nothing(core: Sim) -> None:
    """Includes what was acknowledged while the blank member caught up."""
    core.settle()
    plant_claims(core)
    apply_acked(core, configuration(name="first"), 0)
    core.registries[0].kill()
    core.run(1_200)
    core.registries[0].start(blank=True)
    core.run(300)
    apply_acked(core, configuration(name="second"), 1)
    core.run(CATCH_UP_MS - 300 - 200)
    core.registries[1].kill()
    assert shows_configuration(core, "second", 0) and shows_configuration(core, "second", 2)


@pytest.mark.parametrize("core", [(1, 5, 5.0), (2, 5, 0.5)], indirect=True)
def test_five_members_tolerate_two_lost_disks_repeatedly(core: Sim) -> None:
    core.settle()
    assert all(len(r.state("acceptor").roster.members) == 5 for r in core.registries)
    plant_claims(core)
    for pair in ((0, 1), (2, 3), (4, 0)):
        name = f"kept-{pair}"
        apply_acked(core, configuration(name=name), pair[0])
        took_ms = blank_again(core, [core.registries[i] for i in pair], 1_000)
        assert took_ms <= 1_000 and all_have_claims(core)
        core.run(CATCH_UP_MS - took_ms)
    assert shows_configuration(core, "kept-(4, 0)", 2)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_all_seeds_replaced_by_other_machines(core: Sim) -> None:
    """One after the other, each with settings that list the old seeds."""
    core.settle()
    old = list(core.seeds)
    for index in range(3):
        apply_acked(core, configuration(name=f"before-{index}"), index)
        new = swap_registry(core, index, f"new{index + 1}")
        new.seeds = old
        gone_ms = core.env.now
        assert core.up_to(lambda n=new: votes(n), 12_000)  # type: ignore[misc]
        assert core.env.now - gone_ms <= CATCH_UP_MS + 2_000
    assert shows_configuration(core, "before-2", 1)


@pytest.mark.parametrize("core", [(1, 3, 5.0)], indirect=True)
def test_a_member_whose_disk_is_kept_votes_at_once(core: Sim) -> None:
    core.settle()
    core.registries[1].kill()
    core.run(2_000)
    core.registries[1].start()
    assert core.up_to(lambda: votes(core.registries[1]), 50)
    core.registries[0].kill()
    assert apply_acked(core, configuration(name="on two"), 2)


MEMBERS = tuple((MemberId(f"m{i}"), Address(f"10.0.0.{i}:1")) for i in range(3))


def core_view(statuses: dict[str, PeerStatus], now_ms: int = 20_000, members: int = 3) -> CoreView:
    roster = Roster(Epoch(4), MEMBERS)
    zones = {"m0": "a", "m1": "b", "m2": "c", "b1": "a", "b2": "b", "b3": "a"}
    return CoreView(
        MemberId("m0"), roster, statuses, zones, CATCH_UP_MS, members, Ms(0), Ms(now_ms)
    )


def peer_status(node: str, at_ms: int, blank: bool = False, address: str = "") -> PeerStatus:
    there = address or dict(MEMBERS).get(MemberId(node), Address(f"10.9.0.{node[1]}:1"))
    return PeerStatus(
        Address(there), Ms(at_ms), Ms(at_ms - 3_000 if blank else 0), 4, not blank, blank, ()
    )


def test_a_blank_member_at_a_members_address_means_a_lost_disk() -> None:
    here = {"m1": peer_status("m1", 19_900)}
    seen = core_view(
        {
            **here,
            "m2": peer_status("m2", 19_400),
            "b1": peer_status("b1", 19_900, True, "10.0.0.2:1"),
        }
    )
    assert lost_disks(seen) == {"m2": "b1"}
    new = next_roster(seen)
    assert new is not None and new.ids == ("m0", "m1", "b1") and new.joining == ("b1",)


def test_a_member_heard_after_the_blank_one_still_has_its_disk() -> None:
    """An address has one process: the node that was heard last."""
    seen = core_view({
        "m1": peer_status("m1", 19_900), "m2": peer_status("m2", 19_950),
        "b1": peer_status("b1", 19_900, True, "10.0.0.2:1"),
    })  # fmt: skip
    assert lost_disks(seen) == {} and next_roster(seen) is None


def test_a_blank_member_elsewhere_waits_until_a_member_is_silent() -> None:
    statuses = {"m1": peer_status("m1", 19_900), "b1": peer_status("b1", 19_900, True)}
    early = core_view({**statuses, "m2": peer_status("m2", 20_000 - CATCH_UP_MS + 100)})
    late = core_view({**statuses, "m2": peer_status("m2", 20_000 - CATCH_UP_MS - 100)})
    assert next_roster(early) is None
    new = next_roster(late)
    assert new is not None and new.ids == ("m0", "m1", "b1")


def test_the_core_grows_by_pairs_from_the_zones_with_the_fewest_members() -> None:
    statuses = {
        "m1": peer_status("m1", 19_900),
        "m2": peer_status("m2", 19_900),
        "b1": peer_status("b1", 19_900, True),
    }
    assert next_roster(core_view(statuses, members=5)) is None
    statuses |= {"b2": peer_status("b2", 19_900, True), "b3": peer_status("b3", 19_900, True)}
    new = next_roster(core_view(statuses, members=5))
    assert new is not None and new.ids == ("m0", "m1", "m2", "b1", "b2")
    assert next_roster(core_view(statuses, members=3)) is None


def test_a_joined_member_not_known_to_vote_still_copies_first() -> None:
    """A newcomer that missed the epoch in which it joined must not vote in the next one."""
    roster = Roster(
        Epoch(5), (*MEMBERS[:2], (MemberId("b9"), MEMBERS[2][1])), (), (MemberId("b9"),)
    )
    blank_at_m1 = peer_status("b1", 19_900, True, "10.0.0.1:1")
    waits = replace(peer_status("b9", 19_900, True, "10.0.0.2:1"), blank=True)
    seen = replace(core_view({"b1": blank_at_m1, "b9": waits}), roster=roster)
    new = next_roster(seen)
    assert new is not None and new.ids == ("m0", "b1", "b9") and new.joining == ("b1", "b9")


def unwritable(node: str, for_ms: int, blank: bool = False, now_ms: int = 20_000) -> PeerStatus:
    since_ms = Ms(now_ms - for_ms)
    return replace(peer_status(node, now_ms - 100, blank), writable=False, unwritable_ms=since_ms)


def test_a_member_without_writes_is_replaced_only_after_the_silence_time() -> None:
    statuses = {"m1": peer_status("m1", 19_900), "b2": peer_status("b2", 19_900, True)}
    early = core_view({**statuses, "m2": unwritable("m2", CATCH_UP_MS - 100)})
    late = core_view({**statuses, "m2": unwritable("m2", CATCH_UP_MS + 100)})
    assert next_roster(early) is None
    new = next_roster(late)
    assert new is not None and new.ids == ("m0", "m1", "b2") and new.joining == ("b2",)
    assert next_roster(core_view({"m1": statuses["m1"], "m2": late.peer_statuses["m2"]})) is None
    blank = {**statuses, "b2": unwritable("b2", 5_000, blank=True)}
    assert next_roster(core_view({**blank, "m2": late.peer_statuses["m2"]})) is None


def test_the_roster_stays_while_a_member_takes_no_writes() -> None:
    """A newcomer needs a majority to copy from that has moved to its epoch."""
    full = {"m1": unwritable("m1", 1_000)}
    gone = {
        **full,
        "m2": peer_status("m2", 20_000 - CATCH_UP_MS - 100),
        "b2": peer_status("b2", 19_900, True),
    }
    assert next_roster(core_view(gone)) is None
    grows = {**full, "m2": peer_status("m2", 19_900), "b2": peer_status("b2", 19_900, True)}
    assert (
        next_roster(core_view({**grows, "b3": peer_status("b3", 19_900, True)}, members=5)) is None
    )
    grows |= {"m1": peer_status("m1", 19_900), "b3": peer_status("b3", 19_900, True)}
    new = next_roster(core_view(grows, members=5))
    assert new is not None and len(new.ids) == 5
