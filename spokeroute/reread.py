"""Settings that change while a process runs: it reads them again when it is told to, and now and
then unasked. What can change is whom a new start would ask first: the seeds."""

from __future__ import annotations

import time
from collections.abc import Callable

from spokeroute.common.ids import Address
from spokeroute.common.settings import Settings, SettingsError
from spokeroute.ledger.ring import RingLog
from spokeroute.transport.peers import SeedsNow
from spokeroute.transport.process import Process

EVERY_S = 2.0


class Rereader:
    """Reads the settings again and hands new seeds to the peers' core. A file that can't be used
    changes nothing, and is noted.

    Example:
        Rereader(process, ring, settings, lambda: read_settings("ex1.toml", {}))
    """

    def __init__(
        self,
        process: Process,
        ring: RingLog,
        settings: Settings,
        read: Callable[[], Settings] | None,
    ) -> None:
        self.process = process
        self.ring = ring
        self.read = read
        self.seeds = settings.seeds
        self.asked = False
        self.next_s = 0.0

    def ask(self) -> None:
        """Read at the next look; safe in a signal handler.

        Example:
            rereader.ask()
        """
        self.asked = True

    def look(self) -> None:
        """From the loop: read again where it is due.

        Example:
            rereader.look()
        """
        now_s = time.monotonic()
        if self.read is None or (not self.asked and now_s < self.next_s):
            return
        self.asked, self.next_s = False, now_s + EVERY_S
        try:
            seeds = self.read().seeds
        except SettingsError as fault:
            self.ring.note(f"settings were not read again: {fault}", alarm=False)
            return
        if seeds and seeds != self.seeds:
            self.seeds = seeds
            self.process.post("peers", SeedsNow(tuple(Address(s) for s in seeds)))
