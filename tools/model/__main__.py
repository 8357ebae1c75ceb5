"""The model checker by hand.

python -m tools.model --scenario rounds --depth 9
python -m tools.model --members 5 --walks 1000 --steps 400
python -m tools.model --fault lowest-ballot
python -m tools.model --scenario lives --replay run.txt
"""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from tools.model.faults import FAULTS, planted
from tools.model.scenario import Scenario, with_members
from tools.model.scenarios import SCENARIOS
from tools.model.search import Outcome, explore, replay, shrink, walks


@cappa.command(name="model", help="Explore the register and membership cores, over all orders.")
@dataclass
class Model:
    """The command's arguments."""

    scenario: Annotated[
        str, cappa.Arg(long="scenario", help="one of those of tools/model/scenarios.py, or all")
    ] = "all"
    members: Annotated[
        int, cappa.Arg(long="members", help="at the start; 0: the scenario's own")
    ] = 0
    depth: Annotated[int, cappa.Arg(long="depth", help="of the search over all orders")] = 7
    walks: Annotated[int, cappa.Arg(long="walks", help="random runs in place of all orders")] = 0
    steps: Annotated[int, cappa.Arg(long="steps", help="of each random run, at most")] = 250
    seed: Annotated[int, cappa.Arg(long="seed", help="of the first random run")] = 1
    fault: Annotated[str, cappa.Arg(long="fault", help="plant this one; see --faults")] = ""
    seconds: Annotated[float, cappa.Arg(long="seconds", help="for each scenario, at most")] = 600.0
    replay: Annotated[Path | None, cappa.Arg(long="replay", help="a script of actions")] = None
    faults: Annotated[bool, cappa.Arg(long="faults", help="name the faults to plant")] = False

    def __call__(self) -> None:
        """Carry the command out."""
        if self.faults:
            print("\n".join(f"{f.name:24s} {f.about} (in {f.scenario})" for f in FAULTS.values()))
            return
        scenarios = self._scenarios()
        with planted(FAULTS[self.fault] if self.fault else None):
            results = [self._one(each) for each in scenarios]
        sys.exit(0 if all(results) else 1)

    def _scenarios(self) -> list[Scenario]:
        if self.fault and self.fault not in FAULTS:
            raise cappa.Exit(f"model: no fault {self.fault}; see --faults", code=2)
        name = FAULTS[self.fault].scenario if self.fault and self.scenario == "all" else ""
        name = name or self.scenario
        if name != "all" and name not in SCENARIOS:
            raise cappa.Exit(f"model: no scenario {name}; known: {', '.join(SCENARIOS)}", code=2)
        names = list(SCENARIOS) if name == "all" else [name]
        return [
            with_members(SCENARIOS[each], self.members) if self.members else SCENARIOS[each]
            for each in names
        ]

    def _one(self, scenario: Scenario) -> bool:
        def say(text: str) -> None:
            print(f"  {scenario.name}: {text}", file=sys.stderr, flush=True)

        if self.replay is not None:
            found = replay(scenario, script(self.replay.read_text()))
            print(found.text if found else "nothing broke")
            return found is None
        if self.walks:
            outcome = walks(scenario, self.seed, self.walks, self.steps, self.seconds, say)
        else:
            outcome = explore(scenario, self.depth, self.seconds, say)
        print(f"{scenario.name}: {told(outcome, bool(self.walks))}", flush=True)
        if outcome.failure is None:
            return True
        least = shrink(scenario, outcome.failure)
        print(f"{least.text}\n# {len(least.actions)} actions of {len(outcome.failure.actions)}")
        print("\n".join(least.actions), flush=True)
        return False


def script(text: str) -> tuple[str, ...]:
    """The actions of a script; lines that begin with # are notes.

    Example:
        >>> script("# why\\nask a\\n")
        ('ask a',)
    """
    lines = (line.strip() for line in text.splitlines())
    return tuple(line for line in lines if line and not line.startswith("#"))


def told(outcome: Outcome, walked: bool) -> str:
    """A search's figures as a line."""
    if walked:
        return f"{outcome.states} walks, {outcome.steps} steps, {outcome.seconds:.1f} s"
    end = ", nothing left" if outcome.whole else ""
    return (
        f"{outcome.states} states, {outcome.steps} steps, all orders to depth {outcome.depth}"
        f"{end}, {outcome.seconds:.1f} s"
    )


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":  # one order of hashes: a search is one search
        os.execve(sys.executable, [sys.executable, "-m", "tools.model", *sys.argv[1:]],
                  {**os.environ, "PYTHONHASHSEED": "0"})  # fmt: skip
    cappa.invoke(Model)
