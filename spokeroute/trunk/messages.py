"""Every message between the system's own processes, as frozen dataclasses.

Example:
    >>> Ferried("t1", "no", "busy", 0, (), b"").ran
    'no'
"""

from __future__ import annotations

from dataclasses import dataclass

Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ViewEntry:
    """One colleague as a view knows it; ``ageMs`` is how old the news is."""

    node: str
    incarnation: int
    address: str
    role: str
    locality: str
    ageMs: int


@dataclass(frozen=True, slots=True)
class Copy:
    """A register's version as gossip names it; ``counter``/``member`` is its ballot."""

    name: str
    version: int
    digest: str
    counter: int
    member: str


@dataclass(frozen=True, slots=True)
class Shuffle:
    """A part of the sender's view, and the newest versions it knows to be chosen."""

    entries: tuple[ViewEntry, ...]
    copies: tuple[Copy, ...]
    wantsReply: bool


@dataclass(frozen=True, slots=True)
class HeldReport:
    """What a holder saw of one instance over its sampling period, in thousandths."""

    instance: str
    meanInFlightMilli: int
    answered: int
    failures: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class DemandReport:
    """What an entry exchange saw of one service over its sampling period."""

    service: str
    arrived: int
    waiting: int
    inFlight: int


@dataclass(frozen=True, slots=True)
class Took:
    """An exchange sent a call on to a second instance: which, by what rule and whose list."""

    tryId: str
    service: str
    lost: str
    taken: str
    rule: str
    listTerm: int
    listSequence: int


@dataclass(frozen=True, slots=True)
class FetchAsk:
    """Asks for a register's value."""

    name: str
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class FetchGot:
    """A register's value."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a core member for its newest versions; carries the exchange's reports and the
    digests of the copies that it has."""

    nonce: int
    epoch: int
    have: tuple[str, ...]
    held: tuple[HeldReport, ...]
    demand: tuple[DemandReport, ...]
    took: tuple[Took, ...]
    leaving: bool  # this process stops, and hands nothing on any more
    busy: tuple[str, ...]  # instances where a try that it handed may still run


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """A member's synced versions, in answer to one probe, and the small values that the
    asker has not got. ``absent``: instances on the floor that the newest listing this member
    read lacks, or shows as going."""

    nonce: int
    epoch: int
    copies: tuple[Copy, ...]
    values: tuple[FetchGot, ...]
    absent: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """Asks a core node to bring a register's open round to an end."""

    name: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """The first half of a round."""

    epoch: int
    name: str
    counter: int
    member: str


@dataclass(frozen=True, slots=True)
class Promise:
    """A member's synced promise, or its refusal with the ballot it is bound to."""

    epoch: int
    name: str
    counter: int
    member: str
    ok: bool
    boundCounter: int
    accepted: Copy
    value: bytes
    ageMs: int  # how long this member has had it, by its running time; -1 where it can't tell


@dataclass(frozen=True, slots=True)
class Accept:
    """The second half of a round."""

    epoch: int
    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    """A member's synced acceptance, or its refusal."""

    epoch: int
    name: str
    counter: int
    member: str
    ok: bool
    boundCounter: int


@dataclass(frozen=True, slots=True)
class HandOver:
    """A value known to be chosen, handed to a member that missed it."""

    epoch: int
    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class Alive:
    """A core member's sign of life to another: its epoch, whether it votes, whom it hears."""

    epoch: int
    votes: bool
    blank: bool
    hears: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RosterNews:
    """A roster known to be chosen."""

    value: bytes


@dataclass(frozen=True, slots=True)
class CopyAsk:
    """A joining member asks for all cells after a name."""

    epoch: int
    after: str


@dataclass(frozen=True, slots=True)
class CopyCell:
    """One cell as a member has it on disk."""

    promisedCounter: int
    promisedMember: str
    accepted: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class CopyPart:
    """A page of cells; ``last`` names where the next begins, empty at the end."""

    epoch: int
    after: str
    cells: tuple[CopyCell, ...]
    last: str


@dataclass(frozen=True, slots=True)
class ClaimAsk:
    """An entry exchange claims a once-only key for one call, frees it, or notes its end."""

    opId: str
    key: str
    fingerprint: str
    callId: str
    to: str
    waitMs: int  # what is left of the call's wait


@dataclass(frozen=True, slots=True)
class ClaimGot:
    """How the claim stands after the ask."""

    opId: str
    won: bool
    fingerprint: str
    callId: str
    known: str
    reason: str


@dataclass(frozen=True, slots=True)
class Ferry:
    """A call for an instance that the receiver holds, with the wait that is left."""

    tryId: str
    service: str
    instance: str
    holderIncarnation: int
    method: str
    path: str
    headers: Pairs
    body: bytes
    waitLeftMs: int


@dataclass(frozen=True, slots=True)
class FerryDrop:
    """The caller is gone or its wait is over: drop the try unless it was sent."""

    tryId: str


@dataclass(frozen=True, slots=True)
class Ferried:
    """How a ferried try ended. ``ran`` is no, maybe or yes."""

    tryId: str
    ran: str
    reason: str
    status: int
    headers: Pairs
    body: bytes


@dataclass(frozen=True, slots=True)
class Successors:
    """The ranked list of one function on one worker."""

    service: str
    worker: str
    ranked: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Lists:
    """The placement role's lists, pushed ahead of failures."""

    term: int
    sequence: int
    desiredVersion: int
    ageMs: int
    successors: tuple[Successors, ...]


@dataclass(frozen=True, slots=True)
class LedgerShare:
    """Ledger entries from the placement holder, to be synced and acknowledged."""

    entries: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class LedgerAck:
    """Entries up to ``high`` are on this member's disk."""

    high: str


KINDS: tuple[type, ...] = (
    Shuffle, Probe, ProbeAck, FetchAsk, FetchGot, Finish, Prepare, Promise, Accept, Accepted,
    HandOver, Alive, RosterNews, CopyAsk, CopyPart, ClaimAsk, ClaimGot, Ferry, FerryDrop,
    Ferried, Lists, LedgerShare, LedgerAck,
)  # fmt: skip
