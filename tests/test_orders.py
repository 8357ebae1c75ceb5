"""Operator orders that are resent, late, duplicated, truncated or malformed."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from functools import partial
from io import BytesIO
from typing import Any

import pytest

from spokeroute.client.client import Said, Unreached, Where, ask
from spokeroute.common.answers import Answer
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    Fault,
    content_of,
    read_configuration,
)
from spokeroute.dispatch.configuration.validation import check_regions
from spokeroute.dispatch.placement.table import EvacuationChange, pack_evacuated, unpack_evacuated
from spokeroute.http.arrivals import serve
from spokeroute.http.wsgi import respond
from spokeroute.register.configuration_numbers import MAX_NUMBER
from spokeroute.register.value_metadata import (
    MAX_KEPT_ORDERS,
    NUMBER_FORMAT,
    AppliedOrder,
    ApplyOnce,
    applied_orders,
    number_of,
    with_metadata,
)
from spokeroute.registry.headers import expected_version, number_parameter, order_id_header
from tests.sim.acts import after
from tests.sim.cluster import Sim
from tests.test_adapter import adapter, document
from tests.test_edge import ScriptedServer
from tests.test_numbers import in_force, named, ready, sent, wait
from tools.judges import judge

__all__ = ["adapter"]


# applies with a sender's id


def test_a_resent_apply_gets_its_first_outcome(sim: Sim) -> None:
    """At any member, also after newer versions and after restarts."""
    ready(sim)
    first = wait(sim, sim.apply(named("first"), 0, 0, order_id="a-1"))
    assert (first.status, first.doc["version"]) == (200, 1)
    for count in range(5):
        assert wait(sim, sim.apply(named(f"later {count}"), count % 3)).status == 200
    for node in sim.registries:
        node.kill()
        node.start()
    sim.run(2_000)
    for registry in range(3):
        again = wait(sim, sim.apply(named("first"), registry, 0, order_id="a-1"))
        assert (again.status, again.doc) == (200, first.doc)
        other = wait(sim, sim.apply(named("other"), registry, 0, order_id="a-1"))
        assert (other.status, other.doc["kind"]) == (422, "apply_id_used")
        stale = wait(sim, sim.apply(named("stale"), registry, 0, order_id="a-2"))
        assert (stale.status, stale.doc["kind"]) == (409, "conflict")
    assert in_force(sim) == {"name": "later 4", "number": 0}


@pytest.mark.parametrize("seed", range(1, 9))
def test_an_apply_whose_member_dies_is_applied_once(seed: int) -> None:
    """The apply is resent to another member while the first one's rounds may be in progress, and
    once more after another operator's apply."""
    sim = Sim(seed, exchanges=1, sync_ms=2.0)
    ready(sim)
    assert wait(sim, sim.apply(named("one"))).status == 200
    sim.apply(named("two"), 0, 1, order_id="mine")
    after(sim, 1.0 + seed, sim.registries[0].kill)
    sim.run(10 + 5 * (seed % 3))
    again = wait(sim, sim.apply(named("two"), 1, 1, order_id="mine"))
    assert (again.status, again.doc["version"]) == (200, 2)
    assert wait(sim, sim.apply(named("three"), 2, 2)).status == 200
    last = wait(sim, sim.apply(named("two"), 2, 1, order_id="mine"))
    assert (last.status, last.doc["version"]) == (200, 2)
    assert in_force(sim, 1)["name"] == "three"
    sim.close()


def test_the_newest_orders_are_remembered() -> None:
    value = b""
    for version in range(MAX_KEPT_ORDERS + 6):
        value = ApplyOnce(version, f"a{version}", "c", NUMBER_FORMAT.pack(0) + b"body").decide(
            version, value
        ) or pytest.fail("not written")
    made = applied_orders(value)
    assert [m.version for m in made] == list(range(7, MAX_KEPT_ORDERS + 7))
    assert len(value) < 3_000
    assert ApplyOnce(70, "a69", "c", NUMBER_FORMAT.pack(0)).decide(70, value) is None


def test_an_unnumbered_apply_keeps_the_number(sim: Sim) -> None:
    """A resent order with a lower number changes nothing afterwards."""
    assert (
        number_of(with_metadata(NUMBER_FORMAT.pack(0) + b"x", NUMBER_FORMAT.pack(70) + b"y")) == 70
    )
    ready(sim)
    assert sent(sim, "sixty", 60).status == 200
    assert sent(sim, "seventy", 70).status == 200
    assert wait(sim, sim.apply(named("plain"), 1)).status == 200
    for name, number in (("sixty", 60), ("seventy", 70)):
        assert sent(sim, name, number, 2).status == 200
    assert in_force(sim) == {"name": "plain", "number": 0}
    assert sent(sim, "eighty", 80, 2).status == 200
    assert in_force(sim) == {"name": "eighty", "number": 80}
    assert not judge(sim.log())


# evacuations


def test_an_evacuation_sent_again_does_not_undo_a_later_restore(sim: Sim) -> None:
    """With a sender's id; also an order that changed nothing the first time."""
    ready(sim)
    for order_id in ("e-1", "e-2"):
        assert wait(sim, sim.evacuate("north", True, 0, order_id)).status == 200
    assert wait(sim, sim.evacuate("north", False, 1, "r-1")).status == 200
    for registry, order_id in enumerate(("e-1", "e-2")):
        late = wait(sim, sim.evacuate("north", True, registry, order_id))
        assert (late.status, late.doc["evacuated"]) == (200, [])
    assert wait(sim, sim.evacuate("north", True, 2, "e-3")).doc["evacuated"] == ["north"]
    assert wait(sim, sim.evacuate("north", False, 2, "r-1")).doc["evacuated"] == ["north"]


def test_without_an_id_the_last_order_to_be_sent_wins(sim: Sim) -> None:
    """Without an id a resent order can't be told from a new one; `test_late_orders.py` has those
    that are read late."""
    ready(sim)
    for out, evacuated in ((True, ["north"]), (False, []), (True, ["north"])):
        assert wait(sim, sim.evacuate("north", out)).doc["evacuated"] == evacuated


def test_a_retried_evacuation_change_is_applied_once() -> None:
    """The round was overtaken and is retried; a restore may have come in between."""
    mark = EvacuationChange("north", True, (), "e-1")
    value = mark.decide(0, b"") or b""
    value = EvacuationChange("north", False, (), "r-1").decide(1, value) or b""
    assert unpack_evacuated(value) == frozenset() and mark.decide(2, value) is None


def test_the_previous_format_is_read() -> None:
    assert unpack_evacuated(b'["north"]') == {"north"}
    assert unpack_evacuated(pack_evacuated(frozenset({"a"}), (AppliedOrder("x", 1),))) == {"a"}


# the operator's client


def said(status: int, body: bytes = b"{}") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize("lost", [b"", b"HTTP/1.1 200 OK\r\nContent-Le", said(503), said(504)])
def test_the_client_sends_an_order_again_to_another_registry(lost: bytes) -> None:
    first, second = ScriptedServer([lost]), ScriptedServer([said(200, b'{"version": 3}')])
    where = Where(f"{first.address},{second.address}")
    got = ask(where, "PUT", "/x", b"{}", {"Spokeroute-Apply-Id": "a-1"}, until_clear=True)
    assert isinstance(got, Said) and got.doc() == {"version": 3}
    for server in (first, second):
        assert b"Spokeroute-Apply-Id: a-1" in server.requests[0]


def test_the_client_does_not_report_a_refusal_after_a_lost_answer() -> None:
    first, second = ScriptedServer([b""]), ScriptedServer([said(503)])
    got = ask(Where(f"{first.address},{second.address}"), "PUT", "/x", b"{}", until_clear=True)
    assert isinstance(got, Unreached) and "may have been taken" in got.reason


def test_the_client_s_refusal_is_final() -> None:
    first = ScriptedServer([said(409)])
    got = ask(Where(f"{first.address},127.0.0.1:1"), "PUT", "/x", b"{}", until_clear=True)
    assert isinstance(got, Said) and got.status == 409


# bad input


class Recorder:
    """An operator API that only records what would be applied."""

    def __init__(self) -> None:
        self.applied: list[int] = []

    def region_faults(self, configuration: Configuration) -> tuple[Fault, ...]:
        return tuple(check_regions(configuration, frozenset({"north"})))

    def apply(self, configuration: Configuration, number: int, document: str) -> Answer:
        self.applied.append(number)
        return Answer(200, (), b"{}")


def put(body: bytes) -> tuple[int, dict[str, Any], list[int]]:
    from operator_edge import OperatorEdge

    recorder = Recorder()
    environ = {"REQUEST_METHOD": "PUT", "PATH_INFO": "/api/configuration",
               "CONTENT_LENGTH": str(len(body)), "wsgi.input": BytesIO(body)}  # fmt: skip
    got: list[str] = []
    answer = b"".join(
        OperatorEdge(recorder)(environ, lambda status, _: got.append(status))  # type: ignore[arg-type]
    )
    return int(got[0][:3]), json.loads(answer), recorder.applied


BAD_NUMBERS = (
    "0", "-1", "7.5", "7.0", '"7"', "true", "null", "[7]", "{}", "NaN", "Infinity", "1e400",
    str(MAX_NUMBER + 1), str(2**64), "9" * 400, "9" * 5_000,
)  # fmt: skip


@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_a_document_with_a_bad_number_is_refused(number: str) -> None:
    text = json.dumps(document(version=12345678)).replace("12345678", number)
    status, doc, applied = put(text.encode())
    assert status == 400 and doc["remedy"] and not applied


def test_a_document_with_the_highest_number_is_accepted() -> None:
    assert put(json.dumps(document(version=MAX_NUMBER)).encode())[2] == [MAX_NUMBER]


@pytest.mark.parametrize(
    ("regions", "taken"),
    [
        ([], True), (None, True), (["north"], True),
        (["moon"], False), (["north", ""], False), ("north", False), ([7], False), ({}, False),
    ],
)  # fmt: skip
def test_regions_of_a_route_are_accepted_if_they_exist(regions: Any, taken: bool) -> None:
    """The platform sends an empty list for a route that may run anywhere."""
    doc = document()
    doc["routes"][0]["allowed-regions"] = regions
    status, said, applied = put(json.dumps(doc).encode())
    assert (status == 200, bool(applied)) == (taken, taken)
    assert taken or "region" in json.dumps(said)


@pytest.mark.parametrize(
    "change",
    [
        ('"version": 7', '"version": 7, "version": 8'),
        ('"memory-mb": 512', '"memory-mb": 512, "memory-mb": 128'),
        ('"memory-mb": 512', '"memory-mb": 1e400'),
        ('"cold-start-s": 0.0', '"cold-start-s": NaN'),
    ],
)
def test_a_document_with_duplicate_fields_or_non_finite_numbers_is_refused(
    change: tuple[str, str],
) -> None:
    text = json.dumps(document())
    assert change[0] in text
    status, doc, applied = put(text.replace(*change).encode())
    assert status == 400 and doc["remedy"] and not applied


def test_a_truncated_document_is_refused() -> None:
    whole = json.dumps(document()).encode()
    for size in range(0, len(whole), 37):
        status, doc, applied = put(whole[:size])
        assert status == 400 and doc["remedy"] and not applied
    assert put(b"[" * 100_000)[0] == 400 and put(b"\xff\xfe")[0] == 400


def test_a_configuration_with_duplicate_fields_is_refused() -> None:
    text = json.dumps(named("a"))
    got = read_configuration(text.replace('"zones"', '"zones": [], "zones"').encode(), ())
    assert isinstance(got, tuple) and "'zones' stands twice" in got[0].reason


def test_whitespace_and_field_order_do_not_change_the_content() -> None:
    got = read_configuration(json.dumps(named("a")).encode(), ())
    assert isinstance(got, Configuration)
    assert content_of(got, '{"a": 1, "b": 2}') == content_of(got, '{"b":2,"a":1}')
    assert content_of(got, '{"a": 1}') != content_of(got, '{"a": 2}') != content_of(got)


@pytest.mark.parametrize(
    "query",
    [
        "number=", "number=0", "number=-1", "number=7.5", "number=7e3", "number=x", "number=%2B7",
        f"number={MAX_NUMBER + 1}", "number=" + "9" * 5_000, "number=7&number=8", "number=%D9%A7",
    ],
)  # fmt: skip
def test_a_bad_number_in_the_query_is_refused(query: str) -> None:
    got = number_parameter({"QUERY_STRING": query})
    assert isinstance(got, Answer) and got.status == 400 and b"remedy" in got.body


def test_good_numbers_versions_and_ids_are_read() -> None:
    assert number_parameter({}) == 0 and number_parameter({"QUERY_STRING": "number=7"}) == 7
    assert number_parameter({"QUERY_STRING": f"number={MAX_NUMBER}"}) == MAX_NUMBER
    assert expected_version({"HTTP_IF_MATCH": "*"}) == -1
    assert expected_version({"HTTP_IF_MATCH": '"7"'}) == 7
    for bad in ('"x"', "-1", "7.5", "9" * 40):
        assert isinstance(expected_version({"HTTP_IF_MATCH": bad}), Answer)
    assert (
        order_id_header({}) == ""
        and order_id_header({"HTTP_SPOKEROUTE_APPLY_ID": "a.B-1_"}) == "a.B-1_"
    )
    for bad in ("a b", "x" * 65, "é", "a\n"):
        assert isinstance(order_id_header({"HTTP_SPOKEROUTE_APPLY_ID": bad}), Answer)


@pytest.fixture
def operator_server() -> Iterator[tuple[tuple[str, int], list[str]]]:
    """A listening operator server, and the methods of the requests that reached its application."""
    reached: list[str] = []

    def app(environ: dict[str, Any], start: Any) -> Any:
        reached.append(environ["REQUEST_METHOD"])
        return respond(Answer(200, (), b"{}"), start)

    with socket.create_server(("127.0.0.1", 0)) as free:
        host, port = free.getsockname()
    server = serve(app, f"{host}:{port}", 2, 1 << 20)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    yield (host, port), reached
    server.close()


@pytest.mark.parametrize(
    "start", [b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{}", b"PUT /x HT"]
)
def test_a_truncated_request_does_not_reach_the_application(
    operator_server: tuple[tuple[str, int], list[str]], start: bytes
) -> None:
    address, reached = operator_server
    with socket.create_connection(address, timeout=10) as sock:
        sock.sendall(start)
        sock.shutdown(socket.SHUT_WR)
        answer = b"".join(iter(partial(sock.recv, 65536), b""))
    assert answer.startswith(b"HTTP/1.1 400 ") and b"remedy" in answer
    assert not reached
    with socket.create_connection(address, timeout=10) as sock:
        sock.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        answer = b"".join(iter(partial(sock.recv, 65536), b""))
    assert answer.startswith(b"HTTP/1.1 200 ") and reached == ["GET"]
