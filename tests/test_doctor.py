"""Each finding of the doctor, by causing it in the simulated cluster."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from spokeroute.doctor.checks import FleetView, examine
from spokeroute.registry.status import status_doc
from tests.sim.cluster import Sim, configuration
from tests.sim.world import Node


@pytest.fixture
def sim() -> Iterator[Sim]:
    made = Sim(3)
    yield made
    made.close()


def kinds(sim: Sim, *extra: Node) -> set[str]:
    """What the doctor finds, looking at the cluster as it stands."""
    registries: dict[str, Any] = {
        n.address: status_doc(n.process) if n.alive and n.process else None
        for n in (*sim.registries, *extra)
    }
    exchanges: dict[str, bool | None] = {
        n.address: bool(n.state("calls").tables.fresh(n.now_ms())) if n.alive else None
        for n in sim.exchanges
    }
    return {f.kind for f in examine(FleetView(registries, exchanges))}


def test_a_healthy_cluster_has_no_finding(sim: Sim) -> None:
    sim.settle()
    assert kinds(sim) == set()


def test_lost_machines(sim: Sim) -> None:
    sim.settle()
    sim.registries[2].kill()
    sim.exchanges[1].kill()
    sim.run(7_000)
    found = kinds(sim)
    assert {"registry-unreachable", "member-silent", "exchange-unreachable"} <= found
    assert "peer-quiet" in found and "no-majority" not in found


def test_no_majority_and_staleness(sim: Sim) -> None:
    sim.settle()
    for other in ("zone:centre", "zone:south"):
        sim.net.cuts |= {("zone:north", other), (other, "zone:north")}
    sim.run(4_000)
    assert {"stale", "member-silent", "exchange-not-fresh"} <= kinds(sim)
    sim.registries[1].kill()
    sim.registries[2].kill()
    sim.run(100)
    assert "no-majority" in kinds(sim)


def test_disks(sim: Sim) -> None:
    sim.settle()
    for node, change in zip(sim.registries, ("stall", "slow", "full"), strict=True):
        assert node.disk is not None
        if change == "stall":
            node.disk.stalled_until_ms = sim.env.now + 9_000
        elif change == "slow":
            node.disk.sync_ms = 150.0
        else:
            node.disk.full = True
    sim.apply(configuration(name="x"), registry=1)
    found: set[str] = set()
    for _ in range(60):
        sim.run(50)
        found |= kinds(sim)
    assert {"disk-stalled", "slow-sync", "disk-failed"} <= found


def test_blank_and_catching_up(sim: Sim) -> None:
    sim.settle()
    blank = Node(sim, "new", "registry", "north", "10.0.9.1:1", False)
    blank.start()
    sim.run(1_000)
    assert "blank" in kinds(sim, blank)
    sim.registries[0].kill()
    assert sim.up_to(lambda: blank.state("acceptor").synced_votes, 15_000)
    sim.registries[0].start()
    sim.run(2_000)
    assert "not-voting" in kinds(sim, blank)
    blank.kill()


def test_versions_and_epochs_differ(sim: Sim) -> None:
    sim.settle()
    for other in ("zone:centre", "zone:south"):
        sim.net.cuts |= {("zone:north", other), (other, "zone:north")}
    sim.apply(configuration(name="x"), registry=1)
    blank = Node(sim, "new", "registry", "centre", "10.0.9.1:1", False)
    blank.start()
    assert sim.up_to(lambda: blank.state("acceptor").synced_votes, 15_000)
    assert {"versions-differ", "epochs-differ"} <= kinds(sim)
    blank.kill()


def test_platform_and_placement(sim: Sim) -> None:
    sim.settle()
    sim.platform.list_fails = True
    sim.run(6_000)
    assert "listing-stale" in kinds(sim)
    sim.platform.list_fails = False
    holder = next(r for r in sim.registries if r.state("role").term)
    holder.kill()
    sim.run(200)
    assert "no-placement" in kinds(sim)


def test_memory_and_cap(sim: Sim) -> None:
    sim.settle()
    doc = configuration(name="huge")
    for number in range(200):
        doc["services"].append({"name": f"big-{number}", "memoryMb": 7000, "limit": 1,
                                "minInstances": 1})  # fmt: skip
    doc["services"].append({"name": "late", "memoryMb": 7000, "limit": 1})
    doc["routes"].append({"path": "/late", "service": "late"})
    sim.apply(doc)
    sim.routes["/late"] = doc["routes"][-1]
    sim.run(4_000)
    sim.call("/late")
    sim.run(1_500)
    assert "no-memory" in kinds(sim)
    many = configuration(name="many")
    for number in range(150):
        many["services"].append({"name": f"tiny-{number}", "memoryMb": 8, "limit": 1,
                                 "minInstances": 1, "spares": 0})  # fmt: skip
    sim.apply(many)
    assert sim.up_to(lambda: "cap-saturated" in kinds(sim), 5_000)


def test_worker_overloaded_and_old_lists() -> None:
    doc = {
        "diskFailed": False, "epoch": 1, "votes": True, "syncMs": 1, "provedAgoMs": 10,
        "roster": [], "peers": [], "holdsPlacement": True, "listsPushedAgoMs": 9_000,
        "platform": {"listedAgoMs": 5, "startTokens": 9.0}, "noRoomFor": [],
        "workersPct": {"w1": 91.0}, "versions": {},
    }  # fmt: skip
    found = {f.kind for f in examine(FleetView({"a": doc}, {}))}
    assert found == {"worker-overloaded", "lists-old"}


def test_settings_file_and_seeds(tmp_path: Path) -> None:
    path = tmp_path / "ex.toml"
    path.write_text(
        'name = "ex1"\nzone = "north"\ntrunk = "127.0.0.1:1"\nhttp = "127.0.0.1:2"\n'
        'seeds = ["127.0.0.1:9"]\n'
    )
    command = [sys.executable, "-m", "spokeroute", "doctor", "--role", "exchange", "--json"]
    got = subprocess.run(
        [*command, "--daemon-settings", str(path)], capture_output=True, timeout=60, check=False
    )
    assert got.returncode == 1 and b"seed-unreachable" in got.stdout
    path.write_text("colour = 1\n")
    got = subprocess.run(
        [*command, "--daemon-settings", str(path)], capture_output=True, timeout=60, check=False
    )
    assert got.returncode == 1 and b"unknown setting" in got.stdout
