"""What the processes of a fleet hold: descriptors, threads, memory, and their stores."""

from __future__ import annotations

import os
from pathlib import Path

from tools.fleet import Fleet
from tools.load import usage
from tools.soak.records import Size

MEGA = 2**20
PROCESS_MB = 60.0  # what a daemon and its share of the stand-in's instances may take
PROCESSES_A_CORE = 8
MOST_PROCESSES = 200


def sizes_of(fleet: Fleet) -> list[Size]:
    """Each daemon's size, now."""
    found: list[Size] = []
    for name, process in sorted(fleet.processes.items()):
        if name == "platform" or process.poll() is not None:
            continue
        folder = Path(f"/proc/{process.pid}")
        try:
            descriptors = len(os.listdir(folder / "fd"))
            threads = len(os.listdir(folder / "task"))
        except OSError:
            continue
        memory_mb, _ = usage(process.pid)
        found.append(Size(name, descriptors, threads, memory_mb, _store_mb(fleet.folder / name)))
    return found


def _store_mb(folder: Path) -> float:
    if not folder.is_dir():
        return 0.0
    return sum(each.stat().st_size for each in folder.rglob("*") if each.is_file()) / MEGA


def largest_fleet() -> int:
    """How many front nodes this machine bears: under half of its memory, a few hundred processes,
    and no more than its processors carry.

    Example:
        largest_fleet() > 3
    """
    memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MEGA
    by_memory = int(memory_mb / 2 / PROCESS_MB)
    by_processor = PROCESSES_A_CORE * (os.cpu_count() or 1)
    return max(3, min(by_memory, by_processor, MOST_PROCESSES))
