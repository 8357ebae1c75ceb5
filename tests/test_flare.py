"""The paper's worked examples, from its Table 1, Figure 2, Table 2 and section 4.2."""

from __future__ import annotations

from spokeroute.dispatch.flare.algorithms import (
    CandidateWorker,
    Function,
    LoadSnapshot,
    ShiftLimits,
    laaf,
    rome,
)


def candidate(worker: str, instance: str) -> CandidateWorker:
    return CandidateWorker(worker, (instance,))


def test_laaf_follows_dynamic_load_in_table1() -> None:
    """A-1 (40%) and B-1 (30%) on TANGO; DY-1 and DY-2 (50% each) came to LAMBADA and
    CHARLIE. The static order was A-3 then A-2 and B-3 then B-2; LAAF reverses both."""
    before = LoadSnapshot(
        (("TANGO", 70.0), ("LAMBADA", 0.0), ("CHARLIE", 0.0), ("ALPHA", 20.0), ("BETA", 10.0)),
        (Function("A", "TANGO", 40.0), Function("B", "TANGO", 30.0)),
        (
            ("A", (candidate("LAMBADA", "A-3"), candidate("ALPHA", "A-2"))),
            ("B", (candidate("CHARLIE", "B-3"), candidate("BETA", "B-2"))),
        ),
    )
    assert [r.instances for r in laaf(before)] == [("A-3", "A-2"), ("B-3", "B-2")]
    loaded = LoadSnapshot(
        (("TANGO", 70.0), ("LAMBADA", 50.0), ("CHARLIE", 50.0), ("ALPHA", 20.0), ("BETA", 10.0)),
        before.functions,
        before.candidates,
    )
    ranks = laaf(loaded)
    assert [r.instances for r in ranks] == [("A-2", "A-3"), ("B-2", "B-3")]
    after = {"ALPHA": 20.0 + 40.0, "BETA": 10.0 + 30.0}
    assert max(after.values()) <= 60.0  # the paper: no worker exceeds 60%


def test_colocated_functions_get_different_successors() -> None:
    """Two functions of one worker have the same candidates: the load of the first is added to its
    successor before the second is ranked."""
    both = (candidate("a", "x-a"), candidate("b", "x-b"))
    snapshot = LoadSnapshot(
        (("t", 70.0), ("a", 10.0), ("b", 15.0)),
        (Function("x", "t", 40.0), Function("y", "t", 30.0)),
        (("x", both), ("y", (candidate("a", "y-a"), candidate("b", "y-b")))),
    )
    assert [r.workers[0] for r in laaf(snapshot)] == ["a", "b"]


def test_laaf_runs_on_successorless_and_unknown_workers() -> None:
    snapshot = LoadSnapshot((("t", 5.0),), (Function("x", "t", 5.0),), ())
    assert laaf(snapshot)[0].instances == ()


def test_rome_moves_the_heaviest_off_beta() -> None:
    """Case 1: A-2 (40%) and H-1 (50%) make 90% on BETA; H has no replica, so A goes to
    the least loaded of its hosts, LAMBADA at 0."""
    snapshot = LoadSnapshot(
        (("BETA", 90.0), ("LAMBADA", 0.0), ("ALPHA", 10.0), ("CHARLIE", 30.0)),
        (Function("A", "BETA", 40.0), Function("H", "BETA", 50.0)),
        (
            (
                "A",
                (candidate("BETA", "A-2"), candidate("LAMBADA", "A-3"), candidate("ALPHA", "A-4")),
            ),
        ),
    )
    decision = rome(snapshot, ShiftLimits())
    assert [(s.service, s.to_worker, s.cause) for s in decision.shifts] == [
        ("A", "LAMBADA", "overload")
    ]
    eu = dict(decision.eu_pct)
    assert (eu["BETA"], eu["LAMBADA"]) == (50.0, 40.0)


def test_rome_skips_a_move_that_overloads_its_target() -> None:
    """Case 2: A (40%), B (30%) and D (10%) on ALPHA, 80% in all. A can't go to BETA at
    50% (90 is over 70), so B goes to PRINCE; ALPHA settles at 50%."""
    snapshot = LoadSnapshot(
        (("ALPHA", 80.0), ("BETA", 50.0), ("PRINCE", 0.0)),
        (
            Function("A", "ALPHA", 40.0),
            Function("B", "ALPHA", 30.0),
            Function("D", "ALPHA", 10.0),
        ),
        (("A", (candidate("BETA", "A-2"),)), ("B", (candidate("PRINCE", "B-3"),))),
    )
    decision = rome(snapshot, ShiftLimits())
    assert [(s.service, s.to_worker) for s in decision.shifts] == [("B", "PRINCE")]
    assert dict(decision.eu_pct)["ALPHA"] == 50.0


def test_imbalance_moves_d_and_does_not_thrash() -> None:
    """Case 3: D (10%) on ALPHA at 50%, its replica on LAMBADA at 0: 50 is over 120% of 10.
    A second run after the move leaves it there."""
    candidates = (("D", (candidate("ALPHA", "D-1"), candidate("LAMBADA", "D-2"))),)
    snapshot = LoadSnapshot(
        (("ALPHA", 50.0), ("LAMBADA", 0.0)),
        (Function("A", "ALPHA", 40.0), Function("D", "ALPHA", 10.0)),
        candidates,
    )
    decision = rome(snapshot, ShiftLimits())
    assert [(s.service, s.to_worker, s.cause) for s in decision.shifts] == [
        ("D", "LAMBADA", "imbalance")
    ]
    after = LoadSnapshot(
        decision.eu_pct, (Function("A", "ALPHA", 40.0), Function("D", "LAMBADA", 10.0)), candidates
    )
    assert rome(after, ShiftLimits()).shifts == ()


def test_imbalance_rejects_a_move_that_would_not_shrink_the_gap() -> None:
    """With one function of 50% on two workers, moving it would only reverse the gap."""
    candidates = (("A", (candidate("a", "A-1"), candidate("b", "A-2"))),)
    snapshot = LoadSnapshot((("a", 50.0), ("b", 0.0)), (Function("A", "a", 50.0),), candidates)
    assert rome(snapshot, ShiftLimits(migration_pct=80.0)).shifts == ()


def test_imbalance_ignores_a_small_gap() -> None:
    """Guards against a service with few calls moving at each sample: any gap exceeds 120% of a
    load near zero."""
    candidates = (("A", (candidate("a", "A-1"), candidate("b", "A-2"))),)
    snapshot = LoadSnapshot(
        (("a", 9.0), ("b", 0.0)), (Function("A", "a", 0.1), Function("B", "a", 8.9)), candidates
    )
    assert rome(snapshot, ShiftLimits()).shifts == ()
    assert len(rome(snapshot, ShiftLimits(gap_pct=0.0)).shifts) == 1


def test_program_veto_blocks_and_request_causes_a_shift() -> None:
    candidates = (("A", (candidate("b", "A-2"),)),)
    snapshot = LoadSnapshot((("a", 90.0), ("b", 0.0)), (Function("A", "a", 40.0),), candidates)
    vetoed = LoadSnapshot(snapshot.cu_pct, snapshot.functions, candidates, vetoes=(("A", "a"),))
    assert rome(vetoed, ShiftLimits()).shifts == ()
    calm = LoadSnapshot((("a", 30.0), ("b", 0.0)), (Function("A", "a", 10.0),), candidates)
    high = ShiftLimits(migration_pct=1000.0)
    assert rome(calm, high).shifts == ()
    wished = LoadSnapshot(calm.cu_pct, calm.functions, candidates, wishes=(("A", "a"),))
    assert [s.cause for s in rome(wished, high).shifts] == ["program"]
