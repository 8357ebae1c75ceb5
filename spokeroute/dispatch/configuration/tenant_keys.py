"""Identifies the tenant of a caller's key. A configuration stores SHA-256 digests, never keys.

A digest is looked up by its prefix and compared in constant time (``hmac``), so that timing reveals
nothing about a key. The credential is a bearer token (RFC 6750, section 2.1).
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from spokeroute.dispatch.configuration.models import Tenant

MAX_KEY_CHARS = 512
KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")
BEARER = re.compile(r"bearer +(\S+)", re.IGNORECASE)
DIGEST = re.compile(r"[0-9a-f]{64}")
DIGEST_PREFIX_CHARS = 16

Entry = tuple[str, Tenant]
"""A key's digest and its tenant."""


def key_digest(key: str) -> str:
    """The digest of a key, as stored in configurations.

    Example:
        >>> key_digest("k1")[:16]
        '6ab9f1eb8f7d3388'
    """
    return hashlib.sha256(key.encode("latin-1")).hexdigest()


def is_key(key: str) -> bool:
    """Whether a text can be a key: 1 to 512 visible ASCII characters.

    Example:
        >>> is_key("k1"), is_key("k 1"), is_key("")
        (True, False, False)
    """
    return KEY.fullmatch(key) is not None


def key_of(credential: str) -> str:
    """The key in a caller's credential; empty if there is none or more than one.

    Example:
        >>> key_of("Bearer k1"), key_of("Basic k1"), key_of("Bearer k1, Bearer k2")
        ('k1', '', '')
    """
    found = BEARER.fullmatch(credential)
    return found[1] if found and is_key(found[1]) else ""


@dataclass(frozen=True, slots=True)
class TenantKeys:
    """The tenants of a configuration, indexed by key digest.

    Example:
        >>> keys = TenantKeys.of([Tenant("acme", (key_digest("k1"),))])
        >>> keys.tenant("Bearer k1").name, keys.tenant("Bearer k2")
        ('acme', None)
    """

    by_digest_prefix: Mapping[str, tuple[Entry, ...]]

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> TenantKeys:
        """Build the index of these tenants' keys.

        Example:
            >>> TenantKeys.of([]).tenant("Bearer k1") is None
            True
        """
        found: dict[str, tuple[Entry, ...]] = {}
        for tenant in tenants:
            for digest in tenant.key_digests:
                prefix = digest[:DIGEST_PREFIX_CHARS]
                found[prefix] = (*found.get(prefix, ()), (digest, tenant))
        return cls(found)

    def tenant(self, credential: str) -> Tenant | None:
        """The tenant of the key in a credential; None if the key is unknown.

        Example:
            keys.tenant("Bearer k1")
        """
        key = key_of(credential)
        if not key:
            return None
        digest = key_digest(key)
        for known, tenant in self.by_digest_prefix.get(digest[:DIGEST_PREFIX_CHARS], ()):
            if hmac.compare_digest(known, digest):
                return tenant
        return None
