"""Replay: run the pure functions again on each entry's inputs and report differences."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from spokeroute.dispatch.desired import Service
from spokeroute.dispatch.flare import laaf, rome
from spokeroute.dispatch.scaler import Demand, wantedOf
from spokeroute.logbook.entries import entryFault, limitsOf, pictureOf, rankingDoc


@dataclass(frozen=True, slots=True)
class Difference:
    """The first thing about an entry that replay could not bear out."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class Replayed:
    """What a replay did."""

    read: int
    recomputed: int
    difference: Difference | None


def recompute(doc: dict[str, Any]) -> object:
    """The output that an entry's inputs give; None for a kind that is only kept.

    Example:
        recompute({"kind": "term", "inputs": {}}) is None
    """
    kind, inputs = doc["kind"], doc["inputs"]
    if kind == "laaf":
        return rankingDoc(laaf(pictureOf(inputs)))
    if kind == "rome":
        relief = rome(pictureOf(inputs), limitsOf(inputs))
        return [[s.service, s.fromWorker, s.toWorker, s.cause] for s in relief.shifts]
    if kind in ("start", "drain") and "service" in inputs:
        demand = Demand(inputs["level"], inputs["waiting"], -inputs["idleForMs"])
        wanted = wantedOf(Service.from_dict(inputs["service"]), demand, inputs["have"], 0)
        return wanted
    return None


def replay(lines: Iterable[str]) -> Replayed:
    """Read entries in order, check each one's digest and place, and recompute it.

    Example:
        >>> replay([])
        Replayed(read=0, recomputed=0, difference=None)
    """
    read = recomputed = 0
    last: dict[tuple[int, str], tuple[int, str]] = {}
    for line in lines:
        read += 1
        try:
            doc = json.loads(line)
            key = str(doc["key"])
            reason = entryFault(doc)
            term, sequence, member = key.split("-", 2)
        except (ValueError, KeyError, TypeError):
            return Replayed(read, recomputed, Difference(f"line {read}", "not an entry"))
        chain = (int(term), member)
        before = last.get(chain)
        if not reason and before is not None:
            if int(sequence) != before[0] + 1:
                reason = f"an entry is missing before it (after {before[0]})"
            elif doc["previous"] != before[1]:
                reason = "it does not follow the entry before it"
        if not reason:
            got = recompute(doc)
            if got is not None:
                recomputed += 1
                kept = (
                    doc["inputs"].get("wanted")
                    if doc["kind"] in ("start", "drain")
                    else (doc["output"])
                )
                if got != kept:
                    reason = f"recomputed {json.dumps(got)[:300]}, kept {json.dumps(kept)[:300]}"
        if reason:
            return Replayed(read, recomputed, Difference(key, reason))
        last[chain] = (int(sequence), doc["digest"])
    return Replayed(read, recomputed, None)
