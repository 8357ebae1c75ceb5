"""The generated parts of docs/CAPACITY.md: tables out of raw figures, between markers."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tools.capacity_aim import AIM, BYTES_A_NODE, CORES_A_NODE, MB_A_NODE
from tools.capacity_caps import caps
from tools.capacity_faults import faults
from tools.capacity_rows import (
    BYTES_IN,
    BYTES_OUT,
    CPU,
    IN,
    MEMORY,
    OUT,
    ROWS,
    Fitted,
    Row,
    calm,
    fitted,
    pace_of,
)
from tools.capacity_verdicts import verdict_of

ROLES = ("exchange", "registry", "holder", "client")
PREDICTED = (
    ("registry", "freshness proofs", IN), ("registry", "freshness proofs and reports", CPU),
    ("registry", "platform lists and starts", CPU), ("exchange", "floor and holds", CPU),
    ("exchange", "configuration", CPU), ("exchange", "calls", CPU),
    ("exchange", "floor and holds", "bytes"), ("exchange", "configuration", "bytes"),
    ("registry", "views and gossip", BYTES_IN), ("registry", "views and gossip", CPU),
    ("registry", "loop and beats", CPU), ("holder", "scaler", CPU),
    ("holder", "LAAF lists, the picture", CPU), ("exchange", "LAAF lists", CPU),
    ("exchange", "memory by instances", MEMORY),
)  # fmt: skip


def short(number: float, unit: str = "") -> str:
    """A number that is read easily.

    Example:
        >>> short(1_234_567.0, "B/s"), short(0.0123, "cores"), short(16.7, "cores")
        ('1.23 MB/s', '0.0123 cores', '16.7 cores')
    """
    if unit in ("B", "B/s"):
        for size, name in ((1e9, "G"), (1e6, "M"), (1e3, "K")):
            if abs(number) >= size:
                return f"{number / size:.3g} {name}{unit}"
    text = f"{number:,.0f}" if abs(number) >= 1000 else f"{number:.3g}"
    return f"{text} {unit}".strip()


def unit_of(what: str) -> str:
    """A row's unit at the aim.

    Example:
        >>> unit_of(CPU), unit_of(MEMORY), unit_of(IN)
        ('cores', 'MB', 'msg/s')
    """
    if what == CPU:
        return "cores"
    if what == MEMORY:
        return "MB"
    return "msg/s" if what in (IN, OUT) else "B/s"


def budget_of(row: Row) -> float:
    """What a row may spend; 0 where the aim says nothing. A registry's loop is one thread."""
    if row.role == "exchange" and row.mechanism in ("calls", "budget shares", "claims"):
        return 0.0
    if row.role == "exchange":
        if row.what == CPU:
            return CORES_A_NODE
        if row.what == MEMORY:
            return MB_A_NODE
        return 0.0 if row.what in (IN, OUT) else BYTES_A_NODE
    if row.role in ("registry", "holder") and row.what == CPU and row.mechanism != "claims":
        return 1.0
    return 0.0


def _slope(found: Fitted) -> str:
    """A line in the units that it was measured in."""
    row, line = found.row, found.line
    by = 1e6 if row.what == CPU else 1.0
    unit = {CPU: "us", MEMORY: "MB"}.get(row.what, "msg" if row.what in (IN, OUT) else "B")
    per = f" each {row.per}" if row.per else " /s"
    if row.what in ("bytes", MEMORY):
        per = ""
    return f"{line.slope * by:.3g} x {row.size} + {line.base * by:.3g} {unit}{per}"


def _row(row: Row, found: Fitted | None) -> str:
    name = f"{row.mechanism} | {row.what}"
    if found is None:
        return f"| {name} | not measured | | | | | | |"
    at = found.at_aim
    budget = budget_of(row)
    ratio = f"{at / budget:.2g}" if budget else "-"
    r2 = "flat" if found.flat else f"{found.line.r2:.3f}"
    word = verdict_of(row.role, row.mechanism, at / budget if budget else -1.0)
    return (
        f"| {name} | {_slope(found)} | {r2} | {found.line.spread:.0%} | "
        f"{short(at, unit_of(row.what))} | {short(budget, unit_of(row.what)) if budget else '-'} | "
        f"{ratio} | {word} |"
    )


def role_table(role: str, lines: dict[Row, Fitted | None]) -> str:
    """A role's rows."""
    out = [
        "| mechanism | what | slope x size + base | R2 | spread | at the aim | budget | ratio |"
        " verdict |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    out.extend(_row(row, found) for row, found in lines.items() if row.role == role)
    return "\n".join(out)


def totals(lines: dict[Row, Fitted | None]) -> str:
    """What each role's rows add up to."""
    out = ["| role | cores | bytes in | bytes out | memory |", "|---|---|---|---|---|"]
    for role in ("exchange", "registry", "holder"):
        sums: dict[str, float] = {}
        for row, found in lines.items():
            own = row.role == role or (role == "holder" and row.role == "registry")
            apart = row.mechanism in ("calls", "budget shares", "claims")
            if not own or apart or found is None:
                continue
            if role == "holder" and row.role == "registry" and row.what == MEMORY:
                continue
            if (
                role == "holder"
                and row.role == "registry"
                and row.mechanism.startswith(("views", "loop", "ledger"))
            ):
                continue
            what = row.what
            if what == "bytes":
                to_nodes = "share" in row.mechanism
                what = BYTES_OUT if to_nodes else BYTES_IN
            sums[what] = sums.get(what, 0.0) + found.at_aim
        units = ((CPU, ""), (BYTES_IN, "B/s"), (BYTES_OUT, "B/s"), (MEMORY, "MB"))
        said = [short(sums[w], unit) if w in sums else "not measured" for w, unit in units]
        out.append(f"| {role} | {' | '.join(said)} |")
    return "\n".join(out)


def predictions(lines: dict[Row, Fitted | None]) -> str:
    """Lines against what was measured beyond their points."""
    out = ["| role, mechanism, what | fitted to | beyond | said | measured | off |",
           "|---|---|---|---|---|---|"]  # fmt: skip
    for row, found in lines.items():
        if found is None or (row.role, row.mechanism, row.what) not in PREDICTED:
            continue
        for each in found.beyond:
            by = 1e6 if row.what == CPU else 1.0
            most = max(x for x, _ in found.points)
            out.append(
                f"| {row.role}, {row.mechanism}, {row.what} | {row.size} {short(most)} | "
                f"{short(each.size)} | {short(each.said * by)} | {short(each.measured * by)} | "
                f"{each.off:+.0%} |"
            )
    return "\n".join(out)


def reach(raw: Iterable[dict[str, Any]]) -> str:
    """Of what was sent to a peer by its id, the share whose address the sender did not know."""
    found: dict[tuple[str, int], list[tuple[float, float]]] = {}
    for point in raw:
        if point["sweep"] not in ("reach", "nodes"):
            continue
        notes, nodes = point["notes"], point["size"]["nodes"]
        for kind in ("Lists", "Forward"):
            lost, went = notes.get(f"no address: {kind}", 0.0), notes.get(f"addressed: {kind}", 0.0)
            if lost + went:
                found.setdefault((kind, nodes), []).append((lost, lost + went))
    out = ["| message | nodes | sent a second | without an address |", "|---|---|---|---|"]
    for (kind, nodes), pairs in sorted(found.items()):
        lost, whole = sum(a for a, _ in pairs), sum(b for _, b in pairs)
        out.append(f"| {kind} | {nodes} | {short(whole / len(pairs))} | {lost / whole:.0%} |")
    return "\n".join(out)


def cold(hops: list[dict[str, Any]]) -> str:
    """The hops of a cold start."""
    out = ["| hop | median ms | 99 in 100, ms | mean ms |", "|---|---|---|---|"]
    for hop in hops:
        out.append(
            f"| {hop['name']} | {short(hop['median_ms'])} | {short(hop['p99_ms'])} | "
            f"{short(hop['mean_ms'])} |"
        )
    return "\n".join(out)


def anchors(found: list[dict[str, Any]]) -> str:
    """Real processes against hollow ones."""
    out = [
        "| exchanges, calls/s | role | cores real, hollow | MB resident, own | "
        "bytes/s in real, hollow | bytes/s out real, hollow |",
        "|---|---|---|---|---|---|",
    ]
    for each in found:
        for role, real in each["real"].items():
            its = each["hollow"][role]
            out.append(
                f"| {each['exchanges']}, {short(each['calls_per_s'])} | {role} | "
                f"{real['cores']:.4f}, {its['cores']:.4f} | {short(real['resident_mb'])}, "
                f"{short(real['own_mb'])} | {short(real['bytes_in'])}, {short(its['bytes_in'])} | "
                f"{short(real['bytes_out'])}, {short(its['bytes_out'])} |"
            )
    return "\n".join(out)


def about(doc: dict[str, Any]) -> str:
    """How the sweep was run."""
    beyond = sum(1 for p in doc["points"] if p["beyond"])
    return (
        f"{len(doc['points'])} points ({beyond} of them beyond what was fitted) in "
        f"{doc['seconds']} s on {doc['workers']} workers, load average {doc['load']} on "
        f"{doc['cores']} cores at the end. Counted in {doc['unit']}; times are at "
        f"{pace_of(doc['points']):.3g} ns for one, the pace of the fastest tenth of the points. "
        f"Product's commit: {doc['commit']}."
    )


def render(text: str, blocks: dict[str, str]) -> str:
    """A page with its generated blocks made anew.

    Example:
        >>> render("<!-- a -->old<!-- /a -->", {"a": "new"})
        '<!-- a -->\\nnew\\n<!-- /a -->'
    """
    for name, block in blocks.items():
        pattern = re.compile(f"<!-- {name} -->.*?<!-- /{name} -->", re.DOTALL)
        made = f"<!-- {name} -->\n{block}\n<!-- /{name} -->"
        text = pattern.sub(lambda _, made=made: made, text)  # type: ignore[misc]
    return text


def blocks_of(doc: dict[str, Any], cold_doc: Any, anchor_doc: Any) -> dict[str, str]:
    """Every generated block."""
    raw = calm(doc["points"])
    lines = {row: fitted(row, raw) for row in ROWS}
    out = {f"rows-{role}": role_table(role, lines) for role in ROLES}
    out["totals"] = totals(lines)
    out["predictions"] = predictions(lines)
    out["reach"] = reach(raw)
    out["faults"] = faults(lines)
    out["about"] = about(doc)
    out["caps"] = caps(lines)
    if cold_doc:
        out["cold"] = cold(cold_doc["points"])
    if anchor_doc:
        out["anchors"] = anchors(anchor_doc["points"])
    return out


def write(page: Path, blocks: dict[str, str]) -> None:
    """Put the blocks into the page."""
    page.write_text(render(page.read_text(), blocks))


__all__ = ["AIM", "blocks_of", "render", "short", "write"]
