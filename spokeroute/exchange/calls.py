"""The entry: every call from its reading to its one verdict.

A call's continuation lies in its slot. It is claimed (a keyed once-only call), held until
there is an instance, tried, and answered. Once-only calls go on only where the last try
proved that it did not run.
"""

from __future__ import annotations

from dataclasses import replace

from spokeroute.dial.effects import Effect, Effects, From, Reply, Send, Tick
from spokeroute.dial.ids import Ms, NodeId
from spokeroute.dial.verdict import Kind, Ran, Verdict, refusal
from spokeroute.exchange import filters
from spokeroute.exchange.claiming import askClaim, claimGot, freeThen
from spokeroute.exchange.entry import HeldNow, State, endTry, put, report, shun
from spokeroute.exchange.pick import pick, usable
from spokeroute.exchange.types import (
    Call,
    CallerGone,
    CallIn,
    LinkDown,
    Stopping,
    Try,
    freshTables,
)
from spokeroute.register.copies import Fresh
from spokeroute.trunk.colleagues import ViewNow
from spokeroute.trunk.messages import (
    ClaimGot,
    Ferried,
    Ferry,
    FerryDrop,
    Lists,
    Took,
)

HOLD_MS = 30
SHUN_MS = 60
LOST_SHUN_MS = 1_000
END_MARGIN_MS = 40
SECOND_MIN_MS = 100
CLAIM_RETRY_MS = 300
FREE_WAIT_MS = 800
OWN_HEADERS = ("spokeroute-ran", "spokeroute-try", "spokeroute-instance")


def step(state: State, event: object, nowMs: Ms) -> tuple[State, Effects]:
    """The entry's core.

    Example:
        state, effects = step(state, CallIn(...), nowMs)
    """
    match event:
        case CallIn() as ask:
            return _taken(state, ask, nowMs)
        case Tick():
            return _tick(state, nowMs)
        case From(_, _, Ferried() as ferried):
            return _ferried(state, ferried, nowMs)
        case From(_, _, ClaimGot() as got):
            return _claim(state, got, nowMs)
        case From(_, _, Lists() as lists):
            old = state.lists
            if old and (lists.term, lists.sequence) < (old.term, old.sequence):
                return state, ()
            return replace(state, lists=lists, listsMs=Ms(nowMs - lists.ageMs)), ()
        case Fresh() as fresh:
            state = replace(state, tables=freshTables(state.tables, fresh))
            return _lostHolders(state, nowMs) if fresh.changed else (state, ())
        case LinkDown(node):
            return _linkDown(state, node, nowMs)
        case CallerGone(slot):
            call = state.calls.get(slot.index)
            if call and call.ask.slot == slot and call.goneMs < 0:
                drops = tuple(
                    Send(NodeId(t.holder), FerryDrop(name)) for name, t in call.tries.items()
                )
                return put(state, replace(call, goneMs=nowMs)), drops
        case ViewNow(known):
            found = tuple(NodeId(e.node) for e in known if e.role == "registry")
            return replace(state, registries=found), ()
        case HeldNow(held, leaving, busy):
            return replace(state, held=held, leaving=leaving, busy=busy), ()
        case Stopping():
            return replace(state, stopping=True), ()
    return state, ()


def _taken(state: State, ask: CallIn, nowMs: Ms) -> tuple[State, Effects]:
    def openOf(service: str) -> int:
        return sum(1 for c in state.calls.values() if c.service.name == service)

    got = filters.run(
        filters.Draft(
            ask, state.tables, nowMs, state.stopping, len(state.calls), openOf, state.buckets
        )
    )
    if isinstance(got, Verdict):
        return replace(state, verdicts=state.verdicts + 1), (Reply(ask.slot, got),)
    assert got.lane is not None and got.service is not None
    call = Call(
        ask, got.lane, got.service, nowMs, Ms(nowMs + got.waitMs), "holding", nowMs,
        once=not got.lane.repeatable or ask.key != "",
    )  # fmt: skip
    name = call.service.name
    state = replace(
        state, buckets=got.buckets, arrived=state.arrived.set(name, state.arrived.get(name, 0) + 1)
    )
    if ask.key:
        call = replace(call, phase="claiming", fingerprint=filters.fingerprint(ask))
        return _ask(state, call, "claim", nowMs)
    return _send(state, call, nowMs)


def _ask(state: State, call: Call, to: str, nowMs: Ms) -> tuple[State, Effects]:
    opId = f"{call.ask.callId}/{to}/{state.draws}"
    state = replace(state, draws=state.draws + 1)
    call = replace(call, claimOp=opId, claimMs=nowMs, claimAsks=call.claimAsks + 1)
    state = replace(put(state, call), opOf=state.opOf.set(opId, call.ask.slot.index))
    registries = state.registries
    if not registries:
        return state, ()
    first = sum(call.ask.callId.encode())  # each ask goes to the next registry
    node = registries[(first + call.claimAsks) % len(registries)]
    return state, (Send(node, askClaim(call, opId, to, nowMs)),)


def _claim(state: State, got: ClaimGot, nowMs: Ms) -> tuple[State, Effects]:
    call = state.calls.get(state.opOf.get(got.opId, -1))
    state = replace(
        state, opOf=state.opOf.delete(got.opId) if got.opId in state.opOf else state.opOf
    )
    if call is None or call.claimOp != got.opId:
        return state, ()
    if call.phase == "freeing":
        return _answer(state, call, freeThen(call), nowMs)
    if call.phase != "claiming":
        return state, ()
    if got.reason:
        return _ask(state, call, "claim", nowMs)
    if got.won:
        return _send(state, replace(call, phase="holding", claimed=True), nowMs)
    return _answer(state, call, claimGot(call, got), nowMs)


def _send(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    """Pick an instance and ferry the call to its holder, or hold it."""
    if not state.tables.fresh(nowMs):
        return _refuse(state, call, Kind.NOT_FRESH, "", nowMs)
    picked = pick(
        call, state.tables, state.lists, state.listsMs, state.outstanding, state.shunnedMs,
        state.me, nowMs,
    )  # fmt: skip
    if picked is None:
        if call.touched and not call.tries and call.maybe:
            return _unknown(state, call, nowMs)
        held = replace(call, phase="holding", nextMs=Ms(nowMs + HOLD_MS))
        return put(state, held), ()
    placed = picked.placed
    name = call.service.name
    budget = state.budget
    if call.touched and placed.id not in call.touched:
        if not budget.allows(name, nowMs):
            if call.maybe:
                return _unknown(state, call, nowMs)
            why = f"{call.why}; the share of second sends is spent"
            return _refuse(state, call, Kind.UNREACHED, why, nowMs)
        budget = budget.second(name, nowMs)
        state = _tookNote(state, call, placed.id, picked.rule, nowMs)
    elif not call.failed and not call.tries and call.draws == 0:
        budget = budget.first(name, nowMs)
    tryId = f"{call.ask.callId}.{call.draws}"
    each = Try(placed.id, placed.worker, placed.holder, placed.holderIncarnation, nowMs)
    call = replace(
        call, phase="trying", draws=call.draws + 1, tries=call.tries.set(tryId, each),
        nextMs=Ms(nowMs + call.service.longestRunMs + 300),
    )  # fmt: skip
    ask = call.ask
    path = f"{ask.path}?{ask.query}" if ask.query else ask.path
    ferry = Ferry(
        tryId, name, placed.id, placed.holderIncarnation, ask.method, path, ask.headers,
        ask.body, max(0, call.deadlineMs - nowMs),
    )  # fmt: skip
    count = state.outstanding.get(placed.id, 0) + 1
    state = replace(
        put(state, call),
        budget=budget,
        tryOf=state.tryOf.set(tryId, ask.slot.index),
        outstanding=state.outstanding.set(placed.id, count),
    )
    return state, (Send(NodeId(placed.holder), ferry),)


def _tookNote(state: State, call: Call, taken: str, rule: str, nowMs: Ms) -> State:
    """The ledger hears which successor was taken, by which rule, and whose list."""
    lists = state.lists
    lost = call.failed[-1].instance if call.failed else ""
    note = Took(
        f"{call.ask.callId}.{call.draws}", call.service.name, lost, taken, rule,
        lists.term if lists else 0, lists.sequence if lists else 0,
    )  # fmt: skip
    return replace(state, took=(*state.took, (nowMs, note)))


def _ferried(state: State, got: Ferried, nowMs: Ms) -> tuple[State, Effects]:
    state, call, each = endTry(state, got.tryId)
    if call is None or each is None:
        return state, ()
    if got.ran == "yes":
        kept = tuple(h for h in got.headers if h[0].lower() not in OWN_HEADERS)
        return _answer(state, call, Verdict(got.status, kept, got.body), nowMs)
    if got.ran == "no":
        dialled = got.reason.startswith("unreached")
        down = dialled or got.reason.startswith("down")
        shunMs = LOST_SHUN_MS if down else SHUN_MS
        state = replace(state, shunnedMs=shun(state.shunnedMs, each.instance, nowMs, shunMs))
        call = replace(call, why=got.reason)
        if dialled:
            call = replace(
                call, failed=(*call.failed, each), touched=call.touched | {each.instance}
            )
        return _goOn(state, call, nowMs)
    return _mayHaveRun(state, call, each, got.reason, nowMs)


def _mayHaveRun(state: State, call: Call, each: Try, why: str, nowMs: Ms) -> tuple[State, Effects]:
    call = replace(
        call, maybe=True, why=why, failed=(*call.failed, each),
        touched=call.touched | {each.instance},
    )  # fmt: skip
    state = replace(state, shunnedMs=shun(state.shunnedMs, each.instance, nowMs, SHUN_MS))
    return _goOn(put(state, call), call, nowMs)


def _goOn(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    """After a try without a verdict: a successor, a wait, or the truth at once."""
    if call.tries:
        return put(state, call), ()
    if call.goneMs >= 0 or nowMs >= call.deadlineMs - END_MARGIN_MS:
        return _end(state, call, nowMs)
    if call.maybe:
        if call.once or call.deadlineMs - nowMs < SECOND_MIN_MS:
            return _unknown(state, call, nowMs)
        return _send(state, call, nowMs)
    if call.touched:
        return _send(state, call, nowMs)
    held = replace(call, phase="holding", nextMs=Ms(nowMs + HOLD_MS))
    return put(state, held), ()


def _unknown(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    why = call.why
    kind = Kind.BAD_ANSWER if why.startswith("bad answer") else Kind.UNKNOWN
    if why.startswith("lost"):
        kind = Kind.LOST
    return _answer(state, call, refusal(kind, Ran.MAYBE, why), nowMs)


def _refuse(state: State, call: Call, kind: Kind, why: str, nowMs: Ms) -> tuple[State, Effects]:
    """Not run: a claim is freed before that is said."""
    if call.maybe or call.tries:
        return _unknown(state, call, nowMs)
    if call.ask.key and call.phase != "freeing" and (call.claimed or call.phase == "claiming"):
        call = replace(call, phase="freeing", why=f"{kind.name}|{why}", nextMs=nowMs)
        return _ask(state, call, "free", nowMs)
    return _answer(state, call, refusal(kind, Ran.NO, why), nowMs)


def _end(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    """The wait is over."""
    if call.tries:
        drops = tuple(Send(NodeId(t.holder), FerryDrop(n)) for n, t in call.tries.items())
        call = replace(call, why=call.why or "no answer within the wait")
        state, effects = _unknown(state, call, nowMs)
        return state, (*drops, *effects)
    if call.maybe:
        return _unknown(state, call, nowMs)
    kind = Kind.NO_CORE if call.phase == "claiming" else Kind.NO_ROOM
    return _refuse(state, call, kind, call.why, nowMs)


def _answer(state: State, call: Call, verdict: Verdict, nowMs: Ms) -> tuple[State, Effects]:
    """The one verdict; the slot is free after it."""
    for tryId in call.tries:
        state, _, _ = endTry(state, tryId)
    effects: list[Effect] = []
    if call.claimed and call.phase != "freeing" and state.registries:
        known = "may have run" if verdict.status in (502, 504) else f"ended {verdict.status}"
        opId = f"{call.ask.callId}/end/{state.draws}"
        effects.append(Send(state.registries[0], askClaim(call, opId, known, nowMs)))
    state = replace(
        state,
        calls=state.calls.delete(call.ask.slot.index),
        verdicts=state.verdicts + 1,
        draws=state.draws + 1,
    )
    return state, (Reply(call.ask.slot, verdict), *effects)


def _lostHolders(state: State, nowMs: Ms) -> tuple[State, Effects]:
    """A try whose instance has another holder, or none, gets no answer from the old one."""
    effects: list[Effect] = []
    byId = state.tables.byId
    for call in list(state.calls.values()):
        for tryId, each in list(call.tries.items()):
            placed = byId.get(each.instance)
            moved = placed is not None and (
                (placed.holder, placed.holderIncarnation) != (each.holder, each.holderIncarnation)
            )
            if moved:
                state, more = _loseTry(state, tryId, "lost: the instance's holder is gone", nowMs)
                effects.extend(more)
    return state, tuple(effects)


def _loseTry(state: State, tryId: str, why: str, nowMs: Ms) -> tuple[State, Effects]:
    state, call, each = endTry(state, tryId)
    if call is None or each is None:
        return state, ()
    return _mayHaveRun(state, call, each, why, nowMs)


def _linkDown(state: State, node: str, nowMs: Ms) -> tuple[State, Effects]:
    effects: list[Effect] = []
    for call in list(state.calls.values()):
        for tryId, each in list(call.tries.items()):
            if each.holder == node:
                state, more = _loseTry(state, tryId, "lost: the holder's link broke", nowMs)
                effects.extend(more)
    shunned = state.shunnedMs
    for placed in state.tables.floor.instances:
        if placed.holder == node:
            shunned = shun(shunned, placed.id, nowMs, LOST_SHUN_MS)
    return replace(state, shunnedMs=shunned), tuple(effects)


def _tick(state: State, nowMs: Ms) -> tuple[State, Effects]:
    effects: list[Effect] = []
    for index in list(state.calls):
        call = state.calls.get(index)
        if call is None:
            continue
        state, more = _wake(state, call, nowMs)
        effects.extend(more)
    if nowMs >= state.reportMs:
        state, said = report(state, nowMs)
        effects.append(said)
    return state, tuple(effects)


def _wake(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    if call.phase == "freeing":
        if nowMs - call.nextMs >= FREE_WAIT_MS or nowMs >= call.deadlineMs:
            return _answer(state, call, freeThen(call), nowMs)
        return state, ()
    if nowMs >= call.deadlineMs - END_MARGIN_MS:
        return _end(state, call, nowMs)
    if call.goneMs >= 0 and not call.tries:
        return _end(state, call, nowMs)
    if call.phase == "claiming" and nowMs - call.claimMs >= CLAIM_RETRY_MS:
        return _ask(state, call, "claim", nowMs)
    if call.phase == "holding" and nowMs >= call.nextMs:
        return _send(state, call, nowMs)
    if call.phase == "trying" and not call.once and nowMs >= call.nextMs and call.tries:
        return _hedge(state, call, nowMs)
    return state, ()


def _hedge(state: State, call: Call, nowMs: Ms) -> tuple[State, Effects]:
    """A repeatable call's answer is overdue: a successor gets it while the share lasts."""
    call = replace(call, nextMs=call.deadlineMs)
    state = put(state, call)
    if not state.budget.allows(call.service.name, nowMs):
        return state, ()
    overdue = tuple(call.tries.values())
    touched = call.touched | {t.instance for t in overdue}
    maybe = replace(call, failed=(*call.failed, *overdue), touched=touched, maybe=True)
    here = state.tables.byService.get(call.service.name, ())
    if not any(p.id not in touched and usable(p, state.tables) and p.warm for p in here):
        return state, ()
    if not state.tables.fresh(nowMs):
        return state, ()
    return _send(state, maybe, nowMs)
