"""A fleet behind the adapter: settings files, the platform's wire for callers and operators."""

from __future__ import annotations

import http.client
import json
import secrets
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from tools.fleet import ZONES, Fleet
from tools.load import bearer, now_ms
from tools.log import Asked, Told
from tools.ports import free_ports
from tools.soak.clients import Wire
from tools.soak.keys import KeyedLoad, keys_at, tenants_at

ROOT = Path(__file__).parent.parent.parent
HOST = "calls.example"
NOT_RUN = (408, 421, 429, 503)
SETTINGS = """node-name={name}
role={role}
zone={zone}
region=home
ip-address={address}
listen-addresses.{serves}={address}:{port}
internal-port-range={trunk},{trunk}
seed-nodes={seeds}
first-start={first}
data-directory={data}
limits.disk-mb=96
limits.memory-mb=300
fault-tolerance.machine-losses=1
bounds.grace-s=6
bounds.catch-up-s=4
bounds.stretch-limit-ms=12000
bounds.retry-budget-ratio=0.2
bounds.budget-extra-tries=58
cloud-api.address={cloud}
cloud-api.rate-per-s=27
cloud-api.duty-per-s=110
cloud-api.replication-lag-ms=500
"""


@dataclass
class AdapterFleet(Fleet):
    """Each process has a loopback address of its own, as ports are alike on all machines."""

    addresses: dict[str, str] = field(default_factory=dict)
    port: int = 0
    trunk: int = 0
    limits: dict[str, int] = field(default_factory=dict)
    ready_path: str = "/api/readiness"
    first_start: bool = True

    def plan(self) -> None:
        """Choose addresses, write each process's settings and its command."""
        names = [f"reg{i + 1}" for i in range(3)] + [f"ex{i + 1}" for i in range(self.exchanges)]
        self.folder.mkdir(parents=True, exist_ok=True)
        self.port, self.trunk, cloud = free_ports(3)
        self.platform = f"127.0.0.1:{cloud}"
        limits = self.folder / "limits.json"
        limits.write_text(json.dumps(self.limits))
        self.commands["platform"] = [
            sys.executable, "-m", "tools.soak.cloud_standin", "--listen", self.platform,
            "--log", str(self.folder / "standin.log"), "--limits", str(limits),
            "--start-busy-ms", "1400", "--start-small-ms", "1000", *self.standin_flags,
        ]  # fmt: skip
        for name in names:
            self._place(name)
        for name in names:
            self._settle(name, names[:3])

    def _place(self, name: str) -> None:
        number = len(self.addresses) + 1
        self.addresses[name] = f"127.1.{number // 250}.{number % 250 + 1}"
        self.http[name] = f"{self.addresses[name]}:{self.port}"

    def _settle(self, name: str, seeds: list[str]) -> None:
        """Write a process's settings, and its command."""
        member = name.startswith("reg")
        role = "registry" if member else "exchange"
        number = len(self.commands)
        text = SETTINGS.format(
            name=name, role=role, zone=ZONES[(number - 1) % len(ZONES)],
            address=self.addresses[name], port=self.port, trunk=self.trunk,
            serves="control-plane" if member else "frontend",
            seeds=",".join(f"{self.addresses[seed]}:{self.port}" for seed in seeds),
            first=str(self.first_start).lower(), data=self.folder / name if member else "",
            cloud=self.platform,
        )  # fmt: skip
        path = self.folder / f"{name}.conf"
        path.write_text(text)
        self.environment[name] = {"SPOKEROUTE_SETTINGS": str(path), "PYTHONPATH": str(ROOT)}
        self.commands[name] = [sys.executable, "platform/node.py", role]

    def add_front(self) -> str:
        """Start one front node more; its name."""
        name = f"ex{sum(1 for each in self.commands if each.startswith('ex')) + 1}"
        self._join(name)
        return name

    def _join(self, name: str) -> None:
        self.first_start = False
        self._place(name)
        self._settle(name, [each for each in self.processes if each.startswith("reg")][:3])
        self.start(name)

    def replace(self, old: str, new: str) -> None:
        """Start a blank member in the place of one that is gone."""
        del self.processes[old]
        self._join(new)


def adapter_headers(asked: Asked) -> dict[str, str]:
    """The platform's headers of a call."""
    return {
        "X-Attempt-Id": secrets.token_hex(8),
        "X-Deadline-Remaining": str(asked.wait_ms),
        "Standin-Call": asked.call,
        **bearer(asked),
    }


def adapter_refusal(answer: http.client.HTTPResponse, body: bytes, asked: Asked) -> None:
    """What a refusal says by its status."""
    asked.kind = f"status {answer.status}"
    asked.ran = "no" if answer.status in NOT_RUN else ""
    asked.retry_after = answer.headers.get("Retry-After", "")


def adapter_path(asked: Asked) -> str:
    """Where a call goes."""
    return f"{prefix_of(asked.path)}x"


class AdapterLoad(KeyedLoad):
    """Operators and calls in the platform's words; the log keeps the product's."""

    def __init__(self, fleet: Fleet, doc: dict[str, Any], seed: int) -> None:
        super().__init__(fleet, doc, seed)
        self.version = 0
        self.documents: dict[int, str] = {}

    def document(self, version: int, timeout_ms: int) -> dict[str, Any]:
        """The deployment's configuration as the platform's operators write it."""
        routes = [
            {
                "name": f"r{at}", "hostname": HOST, "path-prefix": prefix_of(route["path"]),
                "route-kind": "idempotent" if route.get("repeatable") else "non_idempotent",
                "timeout-ms": timeout_ms if not at else 8_000, "target-latency-ms": 500,
                "priority": 1, "service": route["service"], "max-attempts": 2, "public": False,
            }
            for at, route in enumerate(self.doc["routes"])
        ]  # fmt: skip
        services = [
            {
                "name": each["name"], "memory-mb": each["memoryMb"], "boot-ms": each["startMs"],
                "max-concurrency": each["limit"], "connection-limit": 200,
                "cold-per-s": each.get("coldPerS", 0.0),
                "cold-start-s": each["coldMs"] / 1_000 if "coldPerS" in each else 0.0,
            }
            for each in self.doc["services"]
        ]  # fmt: skip
        limits = {"max-header-bytes": 16_384, "max-body-bytes": 262_144,
                  "header-timeout-ms": 4_000, "idle-timeout-ms": 15_000}  # fmt: skip
        tenants = [
            {"name": name, "api-keys": keys, "priority": at}
            for at, (name, keys) in enumerate(keys_at(version).items())
        ]
        return {
            "version": version, "routes": routes, "services": services, "limits": limits,
            "tenants": tenants,
        }  # fmt: skip

    def apply(self) -> Told:
        """Send the next configuration; the operators draw their numbers from one row."""
        with self.lock:
            self.applies += 1
            self.version += 1
            version = self.version
        text = json.dumps(self.document(version, 8_000 + version % 50))
        self.documents[version] = text
        told = Told("apply", now_ms(), detail=f"v{version}", number=version)
        told.sent = {
            "name": f"v{version}",
            "routes": self.doc["routes"],
            "tenants": tenants_at(version),
        }
        self.told.append(told)
        return self.ask(told, "PUT", "/api/configuration", text.encode())

    def choose(self, number: int) -> Asked:
        """The next call; keys are not spoken here."""
        asked = super().choose(number)
        asked.key = ""
        return asked

    def evacuation_request(self, zone: str, out: bool) -> tuple[str, str]:
        """The method and the path that evacuate a zone, or restore it."""
        return "POST" if out else "DELETE", f"/api/evacuation/{zone}"

    def ask(self, told: Told, method: str, path: str, body: bytes | None = None) -> Told:
        """One operator request; evacuations stand at another place than the product's."""
        place = path if path.startswith("/api/") else f"/api{path}"
        return super().ask(told, method, place, body)

    def show_at(self, pool: urllib3.PoolManager, name: str, wait_s: float) -> Told:
        """Read the configuration back at one member; it is the document, byte for byte."""
        told = Told("read", now_ms(), detail=name)
        try:
            url = f"http://{self.fleet.http[name]}/api/configuration"
            got = pool.request("GET", url, timeout=wait_s)
            told.status = got.status
            if got.status == 200:
                number = int(json.loads(got.data)["version"])
                whole = got.data.decode() == self.documents.get(number)
                told.doc = {"number": number, "whole": whole}
        except (urllib3.exceptions.HTTPError, ValueError):
            told.status = 0
        told.done_ms = now_ms()
        return told


def prefix_of(path: str) -> str:
    """A product's path as the platform's prefix.

    Example:
        >>> prefix_of("/district/07/*")
        '/district/07/'
    """
    return path.removesuffix("*").rstrip("/") + "/"


ADAPTER_WIRE = Wire(adapter_headers, adapter_refusal, adapter_path, HOST)
