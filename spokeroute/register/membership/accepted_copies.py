"""The acceptor's side of a handover: lists its accepted ballots, and sends copies to members that
lack them."""

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
    """From the proposer: send this chosen copy to a member that missed it."""

    member: NodeId
    copy: Copy


@dataclass(frozen=True, slots=True)
class HandOverRegisters:
    """To the acceptor: send the accepted values of these registers to a member that stays."""

    member: NodeId
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SuspendAccepts:
    """To the acceptor: whether this member, which is about to stop, refuses all accepts."""

    suspended: bool


def step(state: State, event: object) -> tuple[State, Effects]:
    """Handles one event of a handover in the acceptor.

    Example:
        state, effects = step(state, SuspendAccepts(True))
    """
    match event:
        case From(node, _, HeldAsk() as ask):
            # For its own comparison, a member also counts what is still being written to disk.
            cells = state.cells if node == state.me else state.synced
            return state, (Send(node, ballots_page(cells, ask)),)
        case HandOverCopy(member, copy):
            cell = state.synced.get(copy.name, EMPTY)
            if cell.accepted == ballot_of(copy):
                return state, (Send(member, HandOver(state.epoch, copy, cell.value)),)
        case HandOverRegisters() as order:
            return state, handover_messages(state.synced, state.epoch, order)
        case SuspendAccepts(suspended):
            return replace(state, stopping=suspended), ()
    return state, ()


def ballots_page(cells: Mapping[str, Cell], ask: HeldAsk) -> HeldPart:
    """Returns one page of accepted ballots.

    Example:
        ballots_page({}, HeldAsk(1, "")).last == ""
    """
    names = sorted(n for n in cells if n > ask.after)
    page = names[:PAGE_REGISTERS]
    copies = tuple(replace(cells[name].copy(name), digest="") for name in page)
    return HeldPart(ask.nonce, ask.after, copies, page[-1] if len(names) > len(page) else "")


def handover_messages(cells: Mapping[str, Cell], epoch: int, order: HandOverRegisters) -> Effects:
    """Returns repeated accepts of earlier rounds, for a member that missed them.

    Example:
        handover_messages({}, 1, HandOverRegisters(NodeId("m2"), ("floor",))) == ()
    """
    known = [(name, cells[name]) for name in order.names if name in cells]
    return tuple(
        Send(order.member, HandOver(epoch, cell.copy(name), cell.value)) for name, cell in known
    )
