"""What may happen next in a world, as lines of text: a run is a list of them.

``deliver LABEL`` and ``repeat LABEL`` bring a frame (the second leaves it on its way),
``ask OP`` begins a client's ask, ``sync M`` ends a batch or a reopening, ``full M`` and
``full-late M`` refuse it (the second leaves it on the disk), ``restart M`` kills a process
before its batch and ``restart-late M`` after it, ``wipe M`` starts a blank disk at the same
address, ``leave M`` asks a process to stop, ``end M`` lets it once it may, ``join`` starts a
blank registry elsewhere, ``tick M MS`` moves a member's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase

from spokeroute.common.effects import From, Tick
from spokeroute.common.ids import Address, MemberId, Ms
from spokeroute.register.cells import unpack_roster
from spokeroute.register.changes import Ask
from spokeroute.register.disk.jobs import DiskWrite
from spokeroute.register.membership.leave import Leave, LeaveStatus
from spokeroute.transport import messages as m
from tools.model.disk import Disk
from tools.model.history import asked, left_whole
from tools.model.world import (
    TAKES,
    Frame,
    Member,
    World,
    boot,
    refused,
    run,
    synced,
    view,
    with_member,
)

BEAT_MS = 500
MOST_DRAWN = 9  # blank disks in a run


@dataclass(frozen=True, slots=True)
class ClientAsk:
    """An ask that a scenario's client brings to the member in a slot, once."""

    slot: int
    ask: Ask


Asks = dict[str, ClientAsk]


def label(frame: Frame) -> str:
    """A frame as a word of a script: enough to tell it from the others on their way."""
    name = type(frame.message).__name__
    return f"{frame.source}.{frame.incarnation}>{frame.to}:{name}({_said(frame.message)})"


def _said(message: object) -> str:
    match message:
        case m.Prepare(epoch, name, counter, member):
            return f"e{epoch},{name},{counter}.{member}"
        case m.Promise(epoch, name, counter, member, ok, bound, accepted):
            had = f"{accepted.counter}.{accepted.member}v{accepted.version}"
            return f"e{epoch},{name},{counter}.{member},{'ok' if ok else bound},{had}"
        case m.Accept(epoch, copy, _) | m.HandOver(epoch, copy, _):
            what = f"{copy.counter}.{copy.member}v{copy.version}#{copy.digest[:4]}"
            return f"e{epoch},{copy.name},{what}"
        case m.Accepted(epoch, name, counter, member, ok, bound):
            return f"e{epoch},{name},{counter}.{member},{'ok' if ok else bound}"
        case m.RosterNews(value):
            roster = unpack_roster(value)
            return f"e{roster.epoch},{'+'.join(roster.ids)}"
        case m.Heartbeat() as alive:
            votes = "votes" if alive.votes else "silent"
            return f"e{alive.epoch},{votes},{'+'.join(alive.hears)}"
        case m.CopyAsk(epoch, after):
            return f"e{epoch},{after}"
        case m.CopyPart(epoch, after, cells, last):
            held = "+".join(
                f"{c.accepted.name}@{c.accepted.counter}.{c.accepted.member}"
                f"/{c.promised_counter}.{c.promised_member}"
                for c in cells
            )
            return f"e{epoch},{after},{held},{last}"
    return ""


def slot_of(world: World, member: str) -> int | None:
    """The slot of a living member."""
    return next(
        (i for i, each in enumerate(world.members) if each.id == member and not each.ended), None
    )


def enabled(world: World, asks: Asks) -> list[str]:
    """All that may happen next, in a fixed order."""
    out = [f"ask {op}" for op in asks if world.budget.get(f"ask {op}", 0)]
    for frame in world.bag:
        if slot_of(world, frame.to) is None:
            continue
        word = label(frame)
        out.append(f"deliver {word}")
        if world.budget.get("repeat", 0):
            out.append(f"repeat {word}")
    for member in world.members:
        out.extend(_of_member(world, member))
    if world.budget.get("join", 0):
        out.append("join")
    return list(dict.fromkeys(out))


def _of_member(world: World, member: Member) -> list[str]:
    out: list[str] = []
    left = world.budget
    if member.ended:
        return out
    if left.get("leave", 0) and not member.membership.leaving:
        out.append(f"leave {member.id}")
    if _may_end(member):
        out.append(f"end {member.id}")
    if member.pending is not None:
        out.append(f"sync {member.id}")
        if left.get("full", 0):
            out.append(f"full {member.id}")
            if isinstance(member.pending, DiskWrite):
                out.append(f"full-late {member.id}")
        if left.get("restart", 0) and isinstance(member.pending, DiskWrite):
            out.append(f"restart-late {member.id}")
    if left.get("restart", 0):
        out.append(f"restart {member.id}")
    if left.get("wipe", 0):
        out.append(f"wipe {member.id}")
    if left.get("round", 0) and member.proposer.rounds:
        out.append(f"tick {member.id} round")
    if left.get("beat", 0):
        out.extend(f"tick {member.id} {ms}" for ms in (BEAT_MS, 3 * BEAT_MS))
    if left.get("silence", 0):
        out.append(f"tick {member.id} {world.bounds.catch_up_ms + BEAT_MS}")
    return out


def apply(world: World, action: str, asks: Asks) -> World | None:
    """The world after an action; None where it can't happen there. One with a ``*`` in it is the
    first of those that may happen and match.

    Example:
        apply(world, "restart m1", asks)
    """
    if "*" in action:
        action = next((a for a in enabled(world, asks) if fnmatchcase(a, action)), "")
    kind, _, rest = action.partition(" ")
    if kind in ("deliver", "repeat"):
        return _deliver(world, rest, kind == "repeat")
    if kind == "ask":
        return _ask(world, rest, asks)
    if kind == "join":
        return _join(world)
    name, _, more = rest.partition(" ")
    slot = slot_of(world, name)
    if slot is None:
        return None
    if kind == "tick":
        return _tick(world, slot, more)
    act = _ACTS.get(kind)
    return act(world, slot) if act is not None else None


def _spend(world: World, what: str) -> World | None:
    left = world.budget.get(what, 0)
    return replace(world, budget=world.budget.set(what, left - 1)) if left else None


def _deliver(world: World, word: str, keep: bool) -> World | None:
    frame = next((f for f in world.bag if label(f) == word), None)
    slot = slot_of(world, frame.to) if frame is not None else None
    if frame is None or slot is None:
        return None
    after = _spend(world, "repeat") if keep else world
    if after is None:
        return None
    if not keep:
        after = replace(after, bag=tuple(f for f in after.bag if f != frame))
    event = From(frame.source, frame.incarnation, frame.message)
    events = tuple((name, event) for name in TAKES.get(type(frame.message), ()))
    return run(after, slot, events)


def _ask(world: World, op: str, asks: Asks) -> World | None:
    after = _spend(world, f"ask {op}")
    if after is None or op not in asks:
        return None
    each = asks[op]
    after = replace(after, history=asked(after.history, each.ask))
    return run(after, each.slot, (("proposer", each.ask),))


def _sync(world: World, slot: int) -> World | None:
    return synced(world, slot) if world.members[slot].pending is not None else None


def _full(world: World, slot: int) -> World | None:
    after = _spend(world, "full")
    return refused(after, slot, False) if after and after.members[slot].pending else None


def _full_late(world: World, slot: int) -> World | None:
    after = _spend(world, "full")
    return refused(after, slot, True) if after and after.members[slot].pending else None


def _restart(world: World, slot: int) -> World | None:
    return _started(world, slot, world.members[slot].disk)


def _restart_late(world: World, slot: int) -> World | None:
    """The power goes after the batch was synced, and before anybody heard of it."""
    member = world.members[slot]
    if not isinstance(member.pending, DiskWrite):
        return None
    return _started(world, slot, member.disk.after(member.pending))


def _started(world: World, slot: int, disk: Disk) -> World | None:
    after = _spend(world, "restart")
    if after is None:
        return None
    member = world.members[slot]
    gone = [op for op, (ask, _) in after.history.asked.items() if ask.reply_to == "client"]
    mine = {op for op in gone if op in _open_asks(member)}
    asked_left = after.history.asked
    for op in mine:
        asked_left = asked_left.delete(op)
    after = replace(after, history=replace(after.history, asked=asked_left))
    disk = replace(disk, starts=disk.starts + 1)
    return boot(after, slot, member.id, member.address, disk, member.now_ms)


def _open_asks(member: Member) -> set[str]:
    open_now = {each.op.ask.op_id for each in member.proposer.rounds.values()}
    queued = {op.ask.op_id for ops in member.proposer.queue.values() for op in ops}
    return open_now | queued


def new_id(world: World, member: Member | None) -> MemberId:
    """A blank disk draws an id that nobody had."""
    first = "b" if "low" in world.budget else "n"  # before and after the others in the order of ids
    return MemberId(f"{first}{MOST_DRAWN + 1 - world.budget.get('drawn', MOST_DRAWN)}")


def _blank(world: World, slot: int, address: Address, old: Member | None) -> World | None:
    drawn = new_id(world, old)
    world = replace(
        world, budget=world.budget.set("drawn", world.budget.get("drawn", MOST_DRAWN) - 1)
    )
    now_ms = old.now_ms if old is not None else Ms(10_000)
    return boot(world, slot, drawn, address, Disk(), now_ms)


def _wipe(world: World, slot: int) -> World | None:
    after = _spend(world, "wipe")
    if after is None:
        return None
    member = after.members[slot]
    left = after.history.asked
    for op in _open_asks(member):
        left = left.delete(op) if op in left else left
    after = replace(after, history=replace(after.history, asked=left))
    return _blank(after, slot, member.address, member)


def _join(world: World) -> World | None:
    after = _spend(world, "join")
    if after is None:
        return None
    slot = len(after.members)
    return _blank(after, slot, Address(f"h{slot + 1}:1"), None)


def _leave(world: World, slot: int) -> World | None:
    after = _spend(world, "leave")
    return run(after, slot, (("membership", Leave()),)) if after is not None else None


def _may_end(member: Member) -> bool:
    """What the registry's process asks before it ends, without the time."""
    standing = member.membership.leave_status
    free = standing is LeaveStatus.MAY_STOP or (
        standing is LeaveStatus.HANDING_OVER and member.handover.done
    )
    return member.membership.leaving and member.pending is None and free


def _end(world: World, slot: int) -> World | None:
    member = world.members[slot]
    if not _may_end(member):
        return None
    staying = member.handover.members or ()
    disks = tuple(each.disk for each in world.members if each.id in staying)
    if member.membership.leave_status is LeaveStatus.HANDING_OVER and staying:
        left_whole(world.history, member.id, disks)
    return with_member(world, slot, replace(member, ended=True))


def _tick(world: World, slot: int, how: str) -> World | None:
    """Move a member's clock: to its proposer's next due, or on by so many milliseconds."""
    member = world.members[slot]
    if how == "round":
        if not member.proposer.rounds:
            return None
        now_ms = max(member.now_ms, _due_ms(member))
        actors: tuple[str, ...] = ("acceptor", "proposer")
        cost = "round"
    else:
        now_ms = Ms(member.now_ms + int(how))
        actors = ("acceptor", "proposer", "membership", "handover")
        cost = "silence" if int(how) > 3 * BEAT_MS else "beat"
    after = _spend(world, cost)
    if after is None:
        return None
    after = with_member(after, slot, replace(member, now_ms=now_ms))
    events: tuple[tuple[str, object], ...] = tuple((name, Tick()) for name in actors)
    if cost != "round":
        events = (("membership", view(after)), *events)
    return run(after, slot, events)


def _due_ms(member: Member) -> Ms:
    """When the proposer does something next: a round that waited begins, or one is given up."""
    due = [
        each.starts_ms
        if each.starts_ms > member.now_ms
        else min(each.retry_at_ms, each.op.deadline_ms)
        for each in member.proposer.rounds.values()
    ]
    return min(due)


_ACTS: dict[str, Callable[[World, int], World | None]] = {
    "sync": _sync,
    "full": _full,
    "full-late": _full_late,
    "restart": _restart,
    "restart-late": _restart_late,
    "wipe": _wipe,
    "leave": _leave,
    "end": _end,
}

__all__ = ["Asks", "ClientAsk", "apply", "enabled", "label"]
