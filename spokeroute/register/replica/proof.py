"""What a process holds of the spread registers, and when that is proved to be the newest.

A question that a majority answered alike is a target: once a value that it names is here, it rules
from the time of that question on, and never goes back to an older one.
"""

from __future__ import annotations

from immutables import Map

from spokeroute.common.effects import Effect, Effects, Note, Tell
from spokeroute.common.ids import CONFIGURATION, FLOOR, ROSTER, SPREAD, Ms
from spokeroute.common.replacing import replace
from spokeroute.register.cells import Roster, ballot_of, unpack_roster
from spokeroute.register.replica.agreement import same_value
from spokeroute.register.replica.pending_probes import PendingProbes
from spokeroute.register.replica.state import Answer, FreshCopies, LocalCopy, PendingProof, State
from spokeroute.register.replica.value_requests import OpenRequest
from spokeroute.register.value_metadata import number_of
from spokeroute.transport.messages import Copy
from spokeroute.transport.peers import CopiesNow

LEASE_MS = 2_000
MOST_TARGETS = 16
KEPT_BEFORE = 3  # of a register's values that newer ones came after; of compiled ones, one


def under(state: State, roster: Roster) -> State:
    """With a newer roster: answers of the one before it prove nothing any more.

    Example:
        under(State(()), roster).answers == Map()
    """
    return replace(state, roster=roster, questions=PendingProbes(), answers=Map())


def with_target(
    targets: tuple[PendingProof, ...], new: PendingProof, ask: OpenRequest | None
) -> tuple[PendingProof, ...]:
    """With a newer target, in place of the last one where both name the same. Past the bound the
    oldest one is dropped, but never the one whose values the open ask brings.

    Example:
        >>> len(with_target((), PendingProof(Ms(0), Map()), None))
        1
    """
    if targets and _same_copies(targets[-1], new):
        return (*targets[:-1], new)
    if len(targets) < MOST_TARGETS:
        return (*targets, new)
    awaited = None
    if ask is not None:
        awaited = next((each for each in targets if each.asked_ms >= ask.sent_ms), None)
    dropped = next(each for each in targets if each is not awaited)
    return (*(each for each in targets if each is not dropped), new)


def _same_copies(a: PendingProof, b: PendingProof) -> bool:
    return a.copies.keys() == b.copies.keys() and all(
        same_value(copy, b.copies[name]) for name, copy in a.copies.items()
    )


def is_wanted(state: State, copy: Copy) -> bool:
    """Whether a question that waits for its proof was answered with this very value.

    Example:
        is_wanted(state, copy)
    """
    named = (target.copies.get(copy.name) for target in state.pending_proofs)
    return any(each is not None and same_value(each, copy) for each in named)


def is_behind(state: State, ask: OpenRequest, answer: Answer) -> bool:
    """Whether a member that was asked for values names an older version of some register than a
    majority had named before it was asked.

    Example:
        is_behind(state, state.value_requests.open, answer)
    """
    newest = {name: got.copy.version for name, got in state.in_force.items()}
    for target in state.pending_proofs:
        if target.asked_ms <= ask.sent_ms:
            named = {name: copy.version for name, copy in target.copies.items()}
            newest = {name: max(named[name], newest.get(name, 0)) for name in named}
    return any(copy.version < newest.get(copy.name, 0) for copy in answer.copies)


def keep(state: State, got: LocalCopy) -> State:
    """Keep a value, and for a while those that it comes after: an answer may name one of them.

    Example:
        state = keep(state, LocalCopy(copy, value))
    """
    name = got.copy.name
    newest = state.local_copies.get(name)
    if newest is None:
        return replace(state, local_copies=state.local_copies.set(name, got))
    older, newer = sorted((newest, got), key=lambda each: each.copy.version)
    many = 1 if got.table is not None else KEPT_BEFORE
    before = (*state.before.get(name, ()), older)[-many:]
    here, all_before = state.local_copies.set(name, newer), state.before.set(name, before)
    return replace(state, local_copies=here, before=all_before)


def found(state: State, copy: Copy) -> LocalCopy | None:
    """The value of a copy, if it is here.

    Example:
        found(state, copy) is None
    """
    newest: LocalCopy | None = state.local_copies.get(copy.name)
    if newest is not None and same_value(newest.copy, copy):
        return newest
    before: tuple[LocalCopy, ...] = state.before.get(copy.name, ())
    return next((got for got in before if same_value(got.copy, copy)), None)


def prove(state: State) -> tuple[State, Effects]:
    """Each register is proved by the newest question whose answer names a value of it that is here,
    from that question's time; what a process decides by, from the earliest of those times. So no
    register waits for another one's value.

    Example:
        state, effects = prove(state)
    """
    ruling, proved_of = state.in_force, state.proved_of
    for name in SPREAD:
        for target in reversed(state.pending_proofs):
            if target.asked_ms <= proved_of.get(name, Ms(-1)):
                break
            if (
                name == FLOOR
                and state.floor_needs_configuration
                and not _configured(ruling, target)
            ):
                continue
            found_here = _ruling_by(state, target.copies[name])
            if found_here is not None:
                proved_of = proved_of.set(name, target.asked_ms)
                ruling = ruling.set(name, found_here) if found_here.copy.version else ruling
                break
    if proved_of == state.proved_of:
        return state, ()
    return _proved(state, ruling, proved_of)


def _configured(ruling: Map[str, LocalCopy], target: PendingProof) -> bool:
    """Whether the configuration that a target names rules, or a newer one. Instances of services
    that an older one lacks would be stopped by it."""
    version = target.copies[CONFIGURATION].version
    return version == 0 or (
        CONFIGURATION in ruling and ruling[CONFIGURATION].copy.version >= version
    )


def _ruling_by(state: State, copy: Copy) -> LocalCopy | None:
    """What rules where a majority named a copy; None while its value is missing, or where it would
    go back."""
    if copy.version == 0:
        return LocalCopy(copy, b"")
    old, got = state.in_force.get(copy.name), found(state, copy)
    if old is not None and same_value(old.copy, copy):
        return old if ballot_of(old.copy) == ballot_of(copy) else replace(old, copy=copy)
    if got is None or (old is not None and old.copy.version >= copy.version):
        return None
    return replace(got, copy=copy)


def _proved(
    state: State, ruling: Map[str, LocalCopy], proved_of: Map[str, Ms]
) -> tuple[State, Effects]:
    changed = any(
        name not in state.in_force or not same_value(state.in_force[name].copy, got.copy)
        for name, got in ruling.items()
    )
    proved_ms = min(proved_of.get(name, Ms(-1)) for name in SPREAD)
    left = tuple(each for each in state.pending_proofs if each.asked_ms > proved_ms)
    again = state.overdue and proved_ms > state.proved_ms
    text = f"proof again after {proved_ms - state.proved_ms} ms"
    effects: list[Effect] = [Note(text)] if again else []
    state = replace(
        state, in_force=ruling, proved_of=proved_of, proved_ms=proved_ms, pending_proofs=left,
        overdue=state.overdue and not again,
    )  # fmt: skip
    if proved_ms < 0:
        return state, ()
    fresh = fresh_of(state, changed)
    effects.extend(Tell(name, fresh) for name in state.listeners)
    if changed:
        copies = tuple(ruling[n].copy for n in sorted(ruling))
        effects.append(Tell("peers", CopiesNow(copies)))
        if ROSTER in ruling:
            roster = unpack_roster(ruling[ROSTER].value)
            if state.roster is None or roster.epoch > state.roster.epoch:
                state = under(state, roster)
    return state, tuple(effects)


def fresh_of(state: State, changed: bool) -> FreshCopies:
    """What the ruling copies say, for whoever decides.

    Example:
        fresh_of(State(()), False).versions == {}
    """
    ruling = state.in_force.get(CONFIGURATION)
    return FreshCopies(
        state.proved_ms,
        {name: got.copy.version for name, got in state.in_force.items()},
        {name: got.value for name, got in state.in_force.items() if name != CONFIGURATION},
        ruling.table if ruling else None,
        changed,
        frozenset(
            name
            for sent_ms, names in state.absent_of.values()
            if state.proved_ms - sent_ms < LEASE_MS
            for name in names
        ),
        number_of(ruling.value) if ruling else 0,
        state.proved_of.get(CONFIGURATION, Ms(-1)),
    )
