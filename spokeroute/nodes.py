"""How the cores of an exchange and of a registry are put together.

The same two functions build the nodes of a real process and of the simulated world.
"""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.dial.ids import Address, MemberId
from spokeroute.dispatch import placement, role
from spokeroute.exchange import calls, holder
from spokeroute.exchange.budget import Budget
from spokeroute.logbook import ledger
from spokeroute.register import claims, copies, keeper, proposer, steward
from spokeroute.register.disk import Loaded
from spokeroute.registry import operator
from spokeroute.trunk import colleagues
from spokeroute.trunk import messages as m
from spokeroute.trunk.process import Me, Process, World


@dataclass(frozen=True, slots=True)
class Start:
    """What a node is started with."""

    seeds: tuple[Address, ...]
    seed: int
    found: bool = False
    rank: int = 0


def buildExchange(me: Me, world: World, start: Start) -> Process:
    """An exchange's actors.

    Example:
        process = buildExchange(me, world, Start(seeds, 1))
    """
    process = Process(me, world)
    nowMs = world.nowMs()
    process.add(
        "colleagues",
        colleagues.State(me, start.seeds, start.seed, ("copies", "calls"), "copies"),
        colleagues.step,
        takes=(m.Shuffle,),
    )
    process.add(
        "copies",
        copies.State(("calls", "holder")),
        copies.step,
        takes=(m.ProbeAck, m.FetchGot, m.FetchAsk, m.RosterNews),
    )
    process.add(
        "calls",
        calls.State(me.node, me.incarnation, Budget(nowMs)),
        calls.step,
        takes=(m.Ferried, m.ClaimGot, m.Lists),
    )
    process.add(
        "holder",
        holder.State(me.node, me.incarnation),
        holder.step,
        takes=(m.Ferry, m.FerryDrop),
    )
    return process


def buildRegistry(me: Me, world: World, start: Start, loaded: Loaded) -> Process:
    """A registry's actors, over what its disk held.

    Example:
        process = buildRegistry(me, world, Start(seeds, 1, found=True), disk.load())
    """
    process = Process(me, world)
    member = MemberId(loaded.member)
    process.add(
        "colleagues",
        colleagues.State(me, start.seeds, start.seed, ("copies", "steward", "placement"), "copies"),
        colleagues.step,
        takes=(m.Shuffle,),
    )
    process.add(
        "keeper",
        keeper.start(member, loaded.roster, loaded.votes, loaded.cells),
        keeper.step,
        takes=(m.Prepare, m.Accept, m.HandOver, m.Probe, m.FetchAsk, m.CopyAsk),
    )
    process.add(
        "proposer",
        proposer.State(member, start.seed, loaded.roster),
        proposer.step,
        takes=(m.Promise, m.Accepted, m.Finish, m.Alive),
    )
    process.add(
        "steward",
        steward.State(member, me.address, start.seeds, start.found, loaded.roster, loaded.votes),
        steward.step,
        takes=(m.Alive, m.RosterNews, m.CopyPart, m.Probe),
    )
    process.add(
        "copies",
        copies.State(("placement",), roster=loaded.roster),
        copies.step,
        takes=(m.ProbeAck, m.FetchGot, m.RosterNews),
    )
    process.add("claims", claims.State(), claims.step, takes=(m.ClaimAsk,))
    process.add("operator", operator.State(me.node), operator.step)
    process.add("role", role.State(me.node, start.rank), role.step, takes=(m.ProbeAck,))
    process.add(
        "placement", placement.State(me.node, frozenset((me.node,))), placement.step,
        takes=(m.Probe,),
    )  # fmt: skip
    others = tuple(x for x in loaded.roster.ids if x != member) if loaded.roster else ()
    process.add(
        "ledger",
        ledger.State(me.node, f"{me.node}.{me.incarnation}", others),
        ledger.step,
        takes=(m.LedgerShare, m.LedgerAck),
    )
    return process
