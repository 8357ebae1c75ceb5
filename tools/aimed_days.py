"""Draws days of trouble that are aimed at the control plane's five failures, and plays them.

A standard day of a site gives the traffic; a profile gives what befalls the core and when. The
draw depends on the seed only, so a day that broke a rule is drawn again by its seed.

Example:
    python -m tools.aimed_days --site SITE.toml --out days --first 1 --count 10
    python -m tools.aimed_days --site SITE.toml --out days --bench PROGRAM --jobs 4 --why "hunt"
"""

from __future__ import annotations

import random
import re
import subprocess
import sys
import tomllib
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from tools.make_site import written

Trouble = dict[str, Any]

LAST_FAULT_S = 30.0
RECOVERY_MARGIN_S = 2.0
BROKEN = re.compile(r"^rules broken|BROKEN|FAULT|^fault|gate failed", re.MULTILINE)
EXIT_BROKEN = 1
EXIT_USAGE = 2


class SiteError(Exception):
    """The site file can't be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Day:
    """One day: planned work, faults, and how it ends."""

    name: str
    plan: tuple[Trouble, ...]
    faults: tuple[Trouble, ...]
    closing: Trouble = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the bench said of a day."""

    name: str
    broken: tuple[str, ...]
    score_line: str


class Draw:
    """Seeded choices for one day.

    Example:
        Draw(random.Random(1)).seconds(1, 2)
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def seconds(self, least: float, most: float) -> float:
        """A time between two bounds, to a tenth of a second."""
        return round(self.rng.uniform(least, most), 1)

    def one_of(self, *choices: str) -> str:
        """One of several words."""
        return self.rng.choice(choices)

    def often(self, share: float) -> bool:
        """True in this share of draws."""
        return self.rng.random() < share


Profile = Callable[[Draw], tuple[list[Trouble], list[Trouble]]]


def cut_off(draw: Draw) -> tuple[list[Trouble], list[Trouble]]:
    """Core members that are cut off for about twenty seconds while configurations change."""
    hows = ("leader", "", "one_way", "seeds", "both", "leader race", "reset", "leader meet")
    begins_s = draw.seconds(1, 8)
    plan: list[Trouble] = [
        {"kind": "config_storm", "at": draw.seconds(0.5, 4), "for_s": draw.seconds(10, 28),
         "gap_s": draw.seconds(0.3, 1.2)},
        {"kind": "worker_drain", "at": draw.seconds(3, 20), "share": 0.17},
    ]  # fmt: skip
    faults: list[Trouble] = [
        {"kind": "core_cut", "at": begins_s, "for_s": draw.seconds(14, 22), "count": 1,
         "how": draw.one_of(*hows)},
    ]  # fmt: skip
    if draw.often(0.4):
        faults.append({"kind": "zone_cut", "at": draw.seconds(24, 28), "for_s": draw.seconds(3, 8)})
    if draw.often(0.4):
        faults.append({"kind": "node_cut", "at": draw.seconds(2, 20), "for_s": draw.seconds(5, 20),
                       "share": 0.2})  # fmt: skip
    return plan, faults


def numbers(draw: Draw) -> tuple[list[Trouble], list[Trouble]]:
    """Two operators, numbers used again, answers that are lost."""
    plan: list[Trouble] = [
        {"kind": "config_race", "at": draw.seconds(1, 5), "count": draw.rng.randint(3, 8),
         "gap_s": draw.seconds(0.5, 2)},
        {"kind": "bad_config", "at": draw.seconds(2, 12), "count": 3, "gap_s": draw.seconds(0.4, 2),
         "how": draw.one_of("same_version", "old_version", "cut_short", "same_place")},
        {"kind": "config_storm", "at": draw.seconds(8, 14), "for_s": draw.seconds(4, 12),
         "gap_s": draw.seconds(0.2, 0.6)},
    ]  # fmt: skip
    faults: list[Trouble] = [
        {"kind": "ack_lost", "at": draw.seconds(1, 8), "for_s": draw.seconds(8, 22),
         "x": round(draw.rng.uniform(0.4, 0.9), 2)},
        {"kind": "node_kill", "on": "core", "at": draw.seconds(4, 20), "count": 1,
         "for_s": draw.seconds(1, 6),
         "how": draw.one_of("leader race hard", "leader race", "meet race", "seed", "reader")},
    ]  # fmt: skip
    if draw.often(0.5):
        faults.append(
            {
                "kind": "core_cut",
                "at": draw.seconds(12, 24),
                "for_s": draw.seconds(4, 10),
                "count": 1,
                "how": draw.one_of("leader race", "leader race hard", "both"),
            }
        )
    return plan, faults


def second_losses(draw: Draw) -> tuple[list[Trouble], list[Trouble]]:
    """A replacement or a repair, and another loss right behind it."""
    plan: list[Trouble] = [
        {"kind": "config_storm", "at": draw.seconds(0.5, 3), "for_s": draw.seconds(15, 28),
         "gap_s": draw.seconds(0.3, 1)},
    ]  # fmt: skip
    if draw.often(0.5):
        plan.append({"kind": "replace_core", "at": draw.seconds(2, 14), "x": draw.seconds(0.5, 3),
                     "how": draw.one_of("planned", "")})  # fmt: skip
    if draw.often(0.3):
        plan.append({"kind": "roll_term", "on": "core", "at": draw.seconds(14, 20),
                     "gap_s": draw.seconds(0.5, 3)})  # fmt: skip
    at_s = draw.seconds(2, 8)
    first = draw.one_of("after_ack_wipe", "disk_full", "disk_stall", "after_ack_kill")
    second = draw.one_of("node_kill", "after_ack_wipe", "disk_full", "herd_kill", "node_freeze")
    faults: list[Trouble] = [
        {"kind": first, "at": at_s, "for_s": draw.seconds(1, 5), "count": 1},
        {"kind": second, "at": round(at_s + draw.seconds(0.3, 8), 1), "for_s": draw.seconds(1, 8),
         "count": 1, "on": "core"},
        {"kind": "after_ack_wipe", "at": draw.seconds(18, 28), "for_s": draw.seconds(1, 3),
         "how": draw.one_of("", "timed", "taken", "kill")},
    ]  # fmt: skip
    if second in ("after_ack_wipe", "disk_full"):
        del faults[1]["on"]
    return plan, faults


def many_changes(draw: Draw) -> tuple[list[Trouble], list[Trouble]]:
    """Hundreds of changes while a member is away, which then is one of those that remain."""
    plan: list[Trouble] = [
        {"kind": "config_storm", "at": 0.5, "for_s": LAST_FAULT_S, "gap_s": draw.seconds(0.1, 0.3)},
    ]
    if draw.often(0.3):
        plan.append({"kind": "hup", "at": draw.seconds(3, 20), "share": 0.5})
    away_s = draw.seconds(8, 18)
    back_s = round(3 + away_s, 1)
    faults: list[Trouble] = [
        {"kind": "node_kill", "on": "core", "at": 3, "for_s": away_s, "count": 1,
         "how": draw.one_of("power", "leader", "seed", "")},
        {"kind": "node_kill", "on": "core", "at": round(back_s + draw.seconds(4.2, 6), 1),
         "for_s": draw.seconds(1, 4), "count": 1, "how": draw.one_of("power leader", "leader", "")},
        {"kind": "disk_slow", "at": back_s, "for_s": draw.seconds(2, 5), "count": 1, "x": 20.0},
    ]  # fmt: skip
    if draw.often(0.4):
        faults.append({"kind": "herd_kill", "on": "core", "at": 29, "for_s": 0.6,
                       "how": draw.one_of("taken", "power", "")})  # fmt: skip
    return plan, faults


def answers(draw: Draw) -> tuple[list[Trouble], list[Trouble]]:
    """Answers that are lost, spoiled, late or doubled; connections that are reset."""
    plan: list[Trouble] = [
        {"kind": "roll_term", "at": draw.seconds(2, 12), "gap_s": draw.seconds(0.5, 2),
         "how": "busy"},
        {"kind": "config_change", "at": draw.seconds(3, 20), "how": draw.one_of("route", "idle")},
    ]  # fmt: skip
    faults: list[Trouble] = [
        {"kind": "garble", "at": draw.seconds(1, 10), "for_s": draw.seconds(5, 12), "share": 0.6,
         "x": 0.05, "how": draw.one_of("extra late", "extra", "")},
        {"kind": "answer_lost", "at": draw.seconds(5, 18), "for_s": draw.seconds(4, 10),
         "share": 0.5, "x": 0.05, "how": draw.one_of("reset", "")},
        {"kind": "reset_conns", "at": draw.seconds(4, 25), "share": 0.5, "x": 0.7},
        {"kind": "node_freeze", "at": draw.seconds(5, 25), "for_s": draw.seconds(0.5, 5),
         "share": 0.2},
        {"kind": "worker_crash", "at": draw.seconds(5, 25), "for_s": draw.seconds(2, 6),
         "share": 0.17, "how": draw.one_of("reset", "")},
    ]  # fmt: skip
    return plan, faults


PROFILES: Mapping[str, Profile] = {
    "cut": cut_off,
    "numbers": numbers,
    "losses": second_losses,
    "changes": many_changes,
    "answers": answers,
}


def draw_day(seed: int, profile: str = "") -> Day:
    """The day of a seed; profiles take turns where none is asked for.

    Example:
        >>> draw_day(3).name == draw_day(3).name
        True
    """
    names = sorted(PROFILES)
    chosen = profile or names[seed % len(names)]
    draw = Draw(random.Random(f"{chosen}/{seed}"))
    plan, faults = PROFILES[chosen](draw)
    if draw.often(0.35):
        more_plan, more_faults = PROFILES[draw.one_of(*names)](draw)
        plan += more_plan[:1]
        faults += more_faults[:1]
    closing: Trouble = {}
    if draw.often(0.7):
        kind = draw.one_of("power_off_all", "kill_all", "wipe_after_ack")
        closing = {"kind": kind, "down_s": draw.seconds(0.5, 1.5)}
    return Day(f"{chosen}-{seed}", tuple(plan), tuple(faults), closing)


def day_text(day: Day, standard: Mapping[str, Any]) -> str:
    """A day in the bench's form, with the traffic and floors of a standard day.

    Example:
        day_text(draw_day(1), standard).startswith("[[day]]")
    """
    fields: dict[str, Any] = dict(standard)
    fields.pop("closing", None)
    fields.update(name=day.name, plan=list(day.plan), faults=list(day.faults))
    if day.closing:
        fields["closing"] = day.closing
    lines = [f"{key} = {written(value)}" for key, value in fields.items()]
    return "[[day]]\n" + "\n".join(lines) + "\n"


def standard_day(site: Path) -> dict[str, Any]:
    """The first standard day of a site file; its traffic is what an aimed day gets.

    Example:
        standard_day(Path("site.toml"))["traffic"]
    """
    try:
        days = tomllib.loads(site.read_text()).get("day", [])
    except (OSError, tomllib.TOMLDecodeError) as fault:
        raise SiteError(f"{site} can't be read ({fault}): give a site file of the bench") from fault
    if not days:
        raise SiteError(f"{site} has no standard day: give a site file that holds [[day]] tables")
    return dict(days[0])


def verdicts(text: str) -> tuple[str, ...]:
    """The lines of the bench's output that tell of a broken rule or a fault.

    Example:
        >>> verdicts("worth given up late, untried\\nrules broken: CONFIG 2")
        ('rules broken: CONFIG 2',)
    """
    return tuple(line.strip() for line in text.splitlines() if BROKEN.search(line))


def play(bench: str, site: Path, day_file: Path, seed: int, why: str) -> Outcome:
    """Play one day and read the bench's verdict.

    Example:
        play("bench", Path("site.toml"), Path("days/cut-1.toml"), 1, "hunt").broken == ()
    """
    words = [bench, "run", str(site), str(day_file), "--seed", str(seed), "--jobs", "1"]
    done = subprocess.run([*words, "--why", why], capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    day_file.with_suffix(".log").write_text(text)
    broken = verdicts(text)
    if done.returncode and not broken:
        broken = (f"exit status {done.returncode}",)
    marks = [line.strip() for line in text.splitlines() if line.startswith(day_file.stem)]
    return Outcome(day_file.stem, broken, marks[-1] if marks else "")


@cappa.command(name="aimed_days", help="Draw days aimed at the control plane, and play them.")
@dataclass
class AimedDays:
    """The command's arguments."""

    site: Annotated[str, cappa.Arg(long="site", help="the bench's site file")]
    out: Annotated[str, cappa.Arg(long="out", help="folder for the days and their logs")]
    first: Annotated[int, cappa.Arg(long="first", help="the first seed")] = 1
    count: Annotated[int, cappa.Arg(long="count", help="how many days")] = 10
    profile: Annotated[str, cappa.Arg(long="profile", help="one profile only")] = ""
    bench: Annotated[str, cappa.Arg(long="bench", help="the bench's program; none: draw only")] = ""
    jobs: Annotated[int, cappa.Arg(long="jobs", help="days at a time")] = 4
    why: Annotated[str, cappa.Arg(long="why", help="a line for the journal")] = "aimed days"

    def __call__(self) -> None:
        """Carry the command out."""
        if self.profile and self.profile not in PROFILES:
            print(f"no profile {self.profile!r}: choose {', '.join(PROFILES)}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        try:
            standard = standard_day(Path(self.site))
        except SiteError as fault:
            print(f"aimed_days: {fault}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        folder = Path(self.out)
        folder.mkdir(parents=True, exist_ok=True)
        drawn: list[tuple[int, Path]] = []
        for seed in range(self.first, self.first + self.count):
            day = draw_day(seed, self.profile)
            path = folder / f"{day.name}.toml"
            path.write_text(day_text(day, standard))
            drawn.append((seed, path))
        if self.bench:
            self._play_all(drawn)

    def _play_all(self, drawn: list[tuple[int, Path]]) -> None:
        site = Path(self.site)
        with ThreadPoolExecutor(self.jobs) as pool:
            running = [
                pool.submit(play, self.bench, site, path, seed, f"{self.why}: {path.stem}")
                for seed, path in drawn
            ]
            outcomes = [each.result() for each in running]
        broken = [outcome for outcome in outcomes if outcome.broken]
        for outcome in outcomes:
            verdict = "; ".join(outcome.broken) or "no rule broken"
            print(f"{outcome.name}: {verdict} | {outcome.score_line}")
        print(f"{len(outcomes)} days, {len(broken)} with a broken rule or fault")
        sys.exit(EXIT_BROKEN if broken else 0)


if __name__ == "__main__":
    cappa.invoke(AimedDays, completion=False)
