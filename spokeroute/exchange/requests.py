"""Reads a call from a caller's request, as waitress parsed it. Pure functions."""

from __future__ import annotations

from functools import lru_cache

from spokeroute.common.answers import Answer, Ran, problem
from spokeroute.common.effects import SlotId
from spokeroute.common.ids import CallId
from spokeroute.exchange.types import CallIn
from spokeroute.http.dialect import CallerDialect
from spokeroute.http.framing import HOP_BY_HOP
from spokeroute.http.parser import Parser
from spokeroute.transport.call_messages import Pairs

DROPPED_HEADERS = HOP_BY_HOP | {"expect", "http2-settings"}
BAD_REQUESTS = {
    408: ("the request did not come in time", "send the request whole, at once"),
    413: ("body too large", "send a body within the documented bound"),
    431: ("headers too large", "send headers within the documented bound"),
    501: ("transfer coding not known", "send a length or chunks"),
}


def bad_request(status: int) -> Answer:
    """The answer to a request that is malformed or over a limit; the call did not run.

    Example:
        >>> bad_request(431).status
        431
    """
    title, remedy = BAD_REQUESTS.get(status, ("the request can't be read", "send HTTP/1.1"))
    return problem(status, title, title, remedy, {"kind": "bad_request", "ran": Ran.NO.value})


def header_key(header: str) -> str:
    """The key under which waitress stores a header; empty for an empty name.

    Example:
        >>> header_key("Idempotency-Key")
        'IDEMPOTENCY_KEY'
    """
    return header.upper().replace("-", "_")


def decode_path(path: str) -> str:
    """The path for route matching. Bytes that are not UTF-8 match no literal part of a route.

    Example:
        >>> decode_path("//a/\\xc3\\xa4")
        '/a/ä'
    """
    text = path if path.isascii() else path.encode("latin-1").decode("utf-8", "replace")
    return text if text[:1] == "/" and text[1:2] != "/" else "/" + text.lstrip("/")


def parse_wait_ms(raw: str, default_ms: int) -> int:
    """The wait that a caller's header gives, or the default where it gives none.

    Example:
        >>> parse_wait_ms("700", 4_000), parse_wait_ms("", 4_000)
        (700, 4000)
    """
    return int(raw) if raw.isascii() and raw.isdigit() and len(raw) < 8 else default_ms


@lru_cache(maxsize=1024)
def _header_name(key: str) -> tuple[str, str]:
    name = key.replace("_", "-").title()
    return name, name.lower()


def forwarded_headers(headers: dict[str, str]) -> Pairs:
    """The headers to forward to the instance: all but those that concern one connection.

    Example:
        >>> forwarded_headers({"X_A": "1", "CONNECTION": "close, X-B", "X_B": "2"})
        (('X-A', '1'),)
    """
    dropped = DROPPED_HEADERS
    if "CONNECTION" in headers:
        dropped = dropped | {x.strip().lower() for x in headers["CONNECTION"].split(",")}
    forwarded = []
    for key, value in headers.items():
        name, lower = _header_name(key)
        if lower not in dropped:
            forwarded.append((name, value))
    return tuple(forwarded)


def split_credential(headers: Pairs, name: str) -> tuple[Pairs, Pairs]:
    """Split headers into those without the caller's credential, and the credential.

    Example:
        >>> split_credential((("A", "1"), ("Authorization", "Bearer k")), "authorization")
        ((('A', '1'),), (('Authorization', 'Bearer k'),))
    """
    rest = tuple(header for header in headers if header[0].lower() != name)
    return rest, tuple(header for header in headers if header[0].lower() == name)


class CallReader:
    """Reads complete requests as calls, by the header names of the caller dialect.

    Example:
        CallReader(CallerDialect()).wait(request) == "700"
    """

    def __init__(self, dialect: CallerDialect) -> None:
        self.wait_key = header_key(dialect.wait_header)
        self.attempt_key = header_key(dialect.attempt_header)
        self.idempotency_key = header_key(dialect.key_header)
        self.client_key = header_key(dialect.client_header)
        self.credential_name = dialect.credential_header.lower()

    def wait(self, request: Parser) -> str:
        """The caller's wait header as it was sent; empty without one.

        Example:
            reader.wait(request) == "700"
        """
        return request.headers.get(self.wait_key, "")

    def call(
        self, request: Parser, slot: SlotId, call_id: CallId, address: str, path: str,
        waited_ms: int,
    ) -> CallIn:  # fmt: skip
        """The call of a request. The credential is kept apart from the forwarded headers.

        Example:
            reader.call(request, slot, CallId("ex1-0"), "10.0.0.9", "/readings", 0).path
        """
        headers = request.headers
        forwarded, credential = split_credential(forwarded_headers(headers), self.credential_name)
        body = request.get_body_stream().read() if request.body_rcv is not None else b""
        return CallIn(
            slot, call_id, headers.get(self.client_key) or address, request.command, path,
            request.query, forwarded, body, self.wait(request),
            headers.get(self.idempotency_key, ""), waited_ms, request.host,
            headers.get(self.attempt_key, ""), request.target, credential,
        )  # fmt: skip
