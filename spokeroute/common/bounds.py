"""Bounds: the times, shares and sizes that a deployment may set, each with the product's own
value. They reach the cores with a process's start, and never change while it runs.

Example:
    >>> Bounds().lease_ms
    2000
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a deployment promises and what it allows; times in milliseconds."""

    lease_ms: int = 2_000
    """How long a proof rules while a majority of the core can be reached."""
    stale_ms: int = 2_000
    """How long an exchange goes on by its last proof while it reaches no majority."""
    apply_ms: int = 3_000
    """How long after its acknowledgement a configuration is in force at every exchange that hears a
    majority of the core; one that can't be sure of it refuses calls as not run."""
    keys_ms: int = 0
    """How old the proof of a configuration may be by which a tenant's key is taken: a deployment
    that rather refuses than takes a withdrawn key sets it. 0: as old as a proof that rules."""
    rejection_safe: bool = False
    """Whether an instance itself refuses what is over its limit, as not run: a lost holder is
    then replaced at once."""
    stop_drains: bool = False
    """Whether the platform's stop closes an instance's door at once and lets what runs end."""
    budget_ratio: float = 0.2
    budget_window_ms: int = 10_000
    budget_extra: float = 36.0
    """Second sends in a window, over all exchanges, on top of the ratio."""
    cold_overshoot: float = 1.5
    """How many times its stated rate a cold instance may get in a second, and"""
    cold_start_slack: float = 5.0
    """so many calls more."""
    starts_per_s: float = 80.0
    starts_burst: float = 15.0
    list_ms: int = 400
    """How often the placement role reads the platform's listing."""
    list_calls_per_s: float = 0.0
    """How many calls for listings the platform takes from all nodes together; 0: any number."""
    listing_lag_ms: int = 500
    """How late the platform's listing may be."""
    catch_up_ms: int = 6_000
    """How long a silent core member is waited for before a blank one takes its place."""
    grace_ms: int = 9_000
    """How long a process that is asked to stop may take."""
    announce_ms: int = 0
    """How long it still takes calls after it said that it is not ready any more."""
    call_threads: int = 160
    memory_mb: int = 0
    wait_optional: bool = False
    """Whether a missing or absurd wait falls back on the route's timeout."""
    last_zone_stays: bool = True
    """Whether the evacuation of the last zone is refused."""
    members: int = 3
    """How many disks the core grows to where so many registries are started; an odd number."""
