"""Answers to probes do not repeat the list of absent instances.

After workers crashed, each answer repeated the names of all instances that were gone: 2 kB per
answer, at 112 answers a second 219 kB/s on a link of 250 kB/s. A probe now carries a fingerprint of
the list that its member sent last, and the member leaves an unchanged list out.
"""

from __future__ import annotations

from dataclasses import replace

from spokeroute.common.effects import From, Send, Tick
from spokeroute.common.ids import SPREAD, Address, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.acceptor.probe_replies import reply_to_probe
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
    (sent,) = reply_to_probe(state, NodeId("e1"), probe)
    assert isinstance(sent, Send) and isinstance(sent.message, ProbeAck)
    return sent.message


def test_a_member_leaves_out_the_list_that_the_probe_names(sim: Sim) -> None:
    sim.settle()
    unchanged = answer(sim, GONE, absent_fingerprint(GONE))
    assert (unchanged.absent, unchanged.absent_same) == ((), True)
    newer = answer(sim, GONE[1:], absent_fingerprint(GONE))
    assert (newer.absent, newer.absent_same) == (GONE[1:], False)
    assert answer(sim, (), absent_fingerprint(GONE)).absent_same is False
    assert answer(sim, GONE, b"").absent == GONE


def send_probe(state: State, at_ms: int) -> tuple[State, Probe]:
    state, effects = replica.step(replace(state, next_probe_ms=Ms(0)), Tick(), Ms(at_ms))
    probes = [e.message for e in effects if isinstance(e, Send) and e.to == MEMBER]
    assert len(probes) == 1 and isinstance(probes[0], Probe)
    return state, probes[0]


def test_the_list_is_kept_until_the_member_sends_another_one() -> None:
    roster = Roster(Epoch(1), ((MEMBER, Address("m1:1")),))
    state, probe = send_probe(State((), roster=roster), 1_000)
    assert probe.absent == b""
    copies = tuple(Copy(name, 0, "", 0, "") for name in SPREAD)
    ack = ProbeAck(probe.nonce, 1, copies, (), GONE)
    state, _ = replica.step(state, From(MEMBER, LIFE, ack), Ms(1_010))
    state, probe = send_probe(state, 1_400)
    assert probe.absent == absent_fingerprint(GONE)
    ack = ProbeAck(probe.nonce, 1, copies, (), (), absent_same=True)
    state, _ = replica.step(state, From(MEMBER, LIFE, ack), Ms(1_410))
    assert state.absent_by_member[MEMBER] == (1_400, GONE)
    state, probe = send_probe(state, 1_800)
    ack = ProbeAck(probe.nonce, 1, copies, (), ())
    state, _ = replica.step(state, From(MEMBER, LIFE, ack), Ms(1_810))
    assert state.absent_by_member[MEMBER] == (1_800, ())
