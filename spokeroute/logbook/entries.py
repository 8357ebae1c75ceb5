"""A ledger entry: one decision, what it looked at, and what came of it."""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field
from typing import Any

from spokeroute.dispatch.flare import Function, Limits, Picture, Ranking, Site


@dataclass(frozen=True)
class Record:
    """A decision on its way into the ledger."""

    kind: str
    inputs: dict[str, Any]
    output: Any
    term: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    programs: str = ""


def pictureDoc(picture: Picture) -> dict[str, Any]:
    """A picture as JSON.

    Example:
        >>> pictureOf(pictureDoc(Picture((), (), ()))) == Picture((), (), ())
        True
    """
    return asdict(picture)


def pictureOf(doc: dict[str, Any]) -> Picture:
    """A picture back from JSON.

    Example:
        pictureOf(pictureDoc(picture)) == picture
    """
    return Picture(
        tuple((w, cu) for w, cu in doc["cuPct"]),
        tuple(Function(f["service"], f["worker"], f["loadPct"]) for f in doc["functions"]),
        tuple(
            (s, tuple(Site(x["worker"], tuple(x["instances"])) for x in sites))
            for s, sites in doc["sites"]
        ),
        tuple((s, w, k) for s, w, k in doc["rankBias"]),
        tuple((s, w) for s, w in doc["vetoes"]),
        tuple((s, w) for s, w in doc["wishes"]),
    )


def rankingDoc(rankings: tuple[Ranking, ...]) -> list[list[Any]]:
    """Rankings as JSON.

    Example:
        >>> rankingDoc(())
        []
    """
    return [[r.service, r.worker, list(r.instances)] for r in rankings]


def limitsOf(doc: dict[str, Any]) -> Limits:
    """Limits back from an entry's inputs.

    Example:
        >>> limitsOf({"limits": [70.0, 120.0]}).overloadPct
        70.0
    """
    return Limits(*doc["limits"])


def entryText(key: str, record: Record, previous: str) -> str:
    """An entry as it is kept. Its digest covers the entry before it, so that a changed or
    missing one shows at replay.

    Example:
        '"kind":"term"' in entryText("1-1", Record("term", {}, 1), "")
    """
    doc: dict[str, Any] = {"key": key, **asdict(record), "previous": previous}
    body = json.dumps(doc, sort_keys=True, separators=(",", ":"))
    doc["digest"] = hashlib.sha256(body.encode()).hexdigest()
    return json.dumps(doc, sort_keys=True, separators=(",", ":"))


def entryFault(doc: dict[str, Any]) -> str:
    """Why an entry can't be trusted; empty when it can.

    Example:
        >>> entryFault({"digest": "x"})
        'its digest does not match'
    """
    body = {k: v for k, v in doc.items() if k != "digest"}
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    if hashlib.sha256(text.encode()).hexdigest() != doc.get("digest"):
        return "its digest does not match"
    return ""
