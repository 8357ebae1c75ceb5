"""Pages in which a joining member copies all cells of another member."""

from __future__ import annotations

from collections.abc import Mapping

from spokeroute.common.ids import NO_BALLOT, Ballot, MemberId
from spokeroute.common.replacing import replace
from spokeroute.register.cells import Cell, ballot_of
from spokeroute.transport.messages import CopyCell, CopyPart

COPY_PAGE_BYTES = 32 * 1024  # 131 ms on a 2 Mbit/s link, so heartbeats are not delayed
COPY_CELL_BYTES = 200  # size of a cell apart from its name and value
COPY_PAGE_CELLS = 500


def copy_page(cells: Mapping[str, Cell], epoch: int, after: str) -> CopyPart:
    """The cells after a name, as many as fit on a page.

    A page has at least one cell, which may exceed the page size on its own: it fitted the frame
    in which it arrived.

    Example:
        >>> copy_page({}, 1, "").last
        ''
    """
    page: list[CopyCell] = []
    size_bytes = 0
    last = after
    for name in sorted(n for n in cells if n > after):
        cell = cells[name]
        size_bytes += len(cell.value) + len(name) + COPY_CELL_BYTES
        if page and (size_bytes > COPY_PAGE_BYTES or len(page) >= COPY_PAGE_CELLS):
            return CopyPart(epoch, after, tuple(page), last)
        promised = cell.promised
        page.append(CopyCell(promised.counter, promised.member, cell.copy(name), cell.value))
        last = name
    return CopyPart(epoch, after, tuple(page), "")


def merge_cell(cell: Cell, got: CopyCell) -> Cell:
    """Merge another member's cell into a joining member's: the higher promise, the later accept.

    Where some member promised a later ballot, the value may have lost to one that was not copied.
    It is stored, but does not count as a vote.

    Example:
        >>> merge_cell(Cell(), CopyCell(3, "a", Cell().copy("x"), b"")).promised.counter
        3
    """
    promised = max(cell.promised, Ballot(got.promised_counter, MemberId(got.promised_member)))
    copy, accepted = got.accepted, ballot_of(got.accepted)
    if accepted > cell.accepted:
        cell = Cell(promised, accepted, copy.version, copy.digest, got.value)
    voted = cell.voted and cell.accepted in (promised, NO_BALLOT)
    return replace(cell, promised=promised, voted=voted)
