"""Patches between versions of large registers: small, exact, rejected if they don't apply."""

from __future__ import annotations

import json
import random
from dataclasses import fields, replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spokeroute.common.ids import (
    CONFIGURATION,
    FLOOR,
    Address,
    Incarnation,
    InstanceId,
    NodeId,
    ServiceName,
    Term,
    WorkerId,
    ZoneName,
)
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    document_of,
    read_configuration,
)
from spokeroute.dispatch.configuration.value import pack_configuration, unpack_configuration
from spokeroute.dispatch.placement.table import (
    UP,
    Placed,
    PlacementTable,
    pack_placement_table,
    unpack_placement_table,
)
from spokeroute.register.acceptor.recent_values import (
    MAX_RECENT_BYTES,
    MAX_RECENT_VALUES,
    RecentValues,
)
from spokeroute.register.cells import digest_of
from spokeroute.register.packing import pack
from spokeroute.register.patches import apply_patch, make_patch, runs_of
from spokeroute.register.value_metadata import NUMBER_FORMAT, AppliedOrder, number_of, with_metadata
from spokeroute.transport.messages import Copy, ValuePatch
from tests.sim.storms import wide

FUNCTIONS = 400
LINES = st.lists(st.sampled_from([b"a\n", b"b\n", b"c\n", b"d\n", b"\n", b"no end"]), max_size=12)


def placed(number: int, state: str = UP) -> Placed:
    draw = random.Random(number)
    return Placed(
        InstanceId(f"f{number}-1-{number}"), ServiceName(f"f{number}"), WorkerId(f"w{number % 20}"),
        ZoneName("north"), Address(f"10.1.{number // 250}.{number % 250}:8000"), 1, state, True,
        True, NodeId(f"ex{number % 60}"), Incarnation(number % 60 + 10**12),
        f"i-{draw.getrandbits(40):010x}", Address(f"10.0.0.{number % 60}:7000"),
    )  # fmt: skip


def table(sequence: int, changed: int = 0) -> bytes:
    rows = tuple(placed(number, "draining" if number < changed else UP) for number in range(600))
    return pack_placement_table(PlacementTable(Term(3), sequence, rows))


def copy_of(name: str, value: bytes) -> Copy:
    return Copy(name, 2, digest_of(value), 2, "m1")


def patched(name: str, base: bytes, value: bytes) -> ValuePatch:
    patch = make_patch(digest_of(base), base, copy_of(name, value), value)
    assert patch is not None
    return patch


def test_a_change_of_some_instances_takes_a_fraction_of_the_table() -> None:
    base, value = table(1), table(2, changed=10)
    patch = patched(FLOOR, base, value)
    assert apply_patch(patch, base) == value
    assert len(patch.runs) < len(value) / 15
    assert unpack_placement_table(value).instances[0].state == "draining"


def configured(number: int, timeout_ms: int) -> bytes:
    doc = wide("wide", FUNCTIONS, timeout_ms)
    read = read_configuration(json.dumps(doc).encode(), ())
    assert isinstance(read, Configuration)
    return pack_configuration(read, f"order-{number}", number, json.dumps(doc))


def test_a_change_of_one_route_takes_a_fraction_of_the_configuration() -> None:
    """Also with the recorded orders that follow the configuration and the number before it."""
    base = with_metadata(configured(7, 4_000), b"", AppliedOrder("order-7", 1, "c1"))
    value = with_metadata(configured(9, 5_000), base, AppliedOrder("order-9", 2, "c2"))
    patch = patched(CONFIGURATION, base, value)
    got = apply_patch(patch, base)
    assert got == value and number_of(got) == 9
    assert len(patch.runs) + len(patch.tail) < len(value) / 15
    assert json.loads(document_of(got)) == wide("wide", FUNCTIONS, 5_000)
    assert unpack_configuration(got)[0]["routes"][0]["timeoutMs"] == 5_000


def test_a_document_reads_back_byte_for_byte() -> None:
    for document in ("", "{}", '{"a": [{"b": "},{"},\n {"c": 1} ]}', "},},"):
        read = read_configuration(json.dumps(wide("w", FUNCTIONS)).encode(), ())
        assert isinstance(read, Configuration)
        assert document_of(pack_configuration(read, "a", 1, document)) == document


@pytest.mark.parametrize("damage", ["base", "runs", "head", "digest", "name"])
def test_a_patch_that_does_not_apply_is_rejected(damage: str) -> None:
    base, value = table(1), table(2, changed=3)
    patch = patched(FLOOR, base, value)
    other = table(3, changed=5)
    bad = {
        "base": replace(patch, base=digest_of(other)),
        "runs": replace(patch, runs=patch.runs[:-3]),
        "head": replace(patch, head=b"x"),
        "digest": replace(patch, copy=replace(patch.copy, digest=digest_of(other))),
        "name": replace(patch, copy=replace(patch.copy, name="roster")),
    }[damage]
    assert apply_patch(bad, base) is None
    assert apply_patch(patch, other) is None


def test_no_patch_where_the_full_value_is_shorter_or_packed_differently() -> None:
    base = table(1)
    assert make_patch("d", base, copy_of(FLOOR, b""), b"") is None
    few = pack_placement_table(PlacementTable(Term(3), 2, (placed(900),)))
    assert make_patch("d", base, copy_of(FLOOR, few), few) is None
    assert make_patch("d", b"{}", copy_of("roster", b"[]"), b"[]") is None
    otherwise = NUMBER_FORMAT.pack(3) + configured(3, 4_000)[NUMBER_FORMAT.size :] + b"tail"
    assert apply_patch(patched(CONFIGURATION, configured(2, 4_000), otherwise),
                       configured(2, 4_000)) == otherwise  # fmt: skip


@given(LINES, LINES)
def test_runs_produce_the_target_from_any_base(base: list[bytes], target: list[bytes]) -> None:
    old, new = b"".join(base), b"".join(target)
    lines = old.splitlines(keepends=True)
    made = b"".join(
        b"".join(lines[first : first + count]) + text for first, count, text in runs_of(old, new)
    )
    assert made == new


def test_recent_values_are_bounded_by_count_and_by_bytes() -> None:
    kept = RecentValues()
    for number in range(3 * MAX_RECENT_VALUES):
        kept = kept.with_value(FLOOR, str(number), b"value")
    assert len(kept.kept) == MAX_RECENT_VALUES and not kept.find(FLOOR, "0")
    assert kept.find(FLOOR, str(3 * MAX_RECENT_VALUES - 1)) == b"value"
    assert not kept.find(CONFIGURATION, str(3 * MAX_RECENT_VALUES - 1))
    large = bytes(MAX_RECENT_BYTES // 2)
    for number in range(5):
        kept = kept.with_value(CONFIGURATION, f"large {number}", large)
    assert kept.size_bytes <= MAX_RECENT_BYTES and kept.find(CONFIGURATION, "large 4")


def test_a_table_reads_back_and_what_did_not_change_is_the_same_object() -> None:
    for count in (0, 1, 600):
        floor = PlacementTable(Term(3), 9, tuple(placed(number) for number in range(count)))
        assert unpack_placement_table(pack_placement_table(floor)) == floor
    before, after = unpack_placement_table(table(1)), unpack_placement_table(table(2, changed=10))
    same = sum(1 for a, b in zip(before.instances, after.instances, strict=True) if a is b)
    assert same == 590 and before.instances[3] != after.instances[3]


def test_a_table_packed_on_one_line_is_read() -> None:
    rows = [[getattr(placed(1), field.name) for field in fields(Placed)]]
    assert unpack_placement_table(pack(json.dumps([3, 9, rows]).encode())).instances == (placed(1),)
