"""Corrupted stores and forged frames: refused with a clear error, without effect and without ending
the process."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from spokeroute.common.ids import Address, Ballot, Epoch, MemberId
from spokeroute.register.cells import Cell, Roster, digest_of, pack_roster
from spokeroute.register.disk.disk import Disk, DiskError, Loaded
from spokeroute.register.disk.jobs import DiskWrite
from spokeroute.transport.frames import Envelope, encode
from spokeroute.transport.messages import (
    Accept,
    Copy,
    HandOver,
    LedgerShare,
    RoleFree,
    RosterNews,
)
from tests.sim.cluster import Sim, configuration

VALUE = b"v" * 9_000
ROSTER = Roster(Epoch(3), ((MemberId("m1"), Address("10.0.0.1:1")),))
PAGE = 4_096


def written(folder: Path) -> Loaded:
    """Write a store with two registers and a roster, and return its contents."""
    disk = Disk(folder, 16)
    disk.load()
    ballot = Ballot(7, MemberId("m1"))
    cells = tuple(
        (name, Cell(ballot, ballot, 4, digest_of(VALUE), VALUE)) for name in ("floor", "x")
    )
    disk.write(DiskWrite(1, cells, (), ROSTER, True))
    disk.close()
    disk = Disk(folder, 16)
    loaded = disk.load()
    disk.close()
    return loaded


def meta_put(folder: Path, key: bytes, value: bytes | None) -> None:
    disk = Disk(folder, 16)
    with disk.env.begin(write=True) as txn:
        txn.delete(key, db=disk.meta) if value is None else txn.put(key, value, db=disk.meta)
    disk.close()


@pytest.mark.parametrize("found", [None, b"1", b"3"])
def test_a_store_of_another_version_is_refused(tmp_path: Path, found: bytes | None) -> None:
    loaded = written(tmp_path)
    meta_put(tmp_path, b"format", found)
    disk = Disk(tmp_path, 16)
    with pytest.raises(DiskError, match=r"another version of this program.*start blank"):
        disk.load()
    disk.close()
    meta_put(tmp_path, b"format", b"2")
    disk = Disk(tmp_path, 16)
    assert disk.load().start_count == loaded.start_count + 1, "the refused opening wrote nothing"
    disk.close()


def test_a_store_of_another_running_member_is_refused(tmp_path: Path) -> None:
    disk = Disk(tmp_path, 16)
    disk.load()
    with pytest.raises(DiskError, match="another running member's"):
        Disk(tmp_path, 16)
    disk.close()


def test_a_changed_ballot_on_disk_is_detected(tmp_path: Path) -> None:
    """A promise that reads back lower would be broken, so cell headers have their own checksum."""
    written(tmp_path)
    disk = Disk(tmp_path, 16)
    with disk.env.begin(write=True) as txn:
        raw = bytes(txn.get(b"floor", db=disk.cells) or b"")
        txn.put(b"floor", raw.replace(b"[7,", b"[6,", 1), db=disk.cells)
    with pytest.raises(DiskError, match=r"'floor'.*damaged"):
        disk.load()
    disk.close()


def test_a_changed_roster_on_disk_is_detected(tmp_path: Path) -> None:
    written(tmp_path)
    forged = pack_roster(Roster(Epoch(9), ROSTER.members))
    meta_put(tmp_path, b"roster", b"\0\0\0\0" + forged)
    disk = Disk(tmp_path, 16)
    with pytest.raises(DiskError, match="damaged"):
        disk.load()
    disk.close()


OPEN = """
import sys
from pathlib import Path
from spokeroute.register.disk.disk import Disk, DiskError
for folder in sys.argv[1:]:
    try:
        loaded = Disk(Path(folder), 16).load()
        print("same" if sorted(loaded.cells) == ["floor", "x"] and loaded.roster else "less")
    except DiskError as fault:
        print("refused", fault)
"""


def test_damaged_pages_are_refused_or_harmless(tmp_path: Path) -> None:
    """Changed bytes in any page: the store is refused with an error, or reads back unchanged."""
    written(tmp_path / "good")
    image = (tmp_path / "good" / "data.mdb").read_bytes()
    rng = random.Random(3)
    folders: list[str] = []
    for page in range(2, len(image) // PAGE):
        for _ in range(2):
            at = page * PAGE + rng.randrange(64, PAGE - 64)
            folder = tmp_path / f"bad-{len(folders)}"
            folder.mkdir()
            junk = rng.randbytes(16)
            (folder / "data.mdb").write_bytes(image[:at] + junk + image[at + 16 :])
            folders.append(str(folder))
    done = subprocess.run(
        [sys.executable, "-c", OPEN, *folders], capture_output=True, text=True, check=False
    )
    lines = done.stdout.splitlines()
    assert done.returncode == 0 and len(lines) == len(folders), done.stderr
    assert {line.split()[0] for line in lines} <= {"same", "refused"}, lines
    assert any("damaged" in line for line in lines)


def forged(sim: Sim, messages: list[Any], life: int = 1) -> None:
    """Send frames to a registry in the name of a known member."""
    there, sender = sim.registries[0], sim.registries[1]
    assert sender.process is not None and there.process is not None
    for message in messages:
        me = sender.process.me
        there.frame(encode(Envelope(me.node, life, me.address, there.process.me.node, message)))


def test_forged_and_old_frames_change_nothing(sim: Sim) -> None:
    sim.settle()
    there = sim.registries[0]
    epoch = there.state("acceptor").epoch
    value = b"another value"
    other = Copy("configuration", 99, digest_of(value), 10**6, "m-forged")
    wrong = Copy("configuration", 99, digest_of(b"else"), 10**6, "m-forged")
    before = (there.state("acceptor").cells["configuration"], there.state("membership").roster)
    lives = there.state("role").incarnations
    forged(sim, [
        RosterNews(b"\xff junk"), RosterNews(b"[]"), RosterNews(b'{"epoch": 99}'),
        RosterNews(pack_roster(Roster(Epoch(0), ()))),
        LedgerShare(b"junk"), LedgerShare(b""),
        Accept(epoch, wrong, value), HandOver(epoch, wrong, value),
        Accept(epoch - 1, other, value), HandOver(epoch - 1, other, value),
        Accept(epoch + 1, other, value), HandOver(epoch + 1, other, value),
        RoleFree(0), RoleFree(10**9),
    ], life=0)  # fmt: skip
    sim.run(3_000)
    assert there.state("acceptor").cells["configuration"] == before[0]
    assert there.state("membership").roster == before[1]
    assert there.state("role").incarnations == lives
    assert sum(1 for r in sim.registries if r.state("role").term) == 1
    told = sim.apply(configuration(name="after"))
    sim.run(1_000)
    assert told.status == 200
