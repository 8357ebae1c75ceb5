"""HTTP towards the registries' operator API."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any

import urllib3

DEFAULT_REGISTRIES = "127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103"
WAIT_S = 15.0


@dataclass(frozen=True, slots=True)
class Said:
    """A registry's answer."""

    status: int
    body: bytes
    headers: dict[str, str]

    def doc(self) -> Any:
        """The body as JSON; an empty object where it is none.

        Example:
            >>> Said(200, b"{}", {}).doc()
            {}
        """
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@dataclass(frozen=True, slots=True)
class Unreached:
    """No registry answered; the sentinel in place of an answer."""

    reason: str


def registries(flag: str) -> tuple[str, ...]:
    """The registries to ask: the flag, SPOKEROUTE_REGISTRIES, or the defaults.

    Example:
        >>> registries("127.0.0.1:1")
        ('127.0.0.1:1',)
    """
    raw = flag or os.environ.get("SPOKEROUTE_REGISTRIES", "") or DEFAULT_REGISTRIES
    return tuple(a.strip() for a in raw.split(",") if a.strip())


def ask(
    flag: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    onlyOnce: bool = False,
) -> Said | Unreached:
    """Ask the registries in turn until one answers.

    What changes something is asked again only where nothing was sent.

    Example:
        ask("", "GET", "/status")
    """
    reasons: list[str] = []
    http = urllib3.PoolManager(retries=False)
    for address in registries(flag):
        try:
            answer = http.request(
                method, f"http://{address}{path}", body=body, headers=headers or {},
                timeout=urllib3.Timeout(connect=2.0, read=WAIT_S), redirect=False,
            )  # fmt: skip
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            reasons.append(f"{address} does not answer")
            continue
        except (urllib3.exceptions.HTTPError, ValueError) as fault:
            reasons.append(f"{address}: {type(fault).__name__}")
            if onlyOnce:
                return Unreached(
                    f"{reasons[-1]}; it may have been taken: read it back before sending it again"
                )
            continue
        if answer.status == 503 and not onlyOnce and address != registries(flag)[-1]:
            reasons.append(f"{address}: 503")
            continue
        return Said(answer.status, answer.data, dict(answer.headers))
    return Unreached("; ".join(reasons) or "no registry is named: give --registry")
