"""Probes that members have not answered yet, and the limits on sending more of them.

A probe stays here until its member answers it or a later one, because answers keep their order: a
late answer proves as much as a prompt one, only as of an earlier time. To keep slow answers from
causing more probes, a member has at most four unanswered ones, two of them with reports. While it
answers none, small probes without reports are sent to it at a low rate, to notice when it is back.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import Ms, NodeId
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import Copy

MAX_UNANSWERED = 4  # per member, without a limit on the rate
MAX_UNANSWERED_WITH_REPORTS = 2
UNANSWERED_INTERVAL_MS = 200  # between probes to a member with MAX_UNANSWERED open ones
MAX_KEPT = 64  # per member; an answer that comes after so many more probes proves nothing


@dataclass(frozen=True, slots=True)
class PendingProbe:
    """A probe that was sent to one member."""

    node: NodeId
    nonce: int
    sent_ms: Ms
    member_count: int  # how many members it was sent to
    with_reports: bool = True
    named_copies: Map[str, Copy] = field(default_factory=Map)  # copies named by fingerprint
    absent: tuple[str, ...] = ()  # absent instances named by fingerprint


@dataclass(frozen=True, slots=True)
class PendingProbes:
    """Each member's unanswered probes, oldest first."""

    by_member: Map[str, tuple[PendingProbe, ...]] = field(default_factory=Map)

    def may_probe(self, node: str, now_ms: Ms) -> bool:
        """Returns whether a probe may be sent to a member now.

        Example:
            >>> PendingProbes().may_probe("m1", Ms(0))
            True
        """
        unanswered = self.by_member.get(node, ())
        if len(unanswered) < MAX_UNANSWERED:
            return True
        return now_ms - unanswered[-1].sent_ms >= UNANSWERED_INTERVAL_MS

    def may_report(self, node: str) -> bool:
        """Returns whether the next probe to a member may carry reports.

        Example:
            >>> PendingProbes().may_report("m1")
            True
        """
        unanswered = self.by_member.get(node, ())
        return sum(1 for each in unanswered if each.with_reports) < MAX_UNANSWERED_WITH_REPORTS

    def with_probe(self, probe: PendingProbe) -> PendingProbes:
        """Adds a probe that was sent.

        Example:
            >>> once = PendingProbes().with_probe(PendingProbe(NodeId("m1"), 1, Ms(0), 3))
            >>> len(once.by_member["m1"])
            1
        """
        unanswered = (*self.by_member.get(probe.node, ()), probe)[-MAX_KEPT:]
        return replace(self, by_member=self.by_member.set(probe.node, unanswered))

    def answered(self, node: str, nonce: int) -> tuple[PendingProbes, PendingProbe | None]:
        """Removes the probe that a member answered, and earlier ones, which will not be answered
        any more. Returns None for the probe if it is no longer kept.

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
