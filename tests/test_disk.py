"""Durability of a real lmdb environment when power is lost between any two steps of a sync.

lmdb writes and syncs data pages, then writes and syncs one meta page. After a power loss either
any subset of the data pages is on disk with the old meta page, or all of them are, with the old or
the new meta page.
"""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path

import pytest

from spokeroute.common.ids import Address, Ballot, Epoch, MemberId
from spokeroute.register.acceptor.acceptor import DiskWrite
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.disk.disk import Disk, DiskError, Loaded

PAGE = 4096
META_PAGES = (0, 1)


def pages(image: bytes) -> list[bytes]:
    return [image[at : at + PAGE] for at in range(0, len(image), PAGE)]


def changed(before: bytes, after: bytes) -> list[int]:
    old, new = pages(before), pages(after)
    return [i for i, page in enumerate(new) if i >= len(old) or old[i] != page]


def mixed(before: bytes, after: bytes, there: set[int]) -> bytes:
    """The old image with some pages of the new one; it may be as long as the new one."""
    old, new = pages(before), pages(after)
    blank = b"\0" * PAGE
    longest = max((i + 1 for i in there), default=len(old))
    count = max(len(old), longest)
    return b"".join(
        new[i] if i in there else (old[i] if i < len(old) else blank) for i in range(count)
    )


def reopened(folder: Path, image: bytes) -> tuple[Loaded, list[str]]:
    """The contents of the disk after a restart of the machine."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    (folder / "data.mdb").write_bytes(image)
    disk = Disk(folder, 16)
    loaded = disk.load()
    keys = [key for key, _ in disk.entries("", 10_000)]
    disk.close()
    return loaded, keys


def test_power_lost_between_any_two_steps_of_a_sync(tmp_path: Path) -> None:
    rng = random.Random(11)
    disk = Disk(tmp_path / "live", 16)
    member = disk.load().member
    path = tmp_path / "live" / "data.mdb"
    roster = Roster(Epoch(1), ((member, Address("10.0.0.1:1")),))
    acked: dict[str, Cell] = {}
    entries: list[str] = []
    states = 0
    for number in range(1, 41):
        before = path.read_bytes()
        known, kept = dict(acked), list(entries)
        if number % 4 == 0:
            key = f"{number:010d}-1-m"
            disk.append(((key, "x" * rng.randrange(10, 9_000)),), 1_000)
            entries.append(key)
        else:
            value = rng.randbytes(rng.choice((20, 900, 9_000, 60_000)))
            ballot = Ballot(number, MemberId(member))
            cell = Cell(ballot, ballot, number, digest_of(value), value)
            name = rng.choice(("floor", "configuration", f"claim/{number}"))
            disk.write(DiskWrite(number, ((name, cell),), (), roster, True))
            acked[name] = cell
        after = path.read_bytes()
        moved = changed(before, after)
        data = [i for i in moved if i not in META_PAGES]
        meta = {i for i in moved if i in META_PAGES}
        assert data and len(meta) == 1
        partly = [set(rng.sample(data, rng.randint(0, len(data)))) for _ in range(3)]
        for there in (*partly, set(data)):
            loaded, keys = reopened(tmp_path / "crashed", mixed(before, after, there))
            assert (dict(loaded.cells), keys) == (known, kept)
            assert loaded.member == member
            states += 1
        loaded, keys = reopened(tmp_path / "crashed", mixed(before, after, set(data) | meta))
        assert (dict(loaded.cells), keys, loaded.votes) == (acked, entries, True)
    assert states == 160
    disk.close()


def test_an_unsynced_page_is_detected_by_these_checks(tmp_path: Path) -> None:
    """Injected fault: the meta page reaches the disk without one of its data pages."""
    disk = Disk(tmp_path / "live", 16)
    member = disk.load().member
    path = tmp_path / "live" / "data.mdb"
    ballot = Ballot(1, MemberId(member))
    value = b"v" * 9_000
    before = path.read_bytes()
    cell = Cell(ballot, ballot, 1, digest_of(value), value)
    disk.write(DiskWrite(1, (("floor", cell),), (), None, False))
    after = path.read_bytes()
    disk.close()
    lost = next(i for i, page in enumerate(pages(after)) if page == b"v" * PAGE)
    there = {i for i in changed(before, after) if i != lost}
    with pytest.raises(DiskError):
        reopened(tmp_path / "crashed", mixed(before, after, there))


def test_directory_entries_of_a_new_store_are_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """lmdb syncs only the file. The directory entries of the file and of its new parent folders
    must be synced before anything is acknowledged."""
    synced: list[int] = []
    original = os.fsync

    def fsync(fd: int) -> None:
        synced.append(os.fstat(fd).st_ino)
        original(fd)

    monkeypatch.setattr(os, "fsync", fsync)
    disk = Disk(tmp_path / "a" / "b", 16)
    disk.load()
    disk.close()
    for folder in (tmp_path / "a" / "b", tmp_path / "a", tmp_path):
        assert folder.stat().st_ino in synced, folder
