"""Fingerprints by which a probe names copies, so that an answer need not repeat them.

Most answers to a probe report the same versions as the previous one, and a copy takes 95 bytes. A
probe therefore carries a fingerprint of each copy that a majority last agreed on; a member answers
only with its copies that differ, and the sender fills in those that it named itself. A ballot is
used once and stands for one value, so equal fingerprints mean the same accepted ballot, version and
digest.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from immutables import Map

from spokeroute.common.ids import SPREAD
from spokeroute.transport.messages import Copy

FINGERPRINT_BYTES = 8
CACHED_FINGERPRINTS = 256


@lru_cache(maxsize=CACHED_FINGERPRINTS)
def fingerprint(copy: Copy) -> bytes:
    """Returns the fingerprint of a copy.

    Example:
        >>> len(fingerprint(Copy("floor", 1, "ab", 2, "m1")))
        8
    """
    text = f"{copy.name}\0{copy.version}\0{copy.digest}\0{copy.counter}\0{copy.member}"
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()


def fingerprints(named: Map[str, Copy]) -> bytes:
    """Returns the fingerprints of the replicated registers' copies, in the order of ``SPREAD``;
    empty unless all of them are known.

    Example:
        >>> fingerprints(Map())
        b''
    """
    if any(name not in named for name in SPREAD):
        return b""
    return b"".join(fingerprint(named[name]) for name in SPREAD)


def without_known_copies(named: bytes, copies: tuple[Copy, ...]) -> tuple[Copy, ...]:
    """Returns a member's copies except those whose fingerprints the probe names.

    Example:
        >>> without_known_copies(b"", (Copy("floor", 1, "ab", 2, "m1"),))[0].name
        'floor'
    """
    if len(named) != FINGERPRINT_BYTES * len(SPREAD):
        return copies
    by_name: dict[str, bytes] = {
        name: named[at * FINGERPRINT_BYTES : (at + 1) * FINGERPRINT_BYTES]
        for at, name in enumerate(SPREAD)
    }
    return tuple(copy for copy in copies if by_name.get(copy.name) != fingerprint(copy))


def with_named_copies(named: Map[str, Copy], copies: tuple[Copy, ...]) -> tuple[Copy, ...]:
    """Returns all copies of an answer: those that it contains, and those that the probe named.

    Example:
        >>> with_named_copies(Map(), ())
        ()
    """
    answered = {copy.name for copy in copies}
    return (*copies, *(copy for name, copy in named.items() if name not in answered))


@lru_cache(maxsize=CACHED_FINGERPRINTS)
def absent_fingerprint(absent: tuple[str, ...]) -> bytes:
    """Returns the fingerprint of a list of absent instances; empty for an empty list.

    Example:
        >>> absent_fingerprint(())
        b''
    """
    if not absent:
        return b""
    text = "\0".join(absent)
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()
