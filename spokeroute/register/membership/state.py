"""State of the membership, and the notice of a changed roster."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from spokeroute.common.bounds import Bounds
from spokeroute.common.ids import Address, MemberId, Ms
from spokeroute.register.cells import Roster
from spokeroute.register.membership.leave import LeaveStatus
from spokeroute.register.membership.missing_members import MissingMembers
from spokeroute.register.membership.policy import PeerStatus


@dataclass(frozen=True, slots=True)
class RosterChanged:
    """To placement, ledger and role: the roster changed; the ledger records it."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class State:
    """What this member knows of the core."""

    me: MemberId
    address: Address
    seeds: tuple[Address, ...]
    found: bool
    zone: str
    roster: Roster | None = None
    votes: bool = False
    peer_statuses: Map[str, PeerStatus] = field(default_factory=Map)
    addresses: Map[str, Address] = field(default_factory=Map)
    zones: Map[str, str] = field(default_factory=Map)
    started_ms: Ms = Ms(0)
    next_heartbeat_ms: Ms = Ms(0)
    copied: Map[str, str] = field(default_factory=Map)  # source -> next page, "." when complete
    copy_asked_ms: Map[str, Ms] = field(default_factory=Map)
    proposal: str = ""  # operation id of the roster change in progress
    recheck_ms: Ms = Ms(-1)  # when a lost disk or a leaving member is checked again
    proposals: int = 0
    roster_listeners: tuple[str, ...] = ("placement", "ledger", "role")
    bounds: Bounds = Bounds()
    writable: bool = True  # whether this member's store takes writes
    leaving: bool = False  # whether this process was asked to stop
    leaving_ms: Ms = Ms(-1)  # since when
    leave_status: LeaveStatus = LeaveStatus.NEEDED
    epoch_ms: Ms = Ms(0)  # since when this member is at the roster's epoch
    missing: MissingMembers | None = None  # set while a majority has been silent for long
