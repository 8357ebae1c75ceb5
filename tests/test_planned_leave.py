"""A registry that is asked to stop is replaced at once, or hands over what only it holds first.

If a successor waits, it takes the place of the leaving member. Otherwise everything that the
leaving member may hold alone is at a majority of the staying members before it stops.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import From, Tell
from spokeroute.common.ids import Ballot, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.cells import Cell, digest_of
from spokeroute.register.membership import accepted_copies, handover
from spokeroute.register.membership.accepted_copies import SuspendAccepts
from spokeroute.register.membership.policy import (
    PROPOSAL_STAGGER_MS,
    PeerStatus,
    leaver_replacement,
    lost_disks,
    next_roster,
)
from spokeroute.transport.messages import Copy, HeldAsk, HeldPart
from tests.sim.acts import after, holder_of
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node
from tests.test_losses import (
    all_have_claims,
    apply_acked,
    core_view,
    peer_status,
    plant_claims,
    shows_configuration,
    votes,
)

CATCH_UP_MS = 4_000
BOUNDS = Bounds(catch_up_ms=CATCH_UP_MS, grace_ms=6_000)


def settled_core(seed: int, registries: int, sync_ms: float) -> Sim:
    bounds = replace(BOUNDS, members=registries)
    sim = Sim(seed, 3, sync_ms=sync_ms, registries=registries, bounds=bounds)
    sim.settle()
    return sim


@pytest.fixture
def core(request: pytest.FixtureRequest) -> Iterator[Sim]:
    """A settled cluster with a given seed, number of registries and disk sync time."""
    sim = settled_core(*request.param)
    yield sim
    sim.close()


EACH = pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0), (3, 5, 5.0)], indirect=True)


def newcomer(sim: Sim, index: int) -> Node:
    """Returns a blank registry at its own address, not started."""
    old = sim.registries[index]
    node = Node(sim, f"new{sim.draw()}", "registry", old.zone, f"10.0.7.{sim.draw()}:1", False)
    node.seeds = [str(n.address) for n in sim.registries if n.alive][:3]
    return node


def replace_member(sim: Sim, index: int, ahead_ms: float = 1_000) -> tuple[Node, Node]:
    """Starts a successor, and SIGTERMs the member ``ahead_ms`` later (earlier if negative)."""
    old, new = sim.registries[index], newcomer(sim, index)
    if ahead_ms >= 0:
        new.start()
        sim.run(ahead_ms)
        old.terminate()
    else:
        old.terminate()
        sim.run(-ahead_ms)
        new.start()
    sim.registries[index] = new
    return old, new


def epoch(node: Node) -> int:
    return int(node.state("acceptor").epoch)


def orders(sim: Sim, registry: Node, for_ms: float, every_ms: float = 150) -> list[tuple[str, int]]:
    """Sends orders to one registry for a while; returns each name with its status."""
    end_ms = sim.env.now + for_ms
    count = 0
    results = []
    while sim.env.now < end_ms:
        if registry.alive:
            doc = configuration(name=f"order-{count}-{sim.env.now}")
            results.append((doc["name"], sim.apply(doc, sim.registries.index(registry))))
        count += 1
        sim.run(every_ms)
    sim.run(5_000)
    return [(name, t.status) for name, t in results]


@EACH
def test_each_member_is_replaced_without_a_silence(core: Sim) -> None:
    """Each member in turn, while orders are sent: all orders are acknowledged, the successor votes
    within a second of the SIGTERM, and the old member stops by itself only after that."""
    plant_claims(core)
    for index in range(len(core.registries)):
        beside = core.registries[(index + 1) % len(core.registries)]
        old, new = replace_member(core, index)
        asked_ms = core.env.now
        alone = 0
        while not votes(new):
            assert core.env.now - asked_ms < 1_000
            alone += 0 if old.alive else 1
            core.run(10)
        assert alone == 0 and old.alive
        assert core.up_to(lambda n=old: not n.alive, 1_000)  # type: ignore[misc]
        results = orders(core, beside, 900)
        assert results and all(status == 200 for _, status in results), results
        assert shows_configuration(core, results[-1][0], index)
        assert all_have_claims(core)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
@pytest.mark.parametrize("ahead_ms", [300, 1, -100, -400, -900])
def test_a_successor_that_starts_with_the_stop_takes_over(core: Sim, ahead_ms: float) -> None:
    old, new = replace_member(core, 0, ahead_ms)
    assert core.up_to(lambda: votes(new), 1_500)
    assert core.up_to(lambda: not old.alive, 1_500)
    assert apply_acked(core, configuration(name="after"), 0)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_a_late_successor_needs_no_silence_either(core: Sim) -> None:
    old, new = replace_member(core, 1, -2_600)
    assert not old.alive
    assert core.up_to(lambda: votes(new), 1_500)


@EACH
def test_orders_during_a_replacement_are_all_acknowledged(core: Sim) -> None:
    """Includes orders that are sent to the leaving member itself."""
    new = newcomer(core, 0)
    new.start()
    core.run(800)
    old = core.registries[0]
    after(core, 300, old.terminate)
    results = orders(core, old, 2_000, 70)
    assert len(results) > 5 and all(status == 200 for _, status in results), results
    assert core.up_to(lambda: votes(new), 1_000)
    core.registries[0] = new
    assert shows_configuration(core, results[-1][0], 0)


@EACH
def test_a_rolling_restart_replaces_nobody(core: Sim) -> None:
    """Without a blank registry that waits, each member stops soon and returns with its own disk."""
    roster = core.registries[0].state("acceptor").roster
    for index, node in enumerate(core.registries):
        name = f"before-{index}"
        apply_acked(core, configuration(name=name), index)
        node.terminate()
        assert core.up_to(lambda n=node: not n.alive, 2_000)  # type: ignore[misc]
        assert apply_acked(core, configuration(name=f"while-{index}"), (index + 1) % 3)
        core.run(900)
        node.start()
        assert core.up_to(lambda n=node: votes(n), 200)  # type: ignore[misc]
        core.run(600)
    assert all(r.state("acceptor").roster == roster for r in core.registries)
    assert shows_configuration(core, f"while-{len(core.registries) - 1}", 0)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_the_core_keeps_its_majority_when_members_stop_one_after_the_other(core: Sim) -> None:
    """The second member is asked to stop before the first is back, and votes until then."""
    first, second, third = core.registries
    first.terminate()
    assert core.up_to(lambda: not first.alive, 2_000)
    second.terminate()
    core.run(2_000)
    assert second.alive
    assert apply_acked(core, configuration(name="on two"), 2)
    first.start()
    assert core.up_to(lambda: not second.alive, 2_000)
    assert third.alive and apply_acked(core, configuration(name="on two again"), 0)


@EACH
def test_all_that_stop_at_once_don_t_wait_for_each_other(core: Sim) -> None:
    for node in core.registries:
        node.terminate()
    core.run(800)
    assert not any(n.alive for n in core.registries)


@EACH
def test_the_placement_role_is_handed_over_first(core: Sim) -> None:
    old = holder_of(core)
    new = newcomer(core, core.registries.index(old))
    new.start()
    core.run(1_000)
    old.terminate()
    others = [new, *(r for r in core.registries if r is not old)]
    assert core.up_to(lambda: any(r.state("role").term for r in others), 700)
    assert core.up_to(lambda: votes(new) and not old.alive, 2_000)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_two_leaving_members_are_replaced_one_after_the_other(core: Sim) -> None:
    apply_acked(core, configuration(name="kept"), 0)
    epochs = {epoch(core.registries[2])}
    news = [newcomer(core, 0), newcomer(core, 1)]
    for node in news:
        node.start()
    core.run(500)
    olds = core.registries[:2]
    for node in olds:
        node.terminate()
    core.registries[:2] = news
    while not all(votes(n) for n in news):
        core.run(5)
        now = core.registries[2].state("acceptor").roster
        assert len(now.joining) <= 1
        epochs.add(now.epoch)
        assert core.env.now < 60_000
    assert len(epochs) == 3
    assert core.up_to(lambda: not any(n.alive for n in olds), 2_000)
    assert shows_configuration(core, "kept", 0) and shows_configuration(core, "kept", 1)


def plant_newest(sim: Sim, holders: list[Node]) -> str:
    """Plants a register whose newest value only these members have, which makes it chosen if they
    are a majority; returns its name."""
    me = sim.registries[0].state("acceptor").me
    ballot = Ballot(9, me)
    cell = Cell(ballot, ballot, 1, digest_of(b"kept"), b"kept")
    for node in holders:
        assert node.process is not None and node.disk is not None
        node.disk.cells["claim/only"] = cell
        actor = node.process.actors["acceptor"]
        cells = actor.state.cells.set("claim/only", cell)
        synced = actor.state.synced.set("claim/only", cell)
        actor.state = replace(actor.state, cells=cells, synced=synced)
    return "claim/only"


@EACH
def test_what_only_the_leaving_member_holds_is_handed_to_a_majority(core: Sim) -> None:
    count = len(core.registries)
    name = plant_newest(core, core.registries[: count // 2 + 1])
    core.registries[0].terminate()
    assert core.up_to(lambda: not core.registries[0].alive, 2_000)
    have = [r for r in core.registries[1:] if r.disk is not None and name in r.disk.cells]
    assert len(have) >= (count - 1) // 2 + 1
    apply_acked(core, configuration(name="goes on"), 1)


@pytest.mark.parametrize("core", [(1, 3, 0.5), (2, 3, 5.0)], indirect=True)
def test_a_frozen_member_is_waited_for_within_the_grace_time(core: Sim) -> None:
    """The member is frozen when the other one is asked to stop, and wakes later."""
    core.registries[2].freeze()
    apply_acked(core, configuration(name="on two"), 0)
    name = plant_newest(core, core.registries[:2])
    core.registries[0].terminate()
    core.run(2_500)
    assert core.registries[0].alive
    core.registries[2].wake()
    assert core.up_to(lambda: not core.registries[0].alive, 2_000)
    disk = core.registries[2].disk
    assert disk is not None and name in disk.cells


@EACH
def test_a_leaving_member_stops_at_the_end_of_its_grace_time(core: Sim) -> None:
    for node in core.registries[1:]:
        node.kill()
    core.registries[0].terminate()
    core.run(BOUNDS.grace_ms - 700)
    assert core.registries[0].alive
    core.run(300)
    assert not core.registries[0].alive


def leaving(node: str, since_ms: int) -> PeerStatus:
    return replace(peer_status(node, 19_900), leaving=True, leaving_ms=Ms(since_ms))


def test_a_leaving_member_is_replaced_by_a_blank_one_that_just_started() -> None:
    blank = replace(peer_status("b1", 19_900, True), since_ms=Ms(19_900))
    seen = core_view({"m1": peer_status("m1", 19_900), "m2": leaving("m2", 19_400), "b1": blank})
    assert leaver_replacement(seen) == {"m2": "b1"}
    assert next_roster(seen) is None  # m2 proposes first
    new = next_roster(replace(seen, now_ms=Ms(20_000 + PROPOSAL_STAGGER_MS)))
    assert new is not None and new.ids == ("m0", "m1", "b1") and new.joining == ("b1",)


def test_a_leaving_member_proposes_its_own_successor() -> None:
    blank = peer_status("b1", 19_900, True)
    seen = core_view(
        {"m1": peer_status("m1", 19_900), "m2": peer_status("m2", 19_900), "b1": blank}
    )
    assert next_roster(seen) is None
    new = next_roster(replace(seen, leaving_ms=Ms(20_000)))
    assert new is not None and new.ids == ("b1", "m1", "m2")


def test_a_leaving_member_is_not_replaced_while_another_copies_or_without_a_successor() -> None:
    here = {"m1": peer_status("m1", 19_900), "m2": leaving("m2", 15_000)}
    assert next_roster(core_view(here)) is None
    copies = {
        **here,
        "m1": replace(peer_status("m1", 19_900), votes=False),
        "b1": peer_status("b1", 19_900, True),
    }
    assert next_roster(core_view(copies)) is None


def test_a_lost_disk_waits_while_a_newcomer_copies_but_not_forever() -> None:
    """Otherwise the next newcomer would copy from a roster in which this member counts but has no
    data."""
    statuses = {
        "m1": replace(peer_status("m1", 19_900), votes=False),
        "m2": peer_status("m2", 18_000),
        "b1": peer_status("b1", 19_900, True, "10.0.0.2:1"),
    }
    seen = core_view(statuses)
    roster = replace(seen.roster, joining=(MemberId("m1"),))
    early = replace(seen, roster=roster, epoch_ms=Ms(19_000))
    assert lost_disks(early) == {"m2": "b1"} and next_roster(early) is None
    late = replace(early, epoch_ms=Ms(20_000 - CATCH_UP_MS))
    assert next_roster(late) is not None
    full = replace(early, peer_statuses={**statuses, "m1": replace(statuses["m1"], writable=False)})
    assert next_roster(full) is not None


def test_many_registers_are_compared_page_by_page(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pages follow each other without a gap, and the last one is marked as such."""
    monkeypatch.setattr(accepted_copies, "PAGE_REGISTERS", 3)
    cells = {f"r{n}": Cell(accepted=Ballot(n, MemberId("m1"))) for n in range(1, 8)}
    after_ = ""
    got: list[Copy] = []
    while True:
        page = accepted_copies.ballots_page(cells, HeldAsk(4, after_))
        got += page.copies
        after_ = page.last
        if not after_:
            break
    assert [b.name for b in got] == sorted(cells) and [b.counter for b in got] == list(range(1, 8))


def test_a_late_part_of_an_earlier_comparison_is_not_counted() -> None:
    m1, m2 = MemberId("m1"), MemberId("m2")
    state, _ = handover.step(handover.State(m1), handover.StartHandover((m2,)), Ms(0))
    for node in (m1, m2):
        stale = From(NodeId(node), Incarnation(1), HeldPart(state.nonce - 1, "", (), ""))
        state, effects = handover.step(state, stale, Ms(1))
        assert not effects and state.suspended_ms < 0 and not state.done
    for node in (m1, m2):
        part = From(NodeId(node), Incarnation(1), HeldPart(state.nonce, "", (), ""))
        state, effects = handover.step(state, part, Ms(2))
    # It compares once more while it is suspended.
    assert Tell("acceptor", SuspendAccepts(True)) in effects and not state.done
