"""After workers had crashed, each answer to a question repeated the names of all instances that
were gone: 2 kB, at 112 answers a second 219 kB/s of a link of 250, "received
ProbeAck=219.0kB/s", with no value in any of them. A question now names by a fingerprint what
its member told last."""

from __future__ import annotations

from dataclasses import replace

from spokeroute.common.effects import From, Send, Tick
from spokeroute.common.ids import SPREAD, Address, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.acceptor.probed import probed
from spokeroute.register.cells import Roster
from spokeroute.register.replica import replica
from spokeroute.register.replica.copy_fingerprints import absent_fingerprint
from spokeroute.register.replica.state import State
from spokeroute.transport.messages import Copy, Probe, ProbeAck
from tests.sim.cluster import Sim

GONE = tuple(f"i-{number:010x}" for number in range(100))
MEMBER = MemberId("m1")
LIFE = Incarnation(1)


def answer(sim: Sim, absent: tuple[str, ...], named: bytes) -> ProbeAck:
    state = replace(sim.registries[0].state("acceptor"), absent=absent)
    probe = Probe(1, state.synced_roster.epoch, (), (), (), (), False, (), -1, absent=named)
    (sent,) = probed(state, NodeId("e1"), probe)
    assert isinstance(sent, Send) and isinstance(sent.message, ProbeAck)
    return sent.message


def test_a_member_leaves_out_what_the_probe_names(sim: Sim) -> None:
    sim.settle()
    same = answer(sim, GONE, absent_fingerprint(GONE))
    assert (same.absent, same.absent_same) == ((), True)
    newer = answer(sim, GONE[1:], absent_fingerprint(GONE))
    assert (newer.absent, newer.absent_same) == (GONE[1:], False)
    assert answer(sim, (), absent_fingerprint(GONE)).absent_same is False
    assert answer(sim, GONE, b"").absent == GONE


def asked(state: State, at_ms: int) -> tuple[State, Probe]:
    state, effects = replica.step(replace(state, next_probe_ms=Ms(0)), Tick(), Ms(at_ms))
    probes = [e.message for e in effects if isinstance(e, Send) and e.to == MEMBER]
    assert len(probes) == 1 and isinstance(probes[0], Probe)
    return state, probes[0]


def test_the_asker_keeps_what_it_named_until_the_member_tells_other_ones() -> None:
    roster = Roster(Epoch(1), ((MEMBER, Address("m1:1")),))
    state, probe = asked(State((), roster=roster), 1_000)
    assert probe.absent == b""
    copies = tuple(Copy(name, 0, "", 0, "") for name in SPREAD)
    told = ProbeAck(probe.nonce, 1, copies, (), GONE)
    state, _ = replica.step(state, From(MEMBER, LIFE, told), Ms(1_010))
    state, probe = asked(state, 1_400)
    assert probe.absent == absent_fingerprint(GONE)
    told = ProbeAck(probe.nonce, 1, copies, (), (), absent_same=True)
    state, _ = replica.step(state, From(MEMBER, LIFE, told), Ms(1_410))
    assert state.absent_by_member[MEMBER] == (1_400, GONE)
    state, probe = asked(state, 1_800)
    told = ProbeAck(probe.nonce, 1, copies, (), ())
    state, _ = replica.step(state, From(MEMBER, LIFE, told), Ms(1_810))
    assert state.absent_by_member[MEMBER] == (1_800, ())
