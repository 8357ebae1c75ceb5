"""Reports on held instances are sent as changes; members end up with the same complete state."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from spokeroute.common.ids import Incarnation, Ms
from spokeroute.dispatch.placement.reports import ExchangeReport, exchange_report
from spokeroute.register.replica.report_changes import FULL_REPORT, MAX_REMOVED, ReportChanges
from spokeroute.transport.messages import HeldReport, Probe
from tests.sim.cluster import Sim
from tests.sim.world import Node

EXCHANGE = Incarnation(7)
MEMBER = "m1"


def report(name: str, mean: int = 0) -> HeldReport:
    return HeldReport(name, mean, 0, 0, True, False, False, 0)


def probe(changes: ReportChanges, number: int) -> Probe:
    base = changes.base(MEMBER)
    held, removed = changes.since(base)
    return Probe(number, 1, (), held, (), (), False, (), 0, held_base=base, held_no_more=removed)


@dataclass
class Member:
    """A member's incarnation, and what it knows of the exchange."""

    incarnation: int = 1
    known: ExchangeReport | None = None
    lost: list[int] = field(default_factory=list)

    def takes(self, asked: Probe) -> None:
        self.known = exchange_report(self.known, EXCHANGE, asked, 0, Ms(0))

    def restarts(self) -> None:
        self.incarnation += 1
        self.known = None

    @property
    def held(self) -> Mapping[str, HeldReport]:
        return self.known.held if self.known else {}


HOLDINGS = st.dictionaries(st.sampled_from("abcde"), st.integers(0, 2), max_size=5)
STEPS = st.lists(st.tuples(HOLDINGS, st.sampled_from(["lost", "taken", "answered", "restart"])),
                 min_size=1, max_size=30)  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_a_member_with_a_report_knows_what_is_held(
    steps: list[tuple[dict[str, int], str]],
) -> None:
    """Probes and answers are lost, delayed and cross a member's restart. A member's knowledge is
    complete, or it knows that it is not, and after two answers it is complete again."""
    changes, member = ReportChanges(), Member()
    number = 0

    def ask(now: dict[str, int], end: str) -> None:
        nonlocal changes, number
        number += 1
        reports = tuple(report(name, mean) for name, mean in now.items())
        changes = changes.with_reports(reports, number)
        if end == "restart":
            member.restarts()
        if end == "lost":
            return
        asked = probe(changes, number)
        member.takes(asked)
        if member.known is not None and member.known.number == number:
            assert member.held == {each.instance: each for each in reports}
        if end == "answered":
            changes = changes.answered(MEMBER, Incarnation(member.incarnation), number, number)

    for now, end in steps:
        ask(now, end)
    last = steps[-1][0]
    for _ in range(3):
        ask(last, "answered")
    assert {name: each.mean_in_flight_milli for name, each in member.held.items()} == last


def test_unchanged_reports_are_not_sent_again() -> None:
    changes = ReportChanges().with_reports(tuple(report(f"i{n}") for n in range(200)), 1)
    assert len(probe(changes, 1).held) == 200
    changes = changes.answered(MEMBER, Incarnation(1), 1, 1)
    busy = (report("i0", 500), *(report(f"i{n}") for n in range(1, 199)))
    asked = probe(changes.with_reports(busy, 2), 2)
    assert ([each.instance for each in asked.held], asked.held_no_more) == (["i0"], ("i199",))


def test_an_answer_of_a_new_incarnation_to_an_earlier_probe_is_ignored() -> None:
    changes = ReportChanges().with_reports((report("a"),), 1).answered(MEMBER, Incarnation(1), 1, 1)
    changes = changes.with_reports((report("a"),), 2).with_reports((report("a"),), 3)
    changes = changes.answered(MEMBER, Incarnation(2), 2, 3).answered(MEMBER, Incarnation(2), 3, 3)
    assert changes.base(MEMBER) == FULL_REPORT
    changes = changes.with_reports((report("a"),), 4).answered(MEMBER, Incarnation(2), 4, 4)
    assert changes.base(MEMBER) == 4


def test_the_list_of_removed_instances_is_bounded() -> None:
    changes = ReportChanges().with_reports((), 1).answered(MEMBER, Incarnation(1), 1, 1)
    for number in range(2, MAX_REMOVED + 10):
        changes = changes.with_reports((report(f"i{number}"),), number)
    assert len(changes.removed) <= MAX_REMOVED and changes.base(MEMBER) == FULL_REPORT


def test_every_member_knows_what_exchanges_hold(sim: Sim) -> None:
    """Covers a member that restarted, and one whose link was cut."""
    sim.settle()
    sim.traffic(60, 20_000)
    sim.run(2_000)
    sim.registries[1].kill()
    cut = sim.registries[2]
    sim.run(1_000)
    sim.registries[1].start()
    sim.net.cuts |= {(node.name, cut.name) for node in sim.exchanges}
    sim.run(3_000)
    sim.net.cuts.clear()
    sim.run(3_000)
    assert sim.up_to(lambda: all(agree(node, each) for node in sim.exchanges
                                 for each in sim.registries), 1_000)  # fmt: skip


def agree(node: Node, member: Node) -> bool:
    """Returns whether a member knows exactly the instances that an exchange reports."""
    reported = {each.instance for each in node.state("replica").reports.held}
    known = member.state("placement").reports.get(node.name)
    return known is not None and bool(reported) and set(known.held) == reported
