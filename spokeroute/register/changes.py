"""What actors ask of registers, and what they are told: changes that travel as data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from spokeroute.register.cells import Roster
from spokeroute.transport.messages import Copy


class Change(Protocol):
    """What an operation makes of a register: a pure function that travels as data."""

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The next value, or None to leave the register as it is."""
        ...


@dataclass(frozen=True, slots=True)
class Read:
    """Change nothing: the value that is chosen.

    Example:
        Read().decide(3, b"x") is None
    """

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Nothing to write.

        Example:
            Read().decide(0, b"") is None
        """
        return None


@dataclass(frozen=True, slots=True)
class Renew:
    """Write what stands under a new ballot, though a majority agrees on it: a member that promised
    a later read can't take it under the old one.

    Example:
        Renew().decide(1, b"old") is None
    """

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Never another value.

        Example:
            Renew().decide(0, b"") is None
        """
        return None


@dataclass(frozen=True, slots=True)
class Swap:
    """Write ``value`` if the register stands at ``expect``.

    Example:
        Swap(0, b"x").decide(0, b"") == b"x"
    """

    expect: int
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The value when the version is as expected.

        Example:
            Swap(1, b"x").decide(0, b"") is None
        """
        return self.value if version == self.expect else None


@dataclass(frozen=True, slots=True)
class Ask:
    """From an actor: bring this change to a register. Where ``alone_ms`` is given, it is given up
    after that long if the proposer has contact with no majority of the roster."""

    op_id: str
    register: str
    change: Change
    reply_to: str
    wait_ms: int = 3000
    no_majority_wait_ms: int = 0


class Outcome(StrEnum):
    """How an ask ended.

    Example:
        Outcome("done") is Outcome.DONE
    """

    DONE = "done"
    TIMEOUT = "timeout"  # nothing of ours was written
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class Settled:
    """To the asker: how its ask ended, and what stands.
    ``age_ms``: the longest that a member says to have had the value; -1 where none can tell."""

    op_id: str
    register: str
    outcome: Outcome
    version: int
    value: bytes
    wrote: bool
    reason: str = ""
    age_ms: int = -1


@dataclass(frozen=True, slots=True)
class Chosen:
    """To the copies' owner: this is chosen."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class RosterIs:
    """From the membership: the roster that rounds go by."""

    roster: Roster
