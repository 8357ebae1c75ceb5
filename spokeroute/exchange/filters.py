"""The filter chain that every call goes through before it is taken in.

Each filter is a pure function of the draft and the tables: it passes the draft on, or
gives the refusal. The order: lane, wait, key, rate, freshness, admission.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from immutables import Map

from spokeroute.dial.ids import Ms
from spokeroute.dial.verdict import Kind, Ran, Verdict, refusal
from spokeroute.dispatch.desired import Lane, Service
from spokeroute.exchange.types import CallIn, Tables

MIN_WAIT_MS = 50
MAX_WAIT_MS = 60_000
MAX_BODY_BYTES = 256 * 1024
MAX_CALLS = 400
MAX_PER_SERVICE = 160
MAX_AGENTS = 20_000
MAX_KEY_CHARS = 128
RATE_BURST = 2.0

Buckets = Map[tuple[str, str], tuple[float, int]]


@dataclass(frozen=True, slots=True)
class Draft:
    """A call on its way through the chain, with what the filters look at."""

    ask: CallIn
    tables: Tables
    nowMs: Ms
    stopping: bool
    open: int
    openOfService: Callable[[str], int]
    buckets: Buckets
    lane: Lane | None = None
    service: Service | None = None
    waitMs: int = 0


Filter = Callable[[Draft], Draft | Verdict]


def fresh(draft: Draft) -> Draft | Verdict:
    """Only copies proved newest decide.

    Example:
        fresh(draft) is draft
    """
    if draft.stopping:
        return refusal(Kind.STOPPING)
    if not draft.tables.fresh(draft.nowMs):
        return refusal(Kind.NOT_FRESH)
    return draft


def lane(draft: Draft) -> Draft | Verdict:
    """Match the lane and its methods.

    Example:
        lane(draft).lane.path
    """
    table = draft.tables.table
    found = table.lane(draft.ask.path) if table else None
    if table is None or found is None:
        return refusal(Kind.NO_LANE, reason=f"no lane matches {draft.ask.path[:200]}")
    if draft.ask.method not in found.methods:
        allow = (("Allow", ", ".join(found.methods)),)
        return refusal(Kind.METHOD, headers=allow)
    return replace(draft, lane=found, service=table.services[found.service])


def wait(draft: Draft) -> Draft | Verdict:
    """The caller's wait, less what it already spent in line.

    Example:
        wait(draft).waitMs
    """
    raw = draft.ask.wait
    if not raw.isascii() or not raw.isdigit() or not MIN_WAIT_MS <= int(raw) <= MAX_WAIT_MS:
        return refusal(Kind.BAD_WAIT, reason=f"Spokeroute-Wait-Ms was {raw[:40]!r}")
    leftMs = int(raw) - draft.ask.waitedMs
    if leftMs < MIN_WAIT_MS:
        return refusal(Kind.NO_ROOM, reason="the wait was over before the call could start")
    return replace(draft, waitMs=leftMs)


def key(draft: Draft) -> Draft | Verdict:
    """The once-rule: a key must be well-formed; the body within its bound.

    Example:
        key(draft) is draft
    """
    name = draft.ask.key
    if name and (len(name) > MAX_KEY_CHARS or not name.isprintable() or " " in name):
        return refusal(Kind.BAD_KEY)
    if len(draft.ask.body) > MAX_BODY_BYTES:
        return refusal(Kind.TOO_LARGE)
    return draft


def rate(draft: Draft) -> Draft | Verdict:
    """A bucket for each user agent and lane.

    Example:
        rate(draft).buckets
    """
    assert draft.lane is not None
    perS = draft.lane.perAgentPerS
    burst = max(1.0, perS * RATE_BURST)
    name = (draft.ask.agent, draft.lane.path)
    buckets = draft.buckets
    tokens, atMs = buckets.get(name, (burst, draft.nowMs))
    tokens = min(burst, tokens + perS * (draft.nowMs - atMs) / 1000.0)
    if tokens < 1.0:
        waitS = max(1, round((1.0 - tokens) / perS + 0.5))
        return refusal(Kind.TOO_FAST, retryAfterS=waitS)
    if len(buckets) >= MAX_AGENTS and name not in buckets:
        buckets = Map()
    return replace(draft, buckets=buckets.set(name, (tokens - 1.0, draft.nowMs)))


def room(draft: Draft) -> Draft | Verdict:
    """Bounded: what is past a bound is refused at once.

    Example:
        room(draft) is draft
    """
    assert draft.lane is not None
    if draft.open >= MAX_CALLS:
        return refusal(Kind.OVERLOAD, Ran.NO, "this exchange holds as many calls as it may")
    if draft.openOfService(draft.lane.service) >= MAX_PER_SERVICE:
        return refusal(Kind.NO_ROOM, Ran.NO, "too many calls wait for this service")
    return draft


CHAIN: tuple[Filter, ...] = (fresh, lane, wait, key, rate, room)


def run(draft: Draft) -> Draft | Verdict:
    """The whole chain.

    Example:
        run(draft)
    """
    for each in CHAIN:
        got = each(draft)
        if isinstance(got, Verdict):
            return got
        draft = got
    return draft


def fingerprint(ask: CallIn) -> str:
    """What tells two calls with one key apart.

    Example:
        len(fingerprint(ask)) == 32
    """
    text = f"{ask.method}\n{ask.path}\n{ask.query}\n".encode() + ask.body
    return hashlib.sha256(text).hexdigest()[:32]
