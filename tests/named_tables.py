"""Sample placement tables and their copies by version, for tests of the replica."""

from __future__ import annotations

from spokeroute.common.ids import CONFIGURATION, EVACUATION, FLOOR, ROSTER, Incarnation
from spokeroute.register.cells import Cell, digest_of
from spokeroute.transport.messages import Copy

LIFE = Incarnation(1)
NOTHING = tuple(Cell().copy(name) for name in (CONFIGURATION, EVACUATION, ROSTER))


def table(version: int) -> bytes:
    return f"table {version}".encode()


def copy_of(version: int) -> Copy:
    return Copy(FLOOR, version, digest_of(table(version)), version, "m1")
