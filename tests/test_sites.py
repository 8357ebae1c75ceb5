"""Deployments of our own: each description makes a site file with the parts that the bench's
page names, and a wrong one is refused with its remedy."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from tools.make_site import KINDS, bench_site, text_of, trouble_of
from tools.site_checks import read_site, site_of
from tools.sites import PLANNED, SLOTS, TROUBLES, SiteError, Trouble

FOLDER = Path(__file__).parent / "sites"
DESCRIPTIONS = sorted(FOLDER.glob("*.toml"))
EACH = pytest.mark.parametrize("path", DESCRIPTIONS, ids=lambda p: p.stem)
PARTS = {
    "name", "wire", "family", "contracts", "lead_s", "length_s", "zones", "machines", "services",
    "classes", "traffic", "workers", "troubles", "timing", "net", "discovery", "entry", "config",
    "tolerate", "bounds", "prices", "goal", "cloud", "day",
}  # fmt: skip
SERVICE = {"name", "servers", "copies", "slots", "queue", "conn_cap", "health", "function"}
ENTRY = {
    "kind", "at", "for_s", "share", "count", "x", "gap_s", "how", "on", "zone", "class", "service",
}  # fmt: skip


def made(path: Path) -> dict[str, Any]:
    return tomllib.loads(text_of(bench_site(read_site(path), "/place/of/words.json")))


def raw(name: str) -> dict[str, Any]:
    return tomllib.loads((FOLDER / f"{name}.toml").read_text())


def test_at_least_two_are_described() -> None:
    assert len(DESCRIPTIONS) >= 2
    assert [read_site(p).name for p in DESCRIPTIONS] == [p.stem for p in DESCRIPTIONS]


@EACH
def test_a_site_file_has_every_part(path: Path) -> None:
    site = made(path)
    assert set(site) == PARTS
    assert site["wire"] == "/place/of/words.json"
    names = {z["name"] for z in site["zones"]}
    for part in ("machines", "workers", "traffic"):
        assert {each["zone"] for each in site[part]} <= names
    assert {m["class"] for m in site["machines"]} == {"front", "core"}
    assert all(("disk" in m) == (m["class"] == "core") for m in site["machines"])
    assert all(set(s) == SERVICE for s in site["services"])
    services = {s["name"] for s in site["services"]}
    assert {c["service"] for c in site["classes"]} == services
    classes = {c["name"] for c in site["classes"]}
    assert all(set(t["mix"]) == classes for t in site["traffic"])
    per_s = sum(t["per_s"] for t in site["traffic"])
    assert per_s == pytest.approx(read_site(path).traffic.per_s, rel=0.01)
    once = {c["name"] for c in site["classes"] if c.get("kind") == "unsafe"}
    assert once == {r.name for r in read_site(path).requests if r.once} != set()


@EACH
def test_days_are_of_each_slot_and_hold_known_entries(path: Path) -> None:
    site = made(path)
    days = site["day"]
    assert {d["slot"] for d in days} == set(SLOTS)
    assert len({d["seed"] for d in days}) == len(days)
    for day in days:
        assert 0 <= day["zero"] < day["one"] <= 1
        assert 0.4 <= day["goal"]["floor"] <= 0.5
        assert day["slot"] == "quiet" or ("closing" in day and day["faults"])
        for entry in (*day["plan"], *day["faults"]):
            assert set(entry) <= ENTRY
            assert 0 <= entry["at"] < site["length_s"]
    for entry in site["troubles"]:
        assert set(entry) <= ENTRY and "at" not in entry


def test_they_are_alike_in_no_figure() -> None:
    """What suits one deployment by chance must not suit the next one."""
    slow, dense = read_site(FOLDER / "slow.toml"), read_site(FOLDER / "dense.toml")
    for name in ("distances", "front", "core", "workers", "times", "traffic"):
        one, other = getattr(slow, name).to_dict(), getattr(dense, name).to_dict()
        same = {k for k in one if one[k] == other[k]}
        assert same <= {"cores", "spare"}, name
    assert len(slow.zones) != len(dense.zones)
    assert {(f.memory_mb, f.slots, f.boot_ms) for f in slow.functions}.isdisjoint(
        {(f.memory_mb, f.slots, f.boot_ms) for f in dense.functions}
    )


def test_every_trouble_has_a_word_of_the_bench() -> None:
    assert set(KINDS) == set(TROUBLES)
    assert set(PLANNED) < set(TROUBLES)
    assert trouble_of(Trouble("kill", core=True)) == {"kind": "node_kill", "on": "core"}
    assert trouble_of(Trouble("apply", at_s=0.0)) == {"at": 0.0, "kind": "config_change"}


def spoiled(**changes: Any) -> dict[str, Any]:
    doc = raw("slow")
    for place, value in changes.items():
        part: Any = doc
        *way, last = place.split("__")
        for step in way:
            part = part[int(step)] if step.isdigit() else part[step]
        if value is None:
            del part[last]
        else:
            part[last] = value
    return doc


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"traffic__per_s": None}, '"per_s" of type float is missing'),
        ({"traffic__per_hour": 3.0}, "per_hour"),
        ({"traffic__per_s": 0.0}, "above 0"),
        ({"traffic__per_s": "many"}, "traffic"),
        ({"zones__1__name": "north"}, "named twice"),
        ({"zones__0__cores": 3}, "half of the core"),
        ({"losses__machines": 2}, "no majority"),
        ({"functions__0__memory_mb": 9_000}, "fits on no worker"),
        ({"requests__0__function": "nobody"}, "names no known function"),
        ({"requests__0__aim_ms": 100.0}, "must rise"),
        ({"troubles__0__what": "flood"}, "is no trouble"),
        ({"days__0__slot": "calm"}, "slot calm is unknown"),
        ({"days__1__faults__0__at_s": 99.0}, "within the day"),
        ({"days__1__plan__0__what": "kill"}, "not planned work"),
        ({"days__0__zero": 0.9}, "zero < one"),
    ],
)
def test_a_wrong_description_is_refused_with_its_remedy(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(SiteError, match=said):
        site_of(spoiled(**changes))


def test_an_unknown_price_is_refused() -> None:
    with pytest.raises(SiteError, match=r"prices\.gold"):
        bench_site(site_of(spoiled(prices__gold=1.0)), "/place")


def test_regions_stand_in_the_site_file() -> None:
    site = made(FOLDER / "coasts.toml")
    assert {z["region"] for z in site["zones"]} == {"east", "west", "middle"}
    assert site["net"]["cross_region_ms"] == 31.0 and site["tolerate"]["regions"] == 1
    assert site["prices"]["cross_region_gb"] == 26_000.0
    alone = made(FOLDER / "slow.toml")
    assert {z["region"] for z in alone["zones"]} == {"uplands"}
    assert alone["net"]["cross_region_ms"] == 8.0 and alone["tolerate"]["regions"] == 0


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"losses__regions": 1}, "leaves no region"),
        ({"losses__regions": 1, "zones__3__region": "far"}, "half of the core"),
    ],
)
def test_a_region_that_cannot_be_lost_is_named(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(SiteError, match=said):
        site_of(spoiled(**changes))
