"""Log texts on proofs. Once the newest proof is older than the lease, they tell whether answers are
missing, or values that those answers named."""

from __future__ import annotations

from spokeroute.common.ids import CONFIGURATION, Ms
from spokeroute.register.replica.agreement import same_value
from spokeroute.register.replica.state import State


def overdue_proof_message(state: State, now_ms: Ms) -> str:
    """Returns one line that tells why there is no recent proof.

    Example:
        overdue_proof_message(state, now_ms)
    """
    members = len(state.roster.members) if state.roster else 0
    answers = sum(1 for each in state.answers.values() if each.sent_ms > state.proved_ms)
    parts = [
        f"no proof for {now_ms - state.proved_ms} ms",
        f"answers since: {answers} of {members} members",
        f"pending proofs that wait for values: {len(state.pending_proofs)}",
    ]
    missing = _missing_values(state)
    if missing:
        parts.append(f"missing values: {missing}")
    parts.append(proof_summary(state, now_ms))
    return "; ".join(parts)


def proof_summary(state: State, now_ms: Ms) -> str:
    """Returns one line on this process's proofs: the age of the newest one, when a majority last
    agreed on the configuration, which member was asked for values, and how many answers came to
    probes that are no longer kept.

    Example:
        >>> proof_summary(State(()), Ms(5))
        'proof_ms=-1 configuration_named_ms=-1 heard_ms=5 ask=none late_answers=0'
    """
    request = state.value_requests.open
    request_text = "none" if request is None else f"{request.node}/{now_ms - request.sent_ms}ms"
    return (
        f"proof_ms={_age(state.proved_ms, now_ms)} "
        f"configuration_named_ms={_age(state.agreed_ms.get(CONFIGURATION, Ms(-1)), now_ms)} "
        f"heard_ms={now_ms - state.value_requests.heard_ms} ask={request_text} "
        f"late_answers={state.late_answers}"
    )


def _age(since_ms: Ms, now_ms: Ms) -> int:
    """Returns the time since an event; -1 if it never happened."""
    return now_ms - since_ms if since_ms >= 0 else -1


def _missing_values(state: State) -> str:
    """Returns the values that the newest pending proof names and that are not stored locally, each
    with the version that is."""
    if not state.pending_proofs:
        return ""
    missing: list[str] = []
    for name, copy in state.pending_proofs[-1].copies.items():
        local = state.local_copies.get(name)
        if copy.version and (local is None or not same_value(local.copy, copy)):
            missing.append(f"{name} {copy.version} (local: {local.copy.version if local else 0})")
    return ", ".join(missing)
