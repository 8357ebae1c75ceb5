"""The questions that members have not answered yet, and who may be asked another one.

A question stays here until its member answers it or a later one, as answers keep their order: what
is answered late proves as much as what is answered at once, only of an earlier time. So that slow
answers don't make for more questions, a member has four unanswered ones at most, two of them with
reports; while it answers none, small ones without reports go to it at a low pace, and find out when
it is back.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import Copy

MOST_UNANSWERED = 4  # of one member's, that go out at any pace
MOST_WITH_REPORTS = 2  # of those
UNANSWERED_PACE_MS = 200  # between questions to a member that has not answered those
MOST_KEPT = 64  # of one member's: answers that take longer than these prove nothing


@dataclass(frozen=True, slots=True)
class PendingProbe:
    """A question to one member."""

    node: NodeId
    nonce: int
    sent_ms: Ms
    members: int  # that it went to
    reports: bool = True  # whether reports went along
    named: Map[str, Copy] = field(default_factory=Map)  # copies that the probe stood for
    absent: tuple[str, ...] = ()  # instances that it stood for


@dataclass(frozen=True, slots=True)
class PendingProbes:
    """Each member's unanswered questions, oldest first."""

    by_member: Map[str, tuple[PendingProbe, ...]] = field(default_factory=Map)

    def may_ask(self, node: str, now_ms: Ms) -> bool:
        """Whether a member may be asked now.

        Example:
            >>> PendingProbes().may_ask("m1", Ms(0))
            True
        """
        unanswered = self.by_member.get(node, ())
        if len(unanswered) < MOST_UNANSWERED:
            return True
        return now_ms - unanswered[-1].sent_ms >= UNANSWERED_PACE_MS

    def may_report(self, node: str) -> bool:
        """Whether reports may go with the next question to a member.

        Example:
            >>> PendingProbes().may_report("m1")
            True
        """
        unanswered = self.by_member.get(node, ())
        return sum(1 for each in unanswered if each.reports) < MOST_WITH_REPORTS

    def asked(self, question: PendingProbe) -> PendingProbes:
        """With one more question.

        Example:
            >>> once = PendingProbes().asked(PendingProbe(NodeId("m1"), 1, Ms(0), 3))
            >>> len(once.by_member["m1"])
            1
        """
        unanswered = (*self.by_member.get(question.node, ()), question)[-MOST_KEPT:]
        return replace(self, by_member=self.by_member.set(question.node, unanswered))

    def answered(self, node: str, nonce: int) -> tuple[PendingProbes, PendingProbe | None]:
        """A member answered a question: those before it will not be answered any more. None where
        the question is not kept.

        Example:
            >>> PendingProbes().answered("m1", 1)[1] is None
            True
        """
        unanswered = self.by_member.get(node, ())
        found = next((each for each in unanswered if each.nonce == nonce), None)
        if found is None:
            return self, None
        later = tuple(each for each in unanswered if each.nonce > nonce)
        return replace(self, by_member=self.by_member.set(node, later)), found
