"""What a member has on disk, told as ballots, and handed on to members that lack some of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from spokeroute.common.effects import Effects, From, Send
from spokeroute.common.ids import NodeId
from spokeroute.common.replacing import replace
from spokeroute.register.cells import EMPTY, Cell, ballot_of
from spokeroute.transport.messages import Copy, HandOver, HeldAsk, HeldPart

if TYPE_CHECKING:
    from spokeroute.register.acceptor.state import State

PAGE_REGISTERS = 4_000


@dataclass(frozen=True, slots=True)
class HandOverCopy:
    """From the proposer: hand this chosen copy to a member that missed it."""

    member: NodeId
    copy: Copy


@dataclass(frozen=True, slots=True)
class HandOverRegisters:
    """To the acceptor: hand what this member has of these registers to a member that stays."""

    member: NodeId
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SuspendAccepts:
    """To the acceptor: whether this member, which is about to end, accepts nothing more."""

    quiet: bool


def step(state: State, event: object) -> tuple[State, Effects]:
    """The acceptor's part in a handover: it tells, hands on, and stops accepting.

    Example:
        state, effects = step(state, SuspendAccepts(True))
    """
    match event:
        case From(node, _, HeldAsk() as ask):
            # Its own comparison counts what is on its way to the disk, too.
            cells = state.cells if node == state.me else state.synced
            return state, (Send(node, ballots_page(cells, ask)),)
        case HandOverCopy(member, copy):
            cell = state.synced.get(copy.name, EMPTY)
            if cell.accepted == ballot_of(copy):
                return state, (Send(member, HandOver(state.epoch, copy, cell.value)),)
        case HandOverRegisters() as asked:
            return state, handover_messages(state.synced, state.epoch, asked)
        case SuspendAccepts(quiet):
            return replace(state, quiet=quiet), ()
    return state, ()


def ballots_page(cells: Mapping[str, Cell], ask: HeldAsk) -> HeldPart:
    """A page of accepted ballots.

    Example:
        ballots_page({}, HeldAsk(1, "")).last == ""
    """
    names = sorted(n for n in cells if n > ask.after)
    page = names[:PAGE_REGISTERS]
    copies = tuple(replace(cells[name].copy(name), digest="") for name in page)
    return HeldPart(ask.nonce, ask.after, copies, page[-1] if len(names) > len(page) else "")


def handover_messages(cells: Mapping[str, Cell], epoch: int, asked: HandOverRegisters) -> Effects:
    """The accepts of earlier rounds once more, to a member that missed them.

    Example:
        handover_messages({}, 1, HandOverRegisters(NodeId("m2"), ("floor",))) == ()
    """
    known = [(name, cells[name]) for name in asked.names if name in cells]
    return tuple(
        Send(asked.member, HandOver(epoch, cell.copy(name), cell.value)) for name, cell in known
    )
