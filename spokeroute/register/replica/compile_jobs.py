"""What the copies' core has done on an edge thread, and what comes of it."""

from __future__ import annotations

from dataclasses import dataclass

from spokeroute.transport.messages import Copy


@dataclass(frozen=True, slots=True)
class CompileJob:
    """A job for an edge thread: read a configuration into tables."""

    copy: Copy
    value: bytes


@dataclass(frozen=True, slots=True)
class CompileResult:
    """The tables of a configuration."""

    copy: Copy
    value: bytes
    table: object
