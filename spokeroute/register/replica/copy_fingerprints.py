"""Copies that a question names, so that an answer need not repeat them.

Most answers to a probe name the same versions as the one before, and a copy takes 95 bytes. So a
probe carries a fingerprint of each copy that was agreed on last; a member answers with those of its
own that differ, and the asker fills in what it named itself. A ballot is drawn once and stands for
one value, so equal fingerprints mean the very same accepted ballot, version and digest.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from immutables import Map

from spokeroute.common.ids import SPREAD
from spokeroute.transport.messages import Copy

FINGERPRINT_BYTES = 8
KEPT_FINGERPRINTS = 256


@lru_cache(maxsize=KEPT_FINGERPRINTS)
def fingerprint(copy: Copy) -> bytes:
    """What stands for a copy in a probe.

    Example:
        >>> len(fingerprint(Copy("floor", 1, "ab", 2, "m1")))
        8
    """
    text = f"{copy.name}\0{copy.version}\0{copy.digest}\0{copy.counter}\0{copy.member}"
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()


def fingerprints(named: Map[str, Copy]) -> bytes:
    """The fingerprints of the spread registers' copies, in their order; empty unless all are known.

    Example:
        >>> fingerprints(Map())
        b''
    """
    if any(name not in named for name in SPREAD):
        return b""
    return b"".join(fingerprint(named[name]) for name in SPREAD)


def without_known_copies(named: bytes, copies: tuple[Copy, ...]) -> tuple[Copy, ...]:
    """A member's copies without those that the probe names alike.

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
    """All copies of an answer: those that it names, and those that the probe named.

    Example:
        >>> with_named_copies(Map(), ())
        ()
    """
    told = {copy.name for copy in copies}
    return (*copies, *(copy for name, copy in named.items() if name not in told))


@lru_cache(maxsize=KEPT_FINGERPRINTS)
def absent_fingerprint(absent: tuple[str, ...]) -> bytes:
    """What stands for a list of absent instances in a probe; nothing for an empty one.

    Example:
        >>> absent_fingerprint(())
        b''
    """
    if not absent:
        return b""
    text = "\0".join(absent)
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()
