"""The soak: its plans repeat, each of its judges speaks at a planted fault, and a short run of real
processes is clean."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest
import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st

from tools.log import Asked, Down, Log, Run, Told
from tools.ports import free_ports
from tools.soak.cloud_standin import CloudStandin, sealed_handler
from tools.soak.judges import RECOVERY_MS, judge_soak, recovery_ms
from tools.soak.plan import (
    CALM_AFTER_S,
    CALM_BEFORE_S,
    MEMBER_REST_S,
    Act,
    ActKind,
    plan_of,
)
from tools.soak.records import Broken, Ended, Left, Size, SoakLog
from tools.soak.run import Soak
from tools.soak.sizes import largest_fleet
from tools.standin import Instance, QuietServer, parser_of

FRONTS = tuple(f"ex{number}" for number in range(1, 7))
MEMBERS = ("reg1", "reg2", "reg3")
SECONDS = 40.0
CI_SEED = 3
CI_SECONDS = 24.0
OVERTAKE_FREEZE_S = 2.5
END_MS = 60_000.0


@settings(max_examples=50, deadline=None)
@given(st.integers(0, 10_000))
def test_a_seed_gives_one_plan_and_leaves_both_ends_calm(seed: int) -> None:
    acts = plan_of(seed, SECONDS, FRONTS, MEMBERS)
    assert acts == plan_of(seed, SECONDS, FRONTS, MEMBERS)
    assert acts
    assert all(CALM_BEFORE_S <= act.at_s <= SECONDS - CALM_AFTER_S for act in acts)
    assert {act.name for act in acts} <= {*FRONTS, *MEMBERS, ""}
    away = [
        act for act in acts
        if act.name in MEMBERS and (act.kind is not ActKind.REREAD or act.second is not None)
    ]  # fmt: skip
    for one, other in pairwise(away):
        assert other.at_s >= one.at_s + MEMBER_REST_S  # one member is away at a time


def test_over_many_seeds_everything_happens_and_overlaps() -> None:
    plans = [plan_of(seed, SECONDS, FRONTS, MEMBERS) for seed in range(60)]
    assert {act.kind for acts in plans for act in acts} == set(ActKind)
    assert any(act.second is not None for acts in plans for act in acts)
    gaps = [second.at_s - first.at_s for acts in plans for first, second in pairwise(acts)]
    assert max(gaps) < 1.5


def test_a_fleets_ports_are_none_that_an_outgoing_connection_is_given() -> None:
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    drawn = free_ports(40)
    assert len(set(drawn)) == 40
    assert max(drawn) < first


def test_the_largest_fleet_is_bounded() -> None:
    assert 3 <= largest_fleet() <= 200


def asked(call: str, at_ms: float, status: int = 200, kind: str = "", ran: str = "") -> Asked:
    return Asked(
        call, "", "/readings", "readings", False, "ex1", at_ms, 4_000, at_ms + 50, status, ran,
        kind, b"" if status != 200 else f"body of {call}".encode(), 1 if status else 0, "POST",
    )  # fmt: skip


def ran(call: str, at_ms: float) -> Run:
    return Run(
        at_ms, "i1", "readings", "w1", "north", call, "", "/readings", f"{call}.0", 1, 4, 0.0
    )


def sizes(threads: int) -> list[Size]:
    return [Size("ex1", 40, threads, 40.0), Size("reg1", 50, 20, 40.0)]


def clean() -> SoakLog:
    """Calls all through the run, one of which crossed the close of its connection, one of which was
    given up by its client."""
    calls = [asked(f"c{at}", 500.0 * at) for at in range(1, 100)]
    calls.append(asked("crossed", 9_000.0, 0, "broke"))
    calls.append(asked("left", 9_500.0, 0, "left"))
    log = Log(
        END_MS, calls, [ran(a.call, a.at_ms + 5) for a in calls if a.status == 200],
        {f"{a.call}.0": a.body for a in calls if a.status == 200}, [], {},
    )  # fmt: skip
    return SoakLog(
        log,
        [Broken("crossed", "ex1", 9_000.0, 9_050.0, kept=True)],
        [Left("left", "ex1", 9_540.0)],
        [Ended("ex1", 9_000.0, 11_000.0, 0)],
        sizes(20), sizes(22), last_trouble_ms=20_000.0,
    )  # fmt: skip


def judges_that_speak(soak: SoakLog) -> set[str]:
    # The route table is the operators' matter; these logs have no operator.
    found = [text for text in judge_soak(soak) if not text.startswith("right_service")]
    return {text.split(":")[0] for text in found}


def test_a_clean_run_is_silent() -> None:
    assert judges_that_speak(clean()) == set()
    assert recovery_ms(clean()) == 0.0


def dropped_late(soak: SoakLog) -> None:
    soak.broken.append(Broken("crossed", "ex2", 9_000.0, 9_900.0, kept=True))


def ran_and_cut(soak: SoakLog) -> None:
    soak.log.runs.append(ran("crossed", 9_010.0))


def answer_cut(soak: SoakLog) -> None:
    soak.broken.append(Broken("c1", "ex2", 500.0, 560.0, kept=False, partial=True))


def never_answered(soak: SoakLog) -> None:
    soak.log.asked.append(asked("open", 30_000.0, -1))


def out_of_time(soak: SoakLog) -> None:
    soak.log.asked.append(asked("slow", 30_000.0, 0, "timeout"))


def work_for_the_gone(soak: SoakLog) -> None:
    for number in range(5):
        soak.log.asked.append(asked(f"gone{number}", 12_000.0, 0, "left"))
        soak.left.append(Left(f"gone{number}", "ex1", 12_040.0))
        soak.log.runs.append(ran(f"gone{number}", 13_000.0))


def crash_at_the_end(soak: SoakLog) -> None:
    soak.ended.append(Ended("ex2", 9_000.0, 9_500.0, 1))


def grace_overrun(soak: SoakLog) -> None:
    soak.ended.append(Ended("ex2", 9_000.0, 24_000.0, None))


def killed_by_the_signal(soak: SoakLog) -> None:
    soak.ended.append(Ended("ex2", 9_000.0, 9_100.0, -signal.SIGTERM))


def threads_creep(soak: SoakLog) -> None:
    soak.after[:] = sizes(90)


def stays_down(soak: SoakLog) -> None:
    for each in soak.log.asked:
        if each.at_ms > soak.last_trouble_ms + RECOVERY_MS:
            each.status, each.kind, each.body = 503, "no_room", b""
    late = {a.call for a in soak.log.asked if a.status == 503}
    soak.log.runs[:] = [run for run in soak.log.runs if run.call not in late]


def configuration_gone(soak: SoakLog) -> None:
    soak.read_back = False


def acked(number: int) -> Told:
    return Told("apply", 5_000.0, 5_020.0, 200, {"version": 3, "number": number}, number=number)


def read(number: int, whole: bool) -> Told:
    return Told("read", 5_100.0, 5_120.0, 200, {"number": number, "whole": whole})


def read_older(soak: SoakLog) -> None:
    soak.log.told += [acked(7), read(6, whole=True)]


def read_other_content(soak: SoakLog) -> None:
    soak.log.told += [acked(7), read(7, whole=False)]


def order_undone(soak: SoakLog) -> None:
    soak.undone.append("centre was evacuated last; reg2 undid it")


@pytest.mark.parametrize(
    ("fault", "judge"),
    [
        (dropped_late, "none_lost"),
        (ran_and_cut, "none_lost"),
        (answer_cut, "none_lost"),
        (never_answered, "one_final_answer"),
        (out_of_time, "one_final_answer"),
        (work_for_the_gone, "no_work_for_the_gone"),
        (crash_at_the_end, "ends_in_order"),
        (grace_overrun, "ends_in_order"),
        (killed_by_the_signal, "ends_in_order"),
        (threads_creep, "nothing_creeps"),
        (stays_down, "comes_back"),
        (configuration_gone, "comes_back"),
        (read_older, "numbers_read_back"),
        (read_other_content, "numbers_read_back"),
        (order_undone, "newest_order_stands"),
    ],
)
def test_each_judge_speaks_at_its_fault(fault: Callable[[SoakLog], None], judge: str) -> None:
    soak = clean()
    fault(soak)
    assert judges_that_speak(soak) == {judge}


def test_a_kill_excuses_what_it_broke_and_nothing_else() -> None:
    soak = clean()
    dropped_late(soak)
    soak.log.downs.append(Down("ex2", 9_500.0, 10_000.0, "killed"))
    assert judges_that_speak(soak) == set()
    soak.broken.append(Broken("c30", "ex2", 15_000.0, 16_000.0, kept=True))
    assert judges_that_speak(soak) == {"none_lost"}


@pytest.mark.xdist_group("fleet")
@pytest.mark.parametrize("adapter", [False, True])
def test_a_short_soak_of_real_processes_is_clean(tmp_path: Path, adapter: bool) -> None:
    soak = Soak(tmp_path / "soak", CI_SEED, CI_SECONDS, fronts=3, clients=12, adapter=adapter)
    found = soak.run()
    assert len(soak.acts) >= 5
    assert found == [], (soak.told(), found)


@pytest.mark.xdist_group("fleet")
@pytest.mark.parametrize("adapter", [False, True])
def test_a_member_that_wakes_does_not_undo_newer_orders(tmp_path: Path, adapter: bool) -> None:
    """A frozen member read an evacuation order or its opposite when it woke, and carried it out,
    though its sender had it acknowledged by another member and had sent the opposite since."""
    acts = (Act(CALM_BEFORE_S, ActKind.OVERTAKE, "reg2", OVERTAKE_FREEZE_S),)
    soak = Soak(tmp_path / "soak", CI_SEED, 1.0, 3, 6, adapter, acts=acts)
    found = soak.run()
    assert found == [], (soak.told(), found)


def test_both_runs_of_a_repeated_attempt_are_told_apart(tmp_path: Path) -> None:
    """Seed 27 through the adapter: an attempt ran at two instances under its caller's one id; the
    first one's whole answer was taken for nobody's, as the log kept the second one's alone."""
    (tmp_path / "limits.json").write_text('{"readings": 4}')
    words = ["--listen", "127.0.0.1:0", "--log", str(tmp_path / "log"), "--work-ms", "1"]
    parser = parser_of()
    parser.add_argument("--limits")
    standin = CloudStandin(parser.parse_args([*words, "--limits", str(tmp_path / "limits.json")]))
    bodies: list[bytes] = []
    for name in ("i-1", "i-2"):
        instance = Instance(name, "readings", "w1", 4, state="running")
        server = QuietServer(("127.0.0.1", 0), sealed_handler(standin, instance))
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
        headers = {"X-Attempt-Id": "a1", "Standin-Call": "c1", "X-Expected-Instance": name}
        url = f"http://127.0.0.1:{server.server_address[1]}/readings/x"
        got = urllib3.PoolManager(retries=False).request("GET", url, headers=headers, timeout=5)
        assert (got.status, got.headers["X-Attempt-Id"]) == (200, "a1")
        bodies.append(got.data)
        server.shutdown()
        server.server_close()
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    answers = {e["attempt_id"]: e["body"].encode() for e in lines if e["kind"] == "answer"}
    assert sorted(answers.values()) == sorted(bodies)
