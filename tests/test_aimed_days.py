"""Days drawn for hunts: the same for the same seed, and in the bench's form."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from tools.aimed_days import PROFILES, SiteError, day_text, draw_day, standard_day, verdicts

STANDARD = {"name": "quiet-1", "seed": 3, "traffic": [{"zone": "north", "per_s": 10.0}]}


@pytest.mark.parametrize("profile", sorted(PROFILES))
def test_a_day_is_the_same_for_the_same_seed_and_not_for_others(profile: str) -> None:
    days = [draw_day(seed, profile) for seed in range(40)]
    assert days == [draw_day(seed, profile) for seed in range(40)]
    assert len({day_text(day, {}) for day in days}) == 40


def test_a_day_is_written_with_a_standard_days_traffic() -> None:
    day = draw_day(5)
    written = tomllib.loads(day_text(day, {**STANDARD, "closing": {"kind": "other"}}))["day"][0]
    assert written["traffic"] == STANDARD["traffic"]
    assert written["name"] == day.name
    assert written["plan"] == list(day.plan)
    assert written["faults"] == list(day.faults)
    assert written.get("closing", {}) == day.closing


def test_profiles_take_turns_and_each_has_a_fault_of_its_point() -> None:
    assert {draw_day(seed).name.split("-")[0] for seed in range(5)} == set(PROFILES)
    kinds = {name: {f["kind"] for f in draw_day(7, name).faults} for name in PROFILES}
    assert "core_cut" in kinds["cut"]
    assert "ack_lost" in kinds["numbers"]
    assert "after_ack_wipe" in kinds["losses"]
    assert "node_kill" in kinds["changes"]
    assert "garble" in kinds["answers"]


def test_a_site_file_that_can_not_be_used_is_named(tmp_path: Path) -> None:
    with pytest.raises(SiteError, match="give a site file"):
        standard_day(tmp_path / "none.toml")
    empty = tmp_path / "empty.toml"
    empty.write_text('name = "empty"\n')
    with pytest.raises(SiteError, match="no standard day"):
        standard_day(empty)


def test_a_broken_rule_is_read_off_the_output_and_a_price_is_not() -> None:
    price = "  -0.0000  0.0 worth given up late, untried"
    day = "cut-2  12/0  0.00  0.7  BROKEN: CONFIG 91, DENIED 54 (else 0.55)"
    assert verdicts(price) == ()
    assert verdicts(f"{price}\n{day}\nrules broken: CONFIG 91") == (day, "rules broken: CONFIG 91")
