"""Anti-entropy messages: a core member fetches the registers it lacks from another member.

Example:
    >>> DigestDiffers(1, 1, ()).buckets
    ()
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class DigestAsk:
    """The requester's digest of each bucket of registers, eight bytes per bucket."""

    epoch: int
    number: int
    digests: bytes


@dataclass(frozen=True, slots=True)
class DigestDiffers:
    """The buckets that differ on the answering member; an empty list ends the exchange."""

    epoch: int
    number: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldCell:
    """A register and the ballot at which a member accepted its value."""

    name: str
    counter: int
    member: str


@dataclass(frozen=True, slots=True)
class CellsAsk:
    """Requests the cells in some buckets that the requester lacks or has at an older version.

    ``have`` names all cells that it has in these buckets; ``part`` is a value of which it already
    has the first ``part_bytes``.
    """

    epoch: int
    number: int
    buckets: tuple[int, ...]
    have: tuple[HeldCell, ...]
    part: HeldCell
    part_bytes: int
    most_bytes: int


@dataclass(frozen=True, slots=True)
class CellPiece:
    """A cell's value from ``offset`` on, as far as it fits in the page."""

    copy: Copy
    offset: int
    total_bytes: int
    data: bytes
    age_ms: int


@dataclass(frozen=True, slots=True)
class CellsPart:
    """One page of cells; ``done`` lists the buckets that it completes."""

    epoch: int
    number: int
    pieces: tuple[CellPiece, ...]
    done: tuple[int, ...]


KINDS: tuple[type, ...] = (DigestAsk, DigestDiffers, CellsAsk, CellsPart)
