"""The soak spoke of a process that "ended with -15" though it was told to end 3.4 s after its
start, when it may not heed signals yet: it was frozen meanwhile, and its age was taken once it was
awake again, 6.3 s after its start."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from typing import cast

import pytest

from tools.fleet import Fleet
from tools.load import Load, now_ms
from tools.soak.acts import YOUNG_MS, Acts
from tools.soak.plan import Act, ActKind

NAME = "ex1"


class OneProcess:
    """A fleet of one process that heeds no signal by itself."""

    def __init__(self) -> None:
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.start(NAME)

    def start(self, name: str) -> None:
        code = "import time; time.sleep(60)"
        self.processes[name] = subprocess.Popen([sys.executable, "-c", code])

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)


@pytest.fixture
def fleet() -> Iterator[OneProcess]:
    made = OneProcess()
    yield made
    for process in made.processes.values():
        process.kill()
        process.wait()


@pytest.mark.parametrize(("age_ms", "young"), [(YOUNG_MS - 500, True), (YOUNG_MS + 500, False)])
def test_how_old_a_process_is_counts_when_it_is_told_to_end(
    fleet: OneProcess, age_ms: float, young: bool
) -> None:
    acts = Acts(cast(Fleet, fleet), cast(Load, None), lambda name: None)
    acts.started_ms[NAME] = now_ms() - age_ms
    acts.carry_out(Act(0.0, ActKind.FREEZE, NAME, 1.5, ActKind.TERMINATE, 0.1))
    (ended,) = acts.ended
    assert ended.code == -signal.SIGTERM
    assert ended.young is young
