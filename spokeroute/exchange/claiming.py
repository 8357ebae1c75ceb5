"""A keyed once-only call and its claim, seen from the entry."""

from __future__ import annotations

from spokeroute.dial.verdict import Kind, Ran, Verdict, refusal
from spokeroute.exchange.types import Call
from spokeroute.trunk.messages import ClaimAsk, ClaimGot


def askClaim(call: Call, opId: str, to: str) -> ClaimAsk:
    """The ask for a core node: ``claim``, ``free``, or what is known at the end.

    Example:
        askClaim(call, "op", "claim").key == call.ask.key
    """
    return ClaimAsk(opId, call.ask.key, call.fingerprint, call.ask.callId, to)


def claimGot(call: Call, got: ClaimGot) -> Verdict:
    """The refusal for a call whose key another call has.

    Example:
        claimGot(call, got).status in (409, 422)
    """
    if got.fingerprint and got.fingerprint != call.fingerprint:
        return refusal(Kind.KEY_BODY, Ran.NO, "this send did not run", known=got.known)
    return refusal(Kind.KEY_TAKEN, Ran.NO, "this send did not run", known=got.known)


def freeThen(call: Call) -> Verdict:
    """The refusal that waited for its claim to be freed.

    Example:
        freeThen(call).status == 503
    """
    name, _, why = call.why.partition("|")
    return refusal(Kind[name], Ran.NO, why)
