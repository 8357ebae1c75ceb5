"""A real store that refuses writes: its contents, the errors reported, and how it is reopened."""

from __future__ import annotations

import random
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import pytest

from spokeroute.common.ids import Address, Ballot, Epoch, MemberId, NodeId
from spokeroute.common.slab import Slab
from spokeroute.ledger.writer import LedgerFailed, LedgerWrite, LedgerWritten
from spokeroute.register.cells import Cell, Roster, digest_of
from spokeroute.register.disk.disk import Disk, DiskBusyError, DiskError
from spokeroute.register.disk.jobs import (
    DiskDone,
    DiskFailed,
    DiskWrite,
    ReopenFailed,
    ReopenStore,
    StoreReopened,
)
from spokeroute.registry.api import Api
from spokeroute.registry.disk_executor import DiskExecutor, open_store
from tests.sim.cluster import Sim

SMALL_MB = 1
ME = NodeId("m-1")


class Refusing:
    """An environment whose commits fail as on a full disk, with all or none of a batch written."""

    def __init__(self, env: lmdb.Environment, there: bool) -> None:
        self.env = env
        self.there = there

    def begin(self, write: bool = False) -> RefusingTxn | lmdb.Transaction:
        if not write:
            raise lmdb.PanicError("MDB_PANIC: Update of meta page failed")
        return RefusingTxn(self.env.begin(write=True), self.there)

    def close(self) -> None:
        self.env.close()


class RefusingWrites(Refusing):
    """An environment that opens its tables but refuses writes."""

    def __init__(self, env: lmdb.Environment) -> None:
        super().__init__(env, False)

    def open_db(self, key: bytes, create: bool) -> object:
        return self.env.open_db(key, create=create)


class RefusingTxn:
    """A transaction of an environment whose commits fail."""

    def __init__(self, txn: lmdb.Transaction, there: bool) -> None:
        self.txn = txn
        self.there = there

    def __enter__(self) -> lmdb.Transaction:
        return self.txn

    def __exit__(self, *fault: object) -> None:
        if self.there:
            self.txn.commit()
        else:
            self.txn.abort()
        raise lmdb.DiskError("mdb_txn_commit: No space left on device")


@pytest.fixture
def store(tmp_path: Path) -> Iterator[tuple[Disk, str]]:
    """An open store and its member id."""
    disk = Disk(tmp_path / "store", 16)
    yield disk, disk.load().member
    disk.close()


def test_start_on_a_full_disk_retries_until_a_write_succeeds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a new and an existing folder, refused on opening and when the start is counted: the
    process keeps retrying and the member id stays the same."""
    original, refusals = lmdb.open, [0]

    def refusing(*args: Any, **options: Any) -> Any:
        refusals[0] += 1
        if refusals[0] % 3 == 1:
            raise lmdb.DiskError("No space left on device")
        env = original(*args, **options)
        return env if refusals[0] % 3 == 0 else RefusingWrites(env)

    monkeypatch.setattr("spokeroute.register.disk.disk.lmdb.open", refusing)
    pauses: list[float] = []
    members = set()
    for starts in (1, 2):
        disk, loaded = open_store(tmp_path / "store", 16, pauses.append)
        assert loaded.start_count == starts
        members.add(loaded.member)
        disk.close()
    assert len(pauses) == 4 and len(members) == 1


def cell(number: int, value: bytes) -> Cell:
    ballot = Ballot(number, MemberId(ME))
    return Cell(ballot, ballot, number, digest_of(value), value)


def batch(number: int, name: str = "configuration", value: bytes = b"") -> DiskWrite:
    roster = Roster(Epoch(1), ((MemberId(ME), Address("10.0.0.1:1")),))
    kept = cell(number, value or f"value {number}".encode())
    return DiskWrite(number, ((name, kept),), (), roster, True)


@pytest.mark.parametrize("there", [False, True])
def test_a_failed_batch_is_on_disk_completely_or_not_at_all(
    store: tuple[Disk, str], there: bool
) -> None:
    disk, member = store
    disk.write(batch(1))
    disk.append((("k1", "{}"),), 1_000)
    disk.env = Refusing(disk.env, there)
    with pytest.raises(lmdb.DiskError):
        disk.write(batch(2))
    with pytest.raises(DiskBusyError, match="ask again"):
        disk.entries("", 10)
    found = disk.reopen(member, 10)
    assert (found.member, found.votes) == (member, True)
    assert found.cells["configuration"].version == (2 if there else 1)
    assert disk.entries("", 10) == [("k1", "{}")]
    disk.write(batch(3))
    disk.close()
    again = Disk(disk.folder, 16)
    loaded = again.load()
    assert loaded.cells["configuration"].version == 3
    assert (loaded.member, loaded.start_count) == (member, 2)
    again.close()


def test_a_reopen_generates_no_member_id(store: tuple[Disk, str]) -> None:
    disk, member = store
    with pytest.raises(DiskError, match="no longer that of member"):
        disk.reopen("m-another", 0)
    assert disk.reopen(member, 0).member == member
    (disk.folder / "data.mdb").unlink()
    with pytest.raises(DiskError, match=r"no longer|can't be opened"):
        disk.reopen(member, 0)
    with pytest.raises(DiskError, match=r"no longer|can't be opened"):
        disk.reopen(member, 0)


def test_a_damaged_register_is_named_with_its_remedy(store: tuple[Disk, str]) -> None:
    disk, member = store
    for raw in (b"", b"\0\0\0\x05[1,2]", b"\xff\xff\xff\xff", b"\0\0\0\x02{}x"):
        with disk.env.begin(write=True) as txn:
            txn.put(b"floor", raw, db=disk.cells)
        with pytest.raises(DiskError, match=r"register 'floor'.*move the data folder away"):
            disk.reopen(member, 0)


def test_the_disk_executor_reports_in_job_order(store: tuple[Disk, str]) -> None:
    """A ledger write that breaks the environment also causes a reopen for the registers."""
    disk, member = store
    reports: list[tuple[str, object]] = []
    executor = DiskExecutor(disk, member, lambda actor, event: reports.append((actor, event)))
    entries = (("k1", "{}"), ("k2", "{}"))
    executor.write("acceptor", batch(1))
    executor.pool.submit(lambda: setattr(disk, "env", Refusing(disk.env, False)))
    executor.ledger("ledger", LedgerWrite(entries, ME))
    executor.write("acceptor", batch(2))
    executor.reopen("acceptor", ReopenStore(100))
    executor.ledger("ledger", LedgerWrite(entries, ME))
    executor.write("acceptor", batch(3))
    executor.pool.submit(lambda: (disk.folder / "data.mdb").unlink())
    executor.reopen("acceptor", ReopenStore(0))
    executor.close()
    kinds = [(actor, type(event)) for actor, event in reports]
    assert kinds == [
        ("acceptor", DiskDone), ("ledger", LedgerFailed), ("acceptor", DiskFailed),
        ("acceptor", DiskFailed), ("acceptor", StoreReopened), ("ledger", LedgerWritten),
        ("acceptor", DiskDone), ("acceptor", ReopenFailed),
    ]  # fmt: skip
    assert reports[1][1] == LedgerFailed("k1", "k2", ME)
    found = reports[4][1]
    assert isinstance(found, StoreReopened) and found.cells["configuration"].version == 1


def test_the_ledger_is_readable_while_the_store_is_reopened(store: tuple[Disk, str]) -> None:
    """Readers on other threads get entries or are told to retry; none uses a closed environment."""
    disk, member = store
    entries = tuple((f"k{n:04d}", "{}") for n in range(500))
    disk.append(entries, 1_000)
    done = threading.Event()
    faults: list[BaseException] = []

    def read() -> None:
        while not done.is_set():
            try:
                assert disk.entries("", 1_000) == list(entries)
            except DiskBusyError:
                continue
            except BaseException as fault:
                faults.append(fault)

    readers = [threading.Thread(target=read) for _ in range(4)]
    for reader in readers:
        reader.start()
    for _ in range(60):
        disk.reopen(member, 100)
    done.set()
    for reader in readers:
        reader.join(10)
    assert faults == []


def test_a_ledger_request_during_a_reopen_is_referred_to_another_registry(
    store: tuple[Disk, str], sim: Sim, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, _ = store
    sim.start()
    process = sim.registries[0].process
    assert process is not None
    api = Api(process, Slab(4), disk, lambda event: None)
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/ledger", "QUERY_STRING": ""}
    statuses: list[str] = []

    def answered(status: str, headers: object) -> None:
        statuses.append(status)

    monkeypatch.setattr("spokeroute.register.disk.disk.READER_LOCK_TIMEOUT_S", 0.01)
    api(environ, answered)
    with disk.environment_lock:
        body = b"".join(api(environ, answered))
    assert b"ask another registry" in body
    assert [status[:3] for status in statuses] == ["200", "503"]


def filled_to_map_size(disk: Disk) -> int:
    """Write registers until the store is at its map size, and return their number."""
    rng = random.Random(3)
    for number in range(1, 10_000):
        try:
            disk.write(batch(number, f"claim/{number}", rng.randbytes(3_000)))
        except lmdb.MapFullError:
            return number - 1
    raise AssertionError("the store takes more than its map size")


def test_a_full_store_keeps_all_registers_and_reports_the_limit(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "small", SMALL_MB)
    member = disk.load().member
    count = filled_to_map_size(disk)
    assert count > 100
    with pytest.raises(DiskError, match="raise disk_mb"):
        disk.reopen(member, 50_000)
    disk.close()
    larger = Disk(tmp_path / "small", 2 * SMALL_MB)
    loaded = larger.load()
    assert loaded.member == member and len(loaded.cells) == count
    larger.close()


def test_a_full_store_drops_ledger_entries_for_registers(tmp_path: Path) -> None:
    """The ledger uses its share and registers fill the rest. On reopening, the store drops old
    ledger entries and then accepts the batch that it refused."""
    disk = Disk(tmp_path / "small", SMALL_MB)
    member = disk.load().member
    rng = random.Random(1)
    for number in range(200):
        disk.append(((f"{number:06d}", rng.randbytes(3_000).hex()),), 200_000)
    before = len(disk.entries("", 1_000))
    count = filled_to_map_size(disk)
    found = disk.reopen(member, 3_000)
    assert len(found.cells) == count
    disk.write(batch(count + 1, f"claim/{count + 1}", rng.randbytes(3_000)))
    kept = disk.entries("", 1_000)
    assert 0 < len(kept) < before and kept[-1][0] == "000199"
    disk.close()


def test_registers_are_written_while_the_ledger_uses_its_share(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "small", SMALL_MB)
    disk.load()
    rng = random.Random(2)
    for number in range(1, 600):
        disk.append(((f"{number:06d}", rng.randbytes(2_000).hex()),), 200_000)
        disk.write(batch(number, f"r{number % 20}", rng.randbytes(6_000)))
    assert disk.entries("", 1_000)[-1][0] == "000599"
    disk.close()


LIMITED = """
import resource, signal, sys
from pathlib import Path
from spokeroute.register.disk.disk import Disk, DiskError
from tests.test_store_full import batch

signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
disk = Disk(Path(sys.argv[1]), 16)
member = disk.load().member
disk.write(batch(1))
words = []

def limited(size_bytes):
    resource.setrlimit(resource.RLIMIT_FSIZE, (size_bytes, resource.RLIM_INFINITY))

def attempt(what):
    try:
        return f"{what()}"
    except DiskError as fault:
        return f"refused {fault}"
    except Exception as fault:
        return f"failed {fault}"

for size_bytes in (0, 4096, 40_960):
    limited(size_bytes)
    words.append(attempt(lambda: disk.write(batch(2, value=b"x" * 200_000))))
    words.append(attempt(lambda: disk.reopen(member, 200_000).member))
    limited(resource.RLIM_INFINITY)
    found = disk.reopen(member, 200_000)
    words.append(f"{found.member == member} {found.cells['configuration'].version}")
disk.write(batch(3))
words.append(f"{disk.reopen(member, 0).cells['configuration'].version}")
print("\\n".join(words))
"""


def test_writes_fail_at_a_file_size_limit_and_recover(tmp_path: Path) -> None:
    """The system refuses the writes of a real process, at three file size limits."""
    got = subprocess.run(
        [sys.executable, "-c", LIMITED, str(tmp_path / "store")],
        capture_output=True, timeout=60, check=True, text=True,
    )  # fmt: skip
    words = got.stdout.splitlines()
    for refused, reopened, freed in (words[0:3], words[3:6], words[6:9]):
        assert refused.startswith("failed") and reopened.startswith("refused"), words
        assert freed == "True 1"
    assert words[9:] == ["3"]
