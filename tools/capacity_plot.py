"""Plots of the sweeps: what was measured, the line through it, and what lies beyond."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from tools.capacity_rows import CPU, ROWS, Fitted, calm, fitted

PANELS: dict[str, tuple[tuple[str, str, str], ...]] = {
    "nodes": (
        ("registry", "freshness proofs", "msg in"), ("registry", "views and gossip", CPU),
        ("registry", "views and gossip, reports kept", CPU), ("registry", "loop and beats", CPU),
    ),
    "instances": (
        ("exchange", "floor and holds", CPU), ("exchange", "floor and holds", "bytes"),
        ("registry", "platform lists and starts", CPU), ("holder", "LAAF lists, the picture", CPU),
        ("exchange", "memory by instances", "memory"), ("exchange", "LAAF lists", "bytes in"),
    ),
    "functions": (
        ("exchange", "configuration", CPU), ("exchange", "configuration", "bytes"),
        ("registry", "configuration, at the one that is asked", CPU), ("holder", "scaler", CPU),
    ),
    "calls": (
        ("exchange", "calls", CPU), ("exchange", "budget shares", CPU),
        ("exchange", "reports", CPU), ("registry", "claims", CPU),
    ),
}  # fmt: skip


def _panel(axes: Any, found: Fitted) -> None:
    row = found.row
    by = 1e6 if row.what == CPU else 1.0
    unit = "us" if row.what == CPU else row.what
    axes.plot([x for x, _ in found.points], [y * by for _, y in found.points], "o", ms=4)
    beyond = [(b.size, b.measured * by) for b in found.beyond]
    if beyond:
        axes.plot([x for x, _ in beyond], [y for _, y in beyond], "s", ms=5, color="tab:red")
    sizes = [x for x, _ in (*found.points, *beyond)]
    ends = [min(sizes), max(sizes)]
    axes.plot(ends, [found.line.at(x) * by for x in ends], "-", lw=1, color="gray")
    axes.set_title(f"{row.role}: {row.mechanism}", fontsize=8)
    axes.set_xlabel(row.size, fontsize=7)
    axes.set_ylabel(f"{unit}{f' each {row.per}' if row.per else ''}", fontsize=7)
    axes.tick_params(labelsize=6)


def plots(doc: dict[str, Any], folder: Path) -> list[Path]:
    """One picture for each group of sizes; the red squares were not fitted.

    Example:
        plots(load(Path("docs/capacity/sweep.json")), Path("docs/capacity"))
    """
    raw = calm(doc["points"])
    lines = {(r.role, r.mechanism, r.what): fitted(r, raw) for r in ROWS}
    out: list[Path] = []
    for name, keys in PANELS.items():
        shown = [found for key in keys if (found := lines.get(key)) is not None]
        if not shown:
            continue
        columns = 2 if len(shown) <= 4 else 3
        figure, axes = plt.subplots(
            -(-len(shown) // columns), columns, figsize=(3.4 * columns, 5.0), squeeze=False
        )
        for at, panel in enumerate(axes.flat):
            if at < len(shown):
                _panel(panel, shown[at])
            else:
                panel.axis("off")
        figure.tight_layout()
        path = folder / f"{name}.png"
        figure.savefig(path, dpi=90, metadata={"Software": ""})
        plt.close(figure)
        out.append(path)
    return out
