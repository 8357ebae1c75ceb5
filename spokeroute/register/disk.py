"""The member's disk: an lmdb environment whose first opening draws a member id.

The disk is the member. A new environment is a blank member under a new id, whatever the
machine, its address or its props say.
"""

from __future__ import annotations

import fcntl
import json
import secrets
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import lmdb
from immutables import Map

from spokeroute.dial.ids import Ballot, MemberId
from spokeroute.register.cells import Cell, Roster, digestOf, packRoster, unpackRoster
from spokeroute.register.keeper import DiskWrite

LEDGER_SHARE = 0.4


class DiskFault(Exception):
    """The data folder can't be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Loaded:
    """What a disk held when it was opened."""

    member: MemberId
    roster: Roster | None
    votes: bool
    cells: Map[str, Cell]


def _pack(cell: Cell) -> bytes:
    head = json.dumps([
        cell.promised.counter, cell.promised.member,
        cell.accepted.counter, cell.accepted.member, cell.version, cell.digest,
    ]).encode()  # fmt: skip
    return len(head).to_bytes(4, "big") + head + cell.value


def _unpack(name: str, data: bytes) -> Cell:
    size = int.from_bytes(data[:4], "big")
    head = json.loads(data[4 : 4 + size])
    value = bytes(data[4 + size :])
    if head[5] and digestOf(value) != head[5]:
        raise DiskFault(
            f"register {name!r} on this disk is damaged: move the data folder away and "
            "start blank; the member joins again from the others"
        )
    return Cell(
        Ballot(head[0], MemberId(head[1])), Ballot(head[2], MemberId(head[3])),
        head[4], head[5], value,
    )  # fmt: skip


class Disk:
    """An open lmdb environment.

    Example:
        disk = Disk(Path("data"), 256)
        disk.load().member
    """

    def __init__(self, folder: Path, sizeMb: int) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.lock = open(folder / "in-use", "a")  # noqa: SIM115
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.ledgerBytes = int(sizeMb * 1024 * 1024 * LEDGER_SHARE)
            self.env = lmdb.open(str(folder), map_size=sizeMb * 1024 * 1024, max_dbs=4)
            self.cells = self.env.open_db(b"cells")
            self.meta = self.env.open_db(b"meta")
            self.ledger = self.env.open_db(b"ledger")
        except BlockingIOError as fault:
            raise DiskFault(
                f"data folder {folder} is another running member's: give this process a folder "
                "of its own"
            ) from fault
        except (OSError, lmdb.Error) as fault:
            raise DiskFault(
                f"data folder {folder} can't be used ({fault}): give this process a folder "
                "of its own that it may write"
            ) from fault

    def load(self) -> Loaded:
        """All that is on the disk; draws the member id on a blank one.

        Example:
            Disk(Path("data"), 16).load().votes
        """
        with self.env.begin(write=True) as txn:
            raw = txn.get(b"member", db=self.meta)
            if raw is None:
                raw = f"m-{secrets.token_hex(6)}".encode()
                txn.put(b"member", raw, db=self.meta)
        with self.env.begin() as txn:
            rosterRaw = txn.get(b"roster", db=self.meta)
            votes = txn.get(b"votes", db=self.meta) == b"1"
            found: dict[str, Cell] = {}
            for key, data in txn.cursor(db=self.cells):
                name = bytes(key).decode()
                found[name] = _unpack(name, bytes(data))
        roster = unpackRoster(bytes(rosterRaw)) if rosterRaw else None
        return Loaded(MemberId(bytes(raw).decode()), roster, votes, Map(found))

    def write(self, job: DiskWrite) -> None:
        """One batch, synced when this returns.

        Example:
            disk.write(DiskWrite(1, (), (), None, False))
        """
        with self.env.begin(write=True) as txn:
            for name, cell in job.cells:
                txn.put(name.encode(), _pack(cell), db=self.cells)
            for name in job.drops:
                txn.delete(name.encode(), db=self.cells)
            if job.roster is not None:
                txn.put(b"roster", packRoster(job.roster), db=self.meta)
                txn.put(b"votes", b"1" if job.votes else b"0", db=self.meta)

    def append(self, entries: tuple[tuple[str, str], ...], keep: int) -> None:
        """Ledger entries, synced. The oldest go past ``keep``, or past the ledger's share of the
        disk, so that it never takes the registers' room.

        Example:
            disk.append((("k", "{}"),), 1000)
        """
        with self.env.begin(write=True) as txn:
            for key, text in entries:
                txn.put(key.encode(), zlib.compress(text.encode(), 6), db=self.ledger)
            cursor = txn.cursor(db=self.ledger)
            while self._over(txn.stat(self.ledger), keep) and cursor.first():
                cursor.delete()

    def _over(self, stat: Any, keep: int) -> bool:
        pages = stat["leaf_pages"] + stat["overflow_pages"] + stat["branch_pages"]
        return bool(stat["entries"] > keep or pages * stat["psize"] > self.ledgerBytes)

    def entries(self, after: str, limit: int) -> list[tuple[str, str]]:
        """Ledger entries after a key, oldest first.

        Example:
            disk.entries("", 10)
        """
        out: list[tuple[str, str]] = []
        with self.env.begin() as txn:
            cursor = txn.cursor(db=self.ledger)
            found = cursor.set_range(after.encode()) if after else cursor.first()
            while found and len(out) < limit:
                key = bytes(cursor.key()).decode()
                if key != after:
                    out.append((key, zlib.decompress(cursor.value()).decode()))
                found = cursor.next()
        return out

    def close(self) -> None:
        """Close the environment.

        Example:
            disk.close()
        """
        self.env.close()
        self.lock.close()
