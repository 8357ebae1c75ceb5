"""Operations on registers and their results; the changes themselves are passed as data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from spokeroute.register.cells import Roster
from spokeroute.transport.messages import Copy


class Change(Protocol):
    """A change of a register's value: a pure function, passed as data."""

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns the next value, or None to leave the register unchanged."""
        ...


@dataclass(frozen=True, slots=True)
class Read:
    """Reads the chosen value and changes nothing.

    Example:
        Read().decide(3, b"x") is None
    """

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns None: there is nothing to write.

        Example:
            Read().decide(0, b"") is None
        """
        return None


@dataclass(frozen=True, slots=True)
class Renew:
    """Writes the current value again with a new ballot, although a majority agrees on it: a member
    that promised a later read can't accept it with the old ballot.

    Example:
        Renew().decide(1, b"old") is None
    """

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns None: the value stays the same.

        Example:
            Renew().decide(0, b"") is None
        """
        return None


@dataclass(frozen=True, slots=True)
class Swap:
    """Writes ``value`` if the register is at version ``expect``.

    Example:
        Swap(0, b"x").decide(0, b"") == b"x"
    """

    expect: int
    value: bytes

    def decide(self, version: int, value: bytes) -> bytes | None:
        """Returns the value if the version is as expected.

        Example:
            Swap(1, b"x").decide(0, b"") is None
        """
        return self.value if version == self.expect else None


@dataclass(frozen=True, slots=True)
class Ask:
    """From an actor: apply this change to a register. If ``no_majority_wait_ms`` is set, the
    operation is abandoned after that time if the proposer can't reach a majority of the roster."""

    op_id: str
    register: str
    change: Change
    reply_to: str
    wait_ms: int = 3000
    no_majority_wait_ms: int = 0


class Outcome(StrEnum):
    """How an operation ended.

    Example:
        Outcome("done") is Outcome.DONE
    """

    DONE = "done"
    TIMEOUT = "timeout"  # nothing of this operation was written
    UNSURE = "unsure"  # the change may have been written


@dataclass(frozen=True, slots=True)
class Settled:
    """To the requesting actor: how its operation ended, and the register's value. ``age_ms`` is the
    longest time that any member reports to have had the value; -1 if none can tell."""

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
    """To the replica: this value was chosen."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class RosterIs:
    """From the membership: the roster to use for rounds."""

    roster: Roster
