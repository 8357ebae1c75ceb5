"""What a member's store takes on disk after a thousand changes, by the number of functions.

Example:
    python -m tools.store_size 515 36000 --disk-mb 1024
"""

from __future__ import annotations

import argparse
import json
import random
import tempfile
from pathlib import Path

from immutables import Map

from spokeroute.common.ids import (
    CONFIGURATION,
    EVACUATION,
    FLOOR,
    Address,
    Ballot,
    Epoch,
    Incarnation,
    InstanceId,
    MemberId,
    NodeId,
    ServiceName,
    Term,
    WorkerId,
    ZoneName,
)
from spokeroute.dispatch.configuration.configuration import (
    Configuration,
    pack_configuration,
    read_configuration,
)
from spokeroute.dispatch.placement.table import Placed, PlacementTable, pack_placement_table
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.claims import Claim, pack
from spokeroute.register.disk.disk import Disk
from spokeroute.register.disk.jobs import DiskWrite

MB = 1024 * 1024
ZONES = ("north", "centre", "south")
MEMBERS = tuple(MemberId(f"m-{n:012x}") for n in range(3))
CHANGES = 1_000


def configuration_of(functions: int, number: int) -> bytes:
    """A packed configuration of so many functions, each with a route.

    Example:
        configuration_of(515, 1)
    """
    names = [f"function-{n}" for n in range(functions)]
    service = {"memoryMb": 128, "limit": 1, "coldMs": 500, "longestRunMs": 1_000 + number}
    doc = {
        "name": f"v{number}",
        "zones": list(ZONES),
        "services": [{"name": name, **service} for name in names],
        "routes": [{"path": f"/{name}", "service": name, "repeatable": True} for name in names],
    }
    read = read_configuration(json.dumps(doc).encode(), ZONES)
    assert isinstance(read, Configuration), read
    return pack_configuration(read, f"apply-{number}")


def table_of(functions: int, per_function: float, rng: random.Random) -> list[Placed]:
    """A placement table's instances.

    Example:
        table_of(515, 2.0, random.Random(1))
    """
    port = rng.randrange(20_000, 60_000)
    return [
        Placed(
            InstanceId(f"i{n}-{rng.randrange(10**9)}"),
            ServiceName(f"function-{n % functions}"),
            WorkerId(f"worker-{rng.randrange(2_000)}"),
            ZoneName(ZONES[n % 3]),
            Address(f"10.{n % 200}.{n // 200 % 200}.{n // 40_000 + 1}:{port + n % 997}"),
            1,
            "up",
            True,
            True,
            NodeId(f"exchange-{rng.randrange(40)}"),
            Incarnation(rng.randrange(2**40)),
            f"{rng.randrange(2**64):016x}",
            Address(f"10.250.0.{rng.randrange(200)}:7000"),
        )
        for n in range(int(functions * per_function))
    ]  # fmt: skip


def cell_of(value: bytes, counter: int) -> Cell:
    """A cell whose ballot no other has.

    Example:
        cell_of(b"x", 1).version
    """
    ballot = Ballot(counter, MEMBERS[counter % 3])
    return Cell(ballot, ballot, counter, digest_of(value), value)


def filled(folder: Path, functions: int, per_function: float, claims: int, disk_mb: int) -> None:
    """Fill a real store with a thousand configurations, placement tables and rounds of claims, and
    print what is used.

    Example:
        filled(Path("data"), 515, 2.0, 36, 128)
    """
    rng = random.Random(1)
    disk = Disk(folder, disk_mb)
    roster = Roster(Epoch(1), tuple((m, Address(f"h-{m}:7000")) for m in MEMBERS))
    configurations = [configuration_of(functions, n) for n in range(4)]
    instances = table_of(functions, per_function, rng)
    born = 0
    for change in range(1, CHANGES + 1):
        at = rng.randrange(len(instances))
        instances[at] = table_of(functions, 1 / functions, rng)[0]
        if change % 10 == 1:
            table = pack_placement_table(PlacementTable(Term(1), change, tuple(instances)))
        cells: dict[str, bytes] = {
            CONFIGURATION: configurations[change % 4] + b"",
            FLOOR: table,
            EVACUATION: json.dumps([ZONES[change % 3]]).encode(),
        }
        for _ in range(claims):
            born += 1
            call = f"{rng.randrange(2**64):016x}"
            claim = Claim("ended", call, f"{rng.randrange(2**160):040x}", "200", 4_000)
            cells[f"claim/{rng.randrange(2**64):016x}-{born}"] = pack(claim)
        batch = tuple((name, cell_of(value, change)) for name, value in sorted(cells.items()))
        births = tuple((name, change * 900) for name in cells if name.startswith("claim/"))
        disk.write(DiskWrite(change, batch, (), roster, True, births, change * 900, Map()))
    sizes: dict[str, int] = {name: len(cells[name]) for name in (CONFIGURATION, FLOOR)}
    _print(disk, functions, sizes, len(instances), born)
    disk.close()


def _print(disk: Disk, functions: int, sizes: dict[str, int], instances: int, born: int) -> None:
    with disk.env.begin() as txn:
        for name, table in (("cells", disk.cells), ("meta", disk.meta)):
            stat = txn.stat(table)
            pages = stat["leaf_pages"] + stat["overflow_pages"] + stat["branch_pages"]
            print(f"  {name}: {pages * stat['psize'] / MB:.2f} MB, {stat['entries']} entries")
    used = (disk.env.info()["last_pgno"] + 1) * disk.env.stat()["psize"] / MB
    share = disk.max_ledger_bytes / MB
    print(
        f"{functions} functions, {instances} instances, {born} claims: {used:.1f} MB of the file; "
        f"configuration {sizes[CONFIGURATION] / MB:.3f} MB, table {sizes[FLOOR] / MB:.3f} MB; "
        f"the ledger adds {share:.1f} MB at most"
    )


def main() -> None:
    """Measure each number of functions on a store of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("functions", type=int, nargs="+")
    parser.add_argument("--per-function", type=float, default=2.0, help="instances a function")
    parser.add_argument("--claims", type=int, default=9, help="new once-only keys a change")
    parser.add_argument("--disk-mb", type=int, default=128)
    asked = parser.parse_args()
    for functions in asked.functions:
        with tempfile.TemporaryDirectory() as folder:
            filled(Path(folder), functions, asked.per_function, asked.claims, asked.disk_mb)


if __name__ == "__main__":
    main()
