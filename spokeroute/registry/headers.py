"""Headers and query parameters of operator requests: expected version, number and order id.

A value that can't be parsed completely is rejected.
"""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import parse_qs

from spokeroute.common.answers import Answer, problem
from spokeroute.register.configuration_numbers import MAX_NUMBER

_ORDER_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_MAX_DIGITS = 19  # digits of MAX_NUMBER


def _parse_integer(raw: str) -> int | None:
    return int(raw) if raw.isascii() and raw.isdigit() and len(raw) <= _MAX_DIGITS else None


def expected_version(environ: dict[str, Any]) -> int | Answer:
    """The version in If-Match; -1 if absent.

    Example:
        >>> expected_version({"HTTP_IF_MATCH": '"7"'})
        7
    """
    raw = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
    if not raw or raw == "*":
        return -1
    version = _parse_integer(raw)
    if version is None:
        return problem(400, "bad If-Match", f"it was {raw[:40]!r}", "give a version")
    return version


def number_parameter(environ: dict[str, Any]) -> int | Answer:
    """The configuration number in the query; 0 if absent.

    Example:
        >>> number_parameter({"QUERY_STRING": "number=70"})
        70
    """
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    if "number" not in query:
        return 0
    raw = query["number"]
    number = _parse_integer(raw[0]) if len(raw) == 1 else None
    if number is None or not 1 <= number <= MAX_NUMBER:
        return problem(
            400, "bad number", f"it was {', '.join(raw)[:40]!r}",
            f"give one whole number from 1 to {MAX_NUMBER}",
        )  # fmt: skip
    return number


def order_id_header(environ: dict[str, Any]) -> str | Answer:
    """The sender's id for its order, which makes a retry idempotent; empty if absent.

    Example:
        >>> order_id_header({"HTTP_SPOKEROUTE_APPLY_ID": "a-1"})
        'a-1'
    """
    raw = str(environ.get("HTTP_SPOKEROUTE_APPLY_ID", ""))
    if raw and not _ORDER_ID.fullmatch(raw):
        return problem(
            400, "bad Spokeroute-Apply-Id", f"it was {raw[:40]!r}",
            "send 1 to 64 letters, digits, dots, dashes or underscores, drawn anew for each order",
        )  # fmt: skip
    return raw
