"""Claims: one register a once-only key, won by one call, never by two."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effects, From, Send, Tell
from spokeroute.dial.ids import Ms, NodeId, claimRegister
from spokeroute.register.proposer import Ask, Settled
from spokeroute.trunk.messages import ClaimAsk, ClaimGot


@dataclass(frozen=True, slots=True)
class Claim:
    """What a claim's register holds."""

    standing: str  # claimed, freed or ended
    callId: str
    fingerprint: str
    known: str


def pack(claim: Claim) -> bytes:
    """A claim as a register's value.

    Example:
        >>> unpack(pack(Claim("claimed", "c", "f", ""))).callId
        'c'
    """
    return json.dumps([claim.standing, claim.callId, claim.fingerprint, claim.known]).encode()


def unpack(value: bytes) -> Claim:
    """A register's value as a claim.

    Example:
        >>> unpack(b'["freed","c","f",""]').standing
        'freed'
    """
    standing, callId, fingerprint, known = json.loads(value)
    return Claim(standing, callId, fingerprint, known)


@dataclass(frozen=True, slots=True)
class Win:
    """Claim the key for a call: only where none holds it.

    A freed claim never goes back to the call that freed it, so a late repeat of an old
    ask can't claim again.

    Example:
        Win("c1", "f").decide(0, b"") is not None
    """

    callId: str
    fingerprint: str

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The claim, if it may be won.

        Example:
            Win("c1", "f").decide(1, pack(Claim("claimed", "c0", "f", ""))) is None
        """
        if version:
            now = unpack(value)
            if now.standing != "freed" or now.callId == self.callId:
                return None
        return pack(Claim("claimed", self.callId, self.fingerprint, "in progress"))


@dataclass(frozen=True, slots=True)
class Close:
    """Free or end a call's own claim.

    Example:
        Close("c1", "freed", "").decide(0, b"") is not None
    """

    callId: str
    standing: str
    known: str

    def decide(self, version: int, value: bytes) -> bytes | None:
        """The closed claim, if it is this call's own; a free also bars a late claim.

        Example:
            Close("c1", "ended", "200").decide(1, pack(Claim("claimed", "c0", "f", ""))) is None
        """
        if not version:
            if self.standing != "freed":
                return None
            return pack(Claim("freed", self.callId, "", ""))
        now = unpack(value)
        if now.callId != self.callId or now.standing != "claimed":
            return None
        return pack(Claim(self.standing, self.callId, now.fingerprint, self.known))


@dataclass(frozen=True, slots=True)
class State:
    """Asks on their way, and who waits for them."""

    waiting: Map[str, tuple[NodeId, ClaimAsk]] = field(default_factory=Map)


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The claims' controller.

    Example:
        state, effects = step(State(), From(node, incarnation, ask), nowMs)
    """
    match event:
        case From(node, _, ClaimAsk() as ask):
            if ask.opId in state.waiting:
                return state, ()
            change: Win | Close
            if ask.to == "claim":
                change = Win(ask.callId, ask.fingerprint)
            elif ask.to == "free":
                change = Close(ask.callId, "freed", "")
            else:
                change = Close(ask.callId, "ended", ask.to)
            state = replace(state, waiting=state.waiting.set(ask.opId, (node, ask)))
            op = Ask(ask.opId, claimRegister(ask.key), change, "claims", 2000)
            return state, (Tell("proposer", op),)
        case Settled(opId, _, outcome, _, value, _, reason) if opId in state.waiting:
            node, ask = state.waiting[opId]
            state = replace(state, waiting=state.waiting.delete(opId))
            if outcome != "done":
                got = ClaimGot(opId, False, "", "", "", reason or outcome)
                return state, (Send(node, got),)
            now = unpack(value) if value else Claim("freed", "", "", "")
            won = now.callId == ask.callId and (
                now.standing == "claimed" if ask.to == "claim" else now.standing != "claimed"
            )
            got = ClaimGot(opId, won, now.fingerprint, now.callId, now.known, "")
            return state, (Send(node, got),)
    return state, ()
