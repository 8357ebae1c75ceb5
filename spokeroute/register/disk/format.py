"""The on-disk format of cells and the roster, each with its own checksum."""

from __future__ import annotations

import json
import zlib

from spokeroute.common.ids import Ballot, MemberId
from spokeroute.register.cells import Cell, digest_of
from spokeroute.register.disk.errors import DiskError

FIELDS_WITH_VOTED = 7  # older headers have no ``voted`` field


def pack_cell(cell: Cell) -> bytes:
    """Serialise a cell: a header with a checksum, then the value.

    Example:
        unpack_cell("floor", pack_cell(cell)) == cell
    """
    head = json.dumps([
        cell.promised.counter, cell.promised.member,
        cell.accepted.counter, cell.accepted.member, cell.version, cell.digest, cell.voted,
    ]).encode()  # fmt: skip
    size, check = len(head).to_bytes(4, "big"), zlib.crc32(head).to_bytes(4, "big")
    return size + check + head + cell.value


def unpack_cell(name: str, data: bytes) -> Cell:
    """Deserialise a cell; raises an error that names the remedy if the cell is corrupted.

    Example:
        unpack_cell("floor", pack_cell(cell)) == cell
    """
    try:
        size, check = int.from_bytes(data[:4], "big"), int.from_bytes(data[4:8], "big")
        if zlib.crc32(data[8 : 8 + size]) != check:
            raise ValueError("checksum of the cell header does not match")
        head = json.loads(data[8 : 8 + size])
        value = bytes(data[8 + size :])
        cell = Cell(
            Ballot(head[0], MemberId(head[1])), Ballot(head[2], MemberId(head[3])),
            head[4], head[5], value,
            len(head) < FIELDS_WITH_VOTED or bool(head[FIELDS_WITH_VOTED - 1]),
        )  # fmt: skip
    except (ValueError, LookupError, TypeError) as fault:
        raise corruption_error(f"register {name!r}") from fault
    if cell.digest and digest_of(value) != cell.digest:
        raise corruption_error(f"register {name!r}")
    return cell


def add_checksum(raw: bytes) -> bytes:
    """Prepend a CRC-32 checksum.

    Example:
        verify_checksum(add_checksum(b"x")) == b"x"
    """
    return zlib.crc32(raw).to_bytes(4, "big") + raw


def verify_checksum(data: bytes) -> bytes:
    """Strip the checksum; raises ``ValueError`` if it does not match.

    Example:
        verify_checksum(add_checksum(b"x")) == b"x"
    """
    if zlib.crc32(data[4:]).to_bytes(4, "big") != data[:4]:
        raise ValueError("checksum does not match")
    return data[4:]


def corruption_error(what: str) -> DiskError:
    """The error for a store with corrupted contents.

    Example:
        raise corruption_error("a page")
    """
    return DiskError(
        f"{what} on this disk is damaged: move the data folder away and start blank; the member "
        "joins again from the others"
    )
