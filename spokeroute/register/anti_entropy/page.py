"""The sending side of anti-entropy: builds one page of what another member lacks."""

from __future__ import annotations

from collections.abc import Mapping

from spokeroute.common.ids import CLAIM_PREFIX, NO_BALLOT, Ballot, MemberId, Ms
from spokeroute.register.acceptor.expiry import CLAIM_RETENTION_MS
from spokeroute.register.anti_entropy.cell_index import CellIndex
from spokeroute.register.cells import Cell
from spokeroute.transport.anti_entropy_messages import CellPiece, CellsAsk, CellsPart

MIN_PAGE_BYTES = 8 * 1024
MAX_PAGE_BYTES = 128 * 1024
PIECE_BYTES = 200  # overhead of a piece besides its name and data
MAX_SENT_CLAIM_AGE_MS = CLAIM_RETENTION_MS - 60_000  # claims about to be dropped are not sent


def page_of(
    cells: Mapping[str, Cell], born: Mapping[str, Ms], index: CellIndex, ask: CellsAsk, now_ms: Ms
) -> CellsPart:
    """Returns the next page for a member: what it lacks or has in an older version, up to the size
    that it asked for. A value that does not fit is split, and continues with the next page.

    Example:
        page_of({}, {}, CellIndex(), CellsAsk(1, 1, (7,), (), nothing, 0, 4096), now_ms).done
    """
    theirs = {h.name: Ballot(h.counter, MemberId(h.member)) for h in ask.have}
    partial = Ballot(ask.part.counter, MemberId(ask.part.member))
    room = min(max(ask.most_bytes, MIN_PAGE_BYTES), MAX_PAGE_BYTES)
    pieces: list[CellPiece] = []
    done: list[int] = []
    for bucket in ask.buckets:
        newer = [n for n, b in index.ballots(bucket).items() if b > theirs.get(n, NO_BALLOT)]
        for name in sorted(newer, key=lambda n: (n != ask.part.name, n)):
            cell = cells[name]
            if not cell.voted:
                continue  # its round may have lost: there is no accept to deliver late
            age_ms = now_ms - born[name] if name in born else -1
            if name.startswith(CLAIM_PREFIX) and age_ms > MAX_SENT_CLAIM_AGE_MS:
                continue
            if room <= 0:
                return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
            continued = name == ask.part.name and cell.accepted == partial
            offset = ask.part_bytes if continued else 0
            data = cell.value[offset : offset + room]
            total = len(cell.value)
            pieces.append(CellPiece(cell.copy(name), offset, total, data, age_ms))
            room -= len(data) + len(name) + PIECE_BYTES
            if offset + len(data) < total:
                return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
        done.append(bucket)
    return CellsPart(ask.epoch, ask.number, tuple(pieces), tuple(done))
