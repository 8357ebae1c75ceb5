"""Feature switches: they are validated, each is read in one place and has its stated effect."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from immutables import Map

from spokeroute.common.ids import Address, Incarnation, Ms, NodeId
from spokeroute.common.settings import SettingsError, read_settings
from spokeroute.common.switches import NAMES, SwitchError, Switches, read_switches, without
from spokeroute.dispatch.configuration.configuration import Service
from spokeroute.dispatch.flare.algorithms import CandidateWorker, Function, LoadSnapshot, laaf
from spokeroute.dispatch.placement.reports import ExchangeReport, update_demand
from spokeroute.dispatch.scaling.sizing import Demand, spares_of, wanted_of
from spokeroute.exchange.call_state import State, apply_lists, expected_wait_ms
from spokeroute.nodes import Start, build_exchange
from spokeroute.register.replica.compile_queue import REST_FACTOR
from spokeroute.transport.list_messages import Lists, Successors
from spokeroute.transport.messages import DemandReport
from spokeroute.transport.process import Me
from tests.sim.cluster import Sim
from tests.test_scenarios import clean

ROOT = Path(__file__).parent.parent
SLOW = Service("s", 512, 4, start_ms=1_400, spares=0)


def test_all_switches_are_on_by_default() -> None:
    assert all(getattr(Switches(), name) for name in NAMES)


@pytest.mark.parametrize("name", NAMES)
def test_each_switch_is_read_in_one_place(name: str) -> None:
    sources = [p for p in (ROOT / "spokeroute").rglob("*.py") if p.name != "switches.py"]
    reads = [p for p in sources for _ in re.findall(rf"switches\.{name}\b", p.read_text())]
    assert len(reads) == 1, reads


def test_a_settings_file_turns_switches_off(tmp_path: Path) -> None:
    path = tmp_path / "ex1.toml"
    path.write_text("policy.load_shifts = false\npolicy.near_first = true\n")
    settings = read_settings(str(path), {})
    assert settings.policy == Switches(load_shifts=False)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("policy.load_shift = false", "unknown switch 'load_shift'"),
        ("policy.load_shifts = 0", "'load_shifts' in"),
        ("policy.load_shifts = 'off'", "must be true or false"),
        ("policy = true", "setting 'policy'"),
        (f"policy.{'x' * 900} = false", "remove it; known: lone_spare"),
    ],
)
def test_an_unknown_or_wrong_switch_is_refused_by_name(
    tmp_path: Path, text: str, said: str
) -> None:
    path = tmp_path / "ex1.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as refused:
        read_settings(str(path), {})
    assert said in str(refused.value)
    assert len(str(refused.value)) < 700


def test_the_adapter_refuses_an_unknown_switch_by_name() -> None:
    done = subprocess.run(
        [sys.executable, "platform/node.py", "exchange", "--without", "near_first,spares"],
        cwd=ROOT, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2
    assert "unknown switch 'spares' in --without" in done.stderr


def test_switch_names_and_values_are_validated() -> None:
    with pytest.raises(SwitchError):
        without(Switches(), ["no such"], "here")
    with pytest.raises(SwitchError):
        read_switches({"lone_spare": 1}, "here")
    assert without(Switches(), ["lone_spare"], "here") == Switches(lone_spare=False)


def test_scaling_without_lone_spare_and_bounded_growth() -> None:
    demand = Demand(40.0, 0, 0)
    assert spares_of(SLOW, demand, 1, 0, 200) == 1
    assert spares_of(SLOW, demand, 1, 0, 200, lone=False) == 0
    assert wanted_of(SLOW, demand, 1, 0) == 10
    assert wanted_of(SLOW, Demand(400.0, 0, 0), 1, 0) == 10
    assert wanted_of(SLOW, Demand(400.0, 0, 0), 1, 0, bounded=False) == 134


def reported(in_flight: int, at_ms: int) -> Map[str, ExchangeReport]:
    row = DemandReport("s", 1, 0, in_flight)
    return Map({"ex1": ExchangeReport(Incarnation(1), Ms(at_ms), {}, (row,))})


def test_demand_without_lasting_or_prediction() -> None:
    crowd = update_demand(Map(), reported(8, 0), 0, 100)["s"]
    at_once = update_demand(Map(), reported(8, 0), 0, 100, None, Switches(lasting_demand=False))[
        "s"
    ]
    assert (crowd.level, at_once.level) == (0.0, 8.0)
    later = Map({"s": crowd})
    assert update_demand(later, reported(8, 900), 900, 100)["s"].gap_ms == 900.0
    blind = Switches(idle_prediction=False)
    assert update_demand(later, reported(8, 900), 900, 100, None, blind)["s"].gap_ms == 0.0


def test_lists_without_accumulation_share_the_first_successor() -> None:
    snapshot = LoadSnapshot(
        (("t", 70.0), ("a", 1.0), ("b", 0.0)),
        (Function("x", "t", 40.0), Function("y", "t", 30.0)),
        tuple(
            (s, (CandidateWorker("a", (f"{s}1",)), CandidateWorker("b", (f"{s}2",))))
            for s in ("x", "y")
        ),
    )
    assert [r.workers[0] for r in laaf(snapshot)] == ["b", "a"]
    assert [r.workers[0] for r in laaf(snapshot, accumulates=False)] == ["b", "b"]


class NoWorld:
    """A world that performs no effects."""

    def now_ms(self) -> Ms:
        return Ms(0)


def built(switches: Switches) -> State:
    me = Me(NodeId("ex1"), Incarnation(1), Address("10.0.0.1:1"), "exchange", "north")
    process = build_exchange(me, NoWorld(), Start((), 1, switches=switches))  # type: ignore[arg-type]
    assert process.actors["replica"].state.compile_queue.rest_factor == (
        REST_FACTOR if switches.compile_rests else 0
    )
    state = process.actors["calls"].state
    process.close()
    assert isinstance(state, State)
    return state


def test_an_exchange_without_second_sends_lists_or_early_refusals() -> None:
    lists = Lists(1, 1, 1, 0, (Successors("s", "w", ("a",)),), 3)
    on, off = built(Switches()), built(Switches(second_sends=False, ranked_lists=False))
    long_ms = 60_000
    told, untold = (
        apply_lists(on, NodeId("m1"), lists, Ms(0))[0],
        apply_lists(off, NodeId("m1"), lists, Ms(0))[0],
    )
    assert told.budget.allows("s", long_ms)
    assert not untold.budget.count_first("s", long_ms).allows("s", long_ms)
    assert apply_lists(on, NodeId("m1"), lists, Ms(0))[0].lists.of("s", "w") == ("a",)
    assert apply_lists(off, NodeId("m1"), lists, Ms(0))[0].lists.of("s", "w") is None
    assert expected_wait_ms(built(Switches(early_refusal=False)), "s", Ms(0)) == 0
    assert built(Switches(compile_rests=False)).places == built(Switches()).places


@pytest.mark.parametrize("name", NAMES)
def test_a_cluster_keeps_its_guarantees_with_any_switch_off(name: str) -> None:
    """Switches are for measurements: turning one off costs time or memory, but no guarantee."""
    sim = Sim(5, exchanges=4, switches=without(Switches(), [name], "here"))
    sim.settle()
    sim.traffic(40, 5_000, ("/readings", "/corrections", "/small/1"))
    sim.run(2_000)
    sim.exchanges[0].kill()
    sim.run(9_000)
    served = sum(1 for each in sim.asked if each.status == 200)
    assert served >= 0.8 * len(sim.asked)
    clean(sim)
    sim.close()
