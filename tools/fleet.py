"""Starts a whole fleet on loopback: stand-in platform, three registries, nine exchanges.

The only program here that starts processes. It ends them, by id, when it ends.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from tools.log import Down
from tools.ports import free_ports

ZONES = ("north", "centre", "south")


def get(address: str, path: str, wait_s: float = 1.0) -> tuple[int, bytes]:
    """One plain GET; status 0 where nobody answers."""
    try:
        got = urllib3.PoolManager(retries=False).request(
            "GET", f"http://{address}{path}", timeout=wait_s
        )
    except urllib3.exceptions.HTTPError:
        return 0, b""
    return got.status, got.data


def last_line(path: Path) -> str:
    """The last line of a file that is not empty; nothing where there is none.

    Example:
        >>> last_line(Path("/nowhere"))
        ''
    """
    try:
        lines = path.read_text(errors="replace").splitlines()
    except OSError:
        return ""
    return next((line.strip() for line in reversed(lines) if line.strip()), "")


@dataclass
class Fleet:
    """The processes of one fleet and where they listen."""

    folder: Path
    exchanges: int = 9
    fixed_ports: bool = False
    organismo: bool = False
    standin_flags: tuple[str, ...] = ()
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    commands: dict[str, list[str]] = field(default_factory=dict)
    http: dict[str, str] = field(default_factory=dict)
    platform: str = ""
    downs: list[Down] = field(default_factory=list)
    environment: dict[str, dict[str, str]] = field(default_factory=dict)
    ready_path: str = "/spokeroute/ready"  # of a front node

    def plan(self) -> None:
        """Choose addresses and write each process's command."""
        names = [f"reg{i + 1}" for i in range(3)] + [f"ex{i + 1}" for i in range(self.exchanges)]
        if self.fixed_ports:
            trunks = {n: 7100 + i for i, n in enumerate(names)}
            https = {
                n: (8100 if n.startswith("reg") else 8000) + int(n.lstrip("regx")) for n in names
            }
            platform = 8200
        else:
            ports = free_ports(2 * len(names) + 1)
            trunks = dict(zip(names, ports[: len(names)], strict=True))
            https = dict(zip(names, ports[len(names) : -1], strict=True))
            platform = ports[-1]
        self.http = {n: f"127.0.0.1:{p}" for n, p in https.items()}
        self.platform = f"127.0.0.1:{platform}"
        seeds = ",".join(f"127.0.0.1:{trunks[f'reg{i + 1}']}" for i in range(3))
        self.folder.mkdir(parents=True, exist_ok=True)
        python = sys.executable
        starts = ("500", "300") if self.organismo else ("1400", "1000")
        self.commands["platform"] = [
            python, "-m", "tools.standin", "--listen", self.platform,
            "--log", str(self.folder / "standin.log"),
            "--start-busy-ms", starts[0], "--start-small-ms", starts[1], *self.standin_flags,
        ]  # fmt: skip
        for i, name in enumerate(names):
            role = "registry" if name.startswith("reg") else "exchange"
            command = [
                python, "-m", "spokeroute", role, "--name", name,
                "--zone", ZONES[i % 3], "--trunk", f"127.0.0.1:{trunks[name]}",
                "--http", self.http[name], "--seeds", seeds,
            ]  # fmt: skip
            if role == "registry":
                command += ["--data", str(self.folder / name), "--platform", self.platform,
                            "--found"]  # fmt: skip
            self.commands[name] = command

    def start(self, name: str) -> None:
        """Start one process; its words go to a file of its own."""
        self._over(name)
        out = open(self.folder / f"{name}.out", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            self.command_of(name), stdout=out, stderr=out, cwd=Path(__file__).parent.parent,
            env=os.environ | self.environment.get(name, {}),
        )  # fmt: skip
        out.close()

    def command_of(self, name: str) -> list[str]:
        """How a process is started."""
        return self.commands[name]

    def ended(self) -> dict[str, str]:
        """The processes that have ended, each with the last line that it wrote."""
        return {
            name: last_line(self.folder / f"{name}.out")
            for name, process in self.processes.items()
            if process.poll() is not None
        }

    def swap(self, old: str, new: str) -> None:
        """End a registry for good and start another machine's in its place."""
        self.signal(old, signal.SIGKILL)
        self.replace(old, new)

    def replace(self, old: str, new: str) -> None:
        """Start a blank registry in the place of one that is gone: other addresses, a blank disk,
        and seeds that are alive."""
        trunk, http = (f"127.0.0.1:{p}" for p in free_ports(2))
        living = [n for n in self.processes if n not in (old, "platform")]
        living.sort(key=lambda n: not n.startswith("reg"))
        seeds = ",".join(self.trunk_of(n) for n in living[:3])
        command = list(self.commands[old])
        changes = {"--name": new, "--trunk": trunk, "--http": http, "--seeds": seeds,
                   "--data": str(self.folder / new)}  # fmt: skip
        for flag, value in changes.items():
            command[command.index(flag) + 1] = value
        self.commands[new] = [word for word in command if word != "--found"]
        self.http[new] = http
        del self.processes[old]
        self.start(new)

    def add_front(self) -> str:
        """Start one front node more; its name."""
        trunk, http = (f"127.0.0.1:{port}" for port in free_ports(2))
        fronts = [name for name in self.commands if name.startswith("ex")]
        name = f"ex{len(fronts) + 1}"
        command = list(self.commands[fronts[0]])
        changes = {"--name": name, "--zone": ZONES[len(fronts) % 3], "--trunk": trunk,
                   "--http": http}  # fmt: skip
        for flag, value in changes.items():
            command[command.index(flag) + 1] = value
        self.commands[name] = command
        self.http[name] = http
        self.start(name)
        return name

    def trunk_of(self, name: str) -> str:
        """Where a process listens for peers."""
        command = self.commands[name]
        return command[command.index("--trunk") + 1]

    def start_all(self) -> None:
        """Start every process and wait until the registries vote."""
        self.plan()
        for name in self.commands:
            self.start(name)

    def wait_ready(self, names: list[str], wait_s: float) -> list[str]:
        """The names that are not ready when the wait is over."""
        until = time.monotonic() + wait_s
        left = list(names)
        while left and time.monotonic() < until:
            left = [
                n
                for n in left
                if get(self.http[n], "/ready" if n.startswith("reg") else self.ready_path)[0] != 200
            ]
            if left:
                time.sleep(0.1)
        return left

    @property
    def registries(self) -> str:
        """The registries' operator addresses, joined by commas."""
        return ",".join(self.http[f"reg{i + 1}"] for i in range(3))

    def signal(self, name: str, number: int) -> None:
        """Signal a process that this fleet started."""
        self.processes[name].send_signal(number)
        if number == signal.SIGCONT:
            self._over(name)
        elif number in (signal.SIGKILL, signal.SIGSTOP):
            how = "killed" if number == signal.SIGKILL else "frozen"
            self.downs.append(Down(name, time.monotonic_ns() / 1e6, -1.0, how))
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def _over(self, name: str) -> None:
        for down in self.downs:
            if down.process == name and down.to_ms < 0:
                down.to_ms = time.monotonic_ns() / 1e6

    def stop(self) -> dict[str, int]:
        """End every process: SIGTERM, then SIGKILL; the exit codes."""
        for name, process in self.processes.items():
            if process.poll() is None and name != "platform":
                process.send_signal(signal.SIGCONT)
                process.terminate()
        codes: dict[str, int] = {}
        for name, process in self.processes.items():
            if name == "platform":
                process.terminate()
            try:
                codes[name] = process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        return codes


def main() -> None:
    """The program's entry."""
    parser = argparse.ArgumentParser(description="Run a whole fleet on loopback until Ctrl-C.")
    parser.add_argument("--folder", default="fleet-data", help="data, logs and words")
    parser.add_argument("--exchanges", type=int, default=9)
    parser.add_argument("--organismo", action="store_true", help="the Organismo's start times")
    args = parser.parse_args()
    fleet = Fleet(Path(args.folder), args.exchanges, fixed_ports=True, organismo=args.organismo)
    fleet.start_all()

    def interrupted(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    try:
        missing = fleet.wait_ready([n for n in fleet.commands if n.startswith("reg")], 30)
        if missing:
            print(f"not ready: {', '.join(missing)}; see {args.folder}/*.out", file=sys.stderr)
            sys.exit(1)
        print(f"registries (operators): {fleet.registries}")
        print("exchanges (callers):    " + ",".join(
            a for n, a in fleet.http.items() if n.startswith("ex")))  # fmt: skip
        print(f"stand-in platform:      {fleet.platform}")
        print("ready; Ctrl-C ends the fleet", flush=True)
        while True:
            time.sleep(0.5)
            for name, process in fleet.processes.items():
                if process.poll() is not None:
                    print(f"{name} ended with {process.returncode}", file=sys.stderr, flush=True)
                    del fleet.processes[name]
                    break
    except KeyboardInterrupt:
        print("stopping")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
