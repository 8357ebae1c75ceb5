"""What an all-seeing watcher notes of a run, and the invariants that it checks as it goes.

The history is a part of the world's hash: two worlds are one only where what was promised to
clients is the same too.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from immutables import Map

from spokeroute.common.effects import From
from spokeroute.common.ids import Ballot, MemberId, NodeId
from spokeroute.register.acceptor import acceptor
from spokeroute.register.cells import EMPTY, Roster, digest_of, unpack_roster
from spokeroute.register.changes import Ask, Outcome, Read, Settled
from spokeroute.transport.messages import (
    Accept,
    Accepted,
    Copy,
    CopyPart,
    HandOver,
    Prepare,
    Promise,
    RosterNews,
)
from tools.model.disk import Disk


class Invariant(StrEnum):
    """What must hold in every world that can be reached."""

    ONE_VALUE = "one value for each register and version"
    SEEN_LATER = "an acknowledged write is in every read that starts later"
    REFUSED_STAYS_OUT = "a change that was refused never takes effect"
    ONE_CONTENT = "a write-once register holds one content for good"
    ONE_HOLDER = "one holder a term"
    CAUGHT_UP = "nobody votes before it copied from a majority of the previous members"
    GOOD_SOURCE = "cells are copied from members that voted and moved to the epoch"
    EPOCH_FORWARD = "a member's epoch never goes back"
    ONE_ROSTER = "one roster for each epoch"
    ONE_EPOCH_DECIDES = "no epoch decides once a later one did"
    ON_DISK = "what was promised or accepted is on disk before it is answered"
    OWN_EPOCH = "a frame of another epoch changes no cell"
    NOT_BELOW = "a cell's promise never falls, and no ballot below it is accepted"
    LEFT_WHOLE = "a member that leaves leaves what was acknowledged at a majority that stays"
    ONE_BALLOT = "one ballot stands for one value"


class BrokenInvariantError(Exception):
    """A world that must not be."""

    def __init__(self, invariant: Invariant, text: str) -> None:
        super().__init__(f"{invariant}: {text}")
        self.invariant = invariant


@dataclass(frozen=True, slots=True)
class History:
    """What was seen so far."""

    decided: Map[tuple[str, int], str] = field(default_factory=Map)  # register, version: digest
    ballots: Map[tuple[str, Ballot], str] = field(default_factory=Map)  # what each stands for
    floors: Map[str, int] = field(default_factory=Map)  # the newest version told to a client
    asked: Map[str, tuple[Ask, int]] = field(default_factory=Map)  # open asks, floor at the start
    refused: frozenset[tuple[str, str]] = frozenset()  # register and digest
    votes: Map[tuple[str, Ballot, int], frozenset[MemberId]] = field(default_factory=Map)
    rosters: Map[int, Roster] = field(default_factory=Map)
    decided_epoch: int = 0
    epochs: Map[MemberId, int] = field(default_factory=Map)  # the newest that each had on disk
    copies: frozenset[tuple[MemberId, int, NodeId]] = frozenset()  # who copied whom, whole
    voters: frozenset[MemberId] = frozenset()  # may vote: founders, and who caught up


def asked(history: History, ask: Ask) -> History:
    """A client's ask begins."""
    floor = history.floors.get(ask.register, 0)
    return replace(history, asked=history.asked.set(ask.op_id, (ask, floor)))


def settled(history: History, done: Settled) -> History:
    """A client hears of its ask."""
    ask, floor = history.asked[done.op_id]
    history = replace(history, asked=history.asked.delete(done.op_id))
    if done.outcome == Outcome.UNSURE:
        return history
    if not done.wrote and not isinstance(ask.change, Read):
        value = getattr(ask.change, "value", b"")
        if done.outcome != Outcome.DONE or value != done.value:
            history = _refused(history, (ask.register, digest_of(value)))
    if done.outcome != Outcome.DONE:
        return history
    if done.version < floor:
        raise BrokenInvariantError(
            Invariant.SEEN_LATER,
            f"{done.op_id} got version {done.version} of {done.register}, {floor} was told before",
        )
    if done.version:
        history = chosen(history, done.register, done.version, digest_of(done.value))
    newest = max(done.version, history.floors.get(done.register, 0))
    return replace(history, floors=history.floors.set(done.register, newest))


def _refused(history: History, what: tuple[str, str]) -> History:
    for (register, version), digest in history.decided.items():
        if (register, digest) == what:
            text = f"version {version} of {register} was refused, and is chosen"
            raise BrokenInvariantError(Invariant.REFUSED_STAYS_OUT, text)
    return replace(history, refused=history.refused | {what})


def chosen(history: History, register: str, version: int, digest: str) -> History:
    """A value counts as chosen: a client was told, or a majority voted for it."""
    known = history.decided.get((register, version))
    if known == digest:
        return history
    if known is not None:
        kind = Invariant.ONE_HOLDER if register == "placement" else Invariant.ONE_VALUE
        raise BrokenInvariantError(kind, f"version {version} of {register} has two values")
    if (register, digest) in history.refused:
        text = f"version {version} of {register} was refused, and is chosen"
        raise BrokenInvariantError(Invariant.REFUSED_STAYS_OUT, text)
    if register.startswith("number/") and version > 1:
        text = f"{register} came to version {version}"
        raise BrokenInvariantError(Invariant.ONE_CONTENT, text)
    return replace(history, decided=history.decided.set((register, version), digest))


def frame_taken(
    history: History, before: acceptor.State, after: acceptor.State, event: object
) -> History:
    """An acceptor took an event: what must hold of each single step."""
    if after.epoch < before.epoch and not after.failed and not before.failed:
        text = f"{before.me} went from {before.epoch} to {after.epoch}"
        raise BrokenInvariantError(Invariant.EPOCH_FORWARD, text)
    if not isinstance(event, From):
        return history
    message = event.message
    changed = before.cells is not after.cells
    if isinstance(message, Prepare | Accept | HandOver):
        if changed and message.epoch != before.epoch:
            text = (
                f"{before.me} at {before.epoch} took a {type(message).__name__} of {message.epoch}"
            )
            raise BrokenInvariantError(Invariant.OWN_EPOCH, text)
        name = message.name if isinstance(message, Prepare) else message.copy.name
        _rising(before, after, name)
    if isinstance(message, Accept | HandOver):
        return _stands_for(history, message.copy)
    return history


def _rising(before: acceptor.State, after: acceptor.State, name: str) -> None:
    old, new = before.cells.get(name, EMPTY), after.cells.get(name, EMPTY)
    if new.promised < old.promised or new.accepted < old.accepted:
        text = f"{before.me}: {name} from {old.promised} to {new.promised}"
        raise BrokenInvariantError(Invariant.NOT_BELOW, text)


def _stands_for(history: History, copy: Copy) -> History:
    key = (copy.name, Ballot(copy.counter, MemberId(copy.member)))
    known = history.ballots.get(key)
    what = f"{copy.version}/{copy.digest}"
    if known not in (None, what):
        text = f"{copy.counter}.{copy.member} of {copy.name} stands for two values"
        raise BrokenInvariantError(Invariant.ONE_BALLOT, text)
    return replace(history, ballots=history.ballots.set(key, what)) if known is None else history


def answered(history: History, member: MemberId, disk: Disk, message: object) -> History:
    """A member sends a frame: what it says must be true of its disk."""
    match message:
        case Promise(epoch, name, counter, ballot_member, True):
            _voting(history, member, disk, epoch)
            ballot = Ballot(counter, MemberId(ballot_member))
            if disk.cells.get(name, EMPTY).promised < ballot:
                text = f"{member} promised {counter}.{ballot_member} of {name}"
                raise BrokenInvariantError(Invariant.ON_DISK, text)
        case Accepted(epoch, name, counter, ballot_member, True):
            _voting(history, member, disk, epoch)
            return _voted(history, member, disk, message)
        case RosterNews(value):
            return roster_seen(history, unpack_roster(value))
        case CopyPart(epoch):
            if disk.roster is None or disk.roster.epoch != epoch:
                text = f"{member} gave its cells for epoch {epoch} before it moved"
                raise BrokenInvariantError(Invariant.GOOD_SOURCE, text)
            if member not in history.voters:
                text = f"{member} gave its cells and never voted"
                raise BrokenInvariantError(Invariant.GOOD_SOURCE, text)
    return history


def _voting(history: History, member: MemberId, disk: Disk, epoch: int) -> None:
    # At a later epoch its disk may have it wait for cells anew: what it voted for is there.
    there = disk.roster.epoch if disk.roster is not None else 0
    if there < epoch or (there == epoch and not disk.votes):
        text = f"{member} voted in epoch {epoch}, which is not on its disk"
        raise BrokenInvariantError(Invariant.ON_DISK, text)
    if member not in history.voters:
        raise BrokenInvariantError(Invariant.CAUGHT_UP, f"{member} voted in epoch {epoch}")


def _voted(history: History, member: MemberId, disk: Disk, got: Accepted) -> History:
    ballot = Ballot(got.counter, MemberId(got.member))
    cell = disk.cells.get(got.name, EMPTY)
    if cell.accepted < ballot:
        text = f"{member} accepted {got.counter}.{got.member} of {got.name}"
        raise BrokenInvariantError(Invariant.ON_DISK, text)
    key = (got.name, ballot, got.epoch)
    votes = history.votes.get(key, frozenset()) | {member}
    history = replace(history, votes=history.votes.set(key, votes))
    roster = history.rosters.get(got.epoch)
    if roster is None or 2 * len(votes & set(roster.ids)) <= len(roster.ids):
        return history
    if got.epoch < history.decided_epoch:
        text = (
            f"{got.name} at {got.counter}.{got.member} in epoch {got.epoch}, "
            f"after epoch {history.decided_epoch}"
        )
        raise BrokenInvariantError(Invariant.ONE_EPOCH_DECIDES, text)
    history = replace(history, decided_epoch=got.epoch)
    if cell.accepted == ballot:
        return chosen(history, got.name, cell.version, cell.digest)
    return history


def roster_seen(history: History, roster: Roster) -> History:
    """Somebody spreads a roster or has one on disk."""
    known = history.rosters.get(roster.epoch)
    if known is None:
        return replace(history, rosters=history.rosters.set(roster.epoch, roster))
    if known != roster:
        text = f"epoch {roster.epoch} has {known.ids} and {roster.ids}"
        raise BrokenInvariantError(Invariant.ONE_ROSTER, text)
    return history


def copied(history: History, member: MemberId, source: NodeId, part: CopyPart) -> History:
    """A newcomer got a page; it may vote once it has all of a majority of the previous members."""
    if part.last:
        return history
    copies = history.copies | {(member, part.epoch, source)}
    history = replace(history, copies=copies)
    roster = history.rosters.get(part.epoch)
    if roster is None:
        return history
    whole = [x for x in roster.previous if (member, part.epoch, x) in copies]
    if 2 * len(whole) <= len(roster.previous):
        return history
    return replace(history, voters=history.voters | {member})


def left_whole(history: History, member: MemberId, staying: tuple[Disk, ...]) -> None:
    """A member ends, out of turn: what clients were told is on the disks of a majority of those
    who stay."""
    for register, floor in history.floors.items():
        have = sum(1 for disk in staying if disk.cells.get(register, EMPTY).version >= floor)
        if 2 * have <= len(staying):
            text = f"{member} ended; version {floor} of {register} is on {have} disks that stay"
            raise BrokenInvariantError(Invariant.LEFT_WHOLE, text)


def at_disk(history: History, member: MemberId, disk: Disk) -> History:
    """A member's disk changed, or it started from it."""
    if disk.roster is None:
        if history.epochs.get(member, 0):
            raise BrokenInvariantError(Invariant.EPOCH_FORWARD, f"{member} has no roster any more")
        return history
    history = roster_seen(history, disk.roster)
    epoch = disk.roster.epoch
    if epoch < history.epochs.get(member, 0):
        raise BrokenInvariantError(Invariant.EPOCH_FORWARD, f"{member} is back at {epoch}")
    if epoch == 1 and member in disk.roster.ids:
        history = replace(history, voters=history.voters | {member})
    return replace(history, epochs=history.epochs.set(member, epoch))
