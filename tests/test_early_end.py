"""Processes that were told to end while they started ended by the signal ("ex1 ended with -15"), as
they heeded signals only after their modules had been read, which took a busy machine over five
seconds; SIGHUP, which only tells of new settings, ended them too."""

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
READING = "import time\nprint('reading', flush=True)\ntime.sleep(60)\n"


@pytest.fixture
def slow(tmp_path: Path) -> dict[str, str]:
    """An environment in which reading a library takes a minute."""
    (tmp_path / "absl.py").write_text(READING)
    return {**os.environ, "PYTHONPATH": f"{tmp_path}{os.pathsep}{ROOT}"}


def started(words: list[str], environment: dict[str, str]) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, *words], cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None and process.stdout.readline() == "reading\n"
    return process


@pytest.mark.parametrize("words", PROGRAMS)
def test_a_daemon_that_is_told_to_end_while_it_starts_ends_in_order(
    words: list[str], slow: dict[str, str]
) -> None:
    process = started(words, slow)
    process.send_signal(signal.SIGHUP)
    with pytest.raises(subprocess.TimeoutExpired):
        process.wait(0.3)
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


def test_the_client_ends_by_the_signal(slow: dict[str, str]) -> None:
    process = started(["-m", "spokeroute", "client"], slow)
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == -signal.SIGTERM
