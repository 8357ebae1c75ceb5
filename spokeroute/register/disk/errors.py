"""Errors of a member's durable store."""

from __future__ import annotations


class DiskError(Exception):
    """The data folder can't be used; the message names the remedy."""


class DiskRefusedError(DiskError):
    """The store refused a write at start; this may be temporary, such as a full disk."""


class DiskBusyError(DiskError):
    """The store can't be read at the moment: it is read-only or being reopened."""
