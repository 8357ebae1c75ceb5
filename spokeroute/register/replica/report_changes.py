"""What an exchange reports of the instances that it holds: to each member of the core, what changed
since the report that this member is known to have.

Nodes hold hundreds of instances, most of which nobody calls; told whole to each member with each
question, they would fill a narrow link.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Incarnation
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import HeldReport

FULL_REPORT = 0  # the base of a report that stands for itself
MAX_REMOVED = 500


@dataclass(frozen=True, slots=True)
class HeldChange:
    """The newest report on an instance, and the number of the question that it first went with."""

    report: HeldReport
    number: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The newest question that a life of a member answered. Answers to questions before ``since``
    say nothing: those went with what changed since a report that an earlier life had."""

    incarnation: Incarnation
    number: int
    since: int = 0


@dataclass(frozen=True, slots=True)
class ReportChanges:
    """What is held, since which question it is as it is, and what each member has of it."""

    held: Map[str, HeldChange] = field(default_factory=Map)
    gone: Map[str, int] = field(default_factory=Map)  # held no more, since which question
    forgotten: int = 0  # of what went up to this question, nothing is known any more
    acknowledged: Map[str, Acknowledged] = field(default_factory=Map)

    def noted(self, reports: tuple[HeldReport, ...], number: int) -> ReportChanges:
        """The reports that go with a question.

        Example:
            >>> ReportChanges().noted((), 7).held
            immutables.Map({})
        """
        held, gone = self.held.mutate(), self.gone.mutate()
        names = {report.instance for report in reports}
        for report in reports:
            known = self.held.get(report.instance)
            if known is None or known.report != report:
                held[report.instance] = HeldChange(report, number)
            gone.pop(report.instance, None)
        for name in self.held:
            if name not in names:
                del held[name]
                gone[name] = number
        forgotten = self.forgotten
        if len(gone) > MAX_REMOVED:
            gone, forgotten = Map[str, int]().mutate(), number
        return replace(self, held=held.finish(), gone=gone.finish(), forgotten=forgotten)

    def answered(
        self, node: str, incarnation: Incarnation, number: int, newest: int
    ) -> ReportChanges:
        """A member answered a question: it has the report that went with it (``number`` is WHOLE
        where none did). ``newest`` is the last question that was asked.

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
        """The question whose report a member has, as far as changes since it are known.

        Example:
            >>> ReportChanges().base("m1") == FULL_REPORT
            True
        """
        known = self.acknowledged.get(node)
        return known.number if known is not None and known.number >= self.forgotten else FULL_REPORT

    def since(self, base: int) -> tuple[tuple[HeldReport, ...], tuple[str, ...]]:
        """The reports that changed after a question, and what is held no more since.

        Example:
            >>> ReportChanges().since(FULL_REPORT)
            ((), ())
        """
        changed = tuple(each.report for each in self.held.values() if each.number > base)
        if base == FULL_REPORT:
            return changed, ()
        return changed, tuple(name for name, number in self.gone.items() if number > base)
