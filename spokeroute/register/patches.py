"""Patches between two versions of a register's value, for nodes behind narrow links.

A patch lists the runs of lines of the base that the target keeps, and contains the text between
them. The result is checked against the target's digest, so a patch that does not fit gives no value
rather than a wrong one.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from functools import lru_cache

from spokeroute.common.ids import CONFIGURATION, FLOOR
from spokeroute.register.cells import digest_of, is_value_of
from spokeroute.register.packing import PackError, UnpackedValue, pack, unpack_parts
from spokeroute.register.value_metadata import NUMBER_FORMAT
from spokeroute.transport.messages import Copy, ValuePatch

HEAD_BYTES: Mapping[str, int] = {CONFIGURATION: NUMBER_FORMAT.size, FLOOR: 0}
"""The registers whose values are packed lines, with the length of the head before the lines."""
CACHED_PATCHES = 32
CACHED_VALUES = 4
MAX_PATCH_SHARE = 0.7  # of the whole value: a patch that saves less is not worth applying

Run = tuple[int, int, bytes]


@lru_cache(maxsize=CACHED_PATCHES)
def make_patch(digest: str, base: bytes, target: Copy, value: bytes) -> ValuePatch | None:
    """Returns the patch from a base with this digest to a target's value; None if sending the whole
    value is better.

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
    if not _packs_identically(value, head_bytes):
        return None
    rows = [[first, count, text.decode()] for first, count, text in runs_of(old.text, new.text)]
    packed = pack(json.dumps(rows, separators=(",", ":")).encode())
    if len(packed) > MAX_PATCH_SHARE * len(value):
        return None
    return ValuePatch(target, digest, new.head, packed, new.tail)


@lru_cache(maxsize=CACHED_VALUES)
def _packs_identically(value: bytes, head_bytes: int) -> bool:
    """Returns whether this process packs the value's text to the same bytes. Another version of the
    zlib library may pack it differently, and the patched value would not match its digest."""
    return unpack_parts(value, head_bytes).packed() == value


def runs_of(base: bytes, target: bytes) -> tuple[Run, ...]:
    """Returns the target as runs of the base's lines, each with the text that follows it.

    Example:
        >>> runs_of(b"a\\nb\\nc\\n", b"a\\nx\\nc\\n")
        ((0, 1, b'x\\n'), (2, 1, b''))
    """
    line_numbers = {line: at for at, line in enumerate(base.splitlines(keepends=True))}
    runs: list[Run] = []
    first = count = 0
    text: list[bytes] = []
    for line in target.splitlines(keepends=True):
        at = line_numbers.get(line, -1)
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
    """Returns the target's value; None if the patch has another base or can't be parsed.

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
