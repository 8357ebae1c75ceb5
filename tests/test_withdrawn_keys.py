"""API keys that are added and withdrawn while calls wait, and while front nodes are unreachable: a
withdrawn key stops being accepted everywhere in time, a new one is not refused as unknown, and no
call runs for a wrong tenant."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Any

import pytest

from spokeroute.common.bounds import Bounds
from spokeroute.common.switches import Switches
from spokeroute.dispatch.configuration.tenant_keys import key_digest
from tests.sim.cluster import Sim, configuration
from tests.sim.storms import ruling
from tools import key_judges
from tools.judges import judge
from tools.log import Asked, Run

STALE_MS, APPLY_MS, CLOSING_MS = 30_000, 3_000, 5_000
OPEN_BOUNDS = Bounds(stale_ms=STALE_MS, apply_ms=APPLY_MS)
PATH, SMALL = "/readings", "/small/1"
HELD = {"one": ("k1", "k2"), "two": ("k3",)}


def document(held: dict[str, tuple[str, ...]], **changes: Any) -> dict[str, Any]:
    """The small deployment with these tenants and their keys."""
    tenants = [
        {"name": name, "keyDigests": [key_digest(key) for key in keys], "priority": 1}
        for name, keys in held.items()
    ]
    return configuration(name=f"{held}", tenants=tenants, **changes)


def settled(seed: int, bounds: Bounds = OPEN_BOUNDS, **options: Any) -> Sim:
    sim = Sim(seed, 4, bounds=bounds, **options)
    sim.settle(document(HELD))
    return sim


@pytest.fixture(params=[1, 2, 3])
def sim(request: pytest.FixtureRequest) -> Iterator[Sim]:
    made = settled(request.param)
    yield made
    made.close()


def change(sim: Sim, held: dict[str, tuple[str, ...]], **changes: Any) -> float:
    """Apply a configuration with other keys; returns when it was acknowledged."""
    told = sim.apply(document(held, **changes))
    assert sim.up_to(lambda: told.status == 200, 5_000), told
    return told.done_ms


def answers(sim: Sim, asked: list[Asked]) -> list[int]:
    sim.run(2_000)
    return [each.status for each in asked]


def runs_of(sim: Sim, call: Asked) -> list[Run]:
    return [run for run in sim.platform.runs if run.call == call.call]


def test_each_node_knows_the_keys_and_runs_have_their_tenants(sim: Sim) -> None:
    calls = [
        (node, key, sim.call(PATH, node, api_key=key))
        for node in sim.exchanges
        for key in ("k1", "k2", "k3", "k4", "")
    ]
    sim.run(2_000)
    for _, key, call in calls:
        known = key in ("k1", "k2", "k3")
        assert (call.status, call.ran) == ((200, "") if known else (401, "no"))
        assert [run.tenant for run in runs_of(sim, call)] == (
            [("two" if key == "k3" else "one")] if known else []
        )
    assert judge(sim.log()) == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_keys_change_during_calls_while_nodes_are_unreachable(seed: int) -> None:
    """Front nodes are killed, frozen and cut off from the core while keys are replaced."""
    sim = settled(seed)
    keys = ("k1", "k2", "k3", "k4", "k5")

    def callers() -> Generator[Any, Any, None]:
        while True:
            sim.call(PATH, api_key=sim.rng.choice(keys), wait_ms=2_000)
            yield sim.env.timeout(sim.rng.expovariate(1 / 20))

    sim.env.process(callers())
    for turn in range(5):
        held = {"one": sim.rng.sample(keys, 2), "two": []}
        held["two"] = [key for key in keys if key not in held["one"]][:2]
        node = sim.exchanges[turn % len(sim.exchanges)]
        away = sim.rng.choice(("kill", "freeze", "cut"))
        if away == "kill":
            node.kill()
        elif away == "freeze":
            node.freeze()
        else:
            sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
        change(sim, {name: tuple(each) for name, each in held.items()})
        sim.run(1_500)
        if away == "kill":
            node.start()
        elif away == "freeze":
            node.wake()
        else:
            sim.net.cuts.clear()
        sim.run(4_000)
    found = [f"{j.__name__}: {text}" for j in key_judges.KEY_JUDGES for text in j(sim.log())]
    assert found == []
    assert {401, 200} <= {each.status for each in sim.asked}
    sim.close()


def test_a_call_that_waits_for_a_start_ends_when_its_key_is_withdrawn(sim: Sim) -> None:
    sim.platform.start_ms = 4_000.0
    waiting = sim.call(SMALL, sim.exchanges[0], api_key="k1", wait_ms=9_000)
    other = sim.call("/small/2", sim.exchanges[0], api_key="k3", wait_ms=9_000)
    sim.run(600)
    acked_ms = change(sim, {"two": ("k3",)})
    sim.run(8_000)
    assert (waiting.status, waiting.ran, runs_of(sim, waiting)) == (401, "no", [])
    assert waiting.done_ms <= acked_ms + APPLY_MS
    assert other.status == 200 and runs_of(sim, other)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_call_in_a_holders_queue_ends_when_its_key_is_withdrawn(seed: int) -> None:
    """One slot, runs of 900 ms, no second instance: the last calls wait in the queue of the holder,
    which is another node, and are recalled for no other reason."""
    sim = settled(seed, switches=Switches(queue_transfer=False))
    sim.platform.work_ms = 900.0
    first = sim.call(SMALL, api_key="k3", wait_ms=9_000)
    assert sim.up_to(lambda: first.status == 200, 5_000)
    sim.platform.fail_starts = 1_000
    holder = next(p.holder for p in sim.floors[-1][2].instances if p.service == "small-1")
    entry = next(node for node in sim.exchanges if node.name != holder)
    sim.call(SMALL, entry, api_key="k3", wait_ms=9_000)
    sim.run(30)
    waiting = [sim.call(SMALL, entry, api_key="k1", wait_ms=9_000) for _ in range(4)]
    acked_ms = change(sim, {"two": ("k3",)})
    sim.run(6_000)
    ends = [(each.status, len(runs_of(sim, each))) for each in waiting]
    assert (401, 0) in ends and set(ends) <= {(401, 0), (200, 1)}, ends
    late = [run for each in waiting for run in runs_of(sim, each) if run.at_ms > acked_ms + 1_500]
    assert late == []
    sim.close()


def test_a_call_whose_key_moved_to_another_tenant_may_be_repeated(sim: Sim) -> None:
    sim.platform.start_ms = 4_000.0
    waiting = sim.call(SMALL, sim.exchanges[0], api_key="k1", wait_ms=9_000)
    sim.run(600)
    change(sim, {"one": ("k2",), "two": ("k3", "k1")})
    sim.run(3_000)
    assert (waiting.status, waiting.ran, waiting.kind) == (503, "no", "not_fresh")
    assert waiting.retry_after and runs_of(sim, waiting) == []
    again = sim.call(PATH, sim.exchanges[0], api_key="k1")
    sim.run(2_000)
    assert [run.tenant for run in runs_of(sim, again)] == ["two"]


def test_an_unknown_key_is_refused_as_unknown_only_with_a_recent_proof(sim: Sim) -> None:
    node = sim.exchanges[0]
    sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
    change(sim, {**HELD, "three": ("k4",)})
    sim.run(2_500)
    young, old = sim.call(PATH, sim.exchanges[1], api_key="k9"), sim.call(PATH, node, api_key="k4")
    sim.run(100)
    assert (young.status, young.kind) == (401, "no_key")
    assert (old.status, old.kind, old.ran) == (503, "not_fresh", "no") and old.retry_after
    assert answers(sim, [sim.call(PATH, node, api_key="k1")]) == [200]


def test_a_node_without_core_contact_refuses_keys_if_so_configured() -> None:
    for keys_ms, status in ((0, 200), (CLOSING_MS, 503)):
        sim = settled(4, Bounds(stale_ms=STALE_MS, apply_ms=APPLY_MS, keys_ms=keys_ms))
        node = sim.exchanges[0]
        sim.net.cuts |= {(each.name, node.name) for each in sim.registries}
        sim.run(CLOSING_MS - 1_500)
        assert answers(sim, [sim.call(PATH, node, api_key="k1")]) == [200]
        sim.run(1_000)
        assert answers(sim, [sim.call(PATH, node, api_key="k1")]) == [status]
        sim.close()


def test_a_new_key_is_accepted_in_time_at_a_node_that_just_started(sim: Sim) -> None:
    sim.exchanges[2].kill()
    acked_ms = change(sim, {**HELD, "three": ("k4",)})
    sim.exchanges[2].start()
    sim.run(acked_ms + APPLY_MS - sim.env.now)
    calls = [sim.call(PATH, node, api_key="k4") for node in sim.exchanges]
    assert answers(sim, calls) == [200] * len(calls)
    assert len({str(ruling(node)) for node in sim.exchanges}) == 1


def test_equal_idempotency_keys_of_two_tenants_are_independent(sim: Sim) -> None:
    first = sim.call("/corrections", key="c-1", api_key="k1")
    other = sim.call("/corrections", key="c-1", api_key="k3")
    sim.run(2_000)
    again = sim.call("/corrections", key="c-1", api_key="k2")
    sim.run(2_000)
    assert [first.status, other.status, again.status] == [200, 200, 409]
    assert {run.tenant for run in sim.platform.runs if run.path == "/corrections"} == {"one", "two"}


def test_tenants_are_added_and_removed_by_the_configuration(sim: Sim) -> None:
    told = sim.apply(configuration(name="open"))
    assert sim.up_to(lambda: told.status == 200, 5_000)
    sim.run(APPLY_MS)
    assert answers(sim, [sim.call(PATH), sim.call(PATH, api_key="k9")]) == [200, 200]
    change(sim, {})
    sim.run(APPLY_MS)
    assert answers(sim, [sim.call(PATH), sim.call(PATH, api_key="k1")]) == [401, 401]


def faults_found(sim: Sim, call: Asked, **faults: Any) -> list[str]:
    """The key judges that report a fault once the log of a call's runs is changed."""
    for run in runs_of(sim, call):
        for name, value in faults.items():
            setattr(run, name, value)
    log = sim.log()
    return [j.__name__ for j in key_judges.KEY_JUDGES if j(log)]


def test_each_key_judge_reports_its_fault(sim: Sim) -> None:
    call = sim.call(PATH, api_key="k1")
    sim.run(1_000)
    assert faults_found(sim, call) == []
    assert faults_found(sim, call, tenant="two") == ["runs_in_its_tenants_name"]
    assert faults_found(sim, call, tenant="") == ["runs_in_its_tenants_name"]
    assert faults_found(sim, call, tenant="one", key_shown=True) == ["no_key_is_passed_on"]
    call.status = 401
    assert faults_found(sim, call, key_shown=False) == ["unknown_only_if_unknown"]
    call.api_key = "k9"
    assert faults_found(sim, call) == ["runs_in_its_tenants_name"]
