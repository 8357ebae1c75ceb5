"""What a process says once it has gone without a proof for longer than the lease: whether answers
are missing, or values that those answers named."""

from __future__ import annotations

from spokeroute.common.ids import Ms
from spokeroute.register.replica.agreement import same_value
from spokeroute.register.replica.state import State


def overdue_text(state: State, now_ms: Ms) -> str:
    """Why there is no proof, in one line.

    Example:
        overdue_text(state, now_ms)
    """
    members = len(state.roster.members) if state.roster else 0
    answers = max((len(asked.acks) for asked in state.probes.values()), default=0)
    parts = [
        f"no proof for {now_ms - state.proved_ms} ms",
        f"answers to a question: {answers} of {members} members",
        f"questions that wait for values: {len(state.targets)}",
    ]
    missing = _missing(state)
    if missing:
        parts.append(f"not here: {missing}")
    ask = state.asks.open
    if ask is not None:
        parts.append(f"values asked of {ask.node} {now_ms - ask.sent_ms} ms ago")
    return "; ".join(parts)


def _missing(state: State) -> str:
    """The values that the newest answer named and that are not here, with what is here."""
    if not state.targets:
        return ""
    said: list[str] = []
    for name, copy in state.targets[-1].copies.items():
        got = state.here.get(name)
        if copy.version and (got is None or not same_value(got.copy, copy)):
            said.append(f"{name} {copy.version} (here: {got.copy.version if got else 0})")
    return ", ".join(said)
