"""How the cores of a registry are put together; exchanges load none of them."""

from __future__ import annotations

from collections.abc import Callable

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Incarnation, MemberId
from spokeroute.common.replacing import replace
from spokeroute.dispatch.placement import placement, role
from spokeroute.dispatch.placement.role import Resign
from spokeroute.ledger import writer as ledger
from spokeroute.nodes import Start, first_nonce
from spokeroute.register import claims
from spokeroute.register.acceptor import acceptor
from spokeroute.register.acceptor.claim_ages import ClaimAges
from spokeroute.register.anti_entropy import anti_entropy
from spokeroute.register.disk.disk import Loaded
from spokeroute.register.membership import handover, membership
from spokeroute.register.membership.leave import STOP_MARGIN_MS, Leave, LeaveStatus
from spokeroute.register.proposer import proposer
from spokeroute.register.replica import replica
from spokeroute.register.replica.compile_queue import compile_queue
from spokeroute.registry import operator
from spokeroute.transport import anti_entropy_messages as ae
from spokeroute.transport import messages as m
from spokeroute.transport import peers
from spokeroute.transport.list_messages import ListsAsk
from spokeroute.transport.outcome_messages import OutcomesTold
from spokeroute.transport.process import Me, Process, World


def build_registry(me: Me, world: World, start: Start, loaded: Loaded) -> Process:
    """A registry's actors, over what its disk held.

    Example:
        process = build_registry(me, world, Start(seeds, 1, found=True), disk.load())
    """
    # Counted by its disk, so that of two lives of this member the later one is known.
    me = replace(me, incarnation=Incarnation(loaded.start_count))
    process = Process(me, world)
    member = MemberId(loaded.member)
    members = tuple(a for _, a in loaded.roster.members) if loaded.roster else ()
    seeds = tuple(dict.fromkeys((*start.seeds, *members)))
    process.add(
        "peers",
        peers.State(
            me,
            seeds,
            start.seed,
            ("replica", "membership", "placement"),
            "replica",
            places=start.places,
        ),
        peers.step,
        takes=(m.Shuffle,),
    )
    process.add(
        "acceptor",
        acceptor.start(
            member,
            loaded.roster,
            loaded.votes,
            loaded.cells,
            ClaimAges(loaded=loaded.first_seen_ms, previous_uptime_ms=loaded.total_uptime_ms),
            loaded.copy_progress,
        ),
        acceptor.step,
        takes=(
            m.Prepare,
            m.Accept,
            m.AcceptPatch,
            m.HandOver,
            m.Probe,
            m.FetchAsk,
            m.CopyAsk,
            m.HeldAsk,
        ),
    )
    process.add(
        "anti_entropy",
        anti_entropy.start(member, loaded.roster, loaded.votes, loaded.cells),
        anti_entropy.step,
        takes=(m.Heartbeat, ae.DigestAsk, ae.DigestDiffers, ae.CellsAsk, ae.CellsPart),
    )
    process.add(
        "proposer",
        proposer.start(member, start.seed, loaded.roster, loaded.start_count),
        proposer.step,
        takes=(m.Promise, m.Accepted, m.Finish, m.Heartbeat),
    )
    process.add(
        "membership",
        membership.State(
            member,
            me.address,
            start.seeds,
            start.found,
            me.zone,
            loaded.roster,
            loaded.votes,
            bounds=start.bounds,
            copied=loaded.copy_progress,
        ),
        membership.step,
        takes=(m.Heartbeat, m.RosterNews, m.CopyPart, m.Probe),
    )
    process.add("handover", handover.State(member), handover.step, takes=(m.HeldPart,))
    process.add(
        "replica",
        replica.State(
            ("placement", "acceptor"),
            roster=loaded.roster,
            bounds=start.bounds,
            address=me.address,
            places=start.places,
            nonce=first_nonce(me.incarnation),
            compile_queue=compile_queue(start.switches),
            floor_needs_configuration=True,
        ),
        replica.step,
        takes=(m.ProbeAck, m.FetchGot, m.ValuePatch, m.RosterNews),
    )
    process.add("claims", claims.State(), claims.step, takes=(m.ClaimAsk,))
    process.add("operator", operator.State(me.node, bounds=start.bounds), operator.step)
    ids = loaded.roster.ids if loaded.roster else ()
    process.add(
        "role",
        role.State(me.node, me.incarnation, ids),
        role.step,
        takes=(m.Heartbeat, m.RoleFree),
    )
    process.add(
        "placement",
        placement.State(
            me.node, frozenset((me.node,)), bounds=start.bounds, places=start.places,
            switches=start.switches,
        ),
        placement.step,
        takes=(m.Probe, m.HeldWord, ListsAsk, OutcomesTold),
    )  # fmt: skip
    others = tuple(x for x in ids if x != member)
    process.add(
        "ledger",
        ledger.State(me.node, f"{me.node}.{me.incarnation}", others),
        ledger.step,
        takes=(m.LedgerShare, m.LedgerAck),
    )
    return process


LEAST_MS = 300  # the placement role is handed on within it


def ask_to_leave(tell: Callable[[str, object], None]) -> None:
    """Tell a registry's actors that the process is asked to stop.

    Example:
        ask_to_leave(loop.report)
    """
    tell("role", Resign())
    tell("membership", Leave())


def may_end(process: Process, bounds: Bounds, waited_ms: float) -> bool:
    """Whether a registry that was asked to stop so long ago may end: it is not needed any more,
    or its grace time is over.

    Example:
        may_end(process, Bounds(), 9_000)
    """
    if waited_ms >= bounds.grace_ms - STOP_MARGIN_MS:
        return True
    idle = process.actors["acceptor"].state.writing is None
    standing = process.actors["membership"].state.leave_status
    done = process.actors["handover"].state.done
    free = standing is LeaveStatus.MAY_STOP or (standing is LeaveStatus.HANDING_OVER and done)
    return waited_ms > LEAST_MS and idle and free
