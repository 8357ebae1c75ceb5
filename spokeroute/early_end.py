"""Signals while a daemon starts: reading its modules takes a busy machine seconds.

Until then the process has taken no call and no order, so a signal to end ends it in order, at once.
One to read the settings again changes nothing: they are read later.
"""

from __future__ import annotations

import os
import signal

ENDED_IN_ORDER = 0


def heed_signals_from_now_on() -> None:
    """Go by signals until the daemon's own handlers take over (``daemon.on_signals``).

    Example:
        heed_signals_from_now_on()
    """

    def end(number: int, frame: object) -> None:
        os._exit(ENDED_IN_ORDER)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
