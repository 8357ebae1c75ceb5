"""The values that a proposer knows of the spread registers, which promises need not bring again.

Placement tables and configurations are large and change often, mostly by one proposer: each promise
would bring it the value that it wrote itself, across zones and before each change.
"""

from __future__ import annotations

from dataclasses import dataclass

from immutables import Map

from spokeroute.common.ids import SPREAD
from spokeroute.common.replacing import replace
from spokeroute.transport.messages import Copy, Promise


@dataclass(frozen=True, slots=True)
class KnownValue:
    """A value that was chosen, and its digest."""

    digest: str
    value: bytes


KnownValues = Map[str, KnownValue]


def with_known_value(known: KnownValues, copy: Copy, value: bytes) -> KnownValues:
    """A round ended with a value.

    Example:
        >>> with_known_value(Map(), Copy("floor", 1, "d", 1, "m1"), b"table")["floor"].digest
        'd'
    """
    if copy.name not in SPREAD or not copy.digest:
        return known
    return known.set(copy.name, KnownValue(copy.digest, value))


def known_digest(known: KnownValues, name: str) -> str:
    """The digest of the value that is known of a register; empty where none is.

    Example:
        >>> known_digest(Map(), "floor")
        ''
    """
    each = known.get(name)
    return each.digest if each is not None else ""


def with_known_bytes(known: KnownValues, promise: Promise) -> Promise | None:
    """A promise with its value; None where that was left out and is not the known one.

    Example:
        with_known_bytes(Map(), promise) is promise
    """
    if promise.value or not promise.accepted.digest:
        return promise
    each = known.get(promise.name)
    if each is None or each.digest != promise.accepted.digest:
        return None
    return replace(promise, value=each.value)
