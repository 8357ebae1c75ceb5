"""Patches between two versions of a register's value, for nodes behind narrow links.

A patch names the runs of lines of the base that the target keeps, and brings the text between
them. Whoever applies it checks the result against the target's digest: a patch that does not fit
brings nothing wrong, only nothing.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from functools import lru_cache

from spokeroute.common.ids import CONFIGURATION, FLOOR
from spokeroute.register.cells import digest_of, is_value_of
from spokeroute.register.packing import PackError, UnpackedValue, pack, unpack_parts
from spokeroute.register.value_metadata import NUMBER
from spokeroute.transport.messages import Copy, ValuePatch

HEAD_BYTES: Mapping[str, int] = {CONFIGURATION: NUMBER.size, FLOOR: 0}
"""The registers whose values are packed lines, and how long the head before them is."""
PATCHES_KEPT = 32
VALUES_KEPT = 4
MOST_SHARE = 0.7  # of the whole value: a patch that saves less is not worth its reading

Run = tuple[int, int, bytes]


@lru_cache(maxsize=PATCHES_KEPT)
def make_patch(digest: str, base: bytes, target: Copy, value: bytes) -> ValuePatch | None:
    """What makes a target's value of a base's, which has this digest; None where the whole value is
    the better way.

    Example:
        make_patch(digest_of(base), base, copy, value).base == digest_of(base)
    """
    head_bytes = HEAD_BYTES.get(target.name)
    if head_bytes is None or not base or not value:
        return None
    try:
        old, new = unpack_parts(base, head_bytes), unpack_parts(value, head_bytes)
    except PackError:
        return None
    if not _packs_again(value, head_bytes):
        return None
    rows = [[first, count, text.decode()] for first, count, text in runs_of(old.text, new.text)]
    packed = pack(json.dumps(rows, separators=(",", ":")).encode())
    if len(packed) > MOST_SHARE * len(value):
        return None
    return ValuePatch(target, digest, new.head, packed, new.tail)


@lru_cache(maxsize=VALUES_KEPT)
def _packs_again(value: bytes, head_bytes: int) -> bool:
    """Whether this process would pack the value's text as it is: another version of the library
    may pack it otherwise, and whoever patches it together would get other bytes."""
    return unpack_parts(value, head_bytes).packed() == value


def runs_of(base: bytes, target: bytes) -> tuple[Run, ...]:
    """The target as runs of the base's lines, each with the text that follows it.

    Example:
        >>> runs_of(b"a\\nb\\nc\\n", b"a\\nx\\nc\\n")
        ((0, 1, b'x\\n'), (2, 1, b''))
    """
    place = {line: at for at, line in enumerate(base.splitlines(keepends=True))}
    runs: list[Run] = []
    first = count = 0
    text: list[bytes] = []
    for line in target.splitlines(keepends=True):
        at = place.get(line, -1)
        if at >= 0 and at == first + count and not text:
            count += 1
        elif at >= 0:
            runs.append((first, count, b"".join(text)))
            first, count, text = at, 1, []
        else:
            text.append(line)
    runs.append((first, count, b"".join(text)))
    return tuple(run for run in runs if run[1] or run[2])


def apply_patch(patch: ValuePatch, base: bytes) -> bytes | None:
    """The target's value; None where the patch is not of this base, or can't be read.

    Example:
        apply_patch(make_patch(digest_of(base), base, copy, value), base) == value
    """
    head_bytes = HEAD_BYTES.get(patch.copy.name)
    if head_bytes is None or digest_of(base) != patch.base:
        return None
    try:
        lines = unpack_parts(base, head_bytes).text.splitlines(keepends=True)
        rows = json.loads(unpack_parts(patch.runs, 0).text)
        text = b"".join(_lines_of(lines, row) for row in rows)
    except (PackError, ValueError, TypeError, zlib.error):
        return None
    value = UnpackedValue(patch.head, text, patch.tail).packed()
    return value if is_value_of(patch.copy, value) else None


def _lines_of(lines: list[bytes], row: tuple[int, int, str]) -> bytes:
    first, count, text = row
    return b"".join(lines[first : first + count]) + text.encode()
