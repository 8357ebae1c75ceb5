"""The list of system packages in the deploy file against what is executed and linked."""

from __future__ import annotations

import sysconfig
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tools.system_packages import (
    DEPLOY_FILE,
    Need,
    PackageError,
    differences,
    library_needs,
    owner_of,
    program_needs,
    programs_of,
)

RUN_DEPS = ("lmdb", "fastavro", "immutables", "re2", "pendulum", "yaml")


def deploy() -> dict[str, Any]:
    return tomllib.loads(DEPLOY_FILE.read_text())


def test_what_the_lines_execute_and_the_libraries_link_is_listed() -> None:
    installed = Path(sysconfig.get_path("purelib"))
    needs = program_needs(deploy())
    for name in RUN_DEPS:
        needs += library_needs(installed / name)
    assert differences(deploy(), needs) == []


def test_a_package_that_is_left_out_or_too_many_is_named() -> None:
    needs = program_needs(deploy())
    listed = {**deploy(), "packages": [p for p in deploy()["packages"] if p != "ca-certificates"]}
    assert "ca-certificates is not listed: pip needs it" in differences(listed, needs)
    listed = {"packages": ["dash", "cowsay"]}
    assert differences(listed, [Need("dash", "")]) == ["cowsay is listed, and nothing needs it"]


def test_programs_are_read_off_a_shell_line() -> None:
    line = "[ a -nt b ] || python3 -m pip install x && make all"
    assert [words[0] for words in programs_of(line)] == ["python3", "make"]


def test_what_no_package_owns_and_an_empty_folder_are_refused(tmp_path: Path) -> None:
    with pytest.raises(PackageError, match="no package owns"):
        owner_of(tmp_path / "made-by-hand")
    with pytest.raises(PackageError, match="build first"):
        library_needs(tmp_path)
