"""How the large registers' values are packed: lines of text in one zlib stream, which may have a
head and a tail around it.

Placement tables and configurations have one entry a line, so that a patch between two versions
can name the lines that stayed (``patches.py``). Equal text packs to equal bytes, by which a value
that was patched together is checked against its digest.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache

PACK_LEVEL = 1  # values are packed at every change, and are read much more often
OPENED_KEPT = 8


class PackError(ValueError):
    """Bytes that are no packed value."""


@dataclass(frozen=True, slots=True)
class UnpackedValue:
    """A value's text, and the bytes before and behind its packed part."""

    head: bytes
    text: bytes
    tail: bytes

    def packed(self) -> bytes:
        """The value again.

        Example:
            >>> unpack_parts(pack(b"text"), 0).packed() == pack(b"text")
            True
        """
        return self.head + pack(self.text) + self.tail


def pack(text: bytes) -> bytes:
    """A text's packed part.

    Example:
        >>> unpack(pack(b"text"))
        b'text'
    """
    return zlib.compress(text, PACK_LEVEL)


def unpack(value: bytes, head_bytes: int = 0) -> bytes:
    """The text of a value whose packed part begins behind its head.

    Example:
        >>> unpack(b"head" + pack(b"text"), 4)
        b'text'
    """
    return unpack_parts(value, head_bytes).text


@lru_cache(maxsize=OPENED_KEPT)
def unpack_parts(value: bytes, head_bytes: int) -> UnpackedValue:
    """A value in its parts.

    Example:
        >>> unpack_parts(b"head" + pack(b"text") + b"tail", 4).tail
        b'tail'
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(value[head_bytes:])
    except zlib.error as fault:
        raise PackError(f"a value that can't be unpacked: {fault}") from fault
    if not stream.eof:
        raise PackError("a value that ends before its packed part does")
    return UnpackedValue(value[:head_bytes], text, stream.unused_data)
