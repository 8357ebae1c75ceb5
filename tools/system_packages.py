"""Compares ``packages`` of deploy/system.toml with what the build executes and the libraries link.

Programs are read from the build and run lines, modules from ``python3 -m MODULE``, shared
libraries from ``ldd`` over every compiled file of the installed dependencies. Debian's ``dpkg``
says which package owns each file.

Example:
    python -m tools.system_packages --deps target/deps
"""

from __future__ import annotations

import shlex
import subprocess
import sys
import sysconfig
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

DEPLOY_FILE = Path("deploy/system.toml")
SHELL = "sh"
PROGRAM_FOLDERS = (Path("/usr/bin"), Path("/bin"))
SHELL_BUILTINS = frozenset({"[", "test", "cd", "true", "false"})
SHELL_OPERATORS = frozenset({"||", "&&", ";", "|"})
MODULE_PACKAGES = {"pip": ("python3-pip", "ca-certificates")}
"""What ``python3 -m MODULE`` needs beyond the standard library; pip also checks certificates."""
EXIT_DIFFERENT = 1


class PackageError(Exception):
    """The comparison can't be made; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Need:
    """A system package and what needs it."""

    package: str
    reason: str


def programs_of(line: str) -> list[list[str]]:
    """The programs that a shell line starts, each with its arguments.

    Example:
        >>> programs_of("[ a -nt b ] || python3 -m pip install x")
        [['python3', '-m', 'pip', 'install', 'x']]
    """
    commands: list[list[str]] = [[]]
    for word in shlex.split(line):
        if word in SHELL_OPERATORS:
            commands.append([])
        else:
            commands[-1].append(word)
    return [words for words in commands if words and words[0] not in SHELL_BUILTINS]


def _run(words: list[str]) -> str:
    try:
        done = subprocess.run(words, capture_output=True, text=True, check=False)
    except OSError as fault:
        raise PackageError(f"{words[0]} can't be run ({fault}): run this on Debian") from fault
    return done.stdout


def _names_of(path: Path) -> list[Path]:
    """A file's names on a system whose /bin and /lib are links to those below /usr."""
    names: dict[Path, None] = {}
    for each in (path, path.resolve()):
        below_usr = each.is_relative_to("/usr")
        other = "/" / each.relative_to("/usr") if below_usr else "/usr" / each.relative_to("/")
        names.update({each: None, other: None})
    return list(names)


def owner_of(path: Path) -> str:
    """The package that owns a file; links and merged folders are followed.

    Example:
        owner_of(Path("/bin/sh")) == "dash"
    """
    for candidate in _names_of(path):
        for line in _run(["dpkg", "-S", str(candidate)]).splitlines():
            package, _, owned = line.partition(": ")
            if owned == str(candidate) and not package.startswith("diversion "):
                return package.split(":")[0].split(",")[0]
    raise PackageError(f"no package owns {path}: install the one that has it, then run this again")


def _program_path(name: str) -> Path:
    for folder in PROGRAM_FOLDERS:
        if (folder / name).exists():
            return folder / name
    raise PackageError(f"program {name!r} is not there: install the package that has it")


def program_needs(deploy: Mapping[str, Any]) -> list[Need]:
    """What the build and run lines execute.

    Example:
        program_needs({"build": "true", "roles": {}})
    """
    needs = [Need(owner_of(_program_path(SHELL).resolve()), "carries out the build line")]
    lines = [str(deploy["build"]), *(str(role["run"]) for role in deploy["roles"].values())]
    for line in lines:
        for words in programs_of(line):
            package = "python3" if words[0] == "python3" else owner_of(_program_path(words[0]))
            needs.append(Need(package, f"runs {words[0]}"))
            module = words[2] if words[1:2] == ["-m"] else ""
            needs.extend(
                Need(each, f"{module} needs it") for each in MODULE_PACKAGES.get(module, ())
            )
    return needs


def library_needs(deps: Path) -> list[Need]:
    """What the compiled files below a folder link to.

    Example:
        library_needs(Path("target/deps"))
    """
    compiled = sorted(deps.rglob("*.so*"))
    if not compiled:
        raise PackageError(f"{deps} holds no compiled file: build first, or give --deps")
    users: dict[Path, str] = {}
    for file in compiled:
        for line in _run(["ldd", str(file)]).splitlines():
            if "not found" in line:
                raise PackageError(f"{file.name} links to {line.strip()}: install its package")
            target = line.partition("=>")[2].split("(")[0].strip()
            if target.startswith("/") and not Path(target).is_relative_to(deps):
                users.setdefault(Path(target), file.name)
    return [Need(owner_of(path), f"{name} links to {path.name}") for path, name in users.items()]


def differences(deploy: Mapping[str, Any], needs: list[Need]) -> list[str]:
    """What is needed and not listed, and what is listed and not needed.

    Example:
        >>> differences({"packages": ["a"]}, [Need("b", "runs b")])
        ['b is not listed: runs b', 'a is listed, and nothing needs it']
    """
    listed = list(deploy.get("packages", ()))
    reasons: dict[str, str] = {}
    for need in needs:
        reasons.setdefault(need.package, need.reason)
    missing = [f"{name} is not listed: {reasons[name]}" for name in reasons if name not in listed]
    spare = [f"{name} is listed, and nothing needs it" for name in listed if name not in reasons]
    return missing + spare


def check(deps: Path, deploy_file: Path = DEPLOY_FILE) -> list[str]:
    """Every difference between the list and what is needed; empty where they agree.

    Example:
        check(Path("target/deps")) == []
    """
    deploy = tomllib.loads(deploy_file.read_text())
    return differences(deploy, program_needs(deploy) + library_needs(deps))


@cappa.command(name="system_packages", help="Compare deploy/system.toml with what is needed.")
@dataclass
class SystemPackages:
    """The command's arguments."""

    deps: Annotated[str, cappa.Arg(long="deps", help="folder of the installed libraries")] = ""

    def __call__(self) -> None:
        """Carry the command out."""
        deps = Path(self.deps or sysconfig.get_path("purelib"))
        try:
            found = check(deps)
        except (PackageError, OSError) as fault:
            print(f"system_packages: {fault}", file=sys.stderr)
            sys.exit(EXIT_DIFFERENT)
        for line in found:
            print(line)
        sys.exit(EXIT_DIFFERENT if found else 0)


if __name__ == "__main__":
    cappa.invoke(SystemPackages, completion=False)
