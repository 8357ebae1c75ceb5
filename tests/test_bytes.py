"""Traffic between zones: values are fetched from one member at a time, preferably of the own zone,
and probes go to no more members than a proof needs."""

from __future__ import annotations

from dataclasses import replace

from spokeroute.common.effects import From, Send, Tick
from spokeroute.common.ids import Address, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.common.places import Places
from spokeroute.ledger.writer import pack_share, unpack_share
from spokeroute.register.cells import Roster
from spokeroute.register.replica import replica
from spokeroute.register.replica.replica import Reports
from spokeroute.transport.messages import Copy, Probe, ProbeAck, ViewEntry
from spokeroute.transport.peers import GossipHeard, ViewNow
from tests.sim.cluster import Sim

LIFE = Incarnation(1)


def probes_of(state: replica.State, now_ms: int) -> dict[str, Probe]:
    """The probes of one heartbeat, by member."""
    _, effects = replica.step(replace(state, next_probe_ms=Ms(0)), Tick(), Ms(now_ms))
    out: dict[str, Probe] = {}
    for effect in effects:
        if isinstance(effect, Send) and isinstance(effect.message, Probe):
            out[effect.to] = effect.message
    return out


def replica_in_centre() -> replica.State:
    nodes = {"m1": "north", "m2": "centre", "m3": "south"}
    view = tuple(ViewEntry(n, 1, f"{n}:1", "registry", z, 0) for n, z in nodes.items())
    state = replica.State((), address="ex:1", places=Places("centre"))
    return replica.step(state, ViewNow(view), Ms(1_000))[0]


def with_roster(state: replica.State) -> replica.State:
    members = tuple((MemberId(n), Address(f"{n}:1")) for n in ("m1", "m2", "m3"))
    return replace(state, roster=Roster(Epoch(1), members))


def asked_for_values(probes: dict[str, Probe]) -> set[str]:
    return {node for node, probe in probes.items() if probe.values}


def test_values_are_requested_only_from_the_member_of_the_own_zone() -> None:
    state = replica_in_centre()
    assert asked_for_values(probes_of(state, 1_000)) == set()  # without a roster no answer counts
    for proved_ms in (-1, 1_000):
        known = replace(with_roster(state), proved_ms=Ms(proved_ms))
        got = probes_of(known, 1_300)
        assert asked_for_values(got) == {"m2"}
        assert not got["m1"].have
        other = replace(known, places=Places("west"))  # a zone without a registry
        assert len(asked_for_values(probes_of(other, 1_300))) == 1


def tick(state: replica.State, at_ms: int) -> tuple[replica.State, set[str]]:
    probes = probes_of(state, at_ms)
    state, _ = replica.step(replace(state, next_probe_ms=Ms(0)), Tick(), Ms(at_ms))
    return state, asked_for_values(probes)


def test_values_are_requested_from_one_member_at_a_time_with_growing_intervals() -> None:
    """All members answer except the one asked for values: its answer is still on its way over a
    narrow link, or it is gone. Each heartbeat used to request the values from all members again."""
    state, asks = with_roster(replica_in_centre()), list[str]()
    for at_ms in range(1_000, 13_000, 200):
        state, asked = tick(state, at_ms)
        asks.extend(sorted(asked))
        for node in ("m1", "m2", "m3"):
            if state.value_requests.open is None or node != state.value_requests.open.node:
                ack = ProbeAck(state.nonce, 1, (), (), ())
                state, _ = replica.step(state, From(NodeId(node), LIFE, ack), Ms(at_ms + 5))
        assert len(asked) <= 1
    assert asks[0] == "m2" and len(set(asks)) == 3  # the other members are tried too
    assert len(asks) <= 7


def test_values_are_requested_again_after_an_answer_or_its_loss() -> None:
    state, asked = tick(with_roster(replica_in_centre()), 1_000)
    assert asked == {"m2"}
    assert tick(state, 1_200)[1] == set()
    late = ProbeAck(state.nonce, 1, (), (), ())
    answered, _ = replica.step(state, From(NodeId("m2"), LIFE, late), Ms(1_250))
    assert tick(answered, 1_300)[1] == {"m2"}
    for at_ms in range(1_200, 9_000, 200):  # cut off: nobody answers
        state, _ = tick(state, at_ms)
    ack = ProbeAck(state.nonce, 1, (), (), ())
    state, _ = replica.step(state, From(NodeId("m3"), LIFE, ack), Ms(9_000))
    assert state.next_probe_ms <= 9_020 and len(tick(state, 9_020)[1]) == 1


def test_peers_are_not_asked_for_values_that_the_members_send() -> None:
    state = replace(with_roster(replica_in_centre()), proved_ms=Ms(1_000))
    heard = GossipHeard(NodeId("ex2"), (Copy("floor", 7, "d", 7, "m1"),))
    assert replica.step(state, heard, Ms(1_300))[1] == ()
    asks = replica.step(state, heard, Ms(3_000))[1]
    assert [type(e.message).__name__ for e in asks if isinstance(e, Send)] == ["FetchAsk"]


def test_a_placement_change_is_sent_to_an_exchange_once(sim: Sim) -> None:
    """If the member of its zone is gone, another member sends it."""
    sim.settle()
    node = sim.exchanges[0]
    near = next(r for r in sim.registries if r.zone == node.zone)
    values: list[str] = []
    honest = node._received

    def counted(data: bytes) -> None:
        values.extend("x" for name in (b"floor",) if data.count(name) > 1)
        honest(data)

    node._received = counted  # type: ignore[method-assign]
    before = node.state("calls").tables.placements.sequence
    sim.traffic(80, 3_000, ("/small/1", "/small/2"))
    sim.run(3_000)
    after = node.state("calls").tables.placements.sequence
    assert after > before
    assert len(values) <= 1.5 * (after - before) + 3
    near.kill()
    sim.run(4_000)
    sim.traffic(80, 3_000, ("/small/1", "/small/2"))
    sim.run(5_000)
    newest = max(f.sequence for _, _, f in sim.floors)
    assert node.state("calls").tables.placements.sequence >= newest - 3  # it keeps changing


def test_ledger_shares_are_packed_without_loss() -> None:
    entries = tuple((f"k{i}", '{"picture":"' + "x" * 500 + '"}') for i in range(20))
    packed = pack_share(entries)
    assert unpack_share(packed) == entries
    assert len(packed) < sum(len(t) for _, t in entries) / 10


def test_frequent_probes_go_only_to_as_many_members_as_a_proof_needs() -> None:
    """While calls wait for an instance, probes are sent up to 25 times a second."""
    reports = Reports((), (), probe_within_ms=40, placement=NodeId("m3"))
    state = replace(with_roster(replica_in_centre()), proved_ms=Ms(1_000), reports=reports)
    state, _ = tick(state, 1_010)
    assert set(probes_of(state, 1_060)) == {"m2", "m3"}  # of its zone, and the placement member
    anywhere = replace(state, reports=replace(state.reports, placement=NodeId("gone")))
    assert len(probes_of(anywhere, 1_060)) == 2
    assert set(probes_of(state, 1_410)) == {"m1", "m2", "m3"}  # a regular heartbeat
    unproved = replace(state, proved_ms=Ms(600))
    assert set(probes_of(unproved, 1_060)) == {"m1", "m2", "m3"}  # one of the two may be gone


def test_the_placement_member_is_known_from_its_lists(sim: Sim) -> None:
    sim.settle()
    sim.run(2_000)
    placing = [n for n in sim.registries if n.state("placement").term]
    named = {n.state("replica").reports.placement for n in sim.exchanges}
    assert len(placing) == 1 and named == {placing[0].state("placement").me}
