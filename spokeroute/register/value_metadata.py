"""Metadata in a configuration register's value: the operator's number before the configuration,
and after it the last orders (apply requests) that were carried out, to recognize one that is sent
again.
"""

from __future__ import annotations

import json
import struct
from dataclasses import astuple, dataclass

NUMBER_FORMAT = struct.Struct(">Q")
"""The operator's number, which precedes the packed configuration."""
TRAILER_FORMAT = struct.Struct(">I4s")
TRAILER_MARK = b"ORDS"
MAX_KEPT_ORDERS = 64
CONTENT_DIGEST_CHARS = 16  # enough to detect an order id that was reused with other content


@dataclass(frozen=True, slots=True)
class AppliedOrder:
    """An order that was carried out: its id, the version it created, and its content's digest."""

    order_id: str
    version: int
    content: str = ""


def find_order(orders: tuple[AppliedOrder, ...], order_id: str) -> AppliedOrder | None:
    """Returns the applied order with this id; None if it is not known.

    Example:
        >>> find_order((AppliedOrder("a", 3),), "a").version
        3
    """
    return next((each for each in orders if each.order_id == order_id), None)


def remember_order(orders: tuple[AppliedOrder, ...], new: AppliedOrder) -> tuple[AppliedOrder, ...]:
    """Adds an order; only the newest ``MAX_KEPT_ORDERS`` are kept.

    Example:
        >>> orders = tuple(AppliedOrder(str(n), n) for n in range(64))
        >>> len(remember_order(orders, AppliedOrder("x", 65)))
        64
    """
    return (*orders, new)[-MAX_KEPT_ORDERS:]


def number_of(value: bytes) -> int:
    """Returns the highest operator's number that came into force up to a value; 0 if none did.

    Example:
        >>> number_of(b"")
        0
    """
    return int(NUMBER_FORMAT.unpack_from(value)[0]) if value else 0


def _trailer_bytes(value: bytes) -> int:
    if len(value) < NUMBER_FORMAT.size + TRAILER_FORMAT.size:
        return 0
    size, mark = TRAILER_FORMAT.unpack_from(value, len(value) - TRAILER_FORMAT.size)
    return size + TRAILER_FORMAT.size if mark == TRAILER_MARK else 0


def applied_orders(value: bytes) -> tuple[AppliedOrder, ...]:
    """Returns the applied orders that a value contains, oldest first.

    Example:
        >>> applied_orders(b"")
        ()
    """
    size = _trailer_bytes(value)
    if not size:
        return ()
    rows = json.loads(value[len(value) - size : -TRAILER_FORMAT.size])
    return tuple(AppliedOrder(*row) for row in rows)


def with_metadata(value: bytes, previous: bytes, new: AppliedOrder | None = None) -> bytes:
    """Returns a new value with the metadata of the previous one: the number never decreases, and
    the applied orders are kept, including the new one.

    Example:
        >>> number_of(with_metadata(NUMBER_FORMAT.pack(0), NUMBER_FORMAT.pack(70)))
        70
    """
    number = max(number_of(value), number_of(previous))
    body = value[NUMBER_FORMAT.size : len(value) - _trailer_bytes(value)]
    orders = applied_orders(previous)
    if new is not None:
        orders = remember_order(orders, new)
    if not orders:
        return NUMBER_FORMAT.pack(number) + body
    rows = json.dumps([astuple(each) for each in orders], separators=(",", ":")).encode()
    return NUMBER_FORMAT.pack(number) + body + rows + TRAILER_FORMAT.pack(len(rows), TRAILER_MARK)


@dataclass(frozen=True, slots=True)
class ApplyOnce:
    """Writes a configuration if the register is at version ``expect`` and the order has not been
    carried out yet.

    Example:
        >>> order = ApplyOnce(0, "a", "c0ffee", NUMBER_FORMAT.pack(0))
        >>> order.decide(0, order.decide(0, b"")) is None
        True
    """

    expect: int
    order_id: str
    content: str
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns the value, with the order added to the applied ones.

        Example:
            >>> ApplyOnce(0, "a", "c0ffee", NUMBER_FORMAT.pack(0)).decide(1, b"") is None
            True
        """
        if version != self.expect or find_order(applied_orders(value), self.order_id):
            return None
        return with_metadata(
            self.value,
            value,
            AppliedOrder(self.order_id, version + 1, self.content[:CONTENT_DIGEST_CHARS]),
        )
