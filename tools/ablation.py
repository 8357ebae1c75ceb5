"""What each mechanism is worth: days of deployments with one switch off at a time.

``python -m tools.ablation --bench PROGRAM --scratch FOLDER --seeds 3,4 SITE:DAY...`` plays each day
with everything on and with each switch off (``spokeroute/common/switches.py``), in clones of the
committed tree that differ from it in the deploy file's ``--without`` alone. Results are kept in the
scratch folder as they come, so that an interrupted run goes on where it was; the table is printed
at the end, or at once with ``--table``. SITE:DAY:small plays the small twin of a day.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import subprocess
import sys
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from spokeroute.common.switches import NAMES

ALL_ON = "all on"
RESULTS = "results.jsonl"
ROOT = Path(__file__).parent.parent
RUN_LINE = re.compile(r'^(run = "python3 platform/node\.py \w+)"$', re.MULTILINE)


class AblationError(Exception):
    """A cell that can't be played; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Day:
    """A day of a deployment: its site file, its name, and whether the small twin is played."""

    site: Path
    name: str
    small: bool

    @property
    def title(self) -> str:
        """How the table names it.

        Example:
            >>> Day(Path("a/b.toml"), "scale-1", True).title
            'b scale-1, small twin'
        """
        return f"{self.site.stem} {self.name}{', small twin' if self.small else ''}"


@dataclass(frozen=True, slots=True)
class Cell:
    """One run: a day, a seed, and the switch that is off."""

    day: Day
    seed: int
    switch: str


@dataclass(frozen=True, slots=True)
class Result:
    """What a cell's run earned: worth after prices, and how many rules it broke."""

    title: str
    seed: int
    switch: str
    worth: float
    rules_broken: int


def read_day(text: str) -> Day:
    """A day as the command line gives it.

    Example:
        >>> read_day("x/a.toml:scale-1:small").small
        True
    """
    site, _, rest = text.partition(":")
    name, _, twin = rest.partition(":")
    if not site.endswith(".toml") or not name or twin not in ("", "small"):
        raise AblationError(f"{text!r} is no day: give SITE.toml:DAY or SITE.toml:DAY:small")
    return Day(Path(site), name, twin == "small")


def deploy_without(text: str, switch: str) -> str:
    """A deploy file whose roles run without a mechanism.

    Example:
        >>> deploy_without('run = "python3 platform/node.py exchange"', "near_first")
        'run = "python3 platform/node.py exchange --without near_first"'
    """
    changed, count = RUN_LINE.subn(rf'\1 --without {switch}"', text)
    if not count:
        raise AblationError("the deploy file runs no role that takes --without: mend RUN_LINE")
    return changed


def cells_of(days: Iterable[Day], seeds: Iterable[int], switches: Iterable[str]) -> list[Cell]:
    """All cells, seed by seed, so that a run that is cut short has whole columns.

    Example:
        >>> len(cells_of([read_day("a.toml:d")], [1, 2], ["x"]))
        4
    """
    order = (ALL_ON, *switches)
    days = list(days)
    return [Cell(day, seed, switch) for seed in seeds for day in days for switch in order]


def clone(scratch: Path, switch: str) -> Path:
    """The committed tree in a folder of its own, with a switch off.

    Example:
        clone(Path("/work/ablation"), "near_first")
    """
    folder = scratch / switch.replace(" ", "-")
    if folder.exists():
        return folder
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    deploy = folder / "deploy" / "system.toml"
    if switch != ALL_ON:
        deploy.write_text(deploy_without(deploy.read_text(), switch))
    return folder


def play(bench: Path, scratch: Path, cell: Cell) -> Result:
    """Play one cell.

    Example:
        play(Path("fleetbench"), Path("/work/ablation"), cell)
    """
    folder = clone(scratch, cell.switch)
    stem = f"{cell.day.site.stem}-{cell.day.name}-{cell.seed}-{cell.switch}".replace(" ", "-")
    report = scratch / f"{stem}.json"
    command = [
        str(bench), "run", str(cell.day.site.resolve()), cell.day.name, "--seed", str(cell.seed),
        "--no-cpu", "--report", str(report), "--why", f"ablation: {cell.switch} off",
    ]  # fmt: skip
    if cell.switch == ALL_ON:
        command[-1] = "ablation: all on"
    if cell.day.small:
        command.append("--small")
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    if not report.exists():
        raise AblationError(f"{stem} left no report: {(done.stdout + done.stderr)[-300:]}")
    found = json.loads(report.read_text())
    broken = sum(found["breaks"].values()) if found["breaks"] else 0
    return Result(cell.day.title, cell.seed, cell.switch, float(found["G"]), int(broken))


def table(results: Iterable[Result]) -> str:
    """Differences of worth to everything on, a row for each switch.

    Example:
        >>> print(table([Result("a d", 3, ALL_ON, 0.5, 0), Result("a d", 3, "x", 0.4, 0)]))
        | switched off | a d, seed 3 |
        |---|---|
        | (all on) | 0.500 |
        | x | -0.100 |
    """
    known: dict[tuple[str, int], dict[str, Result]] = {}
    for each in results:
        known.setdefault((each.title, each.seed), {})[each.switch] = each
    columns = sorted(known)
    head = "| switched off | " + " | ".join(f"{title}, seed {seed}" for title, seed in columns)
    lines = [head + " |", "|" + "---|" * (len(columns) + 1)]
    rows = dict.fromkeys(switch for column in columns for switch in known[column])
    for switch in rows:
        entries = [_entry(known[column], switch) for column in columns]
        name = f"({switch})" if switch == ALL_ON else switch
        lines.append(f"| {name} | " + " | ".join(entries) + " |")
    return "\n".join(lines)


def _entry(column: Mapping[str, Result], switch: str) -> str:
    found, base = column.get(switch), column.get(ALL_ON)
    if found is None or base is None:
        return ""
    broken = f" ({found.rules_broken} broken)" if found.rules_broken else ""
    if switch == ALL_ON:
        return f"{found.worth:.3f}{broken}"
    return f"{found.worth - base.worth:+.3f}{broken}"


def read_results(scratch: Path) -> list[Result]:
    """What was played so far.

    Example:
        read_results(Path("/nowhere")) == []
    """
    path = scratch / RESULTS
    if not path.exists():
        return []
    return [Result(**json.loads(line)) for line in path.read_text().splitlines()]


def main(arguments: list[str] | None = None) -> int:
    """The command.

    Example:
        main(["--table", "--scratch", "/work/ablation"])
    """
    parser = argparse.ArgumentParser(prog="tools.ablation", description=__doc__)
    parser.add_argument("days", nargs="*", help="SITE.toml:DAY or SITE.toml:DAY:small")
    parser.add_argument("--bench", type=Path, help="the users' bench")
    parser.add_argument("--scratch", type=Path, required=True, help="a folder outside /tmp")
    parser.add_argument("--seeds", default="3,4", help="with commas")
    parser.add_argument("--switches", default=",".join(NAMES), help="with commas")
    parser.add_argument("--jobs", type=int, default=2, help="runs at a time")
    parser.add_argument("--table", action="store_true", help="print what there is, play nothing")
    given = parser.parse_args(arguments)
    try:
        if not given.table:
            _play_all(given)
    except AblationError as fault:
        print(f"tools.ablation: {fault}", file=sys.stderr)
        return 2
    print(table(read_results(given.scratch)))
    return 0


def _play_all(given: argparse.Namespace) -> None:
    if given.bench is None or not shutil.which(str(given.bench)):
        raise AblationError(f"--bench {given.bench} is no program: name the users' bench")
    given.scratch.mkdir(parents=True, exist_ok=True)
    days = [read_day(text) for text in given.days]
    seeds = [int(seed) for seed in given.seeds.split(",")]
    switches = given.switches.split(",")
    done = {(each.title, each.seed, each.switch) for each in read_results(given.scratch)}
    for switch in (ALL_ON, *switches):
        clone(given.scratch, switch)
    left = [
        cell
        for cell in cells_of(days, seeds, switches)
        if (cell.day.title, cell.seed, cell.switch) not in done
    ]

    def one(cell: Cell) -> None:
        try:
            result = play(given.bench, given.scratch, cell)
        except AblationError as fault:
            print(f"tools.ablation: {fault}", file=sys.stderr, flush=True)
            return
        row = {name: getattr(result, name) for name in Result.__slots__}
        with (given.scratch / RESULTS).open("a") as results:
            results.write(json.dumps(row) + "\n")

    with ThreadPoolExecutor(given.jobs) as pool:
        list(pool.map(one, left))


if __name__ == "__main__":
    sys.exit(main())
