"""Three distant regions: which messages stay within a region, and which have to leave it."""

from __future__ import annotations

from pathlib import Path

import pytest
from immutables import Map

from spokeroute.common.effects import From, Send, SendAddress, Tick
from spokeroute.common.ids import SPREAD, Address, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.common.places import Distance, Places
from spokeroute.common.replacing import replace
from spokeroute.common.settings import Settings, SettingsError, check_settings, read_settings
from spokeroute.register.cells import Roster
from spokeroute.register.replica import replica
from spokeroute.register.replica.value_asks import ValueAsks, bringers
from spokeroute.transport import peers
from spokeroute.transport.messages import Copy, Probe, ProbeAck, ViewEntry
from spokeroute.transport.process import Me

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
ROUNDS = 400


def test_distances_between_zones() -> None:
    places = Places("a1", REGIONS)
    assert places.distance("a1") == Distance.SAME_ZONE
    assert places.distance("a2") == Distance.SAME_REGION
    assert places.distance("b1") == Distance.OTHER_REGION
    assert places.distance("nowhere") == Distance.SAME_REGION
    assert places.between("b1", "b2") == Distance.SAME_REGION


def test_without_regions_all_zones_are_in_one_region() -> None:
    assert Places("a1").distance("b1") == Distance.SAME_REGION


def test_values_are_fetched_from_the_own_zone_then_the_own_region() -> None:
    members = tuple(NodeId(f"m-{zone}") for zone in REGIONS)
    zones = {f"m-{zone}": zone for zone in REGIONS}
    order = bringers(members, zones, Places("b2", REGIONS), "h:1")
    assert order[:2] == ("m-b2", "m-b1")


def gossip(places: Places) -> peers.State:
    """A process that knows three peers in each zone."""
    me = Me(NodeId("me"), Incarnation(1), Address("10.9.0.1:1"), "exchange", places.zone)
    state = peers.State(me, (Address("10.0.0.1:1"),), 7, (), "replica", places=places)
    entries = tuple(
        ViewEntry(f"{zone}-{i}", 1, f"10.{n}.0.{i}:1", "exchange", zone, 0)
        for n, zone in enumerate(REGIONS)
        for i in range(3)
    )
    return peers.merge(state, entries, Ms(0))


def share_leaving_the_region(places: Places, regions: dict[str, str]) -> float:
    state = gossip(places)
    here = regions.get(places.zone, "")
    crossed = sent = 0
    for number in range(ROUNDS):
        state = replace(state, next_ms=Ms(0), rounds=number)
        _, effects = peers.step(state, Tick(0), Ms(1))
        for effect in effects:
            if isinstance(effect, Send):
                sent += 1
                crossed += regions[effect.to.partition("-")[0]] != here
    return crossed / sent


@pytest.mark.parametrize("zone", ["a1", "b2"])
def test_most_but_not_all_gossip_stays_within_a_region(zone: str) -> None:
    share = share_leaving_the_region(Places(zone, REGIONS), REGIONS)
    assert 0.02 < share < 0.2


def test_a_process_alone_in_its_region_gossips_with_the_others() -> None:
    assert (
        share_leaving_the_region(Places("d1", {**REGIONS, "d1": "d"}), {**REGIONS, "d1": "d"})
        == 1.0
    )


def test_after_a_start_all_seeds_are_contacted_in_any_region() -> None:
    state = gossip(Places("a1", REGIONS))
    seeds = tuple(Address(f"10.{n}.9.9:1") for n in range(3))
    _, effects = peers.step(replace(state, seeds=seeds, view=Map()), Tick(0), Ms(1))
    assert {e.address for e in effects if isinstance(e, SendAddress)} == set(seeds)


def test_settings_without_the_own_zone_are_rejected() -> None:
    settings = Settings(
        "ex1", "d1", "127.0.0.1:1", "127.0.0.1:2", ("127.0.0.1:3",), regions=REGIONS
    )
    with pytest.raises(SettingsError, match="d1"):
        check_settings(settings, "exchange")


def test_a_region_is_a_name(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text("[regions]\na1 = 3\n")
    with pytest.raises(SettingsError, match="a1"):
        read_settings(str(path), {})


def test_all_members_are_probed_again_at_once_if_they_differ_and_calls_wait() -> None:
    """The third member of a quorum may get a table slightly later than the others."""
    state = exchange_state(within_ms=150)
    state, probes = probed_members(state, 1_500)
    assert len(probes) == 3
    for number, member in enumerate(probes):
        state, _ = replica.step(state, probe_ack(state, member, 4 + number % 2), Ms(1_530))
    assert state.next_ms <= 1_550
    _, again = probed_members(state, 1_550)
    assert len(again) == 5


def test_the_next_probe_is_not_brought_forward_if_no_call_waits() -> None:
    state, probes = probed_members(exchange_state(within_ms=0), 1_500)
    for number, member in enumerate(probes):
        state, _ = replica.step(state, probe_ack(state, member, 4 + number % 2), Ms(1_530))
    assert state.next_ms > 1_600


def test_members_of_other_regions_are_probed_less_often() -> None:
    """Regular probes go to a quorum that includes all members of the own region. All members are
    probed occasionally, because they count silent exchanges."""
    state = replace(exchange_state(within_ms=0), turn_ms=Ms(0))
    state, probes = probed_members(state, 1_500)
    assert {"m-a1", "m-a2"} < set(probes) and len(probes) == 3
    late = replace(state, proved_ms=Ms(900), turn_ms=Ms(0))
    assert len(probed_members(late, 1_500)[1]) == 5
    rare = replace(state, all_probed_ms=Ms(0), turn_ms=Ms(0))
    assert len(probed_members(rare, 1_500)[1]) == 5


MEMBERS = ("m-a1", "m-b1", "m-c1", "m-a2", "m-b2")


def exchange_state(within_ms: int) -> replica.State:
    """An exchange in region a that knows five members and has a recent proof."""
    members = tuple((MemberId(name), Address(f"{name}:1")) for name in MEMBERS)
    return replica.State(
        (),
        roster=Roster(Epoch(1), members),
        zones=Map({name: name[2:] for name in MEMBERS}),
        places=Places("a1", REGIONS),
        proved_ms=Ms(1_400),
        turn_ms=Ms(1_400),
        asks=ValueAsks(heard_ms=Ms(1_400)),
        all_probed_ms=Ms(1_400),
        reports=replica.Reports((), (), within_ms=within_ms, placement=NodeId("m-b1")),
    )


def probed_members(state: replica.State, at_ms: int) -> tuple[replica.State, tuple[str, ...]]:
    state, effects = replica.step(replace(state, next_ms=Ms(at_ms)), Tick(0), Ms(at_ms))
    return state, tuple(
        e.to for e in effects if isinstance(e, Send) and isinstance(e.message, Probe)
    )


def probe_ack(state: replica.State, member: str, version: int) -> From:
    """A member's probe answer that reports this version of the placement table."""
    copies = tuple(Copy(name, version, f"d{version}", version, "m-b1") for name in SPREAD)
    return From(NodeId(member), Incarnation(1), ProbeAck(state.nonce, 1, copies, (), ()))
