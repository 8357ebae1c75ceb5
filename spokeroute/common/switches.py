"""Switches: mechanisms of routing and scaling that can be turned off one by one, to measure what
each is worth. All are on; a deployment has no reason to turn one off
(``docs/decisions/switches.md``).

Each is read in one place only, named beside it. They reach the cores with a process's start, and
never change while it runs.

Example:
    >>> Switches().load_shifts
    True
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

from spokeroute.common.replacing import replace


class SwitchError(Exception):
    """A switch that does not exist, or no true or false; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class Switches:
    """Which mechanisms are on."""

    lone_spare: bool = True
    """A spare beside a single instance whose boot does not fit its aim
    (``dispatch/scaling/service_scaling.py``)."""
    warm_for_short_aims: bool = True
    """One instance is kept where a boot does not fit the aim
    (``dispatch/scaling/service_scaling.py``)."""
    idle_prediction: bool = True
    """How long an idle instance is kept follows the usual time between calls
    (``dispatch/placement/reports.py``)."""
    bounded_growth: bool = True
    """A service at most doubles, plus some, at once (``dispatch/scaling/service_scaling.py``)."""
    room_for_sleepers: bool = True
    """Memory is kept free for services that have no instance
    (``dispatch/scaling/service_scaling.py``)."""
    lasting_demand: bool = True
    """Only what is still there at the next sample makes a service grow
    (``dispatch/placement/reports.py``)."""
    queue_transfer: bool = True
    """Calls leave a queue for an instance that has room (``exchange/calls.py``)."""
    early_refusal: bool = True
    """A call whose turn would come too late is refused at once (``exchange/call_state.py``)."""
    second_sends: bool = True
    """Calls are sent to a second instance, within the budget (``nodes.py``)."""
    unheld_sends: bool = True
    """Calls go to instances that no living exchange holds (``exchange/unheld.py``)."""
    ranked_lists: bool = True
    """LAAF's lists choose the successor (``exchange/call_state.py``)."""
    accumulated_utilization: bool = True
    """LAAF adds a function's load to the expected utilization of its successor
    (``dispatch/flare/ranking.py``)."""
    near_first: bool = True
    """Instances of the own zone, then region, go before others (``nodes.py``)."""
    load_shifts: bool = True
    """ROME shifts load off overloaded workers (``dispatch/flare/ranking.py``)."""
    compile_rests: bool = True
    """A rest follows each compilation of a configuration
    (``register/replica/compile_queue.py``)."""


NAMES = tuple(each.name for each in fields(Switches))


def _check(name: str, where: str) -> None:
    if name not in NAMES:
        raise SwitchError(
            f"unknown switch {name[:60]!r} in {where}: remove it; known: {', '.join(NAMES)}"
        )


def read_switches(raw: Mapping[str, object], where: str) -> Switches:
    """Switches by name, each true or false; a SwitchError names what is wrong.

    Example:
        >>> read_switches({"load_shifts": False}, "a.toml").load_shifts
        False
    """
    for name, value in raw.items():
        _check(name, where)
        if not isinstance(value, bool):
            raise SwitchError(f"switch {name!r} in {where} must be true or false: mend it")
    return Switches(**{name: bool(value) for name, value in raw.items()})


def without(switches: Switches, names: Iterable[str], where: str) -> Switches:
    """The same, with these turned off.

    Example:
        >>> without(Switches(), ["near_first"], "--without").near_first
        False
    """
    for name in names:
        _check(name, where)
        switches = replace(switches, **{name: False})
    return switches
