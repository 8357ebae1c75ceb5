"""Why a member's disk can't be used."""

from __future__ import annotations


class DiskError(Exception):
    """The data folder can't be used; the message names the remedy."""


class DiskRefusedError(DiskError):
    """The store took no write at its start: its disk may be full for a while only."""


class DiskBusyError(DiskError):
    """The store can't be read right now: it takes no writes, or is being opened anew."""
