"""An API key must not leave the node that received it: it is in no frame, log line, ledger entry,
answer or repr of a state. All readers of a credential agree on the key."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spokeroute.client.difference import difference
from spokeroute.common.answers import Answer
from spokeroute.dispatch.configuration.models import Tenant
from spokeroute.dispatch.configuration.tenant_keys import (
    MAX_KEY_CHARS,
    TenantKeys,
    is_key,
    key_digest,
    key_of,
)
from spokeroute.registry.api import without_document
from tests.sim.cluster import Sim, configuration

SECRET, UNKNOWN = "the-secret-of-a-tenant", "a-secret-of-nobody"
VISIBLE = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=40)


def secrets_in(text: str) -> bool:
    return SECRET in text or UNKNOWN in text


def test_a_key_is_in_nothing_that_is_sent_or_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sim = Sim(5, 4)
    tenants = [{"name": "one", "keyDigests": [key_digest(SECRET)]}]
    sim.settle(configuration(tenants=tenants))
    frames: list[bytes] = []
    honest = sim.net.send

    def send(node: Any, address: Any, frame: bytes) -> None:
        frames.append(frame)
        honest(node, address, frame)

    monkeypatch.setattr(sim.net, "send", send)
    sim.platform.work_ms = 300.0
    texts: list[str] = []
    for turn in range(60):
        key = UNKNOWN if turn % 5 == 4 else SECRET
        once = "c-1" if turn % 7 == 0 else ""
        sim.call("/corrections" if once else "/readings", api_key=key, key=once, wait_ms=900)
        if turn % 20 == 10:
            sim.platform.misbehave["readings"] = "dies"
            sim.exchanges[turn % 4].kill()
            sim.exchanges[turn % 4].start()
        sim.run(30)
        texts += [repr(sim.exchanges[0].state(name)) for name in ("calls", "holder")]
    sim.run(3_000)
    assert {200, 401} <= {each.status for each in sim.asked} and len(frames) > 1_000
    assert not any(SECRET.encode() in frame or UNKNOWN.encode() in frame for frame in frames)
    texts += [text for _, _, text in sim.notes]
    texts += [each.body.decode() for each in sim.asked]
    texts += [entry for node in sim.registries if node.disk for entry in node.disk.ledger.values()]
    assert not any(secrets_in(text) for text in texts)
    sim.close()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(VISIBLE, st.sampled_from(("Bearer", "bearer", "BEARER")), st.integers(1, 3))
def test_the_key_of_one_bearer_token_is_read_whole(key: str, scheme: str, blanks: int) -> None:
    assert key_of(f"{scheme}{' ' * blanks}{key}") == key


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(max_size=60))
def test_whatever_is_sent_is_one_key_or_none(credential: str) -> None:
    key = key_of(credential)
    assert key == "" or (is_key(key) and credential.lower().startswith("bearer "))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(VISIBLE, VISIBLE)
def test_two_tokens_that_a_head_joins_are_no_key(first: str, second: str) -> None:
    assert key_of(f"Bearer {first}, Bearer {second}") == ""
    assert key_of(f"Bearer {first}, {second}") == ""


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(VISIBLE, min_size=2, max_size=12, unique=True))
def test_each_key_finds_its_tenant_and_no_other(keys: list[str]) -> None:
    *held, stranger = keys
    table = TenantKeys.of(Tenant(f"t{at}", (key_digest(key),)) for at, key in enumerate(held))
    for at, key in enumerate(held):
        found = table.tenant(f"Bearer {key}")
        assert found is not None and found.name == f"t{at}"
    assert table.tenant(f"Bearer {stranger}") is None


def test_digests_with_equal_prefixes_are_distinguished() -> None:
    digest = key_digest("k1")
    other = digest[:16] + "0" * 48
    table = TenantKeys.of([Tenant("other", (other,)), Tenant("one", (digest,))])
    found = table.tenant("Bearer k1")
    assert found is not None and found.name == "one"
    assert TenantKeys.of([Tenant("other", (other,))]).tenant("Bearer k1") is None


def test_a_configuration_that_is_read_back_has_no_document() -> None:
    doc = {"version": 3, "configuration": {}, "document": f'{{"api-keys": ["{SECRET}"]}}'}
    shown = without_document(Answer(200, (("ETag", '"3"'),), json.dumps(doc).encode()))
    assert not secrets_in(shown.body.decode())
    assert json.loads(shown.body) == {"version": 3, "configuration": {}}
    refused = Answer(503, (), b"{}")
    assert without_document(refused) is refused


def test_the_difference_of_tenants_is_shown_by_name() -> None:
    one = {"name": "one", "keyDigests": [key_digest("k1")], "priority": 1}
    assert difference({"tenants": None}, {"tenants": [one]}) == (
        "~ tenants: calls need no key -> calls need a tenant's key",
        "+ tenants one",
    )
    assert difference({"tenants": [one]}, {"tenants": [{**one, "priority": 2}]}) == (
        "~ tenants one priority: 1 -> 2",
    )
    assert difference({"tenants": [one]}, {"tenants": []}) == ("- tenants one",)


@pytest.mark.parametrize(
    ("typed", "code", "printed"),
    [
        ("k1\n", 0, key_digest("k1") + "\n"),
        ("k1", 0, key_digest("k1") + "\n"),
        ("\n", 2, ""),
        ("k 1\n", 2, ""),
        ("k" * (MAX_KEY_CHARS + 1), 2, ""),
    ],
)
def test_the_client_prints_a_keys_digest(typed: str, code: int, printed: str) -> None:
    got = subprocess.run(
        [sys.executable, "-m", "spokeroute", "client", "key-digest"],
        input=typed, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert (got.returncode, got.stdout) == (code, printed)
    assert (got.stderr == "") == (code == 0)
