"""What breaks first: the sizes at which a fixed limit, or one loop's time, is used up."""

from __future__ import annotations

import math
from collections.abc import Mapping

from spokeroute.dispatch.configuration import MAX_CONFIGURATION_BYTES
from spokeroute.register.probed import INLINE_BYTES
from spokeroute.registry.platform_edge import MAX_LISTING_BYTES
from spokeroute.transport.frames import MAX_FRAME_BYTES
from tools.capacity_aim import AIM, CORES_A_NODE, MB_A_NODE
from tools.capacity_rows import BYTES_IN, CPU, MEMORY, Fitted, Row

MIB = 2**20
PASS_S = 0.1
LISTING_S = 0.4
Lines = Mapping[Row, Fitted | None]


def _found(lines: Lines, role: str, mechanism: str, what: str) -> Fitted | None:
    for row, found in lines.items():
        if (row.role, row.mechanism, row.what) == (role, mechanism, what):
            return found
    return None


def reached(found: Fitted, limit: float) -> float:
    """The size at which a line comes to a limit.

    Example:
        reached(found, 8 * 2**20)
    """
    return max(0.0, (limit - found.line.base) / found.line.slope)


def caps(lines: Lines) -> str:
    """The table of what breaks first.

    Example:
        caps({row: fitted(row, raw) for row in ROWS})
    """
    out = ["| limit | reached at | the aim | share |", "|---|---|---|---|"]
    rows: tuple[tuple[str, str, str, str, float], ...] = (
        (f"a floor goes with the proofs' answers ({INLINE_BYTES // 1024} KB), above that it is "
         "fetched", "exchange", "floor and holds", "bytes", INLINE_BYTES),
        (f"a floor in one frame ({MAX_FRAME_BYTES // MIB} MB)", "exchange", "floor and holds",
         "bytes", MAX_FRAME_BYTES),
        (f"a listing ({MAX_LISTING_BYTES // MIB} MB)", "registry", "platform lists and starts",
         "bytes", MAX_LISTING_BYTES),
        (f"a configuration as it is sent ({MAX_CONFIGURATION_BYTES // MIB} MB)", "client",
         "configuration", "bytes", MAX_CONFIGURATION_BYTES),
        (f"the lists in one frame ({MAX_FRAME_BYTES // MIB} MB)", "exchange", "LAAF lists",
         BYTES_IN, MAX_FRAME_BYTES),
        ("a planning pass takes its whole 0.1 s", "holder", "scaler", CPU, PASS_S),
        ("the picture alone takes a pass's 0.1 s", "holder", "LAAF lists, the picture", CPU,
         PASS_S),
        ("a LAAF run takes a second", "holder", "LAAF lists, a run", CPU, 1.0),
        ("a listing takes the 0.4 s until the next", "registry", "platform lists and starts", CPU,
         LISTING_S),
        (f"a node's held instances take its {CORES_A_NODE:.1%} of a core", "exchange", "reports",
         CPU, CORES_A_NODE),
        (f"a node's tables take its {MB_A_NODE:.0f} MB", "exchange", "memory by instances", MEMORY,
         MB_A_NODE),
    )  # fmt: skip
    for text, role, mechanism, what, limit in rows:
        found = _found(lines, role, mechanism, what)
        if found is None:
            out.append(f"| {text} | not measured | | |")
            continue
        at, size = reached(found, limit), found.row.size
        out.append(f"| {text} | {_whole(at)} {size} | {_whole(AIM[size])} | {at / AIM[size]:.2g} |")
    return "\n".join(out)


def _whole(number: float) -> str:
    """Three digits that count, as a whole number where it is one.

    Example:
        >>> _whole(65_432.1), _whole(2.5)
        ('65,400', '2.5')
    """
    if number < 100:
        return f"{number:.3g}"
    digits = 2 - math.floor(math.log10(number))
    return f"{round(number, digits):,.0f}"
