"""Whose key a caller shows. A configuration keeps digests of keys (SHA-256), never the keys.

A digest is found by its beginning, in a table, and compared whole in constant time (``hmac``): how
long that takes tells nothing of a key. The credential is a bearer token (RFC 6750, section 2.1).
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from spokeroute.dispatch.configuration.models import Tenant

MOST_KEY_CHARS = 512
KEY = re.compile(rf"[\x21-\x7e]{{1,{MOST_KEY_CHARS}}}")
BEARER = re.compile(r"bearer +(\S+)", re.IGNORECASE)
DIGEST = re.compile(r"[0-9a-f]{64}")
FOUND_BY = 16  # characters of a digest

Entry = tuple[str, Tenant]
"""A key's digest, and its tenant."""


def key_digest(key: str) -> str:
    """The digest of a key, as configurations have it.

    Example:
        >>> key_digest("k1")[:16]
        '6ab9f1eb8f7d3388'
    """
    return hashlib.sha256(key.encode("latin-1")).hexdigest()


def is_key(key: str) -> bool:
    """Whether a text can be a key: 1 to 512 visible characters of ASCII.

    Example:
        >>> is_key("k1"), is_key("k 1"), is_key("")
        (True, False, False)
    """
    return KEY.fullmatch(key) is not None


def key_of(credential: str) -> str:
    """The key in a caller's credential; empty where there is none, or more than one.

    Example:
        >>> key_of("Bearer k1"), key_of("Basic k1"), key_of("Bearer k1, Bearer k2")
        ('k1', '', '')
    """
    found = BEARER.fullmatch(credential)
    return found[1] if found and is_key(found[1]) else ""


@dataclass(frozen=True, slots=True)
class TenantKeys:
    """The tenants of a configuration, by their keys.

    Example:
        >>> keys = TenantKeys.of([Tenant("acme", (key_digest("k1"),))])
        >>> keys.tenant("Bearer k1").name, keys.tenant("Bearer k2")
        ('acme', None)
    """

    by_beginning: Mapping[str, tuple[Entry, ...]]

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> TenantKeys:
        """The table of these tenants' keys.

        Example:
            >>> TenantKeys.of([]).tenant("Bearer k1") is None
            True
        """
        found: dict[str, tuple[Entry, ...]] = {}
        for tenant in tenants:
            for digest in tenant.key_digests:
                beginning = digest[:FOUND_BY]
                found[beginning] = (*found.get(beginning, ()), (digest, tenant))
        return cls(found)

    def tenant(self, credential: str) -> Tenant | None:
        """The tenant whose key a credential holds; None where nobody has it.

        Example:
            keys.tenant("Bearer k1")
        """
        key = key_of(credential)
        if not key:
            return None
        digest = key_digest(key)
        for known, tenant in self.by_beginning.get(digest[:FOUND_BY], ()):
            if hmac.compare_digest(known, digest):
                return tenant
        return None
