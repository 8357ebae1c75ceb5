"""Successor lists are pushed as changes; an exchange that missed a push asks for full lists."""

from __future__ import annotations

from collections.abc import Mapping

from hypothesis import given
from hypothesis import strategies as st

from spokeroute.common.effects import Send
from spokeroute.common.ids import Incarnation, Ms, NodeId
from spokeroute.dispatch.flare.algorithms import Ranking
from spokeroute.dispatch.flare.list_push import LastPush, ListsHeader, push
from spokeroute.exchange.successor_lists import REQUEST_INTERVAL_MS, SuccessorLists, merge_lists
from spokeroute.transport.frames import Envelope, decode, encode
from spokeroute.transport.list_messages import Lists, ListsAsk
from tests.sim.cluster import Sim

HOLDERS = {NodeId("ex1"): Incarnation(1), NodeId("ex2"): Incarnation(1)}
RANKED = st.dictionaries(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["w1", "w2"])),
    st.lists(st.sampled_from(["i1", "i2", "i3"]), max_size=3, unique=True).map(tuple),
)


def rankings(ranked: Mapping[tuple[str, str], tuple[str, ...]]) -> tuple[Ranking, ...]:
    return tuple(Ranking(s, w, (), instances) for (s, w), instances in ranked.items())


def lists_to(effects: list[object], node: str) -> Lists:
    found = [e.message for e in effects if isinstance(e, Send) and e.to == node]
    assert len(found) == 1 and isinstance(found[0], Lists)
    return found[0]


@given(st.lists(st.tuples(RANKED, st.booleans()), min_size=1, max_size=12))
def test_an_exchange_has_full_lists_after_each_push_or_request(
    pushes: list[tuple[dict[tuple[str, str], tuple[str, ...]], bool]],
) -> None:
    pushed, held, heard = LastPush(), SuccessorLists(), SuccessorLists()
    for sequence, (ranked, comes) in enumerate(pushes):
        now_ms = Ms(REQUEST_INTERVAL_MS * sequence)
        head = ListsHeader(1, sequence, 1, 2)
        pushed, effects = push(head, pushed, rankings(ranked), HOLDERS)
        fit = {key: instances for key, instances in ranked.items() if instances}
        heard, ask = merge_lists(heard, lists_to([*effects], "ex1"), now_ms)
        assert ask is None and dict(heard.ranked) == fit
        if not comes:
            continue
        held, ask = merge_lists(held, lists_to([*effects], "ex2"), now_ms)
        if ask is None:
            assert dict(held.ranked) == fit and held.sequence == sequence
        else:
            assert ask == ListsAsk(held.term, held.sequence)
            whole = push(head, LastPush(), rankings(ranked), HOLDERS)[1]
            held, ask = merge_lists(held, lists_to([*whole], "ex2"), now_ms)
            assert ask is None and dict(held.ranked) == fit


def test_only_changes_go_to_exchanges_that_got_the_last_push() -> None:
    many = {(f"s{number}", "w1"): (f"i{number}",) for number in range(100)}
    pushed, effects = push(ListsHeader(1, 1, 1, 2), LastPush(), rankings(many), HOLDERS)
    assert len(lists_to([*effects], "ex1").successors) == 100
    changed = {**many, ("s3", "w1"): ("i9",)}
    del changed["s4", "w1"]
    born = {NodeId("ex1"): Incarnation(1), NodeId("ex2"): Incarnation(2)}
    _, effects = push(ListsHeader(1, 2, 1, 2), pushed, rankings(changed), born)
    news = lists_to([*effects], "ex1")
    assert news.base == 1
    assert {(s.service, s.ranked) for s in news.successors} == {("s3", ("i9",)), ("s4", ())}
    assert lists_to([*effects], "ex2").base == -1  # a new incarnation has no lists yet


def test_full_lists_are_requested_periodically_after_a_missed_push() -> None:
    news = Lists(2, 9, 1, 0, (), 3, 8)
    held, ask = merge_lists(SuccessorLists(), news, Ms(1_000))
    assert ask == ListsAsk(0, -1) and held.sequence == -1
    assert merge_lists(held, news, Ms(1_100))[1] is None
    assert merge_lists(held, news, Ms(1_000 + REQUEST_INTERVAL_MS))[1] == ask


def test_an_exchange_recovers_its_lists_after_a_partition(sim: Sim) -> None:
    sim.settle()
    lone = sim.exchanges[0]
    sim.traffic(60, 12_000)
    sim.run(2_000)
    sim.net.cuts |= {(each.name, lone.name) for each in sim.registries}
    sim.run(1_500)
    sim.net.cuts.clear()
    sim.run(3_000)
    lists = [node.state("calls").lists for node in sim.exchanges]
    holder = max(sim.registries, key=lambda each: int(each.state("placement").term))
    now = {(r.service, r.worker): r.instances
           for r in holder.state("placement").pushed.rankings if r.instances}  # fmt: skip
    assert now and {each.sequence for each in lists} == {holder.state("placement").pushed.sequence}
    assert all(dict(each.ranked) == now for each in lists)


def test_a_message_to_several_nodes_is_decoded_equally_by_each() -> None:
    news, other = Lists(2, 9, 1, 0, (), 3, 8), Lists(2, 10, 1, 0, (), 3, 9)
    for message in (news, news, other, news):
        for node in ("ex1", "a longer name"):
            frame = encode(Envelope("m1", 7, "h:1", node, message))
            assert decode(frame) == Envelope("m1", 7, "h:1", node, message)
