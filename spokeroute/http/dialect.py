"""Dialects: how callers and instances of a deployment name what spokeroute must know of a call.

The product's own names are the defaults; an adapter gives others. Nothing here decides.

Example:
    >>> Dialect().caller.wait_header
    'Spokeroute-Wait-Ms'
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CallerDialect:
    """The headers by which a caller speaks; an empty name is not spoken."""

    wait_header: str = "Spokeroute-Wait-Ms"
    wait_required: bool = True
    """Where it is not, the route's timeout stands in for a missing wait."""
    attempt_header: str = ""
    """The caller's own id of this attempt: handed to the instance as it came."""
    key_header: str = "Idempotency-Key"
    client_header: str = "Spokeroute-Client"
    credential_header: str = "Authorization"
    """Has the key of a tenant as a bearer token, where a configuration names tenants."""
    ready_path: str = "/spokeroute/ready"
    metrics_path: str = "/spokeroute/metrics"
    """Where metrics are read, on the listener that tells readiness."""
    fractional_retry: bool = False
    """Whether callers understand Retry-After with a fraction of a second."""


@dataclass(frozen=True, slots=True)
class InstanceDialect:
    """How an instance is asked, and what in its answer counts."""

    attempt_header: str = "Spokeroute-Attempt"
    """Sent with each call, and echoed by its answer."""
    wait_header: str = "Spokeroute-Wait-Ms"
    tenant_header: str = "Spokeroute-Tenant"
    """Names the tenant in whose name a call runs; what a caller sends under it goes nowhere."""
    identity_header: str = ""
    """Names the instance that is meant, on each send; another one does not run the call."""
    who_path: str = "/spokeroute/who"
    """Asked on each new connection where no identity header is spoken."""
    not_run_header: str = ""
    """An answer that carries it says: not run."""
    misdirected_status: int = 0
    """Says: another instance is at that address, and it did not run the call."""
    not_run_statuses: tuple[int, ...] = ()
    """Statuses that promise a caller that the call did not run. From an instance they count only
    with its word that it did not."""
    seal_header: str = ""
    """A success without it is no instance's answer."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Both sides of a call."""

    caller: CallerDialect = field(default_factory=CallerDialect)
    instance: InstanceDialect = field(default_factory=InstanceDialect)


DEFAULT_DIALECT = Dialect()
"""The product's own."""
