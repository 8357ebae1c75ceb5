"""Tracks what an exchange has reported about the instances that it holds, per member of the core,
so that each probe carries only what changed since the last report the member is known to have.

Nodes hold hundreds of instances, most of them without calls. Sending all reports to each member
with each probe would fill a narrow link.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Incarnation
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import HeldReport

FULL_REPORT = 0  # the base of a report that builds on no earlier one
MAX_REMOVED = 500  # removed instances that are kept for later reports


@dataclass(frozen=True, slots=True)
class HeldChange:
    """The newest report on an instance, and the number of the probe that first carried it."""

    report: HeldReport
    number: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The newest probe that an incarnation of a member answered. Answers to probes before ``since``
    are ignored: those probes carried changes to a report that only an earlier incarnation had."""

    incarnation: Incarnation
    number: int
    since: int = 0


@dataclass(frozen=True, slots=True)
class ReportChanges:
    """The held instances, the probe at which each changed last, and what each member knows."""

    held: Map[str, HeldChange] = field(default_factory=Map)
    removed: Map[str, int] = field(default_factory=Map)  # no longer held, since which probe
    removals_dropped_at: int = 0  # removals up to this probe are no longer known
    acknowledged: Map[str, Acknowledged] = field(default_factory=Map)

    def with_reports(self, reports: tuple[HeldReport, ...], number: int) -> ReportChanges:
        """Records the reports on all held instances as of a probe.

        Example:
            >>> ReportChanges().with_reports((), 7).held
            immutables.Map({})
        """
        held, removed = self.held.mutate(), self.removed.mutate()
        names = {report.instance for report in reports}
        for report in reports:
            known = self.held.get(report.instance)
            if known is None or known.report != report:
                held[report.instance] = HeldChange(report, number)
            removed.pop(report.instance, None)
        for name in self.held:
            if name not in names:
                del held[name]
                removed[name] = number
        dropped_at = self.removals_dropped_at
        if len(removed) > MAX_REMOVED:
            removed, dropped_at = Map[str, int]().mutate(), number
        return replace(
            self, held=held.finish(), removed=removed.finish(), removals_dropped_at=dropped_at
        )

    def answered(
        self, node: str, incarnation: Incarnation, number: int, newest: int
    ) -> ReportChanges:
        """Records that a member answered a probe and so has the report that the probe carried;
        ``number`` is ``FULL_REPORT`` if it carried none. ``newest`` is the last probe sent.

        Example:
            >>> ReportChanges().answered("m1", Incarnation(1), 7, 8).base("m1")
            7
        """
        known = self.acknowledged.get(node)
        if known is None:
            new = Acknowledged(incarnation, number)
        elif known.incarnation != incarnation:
            new = Acknowledged(incarnation, FULL_REPORT, newest + 1)
        elif number >= max(known.since, known.number):
            new = replace(known, number=number)
        else:
            return self
        return replace(self, acknowledged=self.acknowledged.set(node, new))

    def base(self, node: str) -> int:
        """Returns the probe whose report a member has, if all changes since then are known;
        otherwise ``FULL_REPORT``.

        Example:
            >>> ReportChanges().base("m1") == FULL_REPORT
            True
        """
        known = self.acknowledged.get(node)
        return (
            known.number
            if known is not None and known.number >= self.removals_dropped_at
            else FULL_REPORT
        )

    def since(self, base: int) -> tuple[tuple[HeldReport, ...], tuple[str, ...]]:
        """Returns the reports that changed after a probe, and the instances that are no longer held
        since then.

        Example:
            >>> ReportChanges().since(FULL_REPORT)
            ((), ())
        """
        changed = tuple(each.report for each in self.held.values() if each.number > base)
        if base == FULL_REPORT:
            return changed, ()
        return changed, tuple(name for name, number in self.removed.items() if number > base)
