"""Signals during start-up. Signal handlers were installed only after all modules were imported,
which takes over five seconds on a busy machine. SIGTERM in that time killed the process (exit
status -15) instead of ending it in order, and SIGHUP, which reloads settings, killed it too."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAMS = (
    ["-m", "spokeroute", "exchange"],
    ["-m", "spokeroute", "registry"],
    ["platform/node.py", "exchange"],
    ["platform/node.py", "registry"],
)
SLOW_MODULE = "import time\nprint('reading', flush=True)\ntime.sleep(60)\n"


@pytest.fixture
def slow_import(tmp_path: Path) -> dict[str, str]:
    """An environment in which importing a library takes a minute."""
    (tmp_path / "absl.py").write_text(SLOW_MODULE)
    return {**os.environ, "PYTHONPATH": f"{tmp_path}{os.pathsep}{ROOT}"}


def started(words: list[str], environment: dict[str, str]) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, *words], cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None and process.stdout.readline() == "reading\n"
    return process


@pytest.mark.parametrize("words", PROGRAMS)
def test_a_daemon_that_is_terminated_during_start_up_exits_in_order(
    words: list[str], slow_import: dict[str, str]
) -> None:
    process = started(words, slow_import)
    process.send_signal(signal.SIGHUP)
    with pytest.raises(subprocess.TimeoutExpired):
        process.wait(0.3)
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


def test_the_client_is_killed_by_the_signal(slow_import: dict[str, str]) -> None:
    process = started(["-m", "spokeroute", "client"], slow_import)
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == -signal.SIGTERM
