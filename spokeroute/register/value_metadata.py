"""What stands around a configuration in its register's value: the operator's number before it,
and the last orders that were carried out behind it, so that one that is sent again is known.
"""

from __future__ import annotations

import json
import struct
from dataclasses import astuple, dataclass

NUMBER = struct.Struct(">Q")
"""The operator's number stands before a configuration's packed rest."""
TRAILER = struct.Struct(">I4s")
TRAILER_MARK = b"ORDS"
ORDERS_KEPT = 64
CONTENT_CHARS = 16  # of a content's digest: enough to tell an id that was used twice


@dataclass(frozen=True, slots=True)
class AppliedOrder:
    """An order that was carried out: its id, the version that it made, what it was sent with."""

    order_id: str
    version: int
    content: str = ""


def find_order(made: tuple[AppliedOrder, ...], order_id: str) -> AppliedOrder | None:
    """What is known of an order.

    Example:
        >>> find_order((AppliedOrder("a", 3),), "a").version
        3
    """
    return next((each for each in made if each.order_id == order_id), None)


def remember_order(made: tuple[AppliedOrder, ...], new: AppliedOrder) -> tuple[AppliedOrder, ...]:
    """The orders that are remembered once one more is made: the newest.

    Example:
        >>> orders = tuple(AppliedOrder(str(n), n) for n in range(64))
        >>> len(remember_order(orders, AppliedOrder("x", 65)))
        64
    """
    return (*made, new)[-ORDERS_KEPT:]


def number_of(value: bytes) -> int:
    """The highest number of the operator's that came in force with a value; 0 where none did.

    Example:
        >>> number_of(b"")
        0
    """
    return int(NUMBER.unpack_from(value)[0]) if value else 0


def _trailer_bytes(value: bytes) -> int:
    if len(value) < NUMBER.size + TRAILER.size:
        return 0
    size, mark = TRAILER.unpack_from(value, len(value) - TRAILER.size)
    return size + TRAILER.size if mark == TRAILER_MARK else 0


def applied_orders(value: bytes) -> tuple[AppliedOrder, ...]:
    """The orders that a value remembers, oldest first.

    Example:
        >>> applied_orders(b"")
        ()
    """
    size = _trailer_bytes(value)
    if not size:
        return ()
    rows = json.loads(value[len(value) - size : -TRAILER.size])
    return tuple(AppliedOrder(*row) for row in rows)


def with_metadata(value: bytes, before: bytes, new: AppliedOrder | None = None) -> bytes:
    """A new value that goes on from the one before: the number never goes back, and the orders
    are remembered, with the new one.

    Example:
        >>> number_of(with_metadata(NUMBER.pack(0), NUMBER.pack(70)))
        70
    """
    number = max(number_of(value), number_of(before))
    body = value[NUMBER.size : len(value) - _trailer_bytes(value)]
    made = applied_orders(before)
    if new is not None:
        made = remember_order(made, new)
    if not made:
        return NUMBER.pack(number) + body
    rows = json.dumps([astuple(each) for each in made], separators=(",", ":")).encode()
    return NUMBER.pack(number) + body + rows + TRAILER.pack(len(rows), TRAILER_MARK)


@dataclass(frozen=True, slots=True)
class ApplyOnce:
    """Write a configuration where the register stands at ``expect`` and the order was not carried
    out yet.

    Example:
        >>> order = ApplyOnce(0, "a", "c0ffee", NUMBER.pack(0))
        >>> order.decide(0, order.decide(0, b"")) is None
        True
    """

    expect: int
    order_id: str
    content: str
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The value, with the order among those that are remembered.

        Example:
            >>> ApplyOnce(0, "a", "c0ffee", NUMBER.pack(0)).decide(1, b"") is None
            True
        """
        if version != self.expect or find_order(applied_orders(value), self.order_id):
            return None
        return with_metadata(
            self.value,
            value,
            AppliedOrder(self.order_id, version + 1, self.content[:CONTENT_CHARS]),
        )
