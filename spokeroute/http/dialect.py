"""Dialects: the header and path names that callers and instances of a deployment use.

The product's own names are the defaults; an adapter supplies others. This module has no logic.

Example:
    >>> Dialect().caller.wait_header
    'Spokeroute-Wait-Ms'
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CallerDialect:
    """The headers of a caller's request; an empty name means that the header is not used."""

    wait_header: str = "Spokeroute-Wait-Ms"
    wait_required: bool = True
    """If False, the route's timeout is the default for a missing wait."""
    attempt_header: str = ""
    """The caller's own id of this attempt, forwarded to the instance unchanged."""
    key_header: str = "Idempotency-Key"
    client_header: str = "Spokeroute-Client"
    credential_header: str = "Authorization"
    """Carries a tenant's key as a bearer token, if the configuration has tenants."""
    ready_path: str = "/spokeroute/ready"
    metrics_path: str = "/spokeroute/metrics"
    """Serves metrics, on the readiness listener."""
    fractional_retry: bool = False
    """Whether callers accept a Retry-After with a fraction of a second."""


@dataclass(frozen=True, slots=True)
class InstanceDialect:
    """The headers of a request to an instance, and what is checked in its answer."""

    attempt_header: str = "Spokeroute-Attempt"
    """Sent with each call and echoed by its answer."""
    wait_header: str = "Spokeroute-Wait-Ms"
    tenant_header: str = "Spokeroute-Tenant"
    """Names the tenant that a call runs for; a caller's own header of this name is dropped."""
    identity_header: str = ""
    """Names the addressed instance on each request; another instance does not run the call."""
    who_path: str = "/spokeroute/who"
    """Requested on each new connection if there is no identity header."""
    not_run_header: str = ""
    """An answer with this header states that the call did not run."""
    misdirected_status: int = 0
    """The status with which another instance at that address says that it did not run the call."""
    not_run_statuses: tuple[int, ...] = ()
    """Statuses that tell a caller that the call did not run. From an instance they count only with
    ``not_run_header``."""
    seal_header: str = ""
    """A successful answer without this header is not accepted."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """The caller's and the instance's side."""

    caller: CallerDialect = field(default_factory=CallerDialect)
    instance: InstanceDialect = field(default_factory=InstanceDialect)


DEFAULT_DIALECT = Dialect()
"""The product's own names."""
