"""API keys that are withdrawn while calls wait: the calls end before they reach an instance."""

from __future__ import annotations

from spokeroute.common.answers import Kind
from spokeroute.common.effects import Effects, Send
from spokeroute.exchange.authentication import tenant_of
from spokeroute.exchange.call_state import State
from spokeroute.exchange.types import Call
from spokeroute.transport.call_messages import ForwardDrop

WITHDRAWAL_REASONS = {
    Kind.NO_KEY: "its key was withdrawn",
    Kind.NOT_FRESH: "its key is another tenant's now",
}


def key_fault(state: State, call: Call) -> Kind | None:
    """Why a call may not be sent any more by the newest tables; None if it may. A call whose key
    now belongs to another tenant may be repeated by the caller, on behalf of that tenant.

    Example:
        key_fault(state, call) is None
    """
    table = state.tables.table
    if table is None:
        return None
    found = tenant_of(table, call.route, call.request.credential)
    if found is None:
        return Kind.NO_KEY
    return None if found.name == call.tenant else Kind.NOT_FRESH


def recall_withdrawn(state: State) -> Effects:
    """Ask holders to give back the calls whose keys a newer configuration withdrew, if they are
    still queued.

    Example:
        effects = recall_withdrawn(state)
    """
    return tuple(
        Send(attempt.holder, ForwardDrop(attempt_id, queued_only=True))
        for call in state.calls.values()
        if call.attempts and key_fault(state, call) is not None
        for attempt_id, attempt in call.attempts.items()
    )
