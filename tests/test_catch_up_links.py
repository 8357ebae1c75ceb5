"""Catching up over slow disks and narrow links while the core takes orders.

Also covers the age of claims across restarts, how a joining member copies, and that a restarted
member decides nothing by what it reads from its own disk.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from immutables import Map

from spokeroute.common.effects import From, Launch, Tick
from spokeroute.common.ids import Address, Ballot, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.claim_ages import ClaimAges
from spokeroute.register.acceptor.copy_page import COPY_PAGE_BYTES, copy_page
from spokeroute.register.anti_entropy import anti_entropy
from spokeroute.register.anti_entropy.anti_entropy import State
from spokeroute.register.anti_entropy.cell_index import CellsReloaded, CellsSynced, index_of
from spokeroute.register.anti_entropy.page import MAX_PAGE_BYTES
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.changes import Ask, Read, Swap
from spokeroute.register.disk.disk import Disk
from spokeroute.register.disk.jobs import DiskDone, DiskWrite
from spokeroute.transport.frames import MAX_FRAME_BYTES, Envelope, encode
from spokeroute.transport.messages import Accept, Copy, HandOver, Heartbeat
from tests.sim.changing import (
    ANTI_ENTROPY,
    CATCH_UP_MS,
    Traffic,
    change,
    changes,
    core_of,
    disk_of,
    hints_lost,
    lacks,
    votes,
    whole_after,
)
from tests.sim.cluster import Sim, configuration
from tests.sim.disk import SimDisk
from tests.sim.world import Node

ME = MemberId("m0")
ROSTER = Roster(Epoch(1), tuple((MemberId(f"m{i}"), Address(f"h:{i}")) for i in range(3)))
MINUTE_MS = 60_000


def member_that_missed(sim: Sim, count: int) -> Node:
    """Returns a stopped member that missed changes and for which no proposer has hints."""
    node = sim.registries[2]
    node.kill()
    changes(sim, range(count))
    hints_lost(sim, sim.registries[:2])
    return node


def cell_of(value: bytes, counter: int = 1) -> Cell:
    ballot = Ballot(counter, MemberId("m1"))
    return Cell(ballot, ballot, 1, digest_of(value), value)


def accept(name: str, value: bytes, counter: int) -> From:
    copy = Copy(name, 1, digest_of(value), counter, "m1")
    return From(NodeId("m1"), Incarnation(1), Accept(1, copy, value))


def order_ms(sim: Sim, registry: int, name: str, most_ms: float) -> float:
    """Returns how long an order takes to be acknowledged."""
    sent_ms = sim.env.now
    reply = sim.apply(configuration(name=name), registry=registry)
    assert sim.up_to(lambda: reply.status != -1, most_ms) and reply.status == 200, reply
    return sim.env.now - sent_ms


@pytest.mark.parametrize(("alone", "seed"), [(False, 5), *((True, seed) for seed in (5, 1, 6, 9))])
def test_orders_pass_a_transfer_on_a_slow_disk_behind_a_narrow_link(alone: bool, seed: int) -> None:
    """The member's disk is thirty times slower and its link carries 2 Mbit/s. If it is needed for
    the majority, each order waits for both."""
    sim = core_of(seed, sync_ms=5.0)
    node = member_that_missed(sim, 600)
    sim.net.narrow_kbit[node.name] = 2_000.0
    assert node.disk is not None
    node.disk.sync_ms = 150.0
    if alone:
        sim.registries[1].kill()
    node.start()
    back_ms = sim.env.now
    took: list[float] = []
    whole_ms = 0.0
    while len(took) < 5 or not whole_ms:
        took.append(order_ms(sim, 0, f"meanwhile-{len(took)}", 4_000))
        if not whole_ms and not any(n.startswith("claim/") for n in lacks(sim, node)):
            whole_ms = sim.env.now - back_ms
    print("orders took at most", max(took), "of", len(took), "complete after", whole_ms)
    assert whole_ms <= CATCH_UP_MS
    assert max(took) <= (2_000 if alone else 300)
    sim.close()


def test_pages_of_a_narrow_link_are_small_and_large_values_come_in_pieces() -> None:
    sim = core_of(6)
    node = sim.registries[2]
    node.kill()
    value = sim.rng.randbytes(300_000)
    write = Ask("large", "claim/large", Swap(0, value), "", 4_000)
    sim.registries[0].report("proposer", write, sim.registries[0].births)
    changes(sim, range(20))
    hints_lost(sim, sim.registries[:2])
    sim.net.narrow_kbit[node.name] = 2_000.0
    traffic = Traffic(sim)
    node.start()
    took_ms = whole_after(sim, node, 2 * CATCH_UP_MS)
    print("300 KB at 2 Mbit/s took", took_ms, dict(traffic.largest))
    assert traffic.largest["CellsPart"] <= 80_000 < MAX_PAGE_BYTES
    assert traffic.frames["CellsPart"] >= 6
    assert node.disk is not None and node.disk.cells["claim/large"].value == value
    sim.close()


def test_idle_members_exchange_little() -> None:
    sim = core_of(7)
    changes(sim, range(100))
    sim.run(5_000)
    traffic = Traffic(sim)
    sim.run(300_000)
    per_s = traffic.anti_entropy_bytes / 300 / 3
    print("bytes a second and member, idle:", per_s)
    assert per_s <= 120
    sim.close()


@pytest.mark.parametrize("seed", [3, 4, 5, 6, 7, 8])  # with these, reads block some registers
@pytest.mark.parametrize("renewed", [anti_entropy.MAX_REWRITTEN, 0])
def test_a_read_during_catch_up_leaves_no_member_behind(
    renewed: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A read's promise is above the newest accept, so a member that was away can't accept that one
    any more. Such registers are rewritten; without that (0) the member stays behind permanently."""
    monkeypatch.setattr(anti_entropy, "MAX_REWRITTEN", renewed)
    sim = core_of(seed)
    node = member_that_missed(sim, 30)
    traffic = Traffic(sim)
    traffic.drops = lambda a, b, kind: kind in ANTI_ENTROPY
    node.start()
    sim.run(1_000)
    for number in range(20):
        ask = Ask(f"r{number}", f"claim/key-{number}", Read(), "", 2_000)
        sim.registries[0].report("proposer", ask, sim.registries[0].births)
    sim.run(200)
    cells = disk_of(node)
    blocked = [n for n, c in cells.items() if c.promised > c.accepted and n in lacks(sim, node)]
    assert len(blocked) >= 3  # for the others, the read included this member and wrote the value
    traffic.drops = lambda a, b, kind: False
    sim.run(CATCH_UP_MS)
    assert bool(lacks(sim, node)) == (renewed == 0)
    sim.close()


def test_refused_or_corrupted_cells_are_requested_once() -> None:
    """A cell below a promise and one that does not match its digest do not keep the transfer from
    ending."""
    low, corrupted = cell_of(b"low", 3), replace(cell_of(b"good", 3), value=b"bad!")
    theirs = Map({"a": low, "b": corrupted})
    mine = Map({"a": replace(cell_of(b"old"), promised=Ballot(9, ME))})
    sender = State(MemberId("m1"), ROSTER, True, theirs, index=index_of(theirs))
    receiver = replace(anti_entropy.start(ME, ROSTER, True, mine), due=Map({NodeId("m1"): Ms(0)}))
    message = heartbeat()
    receiver, _ = anti_entropy.step(receiver, From(NodeId("m1"), Incarnation(1), message), Ms(10))
    tells: list[str] = []
    now_ms = 20
    for _ in range(200):
        receiver, out = anti_entropy.step(receiver, Tick(), Ms(now_ms))
        now_ms += 20
        while out:
            sends = [e for e in out if getattr(e, "to", "") == "m1"]
            tells += [type(e).__name__ for e in out if e not in sends]
            if not sends:
                break
            news = From(ME, Incarnation(1), sends[0].message)  # type: ignore[union-attr]
            sender, back = anti_entropy.step(sender, news, Ms(now_ms))
            reply = From(NodeId("m1"), Incarnation(1), back[0].message)  # type: ignore[union-attr]
            receiver, out = anti_entropy.step(receiver, reply, Ms(now_ms))
    assert receiver.transfer is None and tells == ["Tell"]  # one round for the refused register


def heartbeat() -> object:
    return Heartbeat(1, True, False, (), "", True, False)


@pytest.mark.parametrize("kept", [True, False])
def test_claims_keep_their_age_across_restarts(kept: bool, tmp_path: Path) -> None:
    """A member that restarts every ten minutes still drops its claims after fifteen. If it lost
    their age at a restart, it never would."""
    for incarnation in range(4):
        disk = Disk(tmp_path, 16)
        loaded = disk.load()
        ages = (
            ClaimAges(loaded=loaded.first_seen_ms, previous_uptime_ms=loaded.total_uptime_ms)
            if kept
            else ClaimAges()
        )
        state = acceptor.start(ME, ROSTER, True, loaded.cells, ages)
        clock_ms = 1_000_000 * (7 - incarnation)  # each process has its own clock
        events: list[tuple[int, object]] = [(at, Tick()) for at in range(0, 10 * MINUTE_MS, 500)]
        if incarnation == 0:
            events.insert(1, (1, accept("claim/k", b"x", 1)))
        for at_ms, event in events:
            state, effects = acceptor.step(state, event, Ms(clock_ms + at_ms))
            for job in [e.job for e in effects if isinstance(e, Launch)]:
                assert isinstance(job, DiskWrite)
                disk.write(job)
                state, _ = acceptor.step(state, DiskDone(job.batch), Ms(clock_ms + at_ms))
            if at_ms % 5_000 == 0:  # another register is written regularly
                message = accept("floor", b"%d" % at_ms, 1 + at_ms + incarnation * 10**9)
                state, effects = acceptor.step(state, message, Ms(clock_ms + at_ms))
                for job in [e.job for e in effects if isinstance(e, Launch)]:
                    assert isinstance(job, DiskWrite)
                    disk.write(job)
                    state, _ = acceptor.step(state, DiskDone(job.batch), Ms(clock_ms + at_ms))
        assert ("claim/k" in state.synced) == (incarnation == 0 or not kept)
        disk.close()


def test_a_claim_keeps_its_age_in_a_handover() -> None:
    state = acceptor.start(ME, ROSTER, True, Map())
    copy = Copy("claim/k", 1, digest_of(b"x"), 1, "m1")
    hand = From(NodeId("m1"), Incarnation(1), HandOver(1, copy, b"x", 14 * MINUTE_MS))
    state, effects = acceptor.step(state, hand, Ms(5_000_000))
    assert any(isinstance(e, Launch) for e in effects)
    state, _ = acceptor.step(state, DiskDone(1), Ms(5_000_010))
    state, _ = acceptor.step(state, Tick(), Ms(5_000_020))
    assert "claim/k" in state.cells
    state, _ = acceptor.step(state, Tick(), Ms(5_000_000 + 2 * MINUTE_MS))
    assert "claim/k" not in state.cells


def test_a_key_claimed_again_is_not_dropped_with_its_old_cell() -> None:
    """The old claim is dropped during a sync, and the key is claimed again before the next one."""
    ages = ClaimAges(Map({"claim/k": 0}), 16 * MINUTE_MS)
    state = acceptor.start(ME, ROSTER, True, Map({"claim/k": cell_of(b"old", 7)}), ages)
    state, _ = acceptor.step(state, accept("floor", b"1", 1), Ms(5))
    state, _ = acceptor.step(state, Tick(), Ms(10))
    assert "claim/k" not in state.cells
    state, _ = acceptor.step(state, accept("claim/k", b"new", 1), Ms(11))
    for batch in (1, 2, 3):
        state, _ = acceptor.step(state, DiskDone(batch), Ms(12 + batch))
    assert state.synced["claim/k"].value == b"new"


def test_a_page_for_a_joining_member_fits_a_narrow_link_and_a_frame() -> None:
    """A page has as many small cells as a link of 2 Mbit/s carries in 131 ms; a large cell is sent
    alone."""
    cells = {f"claim/{n:05}": cell_of(bytes(150)) for n in range(2_000)}
    cells["configuration"] = cell_of(bytes(MAX_FRAME_BYTES - 1_000))
    after, seen, pages = "", 0, 0
    while after or not pages:
        page = copy_page(cells, 1, after)
        frame = encode(Envelope("m1", 1, "h:1", "m0", page))
        assert len(frame) <= (MAX_FRAME_BYTES if len(page.cells) == 1 else COPY_PAGE_BYTES)
        seen, pages, after = seen + len(page.cells), pages + 1, page.last
    assert seen == len(cells)


def copied_bytes(who: str) -> int:
    """Returns the bytes that a joining member is sent, if it or one of its sources restarts."""
    sim = core_of(9)
    changes(sim, range(600))
    sim.run(2_000)
    node = sim.registries[2]
    traffic = Traffic(sim)
    node.kill()
    sim.run(300)
    sim.net.narrow_kbit[node.name] = 1_000.0
    node.start(blank=True)
    if who:
        assert sim.up_to(lambda: traffic.frames["CopyPart"] >= 6, 8_000)
        assert not votes(node)
        target = node if who == "joining" else sim.registries[1]
        target.kill()
        sim.run(300)
        target.start()
    assert sim.up_to(lambda: votes(node), 8_000)
    sim.close()
    return traffic.sent["CopyPart"]


@pytest.mark.parametrize("who", ["joining", "source"])
def test_a_copy_to_a_joining_member_resumes_after_a_restart(
    who: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At most one page of each source is sent again; all pages if the position were not stored."""
    uncut, cut = copied_bytes(""), copied_bytes(who)
    print(who, uncut, cut)
    assert cut <= uncut + 2 * COPY_PAGE_BYTES
    if who == "joining":
        monkeypatch.setattr(SimDisk, "reached", lambda disk: {})
        assert copied_bytes(who) > uncut + 2 * COPY_PAGE_BYTES


def test_a_lone_member_decides_nothing_by_its_own_disk() -> None:
    """One member of three restarts with a complete disk. Without a majority it confirms no order
    and no read, acquires no claim and no role, and makes no platform call."""
    sim = core_of(10)
    changes(sim, range(10))
    for node in sim.registries:
        node.kill()
    sim.run(3_000)
    asked = len(sim.platform.starts)
    node = sim.registries[0]
    node.start()
    replies = [sim.apply(configuration(name="alone")), sim.show(), sim.evacuated()]
    replies.append(sim.evacuate("north", True))
    change(sim, 11)
    for _ in range(200):
        sim.run(50)
        copies = node.state("replica")
        assert copies.proved_ms < 0 and not copies.in_force
        assert node.state("role").term == 0 and node.state("role").known_holder is None
        assert node.state("placement").term == 0 and node.state("placement").table is None
        assert node.state("acceptor").epoch == 1
    assert all(t.status in (503, 504) for t in replies), [t.status for t in replies]
    assert len(sim.platform.starts) == asked
    sim.close()


def test_a_member_catches_up_after_its_disk_was_full() -> None:
    """No proposer has hints for it; the reopened store triggers the comparison."""
    sim = core_of(11)
    node = sim.registries[2]
    assert node.disk is not None
    node.disk.full = True
    changes(sim, range(200))
    assert not node.state("acceptor").synced.get("claim/key-199")
    hints_lost(sim, sim.registries[:2])
    sim.run(2 * 30_000)
    node.disk.full = False
    took_ms = whole_after(sim, node)
    print("complete after", took_ms, "ms with a disk that takes writes again")
    assert took_ms <= CATCH_UP_MS and node.births == 1
    sim.close()


def test_a_reopened_store_is_compared_again() -> None:
    """What the reopened store lacks is no longer offered to others, and is fetched again."""
    cells = Map({"a": cell_of(b"a"), "b": cell_of(b"b")})
    state = replace(anti_entropy.start(ME, ROSTER, True, cells), due=Map())
    state, _ = anti_entropy.step(state, CellsReloaded(cells.delete("b"), ROSTER, True), Ms(50))
    assert set(state.due) == {"m1", "m2"} and state.index == index_of(cells.delete("b"))


def test_a_digest_follows_each_change_and_drop() -> None:
    cells = Map({f"r{n}": cell_of(b"x", n + 1) for n in range(40)})
    state = anti_entropy.start(ME, ROSTER, True, cells)
    now = cells.set("r3", cell_of(b"y", 90)).delete("r4").set("new", cell_of(b"z"))
    news = CellsSynced(("r3", "r4", "new"), now, Map(), ROSTER, True)
    state, _ = anti_entropy.step(state, news, Ms(5))
    assert state.index == index_of(now) != index_of(cells)
