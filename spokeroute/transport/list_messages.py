"""Messages that carry LAAF's ranked lists from the placement role to the exchanges.

Example:
    >>> Lists(1, 2, 3, 0, ()).base
    -1
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Successors:
    """The ranked list of one function on one worker."""

    service: str
    worker: str
    ranked: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Lists:
    """The placement role's lists, pushed ahead of failures: whole (``base`` -1), or what changed
    since the push numbered ``base``, where an empty list is one that is gone."""

    term: int
    sequence: int
    configuration_version: int
    age_ms: int
    successors: tuple[Successors, ...]
    exchanges: int = 0  # how many were heard of lately; 0 where the sender does not say
    base: int = -1


@dataclass(frozen=True, slots=True)
class ListsAsk:
    """An exchange lacks what a push went on from, and asks for whole lists; it names those that
    it has."""

    term: int
    sequence: int
