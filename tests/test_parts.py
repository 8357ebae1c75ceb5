"""Successor lists and their age limits, the retry budget, ledger replay, catching up, manifests."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from immutables import Map

from spokeroute.client.gateway import lay
from spokeroute.common.effects import From, SlotId
from spokeroute.common.ids import CallId, Incarnation, Ms, NodeId
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    Route,
    Service,
    read_configuration,
)
from spokeroute.dispatch.flare.algorithms import CandidateWorker, Function, LoadSnapshot
from spokeroute.dispatch.placement.table import UP, Placed
from spokeroute.exchange import call_state, calls
from spokeroute.exchange.budget import WINDOW_MS, Budget
from spokeroute.exchange.pick import pick
from spokeroute.exchange.successor_lists import SuccessorLists, merge_lists
from spokeroute.exchange.types import LISTS_AGE_MS, Attempt, Call, CallIn, Phase, Tables
from spokeroute.ledger.entries import Record, entry_text, load_snapshot_doc
from spokeroute.ledger.replay import replay
from spokeroute.transport.list_messages import Lists, Successors
from tests.sim.cluster import Sim, configuration

ASK = CallIn(SlotId(0, 1), CallId("c1"), "a", "POST", "/x", "", (), b"", "5000", "", 0)


def placed(name: str, worker: str, **changes: object) -> Placed:
    row: list[Any] = [name, "s", worker, "north", "h:1", 4, UP, True, True, "ex1", 1]
    return replace(Placed(*row), **changes)  # type: ignore[arg-type]


def call_failed_on(worker: str, instance: str) -> Call:
    route, service = Route("/x", "s"), Service("s", 128, 4)
    row: list[Any] = [instance, worker, "ex1", 1, Ms(0)]
    each = Attempt(*row)
    call = Call(ASK, route, service, Ms(0), Ms(5_000), Phase.WAITING, Ms(0), at_most_once=False)
    return replace(call, failed=(each,), tried_instances=frozenset((instance,)), may_have_run=True)


def tables(*instances: Placed, evacuated: frozenset[str] = frozenset()) -> Tables:
    return Tables(by_service=Map({"s": instances}), evacuated=evacuated)


def test_first_eligible_successor_takes_over() -> None:
    """The order of the list decides, not that of the placement table; ineligible instances are
    skipped."""
    here = [placed("a", "w1"), placed("b", "w2"), placed("c", "w3"), placed("d", "w4")]
    pushed = Lists(1, 1, 1, 0, (Successors("s", "w1", ("d", "c", "b")),))
    lists, _ = merge_lists(SuccessorLists(), pushed, Ms(0))

    def head(now: Tables, shunned_ms: dict[str, int], now_ms: int = 0) -> tuple[str, str]:
        got = pick(call_failed_on("w1", "a"), now, lists, {}, shunned_ms, "ex1", now_ms)
        assert got is not None
        return got.placed.id, got.rule

    assert head(tables(*here), {}) == ("d", "successor")
    assert head(tables(*here), {"d": 99}) == ("c", "successor")
    assert head(tables(*here[:3], placed("d", "w4", state="draining")), {}) == ("c", "successor")
    assert head(tables(*here[:3], placed("d", "w4", warm=False)), {}) == ("c", "successor")
    out = tables(*here[:3], placed("d", "w4", zone="south"), evacuated=frozenset(("south",)))
    assert head(out, {}) == ("c", "successor")
    assert head(tables(*here), {}, LISTS_AGE_MS + 1) == ("b", "floor order")


def test_lists_of_an_older_term_or_sequence_are_dropped() -> None:
    state = call_state.State(NodeId("ex1"), 1, Budget(0))
    first = Lists(2, 5, 1, 0, (Successors("s", "w1", ("first",)),))
    state, _ = calls.step(state, From(NodeId("m"), Incarnation(1), first), Ms(10))
    kept = state.lists
    assert (kept.term, kept.sequence, kept.of("s", "w1")) == (2, 5, ("first",))
    for old in (Lists(1, 9, 1, 0, ()), Lists(2, 4, 1, 0, ()), Lists(2, 4, 1, 0, (), 3, 3)):
        state, _ = calls.step(state, From(NodeId("m"), Incarnation(1), old), Ms(20))
        assert state.lists == kept
    newer = Lists(3, 1, 1, 0, (Successors("s", "w1", ("newer",)),))
    state, _ = calls.step(state, From(NodeId("m"), Incarnation(1), newer), Ms(30))
    assert (state.lists.term, state.lists.of("s", "w1")) == (3, ("newer",))


def test_retries_stay_within_the_budget() -> None:
    budget = Budget(0)
    now_ms = WINDOW_MS + 1
    for _ in range(100):
        budget = budget.count_first("s", now_ms)
    sent = 0
    while budget.allows("s", now_ms):
        budget = budget.count_resend("s", now_ms)
        sent += 1
    assert sent == 20 + 3
    assert not budget.allows("s", now_ms + WINDOW_MS // 2)
    assert budget.allows("s", now_ms + 2 * WINDOW_MS)
    assert Budget(0).allows("t", 0) is False  # a restarted process starts with no budget
    # Nothing is allowed while the number of exchanges is unknown.
    assert Budget(0, exchanges=0).allows("t", 2 * WINDOW_MS) is False


@pytest.mark.parametrize("count", [1, 9, 60, 86, 930])
def test_budget_shares_of_all_exchanges_stay_within_the_total(count: int) -> None:
    """The shares of all exchanges together stay within the budget, whatever their number."""
    total, now_ms = 0, 2 * WINDOW_MS
    for _ in range(count):
        budget = Budget(0, 0.2, 58.0, count)
        while budget.allows("s", now_ms):
            budget = budget.count_resend("s", now_ms)
            total += 1
    assert total <= 58


def test_the_number_of_exchanges_comes_with_the_lists() -> None:
    state = call_state.State(NodeId("ex1"), 1, Budget(0, exchanges=0))
    lists = Lists(2, 5, 1, 0, (), 86)
    state, _ = calls.step(state, From(NodeId("m"), Incarnation(1), lists), Ms(10))
    assert state.budget.exchanges == 86


@pytest.fixture
def sim() -> Iterator[Sim]:
    made = Sim(5)
    yield made
    made.close()


def test_replay_confirms_the_ledger_and_detects_tampering(sim: Sim) -> None:
    sim.settle()
    sim.traffic(60, 4_000)
    sim.platform.crash("w1")
    sim.run(8_000)
    next(s for s in sim.platform.servers.values() if s.service == "readings").behave = "lost"
    for _ in range(20):
        sim.call("/readings")
        sim.run(100)
    sim.run(3_000)
    disk = sim.registries[1].disk
    assert disk is not None
    lines = [text for _, text in sorted(disk.ledger.items())]
    kinds = {json.loads(x)["kind"] for x in lines}
    assert {"term", "laaf", "start", "up", "holder", "route", "vanished", "successor"} <= kinds
    taken = [json.loads(x) for x in lines if '"kind":"successor"' in x]
    names = [d["inputs"]["try"] for d in taken]
    dialled: dict[str, set[str]] = {}
    for dial in sim.platform.dials:
        dialled.setdefault(dial.call, set()).add(dial.instance)
    seconds = {call for call, instances in dialled.items() if len(instances) > 1}
    assert len(names) == len(set(names)) and len(names) >= len(seconds) > 0
    assert {d["inputs"]["rule"] for d in taken} == {"successor"}
    got = replay(lines)
    assert got.difference is None and got.recomputed > 10
    at = next(i for i, x in enumerate(lines) if '"kind":"laaf"' in x)
    doc = json.loads(lines[at])
    doc["inputs"]["cuPct"][0][1] += 50.0
    got = replay([*lines[:at], json.dumps(doc), *lines[at + 1 :]])
    assert got.difference is not None and "digest" in got.difference.reason
    chained = [i for i, x in enumerate(lines) if json.loads(x)["term"] == 1]
    missing = [*lines[: chained[3]], *lines[chained[3] + 1 :]]
    got = replay(missing)
    assert got.difference is not None and "missing" in got.difference.reason
    got = replay(["nonsense"])
    assert got.difference is not None


def test_replay_detects_a_different_output(sim: Sim) -> None:
    """Replay reports an entry whose digest is right but whose output is not what the functions
    compute from its inputs."""
    snapshot = LoadSnapshot(
        (("t", 9.0),), (Function("A", "t", 9.0),), (("A", (CandidateWorker("u", ("a",)),)),)
    )
    good = Record("laaf", load_snapshot_doc(snapshot), [["A", "t", ["a"]]], 1)
    assert replay([entry_text("1-1-m", good, "")]).difference is None
    bad = Record("laaf", load_snapshot_doc(snapshot), [["A", "t", ["b"]]], 1)
    got = replay([entry_text("1-1-m", bad, "")])
    assert got.difference is not None and "recomputed" in got.difference.reason


def test_a_member_that_was_down_catches_up(sim: Sim) -> None:
    sim.settle()
    away = sim.registries[2]
    away.kill()
    asked = [sim.call("/corrections", key=f"k-{n}") for n in range(10)]
    sim.run(2_000)
    assert {a.status for a in asked} == {200}
    assert away.disk is not None and not any(n.startswith("claim/") for n in away.disk.cells)
    away.start()
    sim.run(4_000)
    assert {f"claim/k-{n}" for n in range(10)} <= set(away.disk.cells)


def test_gateway_manifests_become_routes() -> None:
    route = """
apiVersion: gateway.networking.k8s.io/v1
kind: Gateway
metadata: {name: front}
spec: {gatewayClassName: spokeroute, listeners: [{name: web, port: 80, protocol: HTTP}]}
---
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: r, annotations: {spokeroute/repeatable: "true"}}
spec:
  parentRefs: [{name: front}]
  rules:
  - matches: [{path: {type: Exact, value: /readings}, method: POST}]
    backendRefs: [{name: readings, port: 80}]
  - matches: [{path: {type: PathPrefix, value: /small}}]
    backendRefs: [{name: small-1}]
"""
    base = configuration()
    got = lay(route, base)
    assert isinstance(got, dict)
    assert isinstance(read_configuration(json.dumps(got).encode(), ()), Configuration)
    assert [x["path"] for x in got["routes"]] == ["/readings", "/small/*"]
    assert got["routes"][0]["methods"] == ["POST"] and got["routes"][0]["repeatable"] is True
    bad = route.replace("method: POST", "headers: [{name: x, value: y}]")
    bad = bad.replace("name: small-1", "name: nobody").replace("protocol: HTTP", "protocol: TLS")
    faults = lay(bad, base)
    assert isinstance(faults, list)
    said = " ".join(f"{f.path} {f.reason}" for f in faults)
    assert "headers unsupported" in said and "TLS is unsupported" in said and "nobody" in said
    assert isinstance(lay("a: [", base), list)
    assert isinstance(lay("kind: Pod", base), list)
