"""A faster ``dataclasses.replace`` for the frozen, slotted states of the cores.

The standard one goes over all fields with checks and runs the constructor, which sets each field of
a frozen class by a call. The cores replace their states thousands of times a second; here the
fields are copied from slot to slot. Types are checked as for the standard one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from functools import lru_cache
from typing import TYPE_CHECKING, Any

CLASSES_KEPT = 512

if TYPE_CHECKING:
    from dataclasses import replace as replace
else:

    def replace(old: Any, /, **changes: Any) -> Any:
        """A copy of a dataclass with some fields changed.

        Example:
            >>> from spokeroute.transport.traffic import Traffic
            >>> replace(Traffic(1, 2), frames=3)
            Traffic(frames=3, size_bytes=2)
        """
        kind = old.__class__
        copied, setters = _copier(kind)
        if copied is None:
            return dataclasses.replace(old, **changes)
        new = copied(old)
        try:
            for name, value in changes.items():
                setters[name](new, value)
        except KeyError as fault:
            raise TypeError(f"{kind.__name__} has no field {fault}") from None
        return new


Copier = tuple[Callable[[Any], Any] | None, dict[str, Callable[[Any, Any], None]]]


@lru_cache(maxsize=CLASSES_KEPT)
def _copier(kind: type) -> Copier:
    """How to copy an object of a class, and how to set each of its fields; None where the class has
    no slots, or does more than keep its fields."""
    fields = dataclasses.fields(kind)
    plain = all(field.init for field in fields) and not hasattr(kind, "__post_init__")
    slots = [getattr(kind, field.name, None) for field in fields]
    if not plain or not all(type(slot).__name__ == "member_descriptor" for slot in slots):
        return None, {}
    setters: dict[str, Callable[[Any, Any], None]] = {
        field.name: getattr(kind, field.name).__set__ for field in fields
    }
    names = [field.name for field in fields]
    lines = ["def copied(old):", "    new = create(kind)"]
    lines += [f"    set_{name}(new, old.{name})" for name in names]
    lines += ["    return new"]
    scope: dict[str, Any] = {"create": object.__new__, "kind": kind}
    scope |= {f"set_{name}": setter for name, setter in setters.items()}
    exec("\n".join(lines), scope)
    return scope["copied"], setters
