"""Compiling a configuration with reuse of rows gives the same tables as compiling it in full, and
parses only changed rows."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from spokeroute.common.ids import Version
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    TableReader,
    build_table,
    pack_configuration,
    read_configuration,
)
from spokeroute.dispatch.configuration.models import Route, Service
from spokeroute.register.packed import pack
from spokeroute.register.stamps import NUMBER, Made, stamped

NAMES = [f"s{number}" for number in range(6)]
HOSTS = ("", "a.example", "b.example")
PATHS = ("/p", "/p/*", "/q/**", '/odd"path/"routes":[')
DOCUMENTS = ("", "{}", '{"a":[{"routes":[\n1\n]},{"b":"],"}]}')

ROUTES = st.builds(
    Route,
    path=st.sampled_from(PATHS),
    service=st.sampled_from(NAMES),
    host=st.sampled_from(HOSTS),
    aim_ms=st.sampled_from((0, 200, 900)),
)
SERVICES = st.builds(
    Service, name=st.sampled_from(NAMES), memory_mb=st.integers(1, 9), limit=st.integers(1, 4)
)
CONFIGURATIONS = st.builds(
    Configuration,
    zones=st.sampled_from(((), ("north", "south"))),
    services=st.lists(SERVICES, max_size=5, unique_by=lambda each: each.name).map(tuple),
    routes=st.lists(
        ROUTES, max_size=6, unique_by=lambda each: (each.host, each.path)
    ).map(tuple),
    name=st.sampled_from(("", "first", '],"document":[')),
)  # fmt: skip


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(CONFIGURATIONS, st.sampled_from(DOCUMENTS)), min_size=1, max_size=5))
def test_reuse_of_rows_gives_the_same_tables(
    made: list[tuple[Configuration, str]],
) -> None:
    reader = TableReader()
    for number, (configuration, document) in enumerate(made):
        value = pack_configuration(configuration, "a", number, document)
        table = reader.read(Version(number), "d", value)
        assert table == build_table(Version(number), "d", value)
        assert set(table.services) == {each.name for each in configuration.services}
        for route in configuration.routes:
            host = table.hosts[route.host]
            assert route in (*host.exact.values(), *host.prefixes.values(), *host.below.values())
        assert table.name == configuration.name


def document_of(routes: int, timeout_ms: int) -> dict[str, Any]:
    return {
        "zones": [],
        "services": [{"name": f"f{at}", "memoryMb": 128, "limit": 1} for at in range(routes)],
        "routes": [
            {"path": f"/f/{at}", "service": f"f{at}", "timeoutMs": timeout_ms if not at else 900}
            for at in range(routes)
        ],
    }


def value_of(routes: int, timeout_ms: int) -> bytes:
    doc = document_of(routes, timeout_ms)
    read = read_configuration(json.dumps(doc).encode(), ())
    assert isinstance(read, Configuration)
    return pack_configuration(read, "a", timeout_ms, json.dumps(doc))


def test_only_changed_rows_are_parsed() -> None:
    reader = TableReader()
    reader.read(Version(1), "", value_of(300, 1_000))
    assert reader.rows_read == 600
    reader.read(Version(2), "", value_of(300, 1_001))
    assert reader.rows_read == 1
    reader.read(Version(3), "", value_of(310, 1_001))
    assert reader.rows_read == 20
    table = reader.read(Version(4), "", value_of(300, 1_001))
    assert reader.rows_read == 0
    assert len(table.services) == 300
    assert reader.rows == 600  # removed rows are not kept


def test_orders_after_the_packed_part_do_not_affect_tables() -> None:
    value = value_of(3, 1_000)
    assert stamped(value, value, Made("o1", 1)) != value
    assert build_table(Version(1), "", stamped(value, value, Made("o1", 1))).services.keys() == {
        "f0", "f1", "f2",
    }  # fmt: skip


def test_a_value_of_an_earlier_release_is_compiled() -> None:
    """Earlier releases stored a configuration as a single line of JSON."""
    doc = document_of(3, 1_000)
    read = read_configuration(json.dumps(doc).encode(), ())
    assert isinstance(read, Configuration)
    kept = {"applyId": "a", "number": 1, "configuration": read.to_dict(), "document": "{}"}
    value = NUMBER.pack(1) + pack(json.dumps(kept, separators=(",", ":")).encode())
    reader = TableReader()
    old = reader.read(Version(1), "", value)
    assert reader.rows_read == 6
    new = build_table(Version(1), "", value_of(3, 1_000))
    assert (old.hosts, old.services, old.limits) == (new.hosts, new.services, new.limits)
