"""What anti-entropy compares: the registers by bucket, and a digest of each bucket.

A digest is the exclusive or of a hash of each register's name and accepted ballot, so a change
of one register costs one hash, however many registers there are.
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
    """To anti-entropy: what is on disk now, and which registers changed there or were dropped."""

    names: tuple[str, ...]
    cells: Map[str, Cell]
    born: Map[str, Ms]
    roster: Roster | None
    votes: bool


@dataclass(frozen=True, slots=True)
class CellsReloaded:
    """To anti-entropy: the store was opened anew, and holds this; something may be missing."""

    cells: Map[str, Cell]
    roster: Roster | None
    votes: bool


def bucket_of(name: str) -> int:
    """The bucket that a register belongs to.

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
    """The accepted ballot of each register, by bucket, and the buckets' digests."""

    buckets: Map[int, Map[str, Ballot]] = field(default_factory=Map)
    digests: Map[int, int] = field(default_factory=Map)

    def packed(self) -> bytes:
        """All digests, as they are sent.

        Example:
            >>> len(CellIndex().packed())
            2048
        """
        return _PACKED.pack(*(self.digests.get(bucket, 0) for bucket in range(BUCKETS)))

    def differs(self, packed: bytes) -> tuple[int, ...]:
        """The buckets whose digest is another than the one sent; all, where it can't be read.

        Example:
            >>> CellIndex().differs(CellIndex().packed())
            ()
        """
        if len(packed) != _PACKED.size:
            return tuple(range(BUCKETS))
        theirs = _PACKED.unpack(packed)
        return tuple(b for b in range(BUCKETS) if self.digests.get(b, 0) != theirs[b])

    def held(self, bucket: int) -> Map[str, Ballot]:
        """The accepted ballots of one bucket's registers.

        Example:
            >>> len(CellIndex().held(0))
            0
        """
        return self.buckets.get(bucket, Map())

    def changed(self, names: tuple[str, ...], cells: Map[str, Cell]) -> CellIndex:
        """The index after these registers changed, or were dropped from ``cells``.

        Example:
            >>> CellIndex().changed(("floor",), Map()) == CellIndex()
            True
        """
        buckets, digests = self.buckets, self.digests
        for name in names:
            bucket = bucket_of(name)
            held = buckets.get(bucket, Map())
            old, new = held.get(name, NO_BALLOT), cells.get(name, EMPTY).accepted
            if old == new:
                continue
            digest = digests.get(bucket, 0)
            if old != NO_BALLOT:
                digest ^= _hash(name, old)
            if new != NO_BALLOT:
                digest ^= _hash(name, new)
            held = held.delete(name) if new == NO_BALLOT else held.set(name, new)
            if held:
                buckets, digests = buckets.set(bucket, held), digests.set(bucket, digest)
            else:
                buckets, digests = buckets.delete(bucket), digests.delete(bucket)
        return replace(self, buckets=buckets, digests=digests)


def index_of(cells: Map[str, Cell]) -> CellIndex:
    """The index of all cells.

    Example:
        >>> index_of(Map()) == CellIndex()
        True
    """
    return CellIndex().changed(tuple(cells), cells)
