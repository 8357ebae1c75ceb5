"""Soaks a real fleet: kept connections, and signals, restarts and changes in series, overlapping.

python -m tools.soak --seed 7                    one run, on the small fleet
python -m tools.soak --seed 1 --count 50         many seeds, one after the other
python -m tools.soak --seed 1 --largest          as many processes as this machine bears
python -m tools.soak --seed 1 --regions          two regions, with delaying relays between them

A fleet that does not come up ends the command with status 2, the process's name and its last line.
"""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
from pathlib import Path

from tools.soak.run import SMALL_FRONTS, Soak, SoakError
from tools.soak.sizes import largest_fleet

EXIT_NOT_UP = 2


def main() -> None:
    """The program's entry."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=_Raw)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="so many seeds, from the first one on")
    parser.add_argument(
        "--seconds", type=float, default=35.0, help="of each run, with its calm ends"
    )
    parser.add_argument("--fronts", type=int, default=SMALL_FRONTS, help="front nodes")
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--largest", action="store_true", help="as many as this machine bears")
    parser.add_argument("--adapter", action="store_true", help="the platform's dialect")
    parser.add_argument("--regions", action="store_true", help="two regions, 20 ms apart")
    parser.add_argument("--folder", default="", help="for data and logs; kept where a run fails")
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, _interrupted)  # so that the fleet is ended
    signal.signal(signal.SIGINT, _interrupted)
    fronts = largest_fleet() if args.largest else args.fronts
    size = "--largest" if args.largest else f"--fronts {fronts}"
    size += " --adapter" if args.adapter else ""
    size += " --regions" if args.regions else ""
    if args.adapter and args.regions:
        parser.error("--adapter and --regions exclude each other")
    print(f"{fronts} front nodes, 3 members, {args.clients} clients, {args.seconds:g} s a run")
    failed: list[int] = []
    for seed in range(args.seed, args.seed + args.count):
        folder = Path(args.folder or tempfile.mkdtemp(prefix="spokeroute-soak-")) / str(seed)
        soak = Soak(folder, seed, args.seconds, fronts, args.clients, args.adapter, args.regions)
        try:
            found = soak.run()
        except SoakError as fault:
            print(f"tools.soak: seed {seed}: {fault}", file=sys.stderr)
            sys.exit(EXIT_NOT_UP)
        print(f"seed {seed}: {soak.told()}", flush=True)
        if found:
            failed.append(seed)
            print(f"  FAILED; logs in {folder}; again: python -m tools.soak --seed {seed} "
                  f"--seconds {args.seconds:g} --clients {args.clients} {size}")  # fmt: skip
        for text in found:
            print("  ", text, flush=True)
    print(f"{args.count - len(failed)} of {args.count} seeds clean; failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _interrupted(number: int, frame: object) -> None:
    """End the run; another signal must not cut the fleet's end short."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    raise KeyboardInterrupt


class _Raw(argparse.RawDescriptionHelpFormatter):
    """Keeps the lines of the description."""


if __name__ == "__main__":
    main()
