"""One process: pykka actors that all run on one loop, and the effects they ask for.

pykka leaves an actor's inbox, future and start open; here no actor has a thread. The
loop (``net.Loop`` in a real process, a simpy process in tests) calls ``pump``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import pykka
from pykka import ActorRegistry

from spokeroute.dial.effects import (
    Directory,
    Effects,
    From,
    Launch,
    Note,
    Reply,
    Send,
    SendAddress,
    SlotId,
    Tell,
    Tick,
)
from spokeroute.dial.ids import Address, Incarnation, Ms, NodeId
from spokeroute.dial.verdict import Verdict
from spokeroute.trunk.frames import Envelope, FrameFault, decode, encode

AnyStep = Callable[[Any, object, Ms], tuple[Any, Effects]]


@dataclass(frozen=True, slots=True)
class Me:
    """Who this process is."""

    node: NodeId
    incarnation: Incarnation
    address: Address
    role: str
    locality: str


class World(Protocol):
    """What a process stands on: clock, network, edges. Real or simulated."""

    def nowMs(self) -> Ms: ...
    def send(self, address: Address, frame: bytes) -> None: ...
    def launch(self, actor: str, job: object) -> None: ...
    def reply(self, slot: SlotId, verdict: Verdict) -> None: ...
    def note(self, text: str, alarm: bool) -> None: ...
    def fatal(self, fault: BaseException) -> None: ...


class LoopInbox:
    """An actor's inbox on the shared loop."""

    def __init__(self) -> None:
        self.waiting: deque[Any] = deque()
        self.ready: deque[LoopInbox] | None = None
        self.actor: CoreActor | None = None

    def put(self, envelope: Any, /) -> None:
        self.waiting.append(envelope)
        if self.ready is not None:
            self.ready.append(self)

    def get(self) -> Any:
        return self.waiting.popleft()

    def empty(self) -> bool:
        return not self.waiting


class CoreActor(pykka.Actor):
    """The shell of a pure core: its state, swapped whole at each event."""

    def __init__(self, process: Process, name: str, state: Any, step: AnyStep) -> None:
        super().__init__()
        self.process = process
        self.name = name
        self.state = state
        self.stepFunction = step
        inbox: Any = self.actor_inbox
        inbox.ready = process.ready
        inbox.actor = self

    @staticmethod
    def _create_actor_inbox() -> Any:
        return LoopInbox()

    @staticmethod
    def _create_future() -> Any:
        return pykka.ThreadingFuture()

    def _start_actor_loop(self) -> None:
        """No thread: the process's loop pumps every inbox."""

    def on_receive(self, message: Any) -> Any:
        nowMs = self.process.world.nowMs()
        self.state, effects = self.stepFunction(self.state, message, nowMs)
        for effect in effects:
            self.process.perform(self.name, effect)
        return None


class Process:
    """The actors of one process and its address book.

    Example:
        process = Process(me, world)
        process.add("calls", state, step)
        process.pump()
    """

    def __init__(self, me: Me, world: World) -> None:
        self.me = me
        self.world = world
        self.ready: deque[LoopInbox] = deque()
        self.actors: dict[str, CoreActor] = {}
        self.routes: dict[type, tuple[str, ...]] = {}
        self.book: dict[NodeId, Address] = {}

    def add(self, name: str, state: Any, step: AnyStep, takes: tuple[type, ...] = ()) -> None:
        """Start an actor and say which messages of colleagues go to it.

        Example:
            process.add("keeper", state, keeper.step, takes=(Prepare, Accept))
        """
        reference: Any = CoreActor.start(self, name, state, step)
        self.actors[name] = reference._actor
        for kind in takes:
            self.routes[kind] = (*self.routes.get(kind, ()), name)

    def close(self) -> None:
        """Take the actors off pykka's register.

        Example:
            process.close()
        """
        for actor in self.actors.values():
            ActorRegistry.unregister(actor.actor_ref)

    def post(self, actor: str, event: object) -> None:
        """Hand an event to an actor.

        Example:
            process.post("calls", Tick())
        """
        self.actors[actor].actor_ref.tell(event)

    def tick(self, gapMs: int) -> None:
        """The heartbeat of every actor.

        Example:
            process.tick(0)
        """
        beat = Tick(gapMs)
        for name in self.actors:
            self.post(name, beat)

    def pump(self) -> None:
        """Run until no inbox holds an event.

        Example:
            process.pump()
        """
        while self.ready:
            inbox = self.ready.popleft()
            if inbox.waiting and inbox.actor is not None:
                envelope = inbox.waiting.popleft()
                try:
                    inbox.actor.on_receive(envelope.message)
                except Exception as fault:
                    self.world.fatal(fault)
                    return

    def received(self, frame: bytes) -> None:
        """A frame from the network; FrameFault when it can't be read.

        Example:
            process.received(frame)
        """
        envelope = decode(frame)
        if envelope.dst and envelope.dst != self.me.node:
            return
        news = From(NodeId(envelope.src), Incarnation(envelope.srcIncarnation), envelope.message)
        self.book.setdefault(news.node, Address(envelope.srcAddress))
        for name in self.routes.get(type(envelope.message), ()):
            self.post(name, news)

    def perform(self, actor: str, effect: Any) -> None:
        """Carry out one effect of an actor.

        Example:
            process.perform("calls", Note("hello"))
        """
        match effect:
            case Send(to, message):
                if to == self.me.node:
                    news = From(self.me.node, self.me.incarnation, message)
                    for name in self.routes.get(type(message), ()):
                        self.post(name, news)
                elif to in self.book:
                    self._frame(self.book[to], to, message)
            case SendAddress(address, message):
                self._frame(address, NodeId(""), message)
            case Tell(name, event):
                self.post(name, event)
            case Launch(job):
                self.world.launch(actor, job)
            case Reply(slot, verdict):
                self.world.reply(slot, verdict)
            case Directory(entries):
                self.book = dict(entries)
            case Note(text, alarm):
                self.world.note(f"{actor}: {text}", alarm)

    def _frame(self, address: Address, to: NodeId, message: object) -> None:
        me = self.me
        envelope = Envelope(me.node, me.incarnation, me.address, to, message)
        self.world.send(address, encode(envelope))


__all__ = ["AnyStep", "CoreActor", "FrameFault", "Me", "Process", "World"]
