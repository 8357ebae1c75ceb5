"""The capacity tool: its lines, its refusals, its counts; and that a point is the same again."""

from __future__ import annotations

from dataclasses import asdict, replace
from itertools import pairwise

import pytest

from tools.capacity_aim import AIM, sizes_of
from tools.capacity_clock import smoothed
from tools.capacity_fit import Prediction, fit, is_flat
from tools.capacity_fleet import Point, Run, measure
from tools.capacity_meter import Meter
from tools.capacity_page import render, short
from tools.capacity_rows import CPU, IN, ROWS, calm, fitted, mechanism_of
from tools.capacity_size import (
    HUBS,
    Size,
    SizeError,
    check,
    counts_of,
    fits,
    floor_of,
    holders_of,
)
from tools.capacity_sweep import SWEEPS, jobs_of

SMALL = Size(nodes=4, registries=3, functions=4, instances=8, each=4, seconds=2.0)


@pytest.fixture(scope="module")
def points() -> tuple[Point, Point]:
    """The same small fleet, run twice."""
    size = replace(SMALL, calls_per_s=20.0, applies=1)
    return measure(size), measure(size)


def test_a_line_through_points_on_a_line() -> None:
    line = fit([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)])
    assert (line.slope, line.base, line.r2, line.points) == pytest.approx((2.0, 3.0, 1.0, 4))
    assert line.at(100.0) == pytest.approx(203.0)


def test_a_line_tells_how_well_it_fits_and_how_repeats_spread() -> None:
    line = fit([(1.0, 9.0), (1.0, 11.0), (2.0, 20.0), (3.0, 30.0), (4.0, 40.0)])
    assert line.spread == pytest.approx(0.2)
    assert 0.99 < line.r2 < 1.0
    bent = fit([(float(x), float(x**2)) for x in range(1, 9)])
    assert bent.r2 < 0.97


def test_a_line_never_says_less_than_nothing() -> None:
    assert fit([(10.0, 0.0), (20.0, 10.0)]).at(1.0) == 0.0


def test_what_hardly_rises_is_flat() -> None:
    flat = [(40.0, 12.5), (80.0, 12.5), (160.0, 12.6), (240.0, 12.4)]
    steep = [(40.0, 10.0), (80.0, 20.0), (160.0, 40.0)]
    assert is_flat(fit(flat), flat)
    assert not is_flat(fit(steep), steep)


def test_a_prediction_is_measured_against_what_came() -> None:
    assert Prediction(930.0, 110.0, 100.0).off == pytest.approx(0.1)


def test_the_aim_does_not_fit_and_the_refusal_names_what_does() -> None:
    aim = Size(nodes=930, instances=220_000, functions=36_000)
    with pytest.raises(SizeError) as refused:
        check(aim)
    words = str(refused.value).split()
    offered = {w: int(n) for w, n in pairwise(words) if w.startswith("--")}
    small = replace(
        aim, nodes=offered["--nodes"], instances=offered["--instances"],
        functions=offered["--functions"],
    )  # fmt: skip
    assert fits(small)


def test_a_refusal_offers_one_number_where_one_is_enough() -> None:
    size = Size(nodes=930, instances=20_000, functions=200)
    with pytest.raises(SizeError) as refused:
        check(size)
    words = str(refused.value).split()
    most = int(words[words.index("--instances") + 1])
    assert 0 < most < size.instances
    assert fits(replace(size, instances=most))


@pytest.mark.parametrize(
    "size",
    [
        Size(nodes=HUBS),
        Size(registries=0),
        Size(functions=1, instances=201),
        Size(seconds=0.0),
    ],
)
def test_sizes_that_cannot_be_are_refused(size: Size) -> None:
    with pytest.raises(SizeError):
        check(size)


def test_930_nodes_fit() -> None:
    check(next(s for s in SWEEPS if s.name == "nodes").at(930, 1))


def test_every_swept_size_fits() -> None:
    for job in jobs_of((), 1):
        check(job.size)


def test_ordinary_nodes_hold_what_is_asked_and_hubs_the_rest() -> None:
    size = Size(nodes=6, instances=100, functions=10, held=5)
    held = [holders_of(size).count(n) for n in range(6)]
    assert held[: 6 - HUBS] == [5, 5, 5, 5]
    assert sum(held) == 100
    assert len(floor_of(size).instances) == 100
    assert sum(counts_of(size, n) for n in range(10)) == 100


def test_work_inside_a_part_is_the_inner_part_s_alone() -> None:
    now = [0]
    meter = Meter(lambda: now[0])
    meter.on, meter.node = True, "n"
    meter.enter()
    now[0] += 5
    meter.enter()
    now[0] += 3
    meter.leave("inner")
    now[0] += 2
    meter.leave("outer")
    meter.enter()
    now[0] += 100
    meter.leave("")
    assert meter.tally("n").cpu == {"inner": [3.0, 1.0], "outer": [7.0, 1.0]}


def test_nothing_is_counted_while_the_meter_is_off() -> None:
    meter = Meter(lambda: 0)
    meter.enter()
    meter.leave("part")
    meter.passed("n", "out", "Probe", "zone", 10)
    meter.note("call")
    assert meter.tally("n").cpu == {} and meter.tally("n").wire == {} and meter.notes == {}


def test_a_counter_that_jumps_or_falls_back_goes_on_where_it_was() -> None:
    raw = iter([100, 110, 10**15, 10**15 + 5, 7, 9])
    read = smoothed(lambda: next(raw))
    assert [read() for _ in range(6)] == [100, 110, 110, 115, 115, 117]


def test_a_point_is_the_same_again(points: tuple[Point, Point]) -> None:
    first, second = points
    notes = [{k: v for k, v in p.notes.items() if k != "ns per count"} for p in points]
    assert first.wire == second.wire
    assert notes[0] == notes[1]
    times = [{r: {k: n for k, (_, n) in c.items()} for r, c in p.cpu.items()} for p in points]
    assert times[0] == times[1]


def test_every_exchange_asks_every_registry_and_all_is_answered(
    points: tuple[Point, Point],
) -> None:
    wire = points[0].wire["exchange"]
    assert wire["out Probe"][0] == pytest.approx(2.5 * SMALL.registries, rel=0.15)
    assert wire["in ProbeAck"][0] == pytest.approx(wire["out Probe"][0], rel=0.1)
    asked = points[0].wire["registry"]["in Probe"][0]
    assert asked == pytest.approx(2.5 * (SMALL.nodes + SMALL.registries - 1), rel=0.15)


def test_bytes_are_those_of_real_frames_and_split_by_span(points: tuple[Point, Point]) -> None:
    for kinds in points[0].wire.values():
        for key, (messages, size_bytes, far, region) in kinds.items():
            assert size_bytes >= far >= region >= 0
            if key.startswith("in ") and key not in ("in listing", "in apply"):
                assert size_bytes >= 5 * messages  # a header each


def test_calls_are_answered_and_their_work_is_counted(points: tuple[Point, Point]) -> None:
    point = points[0]
    assert point.notes["calls answered"] == pytest.approx(20.0, rel=0.4)
    assert "calls refused" not in point.notes
    assert point.cpu["exchange"]["calls CallIn"][1] > 0
    assert point.notes["applies acknowledged"] == 0.5
    assert point.cpu["client"]["client apply"][1] == 0.5


def test_hardly_any_work_is_of_no_known_mechanism(points: tuple[Point, Point]) -> None:
    for parts in points[0].cpu.values():
        known = sum(work for part, (work, _) in parts.items() if mechanism_of(part) != "other")
        assert known >= 0.95 * sum(work for work, _ in parts.values())


def test_a_fleet_settles_with_a_holder_and_all_proved() -> None:
    run = Run(SMALL)
    try:
        run.settle()
        assert run.holder() is not None
        assert run.settled()
    finally:
        run.close()


def test_a_row_is_fitted_by_the_event_and_carried_to_the_aim() -> None:
    raw = []
    for nodes in (10, 20, 40):
        point = {
            "sweep": "nodes", "beyond": False, "size": asdict(replace(SMALL, nodes=nodes)),
            "cpu": {"registry": {"loop": (nodes * 1000.0, 50.0)}},
            "wire": {"registry": {"in Probe": (2.5 * nodes, 500.0 * nodes, 0.0, 0.0)}},
            "notes": {"ns per count": 1e6},
        }  # fmt: skip
        raw.append(point)
    row = next(r for r in ROWS if (r.role, r.mechanism, r.what) == ("registry",
               "freshness proofs", IN))  # fmt: skip
    found = fitted(row, calm(raw))
    assert found is not None
    assert found.at_aim == pytest.approx(2.5 * AIM["nodes"])
    beats = next(r for r in ROWS if (r.role, r.mechanism, r.what) == ("registry",
                 "loop and beats", CPU))  # fmt: skip
    worked = fitted(beats, calm(raw))
    assert worked is not None
    assert worked.line.slope == pytest.approx(1000.0 * 1e-3)


def test_a_row_that_was_not_measured_is_empty() -> None:
    assert all(fitted(row, []) is None for row in ROWS)


def test_every_row_grows_with_a_size_of_the_aim() -> None:
    known = sizes_of(asdict(SMALL))
    for row in ROWS:
        assert row.size in AIM and row.size in known
        assert set(row.sweeps) <= {s.name for s in SWEEPS}


def test_the_page_s_blocks_are_made_anew_and_the_rest_stays() -> None:
    text = "one\n<!-- a -->\nold\n<!-- /a -->\ntwo\n"
    assert render(text, {"a": "new", "b": "x"}) == "one\n<!-- a -->\nnew\n<!-- /a -->\ntwo\n"
    assert short(2_500_000.0, "B/s") == "2.5 MB/s"
