"""Runs the program with something of its machine changed, for tests.

    python -m tools.launch --clock FILE --listen 127.0.0.1:7001 -- exchange --name ex1 ...

``--clock``: the wall clock that every library reads is off by the seconds that stand in FILE,
read anew at each look. ``--listen``: the trunk listens there, while peers are told of the
address in the settings, so that a relay can stand between.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path
from typing import Any

honest_s, honest_ns = time.time, time.time_ns


def jumped_by(path: Path) -> float:
    """How far off the wall clock is now."""
    try:
        return float(path.read_text() or 0)
    except (OSError, ValueError):
        return 0.0


def main() -> None:
    """The program's entry."""
    at = sys.argv.index("--")
    options = dict(zip(sys.argv[1:at:2], sys.argv[2:at:2], strict=True))
    if "--clock" in options:
        path = Path(options["--clock"])
        time.time = lambda: honest_s() + jumped_by(path)
        time.time_ns = lambda: honest_ns() + int(jumped_by(path) * 1e9)
    if "--listen" in options:
        import spokeroute.daemon
        from spokeroute.common.ids import Address

        daemon: Any = spokeroute.daemon
        honest = daemon.Loop

        def behind(address: Address) -> Any:
            return honest(Address(options["--listen"]))

        daemon.Loop = behind
    sys.argv = ["spokeroute", *sys.argv[at + 1 :]]
    runpy.run_module("spokeroute", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
