"""The size of the aim, what may be spent there, and the sizes that costs grow with."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

NODES, INSTANCES, FUNCTIONS, CALLS_PER_S = 930, 220_000, 36_000, 120_000
REGISTRIES = 5
REGIONS, ZONES_COUNT = 2, 5
CHANGES_A_DAY = 1_400
CHANGE_S = 10.0
COLD_MS = 990.0
CORES_A_NODE, MB_A_NODE, BYTES_A_NODE = 0.014, 32.0, 10_000.0
RESTARTS_A_DAY = 310
RACK_NODES = 30
LINK_BYTES_PER_S = 2e6 / 8
DAY_S = 86_400.0
EACH = INSTANCES / FUNCTIONS  # instances of a function, were all awake
FLOORS_PER_S = 2.5
"""Floor changes that a node sees: one a proof, as soon as anything changes that often."""

AIM: dict[str, float] = {
    "nodes": NODES,
    "nodes^2": NODES**2,
    "instances": INSTANCES,
    "functions": FUNCTIONS,
    "functions x instances": float(FUNCTIONS) * INSTANCES,
    "held": INSTANCES / NODES,
    "calls a node": CALLS_PER_S / NODES,
    "registries": REGISTRIES,
    "names in lists": FUNCTIONS * EACH * (EACH - 1),
    "pairs x sites": INSTANCES * (NODES + FUNCTIONS / 2),
    "applies": CHANGES_A_DAY / DAY_S,
    "keyed": 100.0,
    "wakes": 1.0,
}
"""Each size at the aim. Neither keyed calls nor cold starts a second are in the aim: their rows
are for 100 and for one a second."""

RATES: dict[str, float] = {
    "": 1.0,
    "floor changes": FLOORS_PER_S,
    "configurations": CHANGES_A_DAY / DAY_S,
    "listings": 2.5,
    "passes": 10.0,
    "pushes": 1.0,
    "pushes to every node": float(NODES),
    "probes of every node": 2.5 * (NODES + REGISTRIES - 1),
    "floors to its share of nodes": FLOORS_PER_S * NODES / REGISTRIES,
    "configurations to its share of nodes": CHANGES_A_DAY / DAY_S * NODES / REGISTRIES,
}
"""How often something happens a second at the aim, where a row is measured by the event."""


def sizes_of(size: Mapping[str, Any]) -> dict[str, float]:
    """The same sizes of a measured fleet.

    Example:
        sizes_of(asdict(Size()))["nodes"] == 8
    """
    nodes, instances = float(size["nodes"]), float(size["instances"])
    functions = float(size["functions"])
    awake = max(1.0, min(functions, -(-instances // size["each"])))
    each = instances / awake
    pairs = awake * min(each, nodes)
    held = float(size["held"]) if size["held"] >= 0 else instances / nodes
    return {
        "nodes": nodes,
        "nodes^2": nodes**2,
        "instances": instances,
        "functions": functions,
        "functions x instances": functions * instances,
        "held": held,
        "calls a node": (size["calls_per_s"] + size["keyed_per_s"]) / nodes,
        "registries": float(size["registries"]),
        "names in lists": pairs * (each - each / min(each, nodes)),
        "pairs x sites": pairs * (nodes + awake / 2),
        "applies": size["applies"] / size["seconds"],
        "keyed": float(size["keyed_per_s"]),
        "wakes": float(size["wakes_per_s"]),
    }


MECHANISMS: dict[str, tuple[str, ...]] = {
    "views and gossip": (
        "peers *", "* ViewNow", "* GossipHeard", "encode Shuffle", "decode Shuffle",
    ),
    "freshness proofs": (
        "replica Tick", "replica ProbeAck", "replica RosterNews", "calls Fresh", "holder Fresh",
        "placement Fresh", "acceptor Probe", "membership Probe", "role ProbeAck", "encode ProbeAck",
        "decode ProbeAck", "encode Probe", "decode Probe", "acceptor AbsentNow",
    ),
    "reports": (
        "placement Probe", "calls HeldNow", "* HeldWord", "* HeldAnew", "encode Held*",
        "decode Held*", "replica Reports", "holder Tick",
        "fn.means_of", "fn.suspects_of", "fn.live_holders",
        "fn.demand_now", "fn.addresses_of", "fn.reached_of",
    ),
    "configuration": (
        "edge build_table", "edge read_configuration", "edge pack_configuration", "operator *",
        "replica Compiled", "replica Compile", "client apply",
    ),
    "floor and holds": (
        "fn.unpack_floor", "fn.unpack_floor", "fn.unpack_floor",
        "fn.pack_floor", "calls Fresh changed", "holder Fresh changed",
        "placement Fresh changed", "replica Chosen", "* FetchGot", "* FetchAsk",
        "placement Settled",
        "fn.remark", "proposer *", "fn.digest_of", "acceptor Accept", "acceptor Prepare",
        "acceptor DiskDone", "acceptor HandOver", "acceptor HandTo", "encode Accept",
        "decode Accept",
        "encode Accepted", "decode Accepted", "encode Prepare", "decode Prepare", "encode Promise",
        "decode Promise", "encode HandOver", "decode HandOver", "role *", "placement TermIs",
    ),
    "scaler": (
        "fn.plan", "fn.room_of", "fn.best_worker", "fn.sleepers_mb",
        "placement Tick",
    ),
    "LAAF lists": (
        "fn.picture", "fn.laaf", "fn.rome", "fn.picture_doc",
        "fn.ranking_doc", "encode Lists", "decode Lists", "calls Lists",
    ),
    "platform lists and starts": (
        "edge read_listing", "placement PlatformListed", "fn.take_listing",
        "fn.absent_from", "fn.orphan_stops", "fn.platform_calls",
        "fn.sightings_of", "holder ConnectDone",
        "placement PlatformDone",
    ),
    "ledger": ("ledger *", "fn.entry_text", "encode Ledger*", "decode Ledger*"),
    "claims": ("claims *", "calls ClaimGot", "encode Claim*", "decode Claim*"),
    "calls": (
        "calls CallIn", "calls Forwarded", "calls Tick", "holder Forward", "holder AttemptDone",
        "encode Forward*", "decode Forward*", "holder ForwardDrop", "* Ping", "* Pong",
        "calls LinkDown",
    ),
    "budget shares": ("fn.Budget.*",),
    "loop and beats": (
        "loop", "acceptor Tick", "membership *", "claims Tick", "operator Tick", "ledger Tick",
        "encode Heartbeat", "decode Heartbeat", "encode RosterNews", "decode RosterNews",
    ),
}  # fmt: skip
"""Which parts of the counts are whose. A part that nobody names is 'other'."""
