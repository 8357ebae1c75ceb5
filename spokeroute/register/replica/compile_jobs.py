"""The job that compiles a configuration on a worker thread, and its result."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class CompileJob:
    """A job for a worker thread: build the tables of a configuration."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class CompileResult:
    """The tables of a compiled configuration."""

    copy: Copy
    value: bytes
    table: object
