"""What work costs: the processor's own count of instructions in user mode, which busy neighbours
do not change. Where it can't be had, processor time in nanoseconds stands in."""

from __future__ import annotations

import ctypes
import os
import struct
import time
from collections.abc import Callable

INSTRUCTIONS, NANOSECONDS = "instructions", "nanoseconds"
PERF_EVENT_OPEN = 298  # x86-64
ATTRIBUTE_BYTES = 128
HARDWARE, COUNT_INSTRUCTIONS = 0, 1
MOST_STEP = 10**11  # no piece of work between two readings is as long
NO_KERNEL, NO_HYPERVISOR = 1 << 5, 1 << 6


def _open() -> int:
    """A counter of this thread's instructions; below 0 where there is none."""
    if os.uname().machine != "x86_64":
        return -1
    attributes = bytearray(ATTRIBUTE_BYTES)
    struct.pack_into("IIQ", attributes, 0, HARDWARE, ATTRIBUTE_BYTES, COUNT_INSTRUCTIONS)
    struct.pack_into("Q", attributes, 40, NO_KERNEL | NO_HYPERVISOR)
    held = (ctypes.c_char * ATTRIBUTE_BYTES).from_buffer(attributes)
    return int(ctypes.CDLL(None).syscall(PERF_EVENT_OPEN, held, 0, -1, -1, 0))


def counter() -> tuple[Callable[[], int], str]:
    """A reading of what this process spent, and its unit.

    Example:
        >>> read, unit = counter()
        >>> read() < read()
        True
    """
    fd = _open()
    if fd < 0:
        return time.process_time_ns, NANOSECONDS
    read, unpack = os.read, struct.Struct("Q").unpack
    return smoothed(lambda: int(unpack(read(fd, 8))[0])), INSTRUCTIONS


def smoothed(read: Callable[[], int]) -> Callable[[], int]:
    """Readings without the jumps that a virtual machine's counter makes now and then.

    Example:
        >>> raw = iter([5, 8, 10**15, 10**15 + 2])
        >>> read = smoothed(lambda: next(raw))
        >>> [read() for _ in range(4)]
        [5, 8, 8, 10]
    """
    read_at = [0, 0]  # the last reading, and what jumps added
    first = True

    def reading() -> int:
        nonlocal first
        now = read() - read_at[1]
        if not first and not 0 <= now - read_at[0] < MOST_STEP:
            read_at[1] += now - read_at[0]
            now = read_at[0]
        first = False
        read_at[0] = now
        return now

    return reading
