"""What a process says once it has gone without a proof for longer than the lease: whether answers
are missing, or values that those answers named."""

from __future__ import annotations

from spokeroute.common.ids import CONFIGURATION, Ms
from spokeroute.register.replica.agreement import same_value
from spokeroute.register.replica.state import State


def overdue_proof_message(state: State, now_ms: Ms) -> str:
    """Why there is no proof, in one line.

    Example:
        overdue_proof_message(state, now_ms)
    """
    members = len(state.roster.members) if state.roster else 0
    answers = sum(1 for each in state.answers.values() if each.sent_ms > state.proved_ms)
    parts = [
        f"no proof for {now_ms - state.proved_ms} ms",
        f"answers since: {answers} of {members} members",
        f"questions that wait for values: {len(state.pending_proofs)}",
    ]
    missing = _missing(state)
    if missing:
        parts.append(f"not here: {missing}")
    parts.append(proof_summary(state, now_ms))
    return "; ".join(parts)


def proof_summary(state: State, now_ms: Ms) -> str:
    """What a process knows of its proofs, in one line: how old the newest one is, when a majority
    named the configuration alike last, which member was asked for values, how many answers came to
    questions that it does not keep any more.

    Example:
        >>> proof_summary(State(()), Ms(5))
        'proof_ms=-1 configuration_named_ms=-1 heard_ms=5 ask=none late_answers=0'
    """
    ask = state.value_requests.open
    said = "none" if ask is None else f"{ask.node}/{now_ms - ask.sent_ms}ms"
    return (
        f"proof_ms={_age(state.proved_ms, now_ms)} "
        f"configuration_named_ms={_age(state.named_ms.get(CONFIGURATION, Ms(-1)), now_ms)} "
        f"heard_ms={now_ms - state.value_requests.heard_ms} ask={said} "
        f"late_answers={state.late_answers}"
    )


def _age(since_ms: Ms, now_ms: Ms) -> int:
    """How long ago something was; -1 where it never was."""
    return now_ms - since_ms if since_ms >= 0 else -1


def _missing(state: State) -> str:
    """The values that the newest answer named and that are not here, with what is here."""
    if not state.pending_proofs:
        return ""
    said: list[str] = []
    for name, copy in state.pending_proofs[-1].copies.items():
        got = state.local_copies.get(name)
        if copy.version and (got is None or not same_value(got.copy, copy)):
            said.append(f"{name} {copy.version} (here: {got.copy.version if got else 0})")
    return ", ".join(said)
