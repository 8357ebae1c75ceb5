"""Stores copies of the replicated registers, and proves when they were the newest.

Each time a majority agrees on all registers, a pending proof is created. Once a value that it names
is stored locally, that value is in force as of the time of the proof, and is never replaced by an
older one.
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
from spokeroute.transport.peers import CopiesChanged

LEASE_MS = 2_000
MAX_PENDING_PROOFS = 16
MAX_OLDER_COPIES = 3  # per register; one for compiled values


def with_roster(state: State, roster: Roster) -> State:
    """Adopts a newer roster: answers under the previous one no longer prove anything.

    Example:
        with_roster(State(()), roster).answers == Map()
    """
    return replace(state, roster=roster, pending_probes=PendingProbes(), answers=Map())


def with_pending_proof(
    pending_proofs: tuple[PendingProof, ...], new: PendingProof, request: OpenRequest | None
) -> tuple[PendingProof, ...]:
    """Adds a pending proof; it replaces the last one if both name the same values. Beyond
    ``MAX_PENDING_PROOFS`` the oldest one is dropped, but never the one whose values the open
    request brings.

    Example:
        >>> len(with_pending_proof((), PendingProof(Ms(0), Map()), None))
        1
    """
    if pending_proofs and _same_copies(pending_proofs[-1], new):
        return (*pending_proofs[:-1], new)
    if len(pending_proofs) < MAX_PENDING_PROOFS:
        return (*pending_proofs, new)
    awaited = None
    if request is not None:
        awaited = next((each for each in pending_proofs if each.asked_ms >= request.sent_ms), None)
    dropped = next(each for each in pending_proofs if each is not awaited)
    return (*(each for each in pending_proofs if each is not dropped), new)


def _same_copies(a: PendingProof, b: PendingProof) -> bool:
    return a.copies.keys() == b.copies.keys() and all(
        same_value(copy, b.copies[name]) for name, copy in a.copies.items()
    )


def is_awaited(state: State, copy: Copy) -> bool:
    """Returns whether a pending proof names exactly this value.

    Example:
        is_awaited(state, copy)
    """
    named = (pending.copies.get(copy.name) for pending in state.pending_proofs)
    return any(each is not None and same_value(each, copy) for each in named)


def is_behind(state: State, request: OpenRequest, answer: Answer) -> bool:
    """Returns whether a member that was asked for values reports an older version of some register
    than a majority had agreed on before it was asked.

    Example:
        is_behind(state, state.value_requests.open, answer)
    """
    newest = {name: local.copy.version for name, local in state.in_force.items()}
    for pending in state.pending_proofs:
        if pending.asked_ms <= request.sent_ms:
            named = {name: copy.version for name, copy in pending.copies.items()}
            newest = {name: max(named[name], newest.get(name, 0)) for name in named}
    return any(copy.version < newest.get(copy.name, 0) for copy in answer.copies)


def store_copy(state: State, new: LocalCopy) -> State:
    """Stores a value, and keeps some older ones for a while, because an answer may still name them.

    Example:
        state = store_copy(state, LocalCopy(copy, value))
    """
    name = new.copy.name
    newest = state.local_copies.get(name)
    if newest is None:
        return replace(state, local_copies=state.local_copies.set(name, new))
    older, newer = sorted((newest, new), key=lambda each: each.copy.version)
    max_older = 1 if new.table is not None else MAX_OLDER_COPIES
    kept = (*state.older_copies.get(name, ()), older)[-max_older:]
    local, all_older = state.local_copies.set(name, newer), state.older_copies.set(name, kept)
    return replace(state, local_copies=local, older_copies=all_older)


def stored_copy(state: State, copy: Copy) -> LocalCopy | None:
    """Returns the locally stored value of a copy, if there is one.

    Example:
        stored_copy(state, copy) is None
    """
    newest: LocalCopy | None = state.local_copies.get(copy.name)
    if newest is not None and same_value(newest.copy, copy):
        return newest
    older: tuple[LocalCopy, ...] = state.older_copies.get(copy.name, ())
    return next((local for local in older if same_value(local.copy, copy)), None)


def prove(state: State) -> tuple[State, Effects]:
    """Proves each register by the newest pending proof that names a locally stored value of it, as
    of the time of that proof. Listeners decide by the earliest of these times. So no register waits
    for the value of another one.

    Example:
        state, effects = prove(state)
    """
    in_force, proved = state.in_force, state.proved_ms_by_register
    for name in SPREAD:
        for pending in reversed(state.pending_proofs):
            if pending.asked_ms <= proved.get(name, Ms(-1)):
                break
            if (
                name == FLOOR
                and state.floor_needs_configuration
                and not _configuration_in_force(in_force, pending)
            ):
                continue
            local = _value_in_force(state, pending.copies[name])
            if local is not None:
                proved = proved.set(name, pending.asked_ms)
                in_force = in_force.set(name, local) if local.copy.version else in_force
                break
    if proved == state.proved_ms_by_register:
        return state, ()
    return _with_proof(state, in_force, proved)


def _configuration_in_force(in_force: Map[str, LocalCopy], pending: PendingProof) -> bool:
    """Returns whether the configuration that a pending proof names, or a newer one, is in force.
    Instances of services that an older one lacks would be stopped by it."""
    version = pending.copies[CONFIGURATION].version
    return version == 0 or (
        CONFIGURATION in in_force and in_force[CONFIGURATION].copy.version >= version
    )


def _value_in_force(state: State, copy: Copy) -> LocalCopy | None:
    """Returns what comes into force when a majority agreed on a copy; None while its value is not
    stored, or if it is older than the value in force."""
    if copy.version == 0:
        return LocalCopy(copy, b"")
    old, local = state.in_force.get(copy.name), stored_copy(state, copy)
    if old is not None and same_value(old.copy, copy):
        return old if ballot_of(old.copy) == ballot_of(copy) else replace(old, copy=copy)
    if local is None or (old is not None and old.copy.version >= copy.version):
        return None
    return replace(local, copy=copy)


def _with_proof(
    state: State, in_force: Map[str, LocalCopy], proved: Map[str, Ms]
) -> tuple[State, Effects]:
    changed = any(
        name not in state.in_force or not same_value(state.in_force[name].copy, local.copy)
        for name, local in in_force.items()
    )
    proved_ms = min(proved.get(name, Ms(-1)) for name in SPREAD)
    remaining = tuple(each for each in state.pending_proofs if each.asked_ms > proved_ms)
    recovered = state.proof_overdue and proved_ms > state.proved_ms
    text = f"proof again after {proved_ms - state.proved_ms} ms"
    effects: list[Effect] = [Note(text)] if recovered else []
    state = replace(
        state, in_force=in_force, proved_ms_by_register=proved, proved_ms=proved_ms,
        pending_proofs=remaining, proof_overdue=state.proof_overdue and not recovered,
    )  # fmt: skip
    if proved_ms < 0:
        return state, ()
    fresh = fresh_copies(state, changed)
    effects.extend(Tell(name, fresh) for name in state.listeners)
    if changed:
        copies = tuple(in_force[n].copy for n in sorted(in_force))
        effects.append(Tell("peers", CopiesChanged(copies)))
        if ROSTER in in_force:
            roster = unpack_roster(in_force[ROSTER].value)
            if state.roster is None or roster.epoch > state.roster.epoch:
                state = with_roster(state, roster)
    return state, tuple(effects)


def fresh_copies(state: State, changed: bool) -> FreshCopies:
    """Returns the values in force, for the listeners.

    Example:
        fresh_copies(State(()), False).versions == {}
    """
    configuration = state.in_force.get(CONFIGURATION)
    return FreshCopies(
        state.proved_ms,
        {name: local.copy.version for name, local in state.in_force.items()},
        {name: local.value for name, local in state.in_force.items() if name != CONFIGURATION},
        configuration.table if configuration else None,
        changed,
        frozenset(
            name
            for sent_ms, names in state.absent_by_member.values()
            if state.proved_ms - sent_ms < LEASE_MS
            for name in names
        ),
        number_of(configuration.value) if configuration else 0,
        state.proved_ms_by_register.get(CONFIGURATION, Ms(-1)),
    )
