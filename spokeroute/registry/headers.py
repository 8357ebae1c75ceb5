"""What an operator's request says beside its body: the version that it expects, its number, its
own id. Each is read whole or refused."""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import parse_qs

from spokeroute.common.answers import Answer, problem
from spokeroute.register.configuration_numbers import MAX_NUMBER

_ORDER_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_DIGITS = 19  # of MAX_NUMBER


def _whole(raw: str) -> int | None:
    return int(raw) if raw.isascii() and raw.isdigit() and len(raw) <= _DIGITS else None


def expected_version(environ: dict[str, Any]) -> int | Answer:
    """The version in If-Match; -1 where none is given.

    Example:
        >>> expected_version({"HTTP_IF_MATCH": '"7"'})
        7
    """
    raw = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
    if not raw or raw == "*":
        return -1
    version = _whole(raw)
    if version is None:
        return problem(400, "bad If-Match", f"it was {raw[:40]!r}", "give a version")
    return version


def asked_number(environ: dict[str, Any]) -> int | Answer:
    """The number in the query; 0 where none is given.

    Example:
        >>> asked_number({"QUERY_STRING": "number=70"})
        70
    """
    query = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    if "number" not in query:
        return 0
    raw = query["number"]
    number = _whole(raw[0]) if len(raw) == 1 else None
    if number is None or not 1 <= number <= MAX_NUMBER:
        return problem(
            400, "bad number", f"it was {', '.join(raw)[:40]!r}",
            f"give one whole number from 1 to {MAX_NUMBER}",
        )  # fmt: skip
    return number


def asked_id(environ: dict[str, Any]) -> str | Answer:
    """The id that the sender drew for its order; empty where none is given.

    Example:
        >>> asked_id({"HTTP_SPOKEROUTE_APPLY_ID": "a-1"})
        'a-1'
    """
    raw = str(environ.get("HTTP_SPOKEROUTE_APPLY_ID", ""))
    if raw and not _ORDER_ID.fullmatch(raw):
        return problem(
            400, "bad Spokeroute-Apply-Id", f"it was {raw[:40]!r}",
            "send 1 to 64 letters, digits, dots, dashes or underscores, drawn anew for each order",
        )  # fmt: skip
    return raw
