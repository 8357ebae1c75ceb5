"""The clock that every deadline, lease and age of this process goes by."""

from __future__ import annotations

import time

from spokeroute.common.ids import Ms


def monotonic_ms() -> Ms:
    """This process's monotonic clock. Time in which the machine was suspended counts.

    Example:
        >>> monotonic_ms() <= monotonic_ms()
        True
    """
    return Ms(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)
