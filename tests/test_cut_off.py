"""Members and exchanges that are cut off for 5, 20 or 40 s, also in one direction only.

The tests check what they may still answer and do, and for how long.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from functools import partial

import pytest

from spokeroute.common.answers import Answer
from spokeroute.common.slab import Slab
from spokeroute.register.changes import Outcome
from spokeroute.register.proposer import proposer, rounds
from spokeroute.register.replica import replica
from spokeroute.registry import operator
from spokeroute.registry.api import Api
from tests.sim.cluster import Sim, configuration
from tests.sim.sides import STALE_MS, Cut, made, sever
from tests.sim.world import Node
from tests.test_judges import never_stale
from tools import judges, readback, ruling
from tools.log import Log, Told

SLACK_MS = 1_000  # by which the judges' own bounds exceed the lease
QUICK_MS = 800
KNOWN_MS = rounds.CONTACT_MS + 50  # after a cut, until a member notices that it is alone
NO_CONFIRMATION = (503, 504)


@pytest.fixture
def each(request: pytest.FixtureRequest) -> Iterator[Cut]:
    got = made(*request.param)
    yield got
    got.sim.close()


RUNS = pytest.mark.parametrize("each", [(1, 3), (2, 3), (3, 5)], indirect=True)
ONE = pytest.mark.parametrize("each", [(1, 3)], indirect=True)
WAYS = pytest.mark.parametrize("way", ["both", "out", "in"])


def an_order(sim: Sim, registry: int, rng: random.Random) -> Told:
    """Sends a random request: a configuration, an evacuation, its end, or a read-back."""
    match rng.randrange(4):
        case 0:
            return sim.apply(changed(sim, rng), registry)
        case 1:
            return sim.evacuate("south", rng.random() < 0.5, registry)
        case 2:
            return sim.evacuated(registry)
        case _:
            return sim.show(registry)


def changed(sim: Sim, rng: random.Random) -> dict[str, object]:
    """Returns a configuration with one route moved to another service, and one route optional."""
    doc = configuration(name=f"change-{sim.draw()}")
    small = rng.choice(("small-1", "small-2"))
    doc["routes"][2]["service"] = small
    doc["routes"] = doc["routes"][: rng.choice((3, 4))]
    return doc


def orders(each: Cut, rng: random.Random, for_ms: float) -> tuple[list[Told], list[Told]]:
    """Sends orders and read-backs on both sides of the cut for a while."""
    lone, rest = [], []
    until_ms = each.sim.env.now + for_ms
    while each.sim.env.now < until_ms:
        lone.append(an_order(each.sim, rng.choice(each.side(each.lone)), rng))
        rest.append(an_order(each.sim, rng.choice(each.side(each.rest)), rng))
        each.sim.run(rng.uniform(300, 900))
    return lone, rest


@WAYS
@RUNS
def test_a_cut_off_side_confirms_nothing(each: Cut, way: str) -> None:
    """For 20 s the cut-off side gives no 200 and no 4xx, and if it hears no other member it refuses
    quickly. The other side answers everything. Afterwards each member reads back what was
    acknowledged."""
    sim, rng = each.sim, random.Random(5)
    sever(each, way)
    cut_ms = sim.env.now
    lone, rest = orders(each, rng, 20_000)
    sim.run(4_500)
    assert {t.status for t in lone} <= set(NO_CONFIRMATION), [(t.what, t.status) for t in lone]
    assert {t.status for t in rest} == {200}, [(t.what, t.status, t.doc) for t in rest]
    assert max(t.done_ms - t.at_ms for t in rest) < 1_000
    quick = [t for t in lone if t.at_ms >= cut_ms + KNOWN_MS + (6_500 if way == "out" else 0)]
    assert quick and max(t.done_ms - t.at_ms for t in quick) < QUICK_MS
    sim.net.cuts.clear()
    sim.run(1_500)
    shown = [sim.show(i) for i in range(len(sim.registries))]
    shown += [sim.evacuated(i) for i in range(len(sim.registries))]
    sim.run(4_500)
    assert {t.status for t in shown} == {200}
    assert readback.acked_reads_back(sim.log()) == []
    assert readback.refused_never_rules(sim.log()) == []


@RUNS
def test_orders_in_progress_when_a_cut_begins_or_ends(each: Cut) -> None:
    """Short cuts in the middle of rounds: every answer is correct, whatever it is."""
    sim, rng = each.sim, random.Random(9)
    for _ in range(25):
        replies = [an_order(sim, rng.randrange(len(sim.registries)), rng) for _ in range(4)]
        sim.run(rng.uniform(0, 6))
        sever(each, rng.choice(("both", "out", "in")))
        sim.run(rng.uniform(100, 2_500))
        sim.net.cuts.clear()
        sim.run(rng.uniform(100, 700))
        assert not [t for t in replies if 400 <= t.status < 500 and t.what != "apply"]
    sim.run(9_000)
    replies = [sim.show(i) for i in range(len(sim.registries))]
    sim.run(4_500)
    assert {t.status for t in replies} == {200}
    assert readback.acked_reads_back(sim.log()) == []
    assert readback.refused_never_rules(sim.log()) == []


def local_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a fault: read-backs are answered from the member's own cell."""
    honest = Node.ask

    def ask(self: Node, actor: str, make, reply) -> None:  # type: ignore[no-untyped-def]
        honest(self, actor, make, reply)
        for op_id, asked in self.state("operator").open.items():
            if isinstance(asked, operator.Show):
                cell = self.state("acceptor").synced["configuration"]
                got = proposer.Settled(
                    op_id, "configuration", Outcome.DONE, cell.version, cell.value, False
                )
                self._now(partial(self._post, "operator", got))

    monkeypatch.setattr(Node, "ask", ask)


@ONE
def test_a_read_from_the_local_cell_is_detected(each: Cut, monkeypatch: pytest.MonkeyPatch) -> None:
    local_reads(monkeypatch)
    sever(each, "both")
    lone, _ = orders(each, random.Random(5), 20_000)
    each.sim.run(4_500)
    assert not {t.status for t in lone} <= set(NO_CONFIRMATION)
    assert readback.acked_reads_back(each.sim.log())


@ONE
def test_without_the_quick_refusal_callers_wait(each: Cut, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator, "NO_MAJORITY_WAIT_MS", 0)
    sever(each, "both")
    each.sim.run(KNOWN_MS)
    reply = each.sim.show(0)
    each.sim.run(4_500)
    assert reply.done_ms - reply.at_ms > QUICK_MS


class Edge(Api):
    """The operators' API without threads: requests to the event loop are answered here."""

    def _post_and_wait(self, kind: object) -> Answer:
        return Answer(503, (), b"asked the core")


@ONE
def test_a_cut_off_registry_refuses_nothing_by_what_it_knows(each: Cut) -> None:
    """A zone that the registry does not know is reported as unknown only while a majority proves
    its copies. A cut-off registry is not ready."""
    sim, node = each.sim, each.sim.registries[0]
    assert node.process is not None
    edge = Edge(node.process, Slab(1), None, lambda event: None)  # type: ignore[arg-type]
    sim.run(1_000)
    assert edge.evacuate("nowhere", True).status == 404
    assert edge._ready().status == 200
    sever(each, "both")
    sim.run(replica.LEASE_MS + 500)
    for out in (True, False):
        assert edge.evacuate("nowhere", out).status == 503
    assert edge._ready().status == 503


# exchanges


def within_stale(log: Log, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Runs the judges with the bound of an exchange that keeps using its last proof."""
    late = {name: at_ms + STALE_MS for name, at_ms in log.stop_ms.items()}
    with monkeypatch.context() as patched:
        patched.setattr(ruling, "RULES_MS", STALE_MS + SLACK_MS)
        patched.setattr(judges, "EVACUATE_MS", STALE_MS + SLACK_MS)
        patched.setattr(judges, "DRAIN_MS", STALE_MS + SLACK_MS)
        return run_judges(replace(log, stop_ms=late))


def run_judges(log: Log) -> list[str]:
    each = (
        judges.newest_rules, judges.right_service, judges.evacuated_get_nothing,
        judges.drained_get_nothing, judges.vanished_get_nothing, judges.once_never_twice,
        judges.not_run_holds,
    )  # fmt: skip
    return [f"{judge.__name__}: {text}" for judge in each for text in judge(log)[:3]]


def of_entries(log: Log, names: set[str]) -> Log:
    """Returns the part of the log about calls that these exchanges took."""
    calls = {a.call for a in log.asked if a.exchange in names}
    return replace(
        log,
        asked=[a for a in log.asked if a.call in calls],
        runs=[r for r in log.runs if r.call in calls],
        dials=[d for d in log.dials if d.call in calls],
    )


def changes(each: Cut, rng: random.Random, for_ms: float) -> None:
    """Makes configurations, evacuations and drains on the majority's side."""
    sim = each.sim
    until_ms = sim.env.now + for_ms
    number = 0
    while sim.env.now < until_ms:
        number += 1
        registry = rng.choice(each.side(each.rest))
        if number % 3 == 0:
            sim.evacuate("south", number % 2 == 0, registry)
        elif number % 5 == 0:
            worker = rng.choice(sim.platform.seats).id
            sim.platform.emptied ^= {worker}
        else:
            sim.apply(changed(sim, rng), registry)
        sim.run(rng.uniform(400, 2_000))


@pytest.mark.parametrize("for_ms", [5_000, 20_000, 40_000])
@WAYS
@RUNS
def test_no_older_version_is_in_force_after_the_bound(
    each: Cut, way: str, for_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Holds on both sides of a cut; the majority's side also keeps the stricter bound of the
    lease."""
    sim, rng = each.sim, random.Random(for_ms)
    sim.traffic(40, for_ms + 8_000)
    sim.run(2_000)
    sever(each, way)
    changes(each, rng, for_ms)
    sim.net.cuts.clear()
    changes(each, rng, 4_000)
    sim.run(9_000)
    log = sim.log()
    assert within_stale(log, monkeypatch) == []
    lone = each.lone[-1].name
    in_cut = [a for a in log.asked if a.exchange == lone and a.status == 200]
    assert in_cut, "the cut-off exchange served no call, so the run shows nothing"
    strict = of_entries(log, {n.name for n in each.rest if n.role == "exchange"})
    assert judges.newest_rules(strict) == []


@ONE
def test_a_proof_that_never_expires_is_detected(each: Cut, monkeypatch: pytest.MonkeyPatch) -> None:
    never_stale(monkeypatch)
    sim = each.sim
    sim.traffic(40, 28_000)
    sever(each, "both")
    changes(each, random.Random(20_000), 20_000)
    sim.run(9_000)
    assert within_stale(sim.log(), monkeypatch)


@ONE
def test_a_registry_that_just_started_contacts_the_others_first(each: Cut) -> None:
    """Its own promise does not count as contact: an order at its start is held for a while."""
    sim, node = each.sim, each.sim.registries[0]
    node.kill()
    sim.run(1_000)
    node.start()
    reply = sim.apply(configuration(name="early"))
    sim.run(1_500)
    assert reply.status == 200
    node.kill()
    sever(each, "both")
    sim.run(1_000)
    node.start()
    reply = sim.apply(configuration(name="alone"))
    sim.run(1_500)
    assert reply.status == 503 and reply.done_ms - reply.at_ms > proposer.STARTUP_CONTACT_MS
