"""Chosen values that a proposer caches, so that promises can leave them out.

Placement tables and configurations are large and change often, mostly by one proposer. Without the
cache each promise would return the value that this proposer wrote itself, across zones and before
each change.
"""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from spokeroute.common.ids import SPREAD
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import Copy, Promise


@dataclass(frozen=True, slots=True)
class KnownValue:
    """A chosen value and its digest."""

    digest: str
    value: bytes


KnownValues = Map[str, KnownValue]


def with_known_value(known: KnownValues, copy: Copy, value: bytes) -> KnownValues:
    """Cache the value that a round ended with, if its register is one of the replicated tables.

    Example:
        >>> with_known_value(Map(), Copy("floor", 1, "d", 1, "m1"), b"table")["floor"].digest
        'd'
    """
    if copy.name not in SPREAD or not copy.digest:
        return known
    return known.set(copy.name, KnownValue(copy.digest, value))


def known_digest(known: KnownValues, name: str) -> str:
    """The digest of a register's cached value; empty if there is none.

    Example:
        >>> known_digest(Map(), "floor")
        ''
    """
    each = known.get(name)
    return each.digest if each is not None else ""


def with_known_bytes(known: KnownValues, promise: Promise) -> Promise | None:
    """Restore a promise's omitted value; None if it was omitted and is not the cached one.

    Example:
        with_known_bytes(Map(), promise) is promise
    """
    if promise.value or not promise.accepted.digest:
        return promise
    each = known.get(promise.name)
    if each is None or each.digest != promise.accepted.digest:
        return None
    return replace(promise, value=each.value)
