"""The account of a day's worth, from a report."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tools.worth import losses_of, main, read_report


def group(name: str, asked: int, worth: float) -> dict[str, Any]:
    return {"name": name, "n": asked, "worth": worth, "late": 3, "refused": 2, "failed": 1,
            "p99_ms": 812.4}  # fmt: skip


@pytest.fixture
def report(tmp_path: Path) -> Path:
    path = tmp_path / "quiet-1.json"
    path.write_text(json.dumps({
        "G": 0.59, "served": 0.99,
        "parts": [["whole day", 0.6, 0.99], ["worst windows", 0.25, 0.8]],
        "prices": [["starts", 300.0, 0.016], ["GB between regions", 0.09, 0.19],
                   ["probes", 0.0, 0.0]],
        "classes": [group("get", 75, 1.0), group("sync", 25, 0.6)],
        "zones": [group("north", 100, 0.9)],
        "windows": [group("0", 50, 0.7), group("2", 50, 1.0)],
        "unserved_by": [["503", 7, []]],
    }))  # fmt: skip
    return path


def test_losses_stand_largest_first_and_what_costs_nothing_is_left_out(report: Path) -> None:
    rows = losses_of(read_report(report))
    assert [row.where for row in rows if row.kind == "price"] == ["GB between regions", "starts"]
    shares = {(row.kind, row.where): round(row.share, 4) for row in rows}
    assert shares["part", "worst windows"] == 0.05
    assert shares["class", "sync"] == 0.1 and ("class", "get") not in shares
    assert shares["seconds from", "0"] == 0.15


def test_the_command_prints_each_report(report: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([str(report), str(report)]) == 0
    said = capsys.readouterr().out
    assert said.count("GB between regions") == 2 and "ended 503: 7" in said


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"prices": []}'])
def test_what_is_no_report_is_named(
    text: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "other.json"
    path.write_text(text)
    assert main([str(path)]) == 2
    assert "other.json" in capsys.readouterr().err
