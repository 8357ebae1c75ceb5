"""What would carry a cost that does not fit; each is weighed in docs/CAPACITY.md."""

from __future__ import annotations

FITS = "fits"
REMEDIES: dict[tuple[str, str], str] = {
    ("exchange", "reports"): "held: what changed, not all; seats by need, not each beat",
    ("exchange", "floor and holds"): "deltas by interest; shards by function",
    ("exchange", "LAAF lists"): "lists by interest",
    ("exchange", "freshness proofs"): "proofs through zone relays",
    ("exchange", "configuration"): "deltas by interest",
    ("exchange", "loop and beats"): "beats by need",
    ("exchange", "memory by instances"): "deltas by interest; one table for both cores",
    ("exchange", "memory by functions"): "deltas by interest; sleepers off the hot tables",
    ("exchange", "memory while a floor is read"): "deltas by interest",
    ("registry", "views and gossip, reports kept"): "reports by shard; no rebuild on each view",
    ("registry", "freshness proofs and reports"): "zone relays; reports by shard",
    ("registry", "freshness proofs"): "zone relays",
    ("registry", "floor and holds"): "shards of the floor by function",
    ("registry", "floor, to its share of nodes"): "deltas by interest, through zone relays",
    ("registry", "platform lists and starts"): "lists by zone",
    ("registry", "ledger"): "entries name what changed",
    ("registry", "memory by instances"): "shards of the floor by function",
    ("holder", "scaler"): "an index by function; shards by function; sleepers off the hot tables",
    ("holder", "floor and holds"): "shards of the floor by function",
    ("holder", "floor and holds, each pass"): "shards of the floor by function",
    ("holder", "platform lists and starts, each pass"): "shards; lists by zone",
    ("holder", "LAAF lists, the picture"): "kept up by changes, by shard",
    ("holder", "LAAF lists, a run"): "an index by worker and function; by shard",
    ("holder", "LAAF lists, to every node"): "lists by interest, through zone relays",
    ("holder", "ledger"): "entries name what changed",
    ("holder", "views and gossip, reports kept"): "reports by shard; no rebuild on each view",
    ("holder", "reports"): "folded as they come, by shard",
}


def verdict_of(role: str, mechanism: str, ratio: float) -> str:
    """Fits, or what would carry it; nothing where the aim gives no budget.

    Example:
        >>> verdict_of("exchange", "floor and holds", 0.5)
        'fits'
        >>> verdict_of("exchange", "floor and holds", 9.0)
        'deltas by interest; shards by function'
    """
    if ratio < 0:
        return ""
    if ratio <= 1.0:
        return FITS
    return REMEDIES.get((role, mechanism), "does not fit")
