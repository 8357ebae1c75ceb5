"""Registers: overtaken rounds, and keyed calls on repeatable routes."""

from __future__ import annotations

from spokeroute.common.effects import From, Send, Tell, Tick
from spokeroute.common.ids import Address, Epoch, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.cells import Roster, digest_of
from spokeroute.register.changes import Ask, Outcome, Settled, Swap
from spokeroute.register.proposer import proposer
from spokeroute.transport.messages import Accept, Copy, Prepare, Promise
from tests.sim.cluster import Sim, configuration

MEMBERS = tuple(MemberId(f"m{i}") for i in range(3))
ROSTER = Roster(Epoch(1), tuple((m, Address(f"10.0.0.{i}:1")) for i, m in enumerate(MEMBERS)))


def promise(member: str, ask: Prepare, version: int, value: bytes, counter: int) -> From:
    copy = Copy(
        ask.name, version, digest_of(value) if value else "", counter, "m1" if counter else ""
    )
    said = Promise(1, ask.name, ask.counter, ask.member, True, ask.counter, copy, value, -1)
    return From(NodeId(member), Incarnation(1), said)


def test_an_overtaken_proposal_has_an_unknown_outcome() -> None:
    """Our proposal may have been chosen and then replaced by another one, so "conflict, nothing
    done" would be false. The outcome is unknown."""
    state = proposer.State(MEMBERS[0], 1, ROSTER)
    state, effects = proposer.step(state, Ask("op", "configuration", Swap(0, b"ours"), "op"), Ms(0))
    prepare = next(e.message for e in effects if isinstance(e, Send))
    assert isinstance(prepare, Prepare)
    for member in MEMBERS[:2]:
        state, effects = proposer.step(state, promise(member, prepare, 0, b"", 0), Ms(5))
    assert any(isinstance(e, Send) and isinstance(e.message, Accept) for e in effects)
    now_ms = 0
    again: list[Prepare] = []
    while not again:  # no acceptance arrives and the round restarts
        now_ms += 20
        state, effects = proposer.step(state, Tick(0), Ms(now_ms))
        again = [
            e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Prepare)
        ]
    for member in MEMBERS[:2]:
        state, effects = proposer.step(
            state, promise(member, again[0], 2, b"theirs", 9), Ms(now_ms)
        )
    told = [e.event for e in effects if isinstance(e, Tell) and isinstance(e.event, Settled)]
    assert [t.outcome for t in told] == [Outcome.UNSURE]


def test_a_keyed_call_on_a_repeatable_route_runs_once(sim: Sim) -> None:
    """The caller gave the call a key, so after a lost answer it is not sent to a successor."""
    sim.settle()
    sim.run(11_000)
    for server in sim.platform.servers.values():
        server.behave = "lost"
    for number in range(10):
        sim.call("/readings", key=f"named-{number}")
    sim.run(6_000)
    runs = [r.key for r in sim.platform.runs if r.key]
    assert len(runs) == len(set(runs)) == 10
    assert configuration()["routes"][0]["repeatable"]
