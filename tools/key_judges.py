"""The judges of tenants' keys: what instances were shown, who was let in, who was refused."""

from __future__ import annotations

from spokeroute.dispatch.configuration.tenant_keys import key_digest
from tools.log import Asked, Log
from tools.ruling import Ruling, Rulings

UNKNOWN_KEY = 401
CONTACT_MS = 5_000.0  # a process that was frozen has so long to catch up


def no_key_is_passed_on(log: Log) -> list[str]:
    """No instance is shown a caller's key, whoever it is of."""
    return [f"{run.call} showed its key to {run.instance}" for run in log.runs if run.key_shown]


def runs_in_its_tenants_name(log: Log) -> list[str]:
    """A call runs in the name of the tenant that holds its key, by a configuration in force when it
    runs; one whose key nobody holds does not run, unless its route is public."""
    asked = {a.call: a for a in log.asked}
    rulings = Rulings(log)
    found: list[str] = []
    for run in log.runs:
        a = asked.get(run.call)
        if a is None:
            continue
        from_ms = run.at_ms - _away_ms(log, a.exchange, run.at_ms)
        names = {_tenant(a, ruling) for ruling in rulings.within(from_ms, run.at_ms)}
        if run.tenant not in (names or {""}):  # before any configuration it is nobody's
            found.append(f"{run.call} ran in the name of {run.tenant!r}")
    return found


def unknown_only_if_unknown(log: Log) -> list[str]:
    """A key is refused as nobody's only if it is, by a configuration in force."""
    rulings = Rulings(log)
    found: list[str] = []
    for a in log.asked:
        if a.status != UNKNOWN_KEY:
            continue
        from_ms = a.at_ms - _away_ms(log, a.exchange, a.done_ms)
        if all(_tenant(a, each) is not None for each in rulings.within(from_ms, a.done_ms)):
            found.append(f"{a.call} at {a.exchange}: its key is a tenant's, and was refused")
    return found


def _away_ms(log: Log, process: str, at_ms: float) -> float:
    """How far back a process's tables may go beyond the bound: as long as it lay frozen lately."""
    return sum(
        min(at_ms, down.to_ms if down.to_ms >= 0 else at_ms) - down.from_ms
        for down in log.downs
        if down.process == process
        and down.how == "frozen"
        and down.from_ms <= at_ms
        and (down.to_ms < 0 or down.to_ms >= at_ms - CONTACT_MS)
    )


def _tenant(asked: Asked, ruling: Ruling) -> str | None:
    """In whose name a call runs by a configuration: "" where it needs none, None where it may not
    run."""
    tenants = ruling.told.sent.get("tenants")
    if tenants is None:
        return ""
    digest = key_digest(asked.api_key) if asked.api_key else None
    for tenant in tenants:
        if digest in tenant["keyDigests"]:
            return str(tenant["name"])
    public = ruling.routes.get(asked.path, {}).get("public", False)
    return "" if public else None


KEY_JUDGES = (no_key_is_passed_on, runs_in_its_tenants_name, unknown_only_if_unknown)
