"""The messages by which a member of the core takes from another what it lacks.

Example:
    >>> DigestDiffers(1, 1, ()).buckets
    ()
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class DigestAsk:
    """Anti-entropy: the asker's digest of each bucket of registers, eight bytes a bucket."""

    epoch: int
    number: int
    digests: bytes


@dataclass(frozen=True, slots=True)
class DigestDiffers:
    """Anti-entropy: the buckets in which the answering member has something else; none ends it."""

    epoch: int
    number: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldCell:
    """A register and the ballot at which a member accepted it."""

    name: str
    counter: int
    member: str


@dataclass(frozen=True, slots=True)
class CellsAsk:
    """Anti-entropy: asks for what the asker lacks or has older in some buckets, of which it names
    all that it has; ``part`` is a value of which it has the first ``part_bytes`` already."""

    epoch: int
    number: int
    buckets: tuple[int, ...]
    have: tuple[HeldCell, ...]
    part: HeldCell
    part_bytes: int
    most_bytes: int


@dataclass(frozen=True, slots=True)
class CellPiece:
    """A cell's value, or as much of it from ``offset`` on as a page has room for."""

    copy: Copy
    offset: int
    total_bytes: int
    data: bytes
    age_ms: int


@dataclass(frozen=True, slots=True)
class CellsPart:
    """Anti-entropy: one page of cells; ``done`` are the buckets that it ends."""

    epoch: int
    number: int
    pieces: tuple[CellPiece, ...]
    done: tuple[int, ...]


KINDS: tuple[type, ...] = (DigestAsk, DigestDiffers, CellsAsk, CellsPart)
