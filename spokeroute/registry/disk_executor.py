"""The disk thread: carries out store jobs and reports results to the actors."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import lmdb
from absl import logging

from spokeroute.ledger.writer import RETAINED_ENTRIES, LedgerFailed, LedgerWrite, LedgerWritten
from spokeroute.register.disk.disk import Disk, DiskError, DiskRefusedError, Loaded
from spokeroute.register.disk.jobs import (
    DiskDone,
    DiskFailed,
    DiskWrite,
    ReopenFailed,
    ReopenStore,
    StoreReopened,
)

Report = Callable[[str, object], None]
OPEN_RETRY_S = 1.0


def open_store(
    folder: Path, size_mb: int, pause: Callable[[float], None] = time.sleep
) -> tuple[Disk, Loaded]:
    """Open and load a member's store. Retries while the disk refuses writes, because counting the
    start needs one.

    Example:
        disk, loaded = open_store(Path("data"), 256)
    """
    while True:
        try:
            disk = Disk(folder, size_mb)
            try:
                return disk, disk.load()
            except DiskError:
                disk.close()
                raise
        except DiskRefusedError as fault:
            logging.error("%s; this registry starts once a write succeeds", fault)
            pause(OPEN_RETRY_S)


def _error_text(fault: Exception) -> str:
    return f"{type(fault).__name__}: {fault}"


class DiskExecutor:
    """A single thread for all store jobs: cell batches, ledger entries, and reopening the store
    after a failed write. Results are reported in the order of the jobs.

    Example:
        edge = DiskExecutor(disk, loaded.member, loop.report)
    """

    def __init__(self, disk: Disk, member: str, report: Report) -> None:
        self.disk = disk
        self.member = member
        self.report = report
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="disk")

    def write(self, actor: str, job: DiskWrite) -> None:
        """Queue a batch of cells to be written and synced.

        Example:
            edge.write("acceptor", job)
        """
        self.pool.submit(self._write, actor, job)

    def _write(self, actor: str, job: DiskWrite) -> None:
        try:
            self.disk.write(job)
        except Exception as fault:  # lmdb raises many exception types
            self.report(actor, DiskFailed(_error_text(fault)))
            return
        self.report(actor, DiskDone(job.batch))

    def ledger(self, actor: str, job: LedgerWrite) -> None:
        """Queue ledger entries to be written and synced.

        Example:
            edge.ledger("ledger", job)
        """
        self.pool.submit(self._ledger, actor, job)

    def _ledger(self, actor: str, job: LedgerWrite) -> None:
        low, high = job.entries[0][0], job.entries[-1][0]
        try:
            self.disk.append(job.entries, RETAINED_ENTRIES)
        except lmdb.MapFullError as fault:
            # The environment is intact; only the ledger has no space left.
            logging.error("ledger store is full (%s): raise disk_mb", fault)
            self.report(actor, LedgerFailed(low, high, job.ack_to))
        except Exception as fault:
            # The registers share the environment, which may be unusable after this error.
            self.report(actor, LedgerFailed(low, high, job.ack_to))
            self.report("acceptor", DiskFailed(_error_text(fault)))
        else:
            self.report(actor, LedgerWritten(low, high, job.ack_to))

    def reopen(self, actor: str, job: ReopenStore) -> None:
        """Queue a reopen of the store, which is then loaded again.

        Example:
            edge.reopen("acceptor", ReopenStore(0))
        """
        self.pool.submit(self._reopen, actor, job)

    def _reopen(self, actor: str, job: ReopenStore) -> None:
        try:
            found = self.disk.reopen(self.member, job.probe_bytes)
        except DiskError as fault:
            self.report(actor, ReopenFailed(str(fault)))
        except Exception as fault:
            self.report(actor, ReopenFailed(_error_text(fault)))
        else:
            self.report(actor, StoreReopened(found.roster, found.votes, found.cells))

    def close(self) -> None:
        """Finish queued jobs, then close the store.

        Example:
            edge.close()
        """
        self.pool.shutdown(wait=True)
        self.disk.close()
