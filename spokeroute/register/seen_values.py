"""What a member had seen of a register at some moment, as a precondition for later writes.

An order that waits unread for an unknown time must not undo an order that was sent after it. Its
sender sends one order at a time, so an order that was sent after a member had seen the register's
present value is newer than every order in that value.
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.register.cells import digest_of


@dataclass(frozen=True, slots=True)
class SeenValue:
    """The newest value of a register that a member had seen: its version and its digest.

    Example:
        SeenValue(3, digest_of(value)).includes(3, value)
    """

    version: int = 0
    digest: str = ""

    def includes(self, version: int, value: bytes) -> bool:
        """Whether the register's present value is this one or an older one.

        Example:
            >>> SeenValue().includes(0, b""), SeenValue().includes(1, b"x")
            (True, False)
        """
        if version != self.version:
            return version < self.version
        return not version or digest_of(value) == self.digest


@dataclass(frozen=True, slots=True)
class SeenRegisters:
    """The newest values that a member had seen of the registers that operators change.

    Example:
        SeenRegisters().evacuation.version == 0
    """

    configuration: SeenValue = SeenValue()
    evacuation: SeenValue = SeenValue()
