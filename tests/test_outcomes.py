"""Unsuccessful calls are counted under one reason each; the counts are reported and bounded."""

from __future__ import annotations

import pytest
from immutables import Map

from spokeroute.common.answers import Answer, Kind, Ran, refusal
from spokeroute.common.effects import SlotId
from spokeroute.common.histogram import BOUNDS_MS, Histogram
from spokeroute.common.ids import Incarnation, InstanceId, Ms, NodeId, WorkerId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement.state import State as Placing
from spokeroute.dispatch.placement.state import with_outcomes
from spokeroute.dispatch.scaling.start_steps import StartStep, StartSteps
from spokeroute.exchange.outcomes import (
    MAX_NAME_CHARS,
    MAX_SERVICES,
    OTHER_SERVICES,
    REASON_BY_KIND,
    Outcome,
    Outcomes,
    Reason,
    is_late,
    late_reason,
    refusal_reason,
)
from spokeroute.exchange.types import Attempt, Call
from spokeroute.metrics import MOST_LABEL_CHARS, PAST_BOUND, Figures, bounded, text_of
from spokeroute.transport.outcome_messages import (
    OutcomeRow,
    OutcomesTold,
    outcomes_line,
    read_outcomes_line,
)
from tests.call_builders import call_to
from tests.sim.cluster import Sim
from tests.test_partial_views import sparse as sparse  # a fixture
from tools.worth import Told, read_log, reasons

NAME = "x" * 1_000
START_MS, END_MS = Ms(1_000), Ms(2_000)


def attempt(sent_ms: int = 1_000, rule: str = "routed", queued: bool = False) -> Attempt:
    return Attempt(
        InstanceId("i"), WorkerId("w"), NodeId("ex2"), Incarnation(1), Ms(sent_ms),
        queued=queued, rule=rule,
    )  # fmt: skip


def call(**changes: object) -> Call:
    made = call_to("ex2", START_MS, SlotId(1, 1))
    route = replace(made.route, aim_ms=500)
    return replace(made, route=route, **changes)  # type: ignore[arg-type]


def waited(made: Call, waited_ms: int) -> Call:
    return replace(made, request=replace(made.request, waited_ms=waited_ms))


LATE = [
    (call(), attempt(rule="starting"), False, Reason.BOOT),
    (call(), attempt(1_600), False, Reason.PLACEMENT),
    (call(claimed=True), attempt(1_600), False, Reason.CLAIM),
    (call(), attempt(1_100, queued=True), False, Reason.QUEUE),
    (call(send_count=2), attempt(1_100), False, Reason.QUEUE),
    (call(tried_instances=frozenset({"j"})), attempt(1_100, "starting"), False, Reason.RETRY),
    (call(was_refused=True), attempt(), False, Reason.RETRY),
    (waited(call(), 1_500), attempt(), False, Reason.ENTRY_BUSY),
    (call(), attempt(), True, Reason.FAR),
    (call(), attempt(), False, Reason.SLOW_RUN),
]


@pytest.mark.parametrize(("made", "by", "far", "reason"), LATE, ids=[x[3].value for x in LATE])
def test_a_late_call_has_the_reason_that_took_its_time(
    made: Call, by: Attempt, far: bool, reason: Reason
) -> None:
    assert late_reason(made, by, far, END_MS) == reason


def test_lateness_is_measured_against_the_aim_and_includes_earlier_waiting() -> None:
    assert not is_late(call(), Ms(1_500))
    assert is_late(call(), Ms(1_501))
    assert is_late(waited(call(), 1), Ms(1_500))
    no_aim = replace(call(), route=replace(call().route, aim_ms=0))
    assert not is_late(no_aim, Ms(9_000))


@pytest.mark.parametrize("kind", list(Kind))
def test_each_kind_of_refusal_has_a_reason(kind: Kind) -> None:
    outcome, reason = refusal_reason(refusal(kind, Ran.NO, "why"))
    assert reason == REASON_BY_KIND[kind]
    failed = kind in (Kind.UNKNOWN, Kind.BAD_ANSWER, Kind.LOST)
    assert outcome == (Outcome.FAILED if failed else Outcome.REFUSED)


@pytest.mark.parametrize(
    ("why", "reason"),
    [
        ("lost: its holder is silent", Reason.HOLDER_SILENT),
        ("lost: its holder began another life", Reason.HOLDER_LOST),
        ("lost: the holder's link broke", Reason.HOLDER_LOST),
        ("lost: reset by the instance", Reason.INSTANCE_LOST),
    ],
)
def test_the_causes_of_lost_attempts_are_distinguished(why: str, reason: Reason) -> None:
    assert refusal_reason(refusal(Kind.LOST, Ran.MAYBE, why), why) == (Outcome.FAILED, reason)


def test_an_early_refusal_is_distinguished_from_a_late_one() -> None:
    early = refusal(Kind.NO_ROOM, Ran.NO, "the queue is long", retry_after_s=2)
    assert refusal_reason(early)[1] == Reason.LONG_QUEUE
    assert refusal_reason(refusal(Kind.NO_ROOM))[1] == Reason.NO_ROOM


def test_service_names_are_truncated_and_bounded() -> None:
    outcomes = Outcomes()
    for number in range(3 * MAX_SERVICES):
        outcomes = outcomes.count(f"{number}{NAME}", Outcome.LATE, Reason.BOOT)
    names = {service for service, _, _ in outcomes.total}
    assert len(names) <= MAX_SERVICES + 1
    assert OTHER_SERVICES in names
    assert max(len(name) for name in names) <= MAX_NAME_CHARS
    assert sum(outcomes.total.values()) == 3 * MAX_SERVICES
    assert outcomes.total[OTHER_SERVICES, "late", "waited_for_boot"] == 2 * MAX_SERVICES


def test_a_batch_is_reported_once_and_numbered() -> None:
    outcomes = (
        Outcomes().count("s", Outcome.LATE, Reason.BOOT).count("s", Outcome.LATE, Reason.BOOT)
    )
    outcomes, rows = outcomes.batch(Ms(5))
    assert rows == ((("s", "late", "waited_for_boot"), 2),)
    assert (outcomes.reported_batches, outcomes.batch(Ms(6))[1]) == (1, ())
    assert outcomes.batch(Ms(6))[0].reported_batches == 1


def test_the_placement_member_sums_outcomes_and_writes_them_to_the_ledger() -> None:
    reported = OutcomesTold(3, (OutcomeRow("s", "late", "waited_for_boot", 2),))
    state = Placing(NodeId("m1"), term=4)
    state, effects = with_outcomes(state, NodeId("ex1"), reported)
    state, _ = with_outcomes(state, NodeId("ex2"), reported)
    assert state.outcomes["s", "late", "waited_for_boot"] == 4
    assert len(effects) == 1
    assert with_outcomes(replace(state, term=0), NodeId("ex1"), reported)[1] == ()


def test_a_log_line_is_parsed_and_garbage_is_not() -> None:
    rows = (OutcomeRow("s", "late", "slow_run", 2), OutcomeRow('a"b', "failed", "bad_answer", 1))
    assert read_outcomes_line("ex1: calls: " + outcomes_line(rows)) == rows
    for line in ("", "outcomes", "outcomes [1", "outcomes [[1]]", 'outcomes [["a","b","c","d"]]'):
        assert read_outcomes_line(line) == ()


def test_a_log_is_summarized_by_reason_and_second() -> None:
    lines = [
        '   0.8130 front-1 W1 ring.py:1] front-1: calls: outcomes [["s","late","slow_run",2]]',
        '   7.1 front-2 W1 ring.py:1] front-2: calls: outcomes [["s","refused","no_room",5]]',
        "   7.2 front-2 nothing of interest",
    ]
    told = read_log(lines)
    assert told == [Told(0.813, "late", "slow_run", 2), Told(7.1, "refused", "no_room", 5)]
    text = reasons(told)
    assert text.index("no_room") < text.index("slow_run")
    assert "second 7: 5, most for no_room" in text


def test_metrics_are_text_with_bounded_series() -> None:
    outcomes = {(f"s{number}{NAME}", "late", "slow_run"): number + 1 for number in range(9)}
    found = bounded(outcomes, most=4)
    assert len(found) == 5
    assert sum(found.values()) == 45
    assert found[PAST_BOUND] == 15
    assert max(len(service) for service, _, _ in found) <= MOST_LABEL_CHARS
    steps = {"write": Histogram().with_time(12).with_time(9_999)}
    text = text_of(Figures(outcomes, {"spokeroute_start_step_seconds": steps}, {"g": 1.5})).decode()
    assert 'spokeroute_calls_total{outcome="late",reason="slow_run",service="s8xxx' in text
    assert 'spokeroute_start_step_seconds_bucket{le="0.02",step="write"} 1.0' in text
    assert 'spokeroute_start_step_seconds_count{step="write"} 2.0' in text
    assert "spokeroute_outcome_series_limit 2000.0" in text


def test_metric_labels_are_escaped() -> None:
    odd = 'a"b\\c\nd{}é'
    text = text_of(Figures({(odd, "late", "slow_run"): 1})).decode()
    lines = [line for line in text.splitlines() if line.startswith("spokeroute_calls_total{")]
    assert len(lines) == 1
    assert lines[0].endswith("} 1.0")


def test_start_steps_are_timed_once_and_in_order() -> None:
    starts = StartSteps().begun("a", Ms(0))
    starts = starts.passed("a", StartStep.WRITE, Ms(20)).passed("a", StartStep.WRITE, Ms(90))
    starts = starts.passed("a", StartStep.PLATFORM, Ms(50)).passed("a", StartStep.ASK, Ms(60))
    starts = starts.passed("a", StartStep.UP, Ms(400)).passed("a", StartStep.UP, Ms(500))
    assert {step: h.sum_ms for step, h in starts.steps.items()} == {
        "write": 20, "platform": 30, "mark_up": 350,
    }  # fmt: skip
    assert starts.open == Map()
    assert starts.passed("b", StartStep.WRITE, Ms(5)) == starts


def test_a_histogram_is_cumulative() -> None:
    found = Histogram().with_time(BOUNDS_MS[0]).with_time(10**6)
    assert (found.counts[0], found.counts[-1], found.count) == (1, 1, 2)


def test_cold_starts_of_a_cluster_are_timed_by_step(sparse: Sim) -> None:
    """Both the waits at the exchange and the start steps at the placement member are recorded."""
    for number in range(12):
        sparse.call(f"/rare/{number}", sparse.exchanges[number])
        sparse.run(70)
    sparse.run(4_000)
    waits = [x.state("calls").waits.histograms for x in sparse.exchanges]
    placed = [by["placed"] for by in waits if "placed" in by]
    answered = [by["answered"] for by in waits if "answered" in by]
    assert sum(h.count for h in placed) == sum(h.count for h in answered) == 12
    steps = next(
        r.state("placement").starts.steps
        for r in sparse.registries
        if "mark_up" in r.state("placement").starts.steps
    )
    assert set(steps) == {step.value for step in StartStep}
    assert steps["boot"].sum_ms / steps["boot"].count >= 400
    assert all(h.count >= 12 for h in steps.values())


def test_refusals_of_a_cluster_reach_the_ledger(sparse: Sim) -> None:
    for exchange in sparse.exchanges:
        sparse.call("/nowhere", exchange)
    sparse.run(4_000)
    rows = [row for entry in sparse.entries("outcomes") for row in entry["output"]]
    assert sum(count for _, _, reason, count in rows if reason == "no_route") == 12


def test_an_answer_of_an_instance_has_no_kind() -> None:
    assert Answer(503, (), b"").kind is None
