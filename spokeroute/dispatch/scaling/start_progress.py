"""Finds the steps of starts that a newly chosen placement table completes."""

from __future__ import annotations

from spokeroute.common.ids import Ms
from spokeroute.dispatch.placement.planning_pass import Decision
from spokeroute.dispatch.placement.table import STARTING, UP, PlacementTable
from spokeroute.dispatch.scaling.start_steps import StartStep, StartSteps


def started_instance(decision: Decision) -> str:
    """The instance that a start decision creates.

    Example:
        >>> started_instance(Decision("start", {}, {"instance": "a", "worker": "w"}))
        'a'
    """
    output = decision.output
    return str(output["instance"]) if isinstance(output, dict) else ""


def record_start_steps(
    starts: StartSteps, before: PlacementTable, placements: PlacementTable, now_ms: Ms
) -> StartSteps:
    """Record the steps that a newly chosen table completes: the start is written, the holder is
    assigned, or the instance is marked as up.

    Example:
        record_start_steps(StartSteps(), EMPTY_PLACEMENT_TABLE, placements, now_ms).steps
    """
    if not starts.open:
        return starts
    known = {placed.id: placed for placed in before.instances}
    for placed in placements.instances:
        old = known.get(placed.id)
        if placed.id not in starts.open or old is placed:
            continue
        if placed.state == STARTING:
            starts = starts.passed(placed.id, StartStep.WRITE, now_ms)
        if placed.holder and (old is None or not old.holder):
            starts = starts.passed(placed.id, StartStep.HOLDER, now_ms)
        if placed.state == UP:
            starts = starts.passed(placed.id, StartStep.UP, now_ms)
    return starts
