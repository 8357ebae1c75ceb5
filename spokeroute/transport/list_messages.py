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
    """The placement role's lists, pushed before failures occur.

    Either complete (``base`` is -1) or the changes since the push numbered ``base``; an empty list
    in the changes marks a removed one.
    """

    term: int
    sequence: int
    configuration_version: int
    age_ms: int
    successors: tuple[Successors, ...]
    exchanges: int = 0  # number of exchanges heard from recently; 0 if not given
    base: int = -1


@dataclass(frozen=True, slots=True)
class ListsAsk:
    """Asks for complete lists, as the exchange lacks the base of a push.

    Names the lists that the exchange has.
    """

    term: int
    sequence: int
