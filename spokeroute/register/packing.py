"""Packs the values of large registers: lines of text in one zlib stream, with an optional head
before and tail after it.

Placement tables and configurations have one entry per line, so that a patch between two versions
can refer to the unchanged lines (``patches.py``). Equal text packs to equal bytes, so that a
patched value can be checked against its digest.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache

PACK_LEVEL = 1  # values are packed at every change, and read much more often
CACHED_VALUES = 8


class PackError(ValueError):
    """The bytes are not a packed value."""


@dataclass(frozen=True, slots=True)
class UnpackedValue:
    """A value's text, and the bytes before and after its packed part."""

    head: bytes
    text: bytes
    tail: bytes

    def packed(self) -> bytes:
        """Returns the packed value.

        Example:
            >>> unpack_parts(pack(b"text"), 0).packed() == pack(b"text")
            True
        """
        return self.head + pack(self.text) + self.tail


def pack(text: bytes) -> bytes:
    """Returns the packed form of a text.

    Example:
        >>> unpack(pack(b"text"))
        b'text'
    """
    return zlib.compress(text, PACK_LEVEL)


def unpack(value: bytes, head_bytes: int = 0) -> bytes:
    """Returns the text of a value whose packed part starts after a head of ``head_bytes``.

    Example:
        >>> unpack(b"head" + pack(b"text"), 4)
        b'text'
    """
    return unpack_parts(value, head_bytes).text


@lru_cache(maxsize=CACHED_VALUES)
def unpack_parts(value: bytes, head_bytes: int) -> UnpackedValue:
    """Splits a value into its head, text and tail.

    Example:
        >>> unpack_parts(b"head" + pack(b"text") + b"tail", 4).tail
        b'tail'
    """
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(value[head_bytes:])
    except zlib.error as fault:
        raise PackError(f"can't unpack value: {fault}") from fault
    if not stream.eof:
        raise PackError("can't unpack value: the packed part is truncated")
    return UnpackedValue(value[:head_bytes], text, stream.unused_data)
