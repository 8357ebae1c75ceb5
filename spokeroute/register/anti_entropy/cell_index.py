"""Index for the comparison between members: the registers by bucket, and a digest per bucket.

A digest is the exclusive or of a hash of each register's name and accepted ballot, so updating it
for a changed register costs two hashes at most, however many registers there are.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.ids import NO_BALLOT, Ballot, Ms
from spokeroute.common.replacing import replace
from spokeroute.register.cells import EMPTY, Cell, Roster

BUCKETS = 256
_PACKED = struct.Struct(f">{BUCKETS}Q")


@dataclass(frozen=True, slots=True)
class CellsSynced:
    """To anti-entropy: the cells on disk, and the names that changed there or were dropped."""

    names: tuple[str, ...]
    cells: Map[str, Cell]
    born: Map[str, Ms]
    roster: Roster | None
    votes: bool


@dataclass(frozen=True, slots=True)
class CellsReloaded:
    """To anti-entropy: the store was reopened and has these cells; some may be missing."""

    cells: Map[str, Cell]
    roster: Roster | None
    votes: bool


def bucket_of(name: str) -> int:
    """Returns the bucket of a register.

    Example:
        >>> 0 <= bucket_of("floor") < BUCKETS
        True
    """
    return zlib.crc32(name.encode()) % BUCKETS


def _hash(name: str, ballot: Ballot) -> int:
    text = f"{name}\0{ballot.counter}\0{ballot.member}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class CellIndex:
    """The accepted ballot of each register by bucket, and the digest of each bucket."""

    buckets: Map[int, Map[str, Ballot]] = field(default_factory=Map)
    digests: Map[int, int] = field(default_factory=Map)

    def packed(self) -> bytes:
        """Returns all digests in the form in which they are sent.

        Example:
            >>> len(CellIndex().packed())
            2048
        """
        return _PACKED.pack(*(self.digests.get(bucket, 0) for bucket in range(BUCKETS)))

    def differs(self, packed: bytes) -> tuple[int, ...]:
        """Returns the buckets whose digests differ from those received; all if unreadable.

        Example:
            >>> CellIndex().differs(CellIndex().packed())
            ()
        """
        if len(packed) != _PACKED.size:
            return tuple(range(BUCKETS))
        theirs = _PACKED.unpack(packed)
        return tuple(b for b in range(BUCKETS) if self.digests.get(b, 0) != theirs[b])

    def ballots(self, bucket: int) -> Map[str, Ballot]:
        """Returns the accepted ballots of the registers in one bucket.

        Example:
            >>> len(CellIndex().ballots(0))
            0
        """
        return self.buckets.get(bucket, Map())

    def with_changes(self, names: tuple[str, ...], cells: Map[str, Cell]) -> CellIndex:
        """Returns the index after these registers changed in ``cells`` or were dropped from it.

        Example:
            >>> CellIndex().with_changes(("floor",), Map()) == CellIndex()
            True
        """
        buckets, digests = self.buckets, self.digests
        for name in names:
            bucket = bucket_of(name)
            ballots = buckets.get(bucket, Map())
            old, new = ballots.get(name, NO_BALLOT), cells.get(name, EMPTY).accepted
            if old == new:
                continue
            digest = digests.get(bucket, 0)
            if old != NO_BALLOT:
                digest ^= _hash(name, old)
            if new != NO_BALLOT:
                digest ^= _hash(name, new)
            ballots = ballots.delete(name) if new == NO_BALLOT else ballots.set(name, new)
            if ballots:
                buckets, digests = buckets.set(bucket, ballots), digests.set(bucket, digest)
            else:
                buckets, digests = buckets.delete(bucket), digests.delete(bucket)
        return replace(self, buckets=buckets, digests=digests)


def index_of(cells: Map[str, Cell]) -> CellIndex:
    """Returns the index of all cells.

    Example:
        >>> index_of(Map()) == CellIndex()
        True
    """
    return CellIndex().with_changes(tuple(cells), cells)
