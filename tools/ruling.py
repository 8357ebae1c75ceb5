"""Which configurations may rule at a moment, reckoned from what operators were told."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from tools.log import Log, Told

RULES_MS = 3_000.0
NOTHING_DONE = (400, 404, 409, 413, 422, 429, 503)  # statuses that promise it


def unsure(told: Told) -> bool:
    """Whether a request may or may not have been carried out."""
    return told.status != 200 and told.status not in NOTHING_DONE


def overtaken(told: Told) -> bool:
    """Whether an order under a number was acknowledged while a higher one stood."""
    return told.status == 200 and int(told.doc.get("number", 0)) != told.number


def _firsts(acked: list[Told]) -> list[Told]:
    """Without the later acknowledgements of an order that was sent again."""
    seen: set[int] = set()
    firsts: list[Told] = []
    for told in sorted(acked, key=lambda t: t.at_ms):
        if not told.number or told.number not in seen:
            firsts.append(told)
        seen.add(told.number)
    return sorted(firsts, key=lambda t: int(t.doc["version"]))


@dataclass
class Ruling:
    """One configuration: from when it may rule, and until when at most."""

    told: Told
    from_ms: float
    to_ms: float
    routes: dict[str, dict[str, Any]] = field(default_factory=dict)


class Rulings:
    """All configurations of a run. One whose outcome is unknown may rule from its sending on."""

    def __init__(self, log: Log) -> None:
        applies = [t for t in log.told if t.what == "apply"]
        acked = _firsts([t for t in applies if t.status == 200 and not overtaken(t)])
        # One that was overtaken may have ruled until its acknowledgement, or never.
        self.all = [Ruling(t, t.at_ms, t.done_ms + RULES_MS) for t in applies if overtaken(t)]
        over_ms = float("inf")
        for told in reversed(acked):
            self.all.append(Ruling(told, told.at_ms, over_ms))
            over_ms = min(over_ms, told.done_ms + RULES_MS)
        for told in applies:
            if unsure(told):
                self.all.append(Ruling(told, told.at_ms, float("inf")))
        for each in self.all:
            each.routes = {route["path"]: route for route in each.told.sent.get("routes", ())}

    def within(self, from_ms: float, to_ms: float) -> list[Ruling]:
        """Those that may rule at some moment of a span."""
        return [r for r in self.all if r.from_ms <= to_ms and r.to_ms >= from_ms]


def holds(sent: Any, shown: Any) -> bool:
    """Whether everything that was sent stands in what was read back; defaults may be added."""
    if isinstance(sent, dict):
        return isinstance(shown, dict) and all(k in shown and holds(v, shown[k])
                                               for k, v in sent.items())  # fmt: skip
    if isinstance(sent, list | tuple):
        return (
            isinstance(shown, list | tuple)
            and len(sent) == len(shown)
            and all(holds(a, b) for a, b in zip(sent, shown, strict=True))
        )
    return bool(sent == shown)
