"""The ablation tool: its cells, its deploy files, and its table."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from spokeroute.common.switches import NAMES
from tools.ablation import (
    ALL_ON,
    RESULTS,
    AblationError,
    Result,
    cells_of,
    deploy_without,
    main,
    read_day,
    read_results,
    table,
)

ROOT = Path(__file__).parent.parent


def test_every_switch_is_turned_off_once_a_day_and_seed() -> None:
    days = [read_day("a.toml:quiet-1"), read_day("b.toml:scale-1:small")]
    cells = cells_of(days, [3, 4], NAMES)
    assert len(cells) == 2 * 2 * (len(NAMES) + 1)
    assert [cell.switch for cell in cells[: len(NAMES) + 1]] == [ALL_ON, *NAMES]


def test_the_projects_own_deploy_file_takes_a_switch_for_both_roles() -> None:
    text = (ROOT / "deploy" / "system.toml").read_text()
    changed = deploy_without(text, "near_first")
    assert changed.count("--without near_first") == 2
    assert changed.replace(" --without near_first", "") == text


def test_what_is_no_day_and_what_takes_no_switch_is_refused() -> None:
    for text in ("a.toml", "a:quiet-1", "a.toml:quiet-1:large", ""):
        with pytest.raises(AblationError):
            read_day(text)
    with pytest.raises(AblationError):
        deploy_without('run = "python3 other.py"', "near_first")


def test_the_table_tells_differences_broken_rules_and_what_was_not_played() -> None:
    rows = [
        Result("a quiet-1", 3, ALL_ON, 0.7, 0),
        Result("a quiet-1", 3, "near_first", 0.65, 0),
        Result("a quiet-1", 4, ALL_ON, 0.6, 0),
        Result("a quiet-1", 4, "load_shifts", 0.61, 2),
    ]
    assert table(rows).splitlines() == [
        "| switched off | a quiet-1, seed 3 | a quiet-1, seed 4 |",
        "|---|---|---|",
        "| (all on) | 0.700 | 0.600 |",
        "| near_first | -0.050 |  |",
        "| load_shifts |  | +0.010 (2 broken) |",
    ]


def test_results_are_read_back_and_a_missing_bench_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    row = {"title": "a d", "seed": 3, "switch": ALL_ON, "worth": 0.5, "rules_broken": 0}
    (tmp_path / RESULTS).write_text(json.dumps(row) + "\n")
    assert read_results(tmp_path) == [Result("a d", 3, ALL_ON, 0.5, 0)]
    assert main(["--scratch", str(tmp_path), "--table"]) == 0
    assert main(["--scratch", str(tmp_path), "--bench", "/nowhere/bench", "a.toml:d"]) == 2
    assert "/nowhere/bench" in capsys.readouterr().err
