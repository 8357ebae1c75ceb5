"""What is said between zones, and how little of it need be."""

from __future__ import annotations

from dataclasses import replace

from spokeroute.common.effects import Send, Tick
from spokeroute.common.ids import Ms
from spokeroute.ledger.writer import pack_share, unpack_share
from spokeroute.register import replica
from spokeroute.register.replica import ALL_BRING_MS
from spokeroute.transport.messages import Probe, ViewEntry
from spokeroute.transport.peers import ViewNow
from tests.sim.cluster import Sim


def asked(state: replica.State, now_ms: int) -> dict[str, Probe]:
    """The probes of one beat, by member."""
    _, effects = replica.step(replace(state, next_ms=Ms(0)), Tick(), Ms(now_ms))
    out: dict[str, Probe] = {}
    for effect in effects:
        if isinstance(effect, Send) and isinstance(effect.message, Probe):
            out[effect.to] = effect.message
    return out


def test_only_the_member_of_the_own_zone_brings_values() -> None:
    nodes = {"m1": "north", "m2": "centre", "m3": "south"}
    view = tuple(ViewEntry(n, 1, f"{n}:1", "registry", z, 0) for n, z in nodes.items())
    state = replica.State((), address="ex:1", zone="centre")
    state, _ = replica.step(state, ViewNow(view), Ms(1_000))
    assert {p.values for p in asked(state, 1_000).values()} == {True}  # no proof yet
    proved = replace(state, proved_ms=Ms(1_000))
    got = asked(proved, 1_300)
    assert {n: p.values for n, p in got.items()} == {"m1": False, "m2": True, "m3": False}
    assert not got["m1"].have
    late = asked(proved, 1_001 + ALL_BRING_MS)
    assert {p.values for p in late.values()} == {True}
    other = replace(proved, near=frozenset())  # a zone without a registry
    assert sum(p.values for p in asked(other, 1_300).values()) == 1


def test_a_floor_change_comes_to_an_exchange_once(sim: Sim) -> None:
    """Also where the member of its zone is gone: then from another one."""
    sim.settle()
    node = sim.exchanges[0]
    near = next(r for r in sim.registries if r.zone == node.zone)
    values: list[str] = []
    honest = node._received

    def counted(data: bytes) -> None:
        values.extend("x" for name in (b"floor",) if data.count(name) > 1)
        honest(data)

    node._received = counted  # type: ignore[method-assign]
    before = node.state("calls").tables.floor.sequence
    sim.traffic(80, 3_000, ("/small/1", "/small/2"))
    sim.run(3_000)
    after = node.state("calls").tables.floor.sequence
    assert after > before
    assert len(values) <= 1.5 * (after - before) + 3
    near.kill()
    sim.run(4_000)
    sim.traffic(80, 3_000, ("/small/1", "/small/2"))
    sim.run(5_000)
    newest = max(f.sequence for _, _, f in sim.floors)
    assert node.state("calls").tables.floor.sequence >= newest - 3  # it changes on


def test_shared_entries_come_as_they_were() -> None:
    entries = tuple((f"k{i}", '{"picture":"' + "x" * 500 + '"}') for i in range(20))
    packed = pack_share(entries)
    assert unpack_share(packed) == entries
    assert len(packed) < sum(len(t) for _, t in entries) / 10
