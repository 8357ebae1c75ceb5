"""The model's world: members that are the product's own cores over a pure disk, and a bag of
frames that may be delivered in any order, twice, late or never.

Each member has a clock of its own, which moves only with its ticks: whatever holds here holds
for any speed of the clocks. A frame that is never delivered is a lost one. Worlds are values:
an action makes a new one (``tools.model.actions``), so that a search can go on from any.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.effects import From, Launch, Send, Tell
from spokeroute.common.ids import Address, Incarnation, MemberId, Ms, NodeId
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.acceptor import DiskDone, DiskFailed, DiskWrite
from spokeroute.register.disk.jobs import ReopenFailed, ReopenStore, StoreReopened
from spokeroute.register.membership import handover, membership
from spokeroute.register.proposer import proposer
from spokeroute.register.proposer.proposer import Settled
from spokeroute.transport import messages as m
from spokeroute.transport.messages import ViewEntry
from spokeroute.transport.peers import ViewNow
from tools.model.disk import Disk
from tools.model.history import History, answered, at_disk, chosen, copied, frame_taken, settled

CLIENT = "client"
CORES = ("acceptor", "proposer", "membership", "handover")
MOST_EVENTS = 500
TAKES: dict[type, tuple[str, ...]] = {
    m.Prepare: ("acceptor",),
    m.Accept: ("acceptor",),
    m.AcceptPatch: ("acceptor",),
    m.HandOver: ("acceptor",),
    m.CopyAsk: ("acceptor",),
    m.HeldAsk: ("acceptor",),
    m.HeldPart: ("handover",),
    m.Promise: ("proposer",),
    m.Accepted: ("proposer",),
    m.Heartbeat: ("proposer", "membership"),
    m.RosterNews: ("membership",),
    m.CopyPart: ("membership",),
}
"""Which cores take a frame, in the order in which the registry's process asks them."""


@dataclass(frozen=True, slots=True)
class Member:
    """One registry: its cores, its disk, the batch under way and its own clock."""

    id: MemberId
    address: Address
    disk: Disk
    now_ms: Ms
    acceptor: acceptor.State
    proposer: proposer.State
    membership: membership.State
    handover: handover.State
    pending: DiskWrite | ReopenStore | None = None
    ended: bool = False  # it left


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame on its way."""

    source: NodeId
    incarnation: Incarnation
    to: NodeId
    message: object


@dataclass(frozen=True, slots=True)
class World:
    """Everything: members by slot, frames, what may still happen, and what was seen."""

    members: tuple[Member, ...]
    bag: tuple[Frame, ...]
    budget: Map[str, int]
    history: History
    bounds: Bounds = Bounds()
    found: bool = False
    seeds: tuple[Address, ...] = ()
    syncs: bool = False  # whether a write is synced at once: no crash between

    @property
    def key(self) -> int:
        """The world's hash, by which a search knows it again; the bag's order doesn't count.

        Example:
            world.key == world.key
        """
        return hash((self.members, frozenset(self.bag), self.budget, self.history))


def boot(
    world: World, slot: int, member: MemberId, address: Address, disk: Disk, now_ms: Ms
) -> World:
    """The world after a registry started over a disk, as the registry's process starts it."""
    new = Member(
        member,
        address,
        disk,
        now_ms,
        acceptor.start(member, disk.roster, disk.votes, disk.cells),
        new_proposer(member, disk),
        membership.State(
            member,
            address,
            world.seeds,
            world.found,
            "",
            disk.roster,
            disk.votes,
            bounds=world.bounds,
        ),
        handover.State(member),
    )
    members = (*world.members[:slot], new, *world.members[slot + 1 :])
    world = replace(world, members=members)
    world = _stored(world, slot, disk)
    return run(world, slot, (("membership", view(world)),))


def view(world: World) -> ViewNow:
    """Who is there, as the members' shuffles bring it to each."""
    return ViewNow(
        tuple(
            ViewEntry(each.id, each.disk.starts, each.address, "registry", "", 0)
            for each in world.members
            if not each.ended
        )
    )


def new_proposer(member: MemberId, disk: Disk) -> proposer.State:
    """A proposer at its start."""
    return proposer.start(member, 1, disk.roster, disk.starts)


def run(world: World, slot: int, events: tuple[tuple[str, object], ...]) -> World:
    """Hand events to a member's cores, and carry out what they ask for until they rest."""
    waiting = deque(events)
    for _ in range(MOST_EVENTS):
        if not waiting:
            return world
        actor, event = waiting.popleft()
        if actor == CLIENT:
            assert isinstance(event, Settled)
            world = replace(world, history=settled(world.history, event))
            continue
        if actor not in CORES:
            continue
        world, effects = _step(world, slot, actor, event)
        for effect in effects:
            world = _carry(world, slot, actor, effect, waiting)
    raise AssertionError("a member's cores don't come to rest")


def _step(world: World, slot: int, actor: str, event: object) -> tuple[World, tuple[object, ...]]:
    member = world.members[slot]
    if actor == "acceptor":
        state, effects = acceptor.step(member.acceptor, event, member.now_ms)
        history = frame_taken(world.history, member.acceptor, state, event)
        world = replace(world, history=history)
        return with_member(world, slot, replace(member, acceptor=state)), effects
    if actor == "proposer":
        proposing, effects = proposer.step(member.proposer, event, member.now_ms)
        return with_member(world, slot, replace(member, proposer=proposing)), effects
    if actor == "handover":
        handing, effects = handover.step(member.handover, event, member.now_ms)
        return with_member(world, slot, replace(member, handover=handing)), effects
    if isinstance(event, From) and isinstance(event.message, m.CopyPart):
        history = copied(world.history, member.id, event.node, event.message)
        world = replace(world, history=history)
    steward, effects = membership.step(member.membership, event, member.now_ms)
    return with_member(world, slot, replace(member, membership=steward)), effects


def with_member(world: World, slot: int, member: Member) -> World:
    """The world with one member changed."""
    return replace(world, members=(*world.members[:slot], member, *world.members[slot + 1 :]))


def _carry(
    world: World, slot: int, actor: str, effect: object, waiting: deque[tuple[str, object]]
) -> World:
    member = world.members[slot]
    match effect:
        case Send(to, message):
            world = replace(world, history=answered(world.history, member.id, member.disk, message))
            incarnation = Incarnation(member.disk.starts)
            if to == member.id:
                for name in TAKES.get(type(message), ()):
                    waiting.append((name, From(member.id, incarnation, message)))
                return world
            frame = Frame(member.id, incarnation, to, message)
            known = any(each.id == to for each in world.members)
            return (
                replace(world, bag=(*world.bag, frame))
                if known and frame not in world.bag
                else world
            )
        case Tell(name, event):
            waiting.append((name, event))
        case Launch(job):
            assert isinstance(job, DiskWrite | ReopenStore) and member.pending is None
            if not world.syncs or isinstance(job, ReopenStore):
                return with_member(world, slot, replace(member, pending=job))
            waiting.append((actor, DiskDone(job.batch)))
            return _stored(world, slot, member.disk.after(job))
    return world


def synced(world: World, slot: int) -> World:
    """A member's batch is on its disk, or its store is open again, and its process hears of it."""
    member = world.members[slot]
    assert member.pending is not None
    if isinstance(member.pending, ReopenStore):
        disk = member.disk
        world = with_member(world, slot, replace(member, pending=None))
        found = StoreReopened(disk.roster, disk.votes, disk.cells)
        return run(world, slot, (("acceptor", found),))
    batch = member.pending.batch
    world = _stored(world, slot, member.disk.after(member.pending))
    return run(world, slot, (("acceptor", DiskDone(batch)),))


def _stored(world: World, slot: int, disk: Disk) -> World:
    member = world.members[slot]
    world = with_member(world, slot, replace(member, disk=disk, pending=None))
    return replace(world, history=at_disk(world.history, member.id, disk))


def agreed(world: World) -> World:
    """What a reader takes for chosen, should it ask all members now: one ballot at a majority
    of the members of one epoch, as they answer a probe."""
    probe = From(NodeId("reader"), Incarnation(1), m.Probe(1, 0, (), (), (), (), False, (), -1))
    acks: dict[MemberId, m.ProbeAck] = {}
    for member in world.members:
        if member.ended:
            continue
        for effect in acceptor.step(member.acceptor, probe, member.now_ms)[1]:
            if isinstance(effect, Send) and isinstance(effect.message, m.ProbeAck):
                acks[member.id] = effect.message
    history = world.history
    for epoch in sorted({ack.epoch for ack in acks.values()}):
        roster = history.rosters[epoch]
        named = [
            c for i in roster.ids if i in acks and acks[i].epoch == epoch for c in acks[i].copies
        ]
        for copy in dict.fromkeys(named):
            if copy.version and named.count(copy) >= roster.majority:
                history = chosen(history, copy.name, copy.version, copy.digest)
    return replace(world, history=history)


def refused(world: World, slot: int, there: bool) -> World:
    """A member's disk is full, and its process hears of it. The batch is not on the disk, or it
    is there all the same: a failed write says neither."""
    member = world.members[slot]
    event: object = DiskFailed("full")
    if isinstance(member.pending, ReopenStore):
        event = ReopenFailed("full")
    elif member.pending is not None and there:
        world = _stored(world, slot, member.disk.after(member.pending))
    world = with_member(world, slot, replace(world.members[slot], pending=None))
    return run(world, slot, (("acceptor", event),))
