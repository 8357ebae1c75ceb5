"""Judges of what operators read back: configurations and evacuations, newest and whole."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

from tools.log import Log, Told
from tools.ruling import NOTHING_DONE, holds, overtaken, unsure


def acked_reads_back(log: Log) -> list[str]:
    """What was acknowledged reads back whole and newest, at each read, by whichever registry."""
    found: list[str] = []
    applies = [t for t in log.told if t.what == "apply"]
    acked = [t for t in applies if t.status == 200]
    for show in (t for t in log.told if t.what == "show" and t.status in (200, 404)):
        before = [t.doc["version"] for t in acked if t.done_ms <= show.at_ms]
        version = show.doc.get("version", 0) if show.status == 200 else 0
        if version < max(before, default=0):
            found.append(f"read back {version}, acknowledged {max(before)}")
            continue
        if not version:
            continue
        there = [t for t in acked if t.doc["version"] == version and not overtaken(t)]
        maybe = [t for t in applies if unsure(t) and t.at_ms <= show.done_ms]
        if not any(holds(t.sent, show.doc["configuration"]) for t in there or maybe):
            found.append(f"version {version} reads back as another configuration")
    versions = [int(t.doc["version"]) for t in acked if not t.number]
    if len(versions) != len(set(versions)):
        found.append(f"one version was acknowledged twice: {sorted(versions)}")
    return [*found, *_evacuations(log)]


def _evacuations(log: Log) -> list[str]:
    found: list[str] = []
    marks = [t for t in log.told if t.what in ("evacuate", "restore")]
    for show in (t for t in log.told if t.what == "evacuated" and t.status == 200):
        settled = [t for t in marks if t.status == 200 and t.done_ms <= show.at_ms]
        newest = max((t.doc["version"] for t in settled), default=0)
        if show.doc["version"] < newest:
            found.append(f"evacuations read back {show.doc['version']}, acknowledged {newest}")
        for zone in {t.detail for t in settled}:
            mine = [t for t in settled if t.detail == zone]
            last = max(mine, key=lambda t: t.done_ms)
            if _contested(marks, last, show):
                continue
            if (zone in show.doc["evacuated"]) != (last.what == "evacuate"):
                found.append(f"{last.what} of {zone} was acknowledged and is not read back")
    return found


def _contested(marks: list[Told], last: Told, show: Told) -> bool:
    """Whether another mark on the zone may stand after this one."""
    for told in marks:
        if told is last or told.detail != last.detail or told.status in NOTHING_DONE:
            continue
        over = told.status == 200 and told.done_ms <= last.at_ms
        if told.at_ms <= show.done_ms and not over:
            return True
    return False


def refused_never_rules(log: Log) -> list[str]:
    """An apply that was refused as having done nothing never reads back."""
    refused = [
        t for t in log.told if t.what == "apply" and t.status in NOTHING_DONE and t.sent.get("name")
    ]
    others = {t.detail for t in log.told if t.what == "apply" and t not in refused}
    names = {t.detail for t in refused} - others
    return [
        f"{show.doc['configuration']['name']} was refused, and reads back"
        for show in log.told
        if show.what == "show"
        and show.status == 200
        and show.doc["configuration"].get("name") in names
    ]


def one_content_a_number(log: Log) -> list[str]:
    """Of all orders under one number those that were confirmed have one content, it alone reads
    back under the number, and that content's order is never refused."""
    found: list[str] = []
    orders: dict[int, list[Told]] = defaultdict(list)
    for told in log.told:
        if told.what == "apply" and told.number:
            orders[told.number].append(told)
    shown = [t.doc for t in log.told if t.what == "show" and t.status == 200]
    for number, sent in orders.items():
        confirmed = {_text(t.sent) for t in sent if t.status == 200}
        if len(confirmed) > 1:
            found.append(f"{len(confirmed)} contents were confirmed under number {number}")
        if any(t.status == 409 and _text(t.sent) in confirmed for t in sent):
            found.append(f"number {number} was refused to the content that it was confirmed for")
        for doc in (d for d in shown if d.get("number") == number):
            if confirmed and not any(holds(json.loads(c), doc["configuration"]) for c in confirmed):
                found.append(f"number {number} reads back as what was not confirmed under it")
    return found


def _text(sent: dict[str, Any]) -> str:
    return json.dumps(sent, sort_keys=True)
