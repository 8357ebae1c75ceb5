"""The giving side of anti-entropy: one page of what another member lacks."""

from __future__ import annotations

from collections.abc import Mapping

from spokeroute.common.ids import CLAIM_PREFIX, NO_BALLOT, Ballot, MemberId, Ms
from spokeroute.register.acceptor.ageing import CLAIM_KEEP_MS
from spokeroute.register.anti_entropy.cell_index import CellIndex
from spokeroute.register.cells import Cell
from spokeroute.transport.anti_entropy_messages import CellPiece, CellsAsk, CellsPart

MIN_PAGE_BYTES = 8 * 1024
MAX_PAGE_BYTES = 128 * 1024
PIECE_BYTES = 200  # what a piece takes besides its name and data
CLAIM_HAND_MS = CLAIM_KEEP_MS - 60_000  # a claim about to be dropped is not handed on


def page_of(
    cells: Mapping[str, Cell], born: Mapping[str, Ms], index: CellIndex, ask: CellsAsk, now_ms: Ms
) -> CellsPart:
    """The next page for who lacks something: what it has not, or has older, up to the bytes that
    it asked for. A value that has no room left is cut, and goes on with the next page.

    Example:
        page_of({}, {}, CellIndex(), CellsAsk(1, 1, (7,), (), nothing, 0, 4096), now_ms).done
    """
    held = {h.name: Ballot(h.counter, MemberId(h.member)) for h in ask.have}
    begun = Ballot(ask.part.counter, MemberId(ask.part.member))
    room = min(max(ask.most_bytes, MIN_PAGE_BYTES), MAX_PAGE_BYTES)
    pieces: list[CellPiece] = []
    done: list[int] = []
    for bucket in ask.buckets:
        newer = [n for n, b in index.held(bucket).items() if b > held.get(n, NO_BALLOT)]
        for name in sorted(newer, key=lambda n: (n != ask.part.name, n)):
            cell = cells[name]
            if not cell.voted:
                continue  # it may have lost: no accept to be delivered late
            age_ms = now_ms - born[name] if name in born else -1
            if name.startswith(CLAIM_PREFIX) and age_ms > CLAIM_HAND_MS:
                continue
            if room <= 0:
                return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
            goes_on = name == ask.part.name and cell.accepted == begun
            offset = ask.part_bytes if goes_on else 0
            data = cell.value[offset : offset + room]
            total = len(cell.value)
            pieces.append(CellPiece(cell.copy(name), offset, total, data, age_ms))
            room -= len(data) + len(name) + PIECE_BYTES
            if offset + len(data) < total:
                return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
        done.append(bucket)
    return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
