"""The operator's controller: applies, reads and evacuations, as asks to the proposer."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace

from immutables import Map

from spokeroute.dial.effects import Effects, Reply, SlotId, Tell
from spokeroute.dial.ids import DESIRED_STATE, EVACUATION, Ms
from spokeroute.dial.verdict import Verdict, problem
from spokeroute.dispatch.desired import unpackDesired
from spokeroute.dispatch.floor import Mark, unpackEvacuated
from spokeroute.register.proposer import Ask, Read, Settled, Swap

ASK_MS = 4_000


@dataclass(frozen=True, slots=True)
class Apply:
    """Make this the desired state, if the register stands at ``expect`` (-1: as it is now)."""

    slot: SlotId
    value: bytes
    digest: str
    expect: int


@dataclass(frozen=True, slots=True)
class Show:
    """Read the desired state whole and newest."""

    slot: SlotId


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Empty a locality, or restore it."""

    slot: SlotId
    locality: str
    out: bool


@dataclass(frozen=True, slots=True)
class ShowEvacuated:
    """Read the evacuated localities."""

    slot: SlotId


OperatorAsk = Apply | Show | Evacuate | ShowEvacuated


@dataclass(frozen=True, slots=True)
class State:
    """Operator requests on their way."""

    me: str
    open: Map[str, OperatorAsk] = field(default_factory=Map)
    draws: int = 0


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The operator's core.

    Example:
        state, effects = step(state, Show(slot), nowMs)
    """
    match event:
        case Apply(_, value, _, expect) as ask:
            change = Swap(expect, value) if expect >= 0 else Read()
            return _ask(state, ask, DESIRED_STATE, change)
        case Show() as ask:
            return _ask(state, ask, DESIRED_STATE, Read())
        case Evacuate(_, locality, out) as ask:
            return _ask(state, ask, EVACUATION, Mark(locality, out))
        case ShowEvacuated() as ask:
            return _ask(state, ask, EVACUATION, Read())
        case Settled() as got if got.opId in state.open:
            ask_ = state.open[got.opId]
            state = replace(state, open=state.open.delete(got.opId))
            if got.outcome != "done":
                return state, (Reply(ask_.slot, _failed(got)),)
            if isinstance(ask_, Apply) and ask_.expect < 0:
                return step(state, replace(ask_, expect=got.version), nowMs)
            return state, (Reply(ask_.slot, _done(ask_, got)),)
    return state, ()


def _ask(
    state: State, ask: OperatorAsk, register: str, change: Swap | Read | Mark
) -> tuple[State, Effects]:
    opId = f"operator/{state.me}/{state.draws}"
    state = replace(state, open=state.open.set(opId, ask), draws=state.draws + 1)
    return state, (Tell("proposer", Ask(opId, register, change, "operator", ASK_MS)),)


def _json(status: int, doc: object, version: int) -> Verdict:
    headers = (("Content-Type", "application/json"), ("ETag", f'"{version}"'))
    return Verdict(status, headers, json.dumps(doc).encode())


def _failed(got: Settled) -> Verdict:
    if got.outcome == "unsure":
        return problem(
            504, "the outcome is unknown", got.reason,
            "read it back with `spokeroute desk show`, and apply again if it is not there",
            {"kind": "unsure"},
        )  # fmt: skip
    return problem(
        503, "no majority of the core answered", got.reason,
        "bring the silent members back, or start a blank registry in their place; nothing changed",
        {"kind": "no_majority"}, (("Retry-After", "2"),),
    )  # fmt: skip


def _done(ask: OperatorAsk, got: Settled) -> Verdict:
    match ask:
        case Apply(_, value, digest, expect):
            if got.wrote and got.value == value:
                doc = {"version": got.version, "digest": digest}
                return _json(200, doc, got.version)
            return problem(
                409, "the desired state is at another version",
                f"you expected version {expect}; it stands at {got.version}",
                "look at what rules with `spokeroute desk show`, and apply with --if-version "
                f"{got.version}",
                {"kind": "conflict", "version": got.version},
            )  # fmt: skip
        case Show():
            if not got.version:
                return problem(
                    404, "no desired state yet", "none was ever applied",
                    "apply one with `spokeroute desk apply`",
                )  # fmt: skip
            configuration, _ = unpackDesired(got.value)
            return _json(200, {"version": got.version, "configuration": configuration}, got.version)
        case Evacuate() | ShowEvacuated():
            names = sorted(unpackEvacuated(got.value))
            return _json(200, {"version": got.version, "evacuated": names}, got.version)
