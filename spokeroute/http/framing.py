"""Framing: an answer's bytes on a caller's connection.

Example:
    >>> head = response_head(Answer(204, (), b""), b"", Framing("GET"))
    >>> head.startswith(b"HTTP/1.1 204 No Content")
    True
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from spokeroute.common.answers import Answer

REASON_PHRASES = {each.value: each.phrase for each in HTTPStatus} | {
    413: "Content Too Large",
    422: "Unprocessable Content",
}
HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "te", "trailer", "trailers", "transfer-encoding", "upgrade",
     "proxy-connection", "proxy-authenticate", "proxy-authorization", "content-length")
)  # fmt: skip
"""What concerns one connection only, and the length, which is told anew."""


@dataclass(frozen=True, slots=True)
class Framing:
    """What an answer's bytes depend on besides the answer."""

    method: str
    version: str = "1.1"
    close: bool = False
    keep_alive_s: int = 0


def hop_by_hop_headers(headers: tuple[tuple[str, str], ...]) -> frozenset[str]:
    """The headers that concern this connection only: the known ones, and those that
    ``Connection`` names.

    Example:
        >>> "x-a" in hop_by_hop_headers((("Connection", "close, X-A"),))
        True
    """
    named = [v for k, v in headers if k.lower() == "connection"]
    if not named:
        return HOP_BY_HOP
    return HOP_BY_HOP | {token.strip().lower() for value in named for token in value.split(",")}


def response_head(answer: Answer, body: bytes, framing: Framing) -> bytes:
    """The status line and the headers, with the length of ``body`` where one is told. A date is
    the instance's own: no wall clock of ours is trusted.

    Example:
        >>> b"Content-Length: 2" in response_head(Answer(200, (), b"{}"), b"{}", Framing("GET"))
        True
    """
    status = answer.status
    lines = [f"HTTP/{framing.version} {status} {REASON_PHRASES.get(status, 'Status')}"]
    dropped = hop_by_hop_headers(answer.headers)
    length = ""
    for name, value in answer.headers:
        low = name.lower()
        if low == "content-length":
            length = value
        if low in dropped:
            continue
        if "\r" in value or "\n" in value:  # a folded line: one line, as its reader is meant to
            value = " ".join(value.split())
        lines.append(f"{name}: {value}")
    if status >= 200 and status != 204:
        bare = framing.method == "HEAD" or status == 304
        if not bare:
            lines.append(f"Content-Length: {len(body)}")
        elif length or (body and status != 304):
            lines.append(f"Content-Length: {length or len(body)}")
    if framing.close:
        lines.append("Connection: close")
    else:
        if framing.version == "1.0":
            lines.append("Connection: keep-alive")
        if framing.keep_alive_s:
            lines.append(f"Keep-Alive: timeout={framing.keep_alive_s}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def response_bytes(answer: Answer, framing: Framing) -> bytes:
    """All bytes of an answer.

    Example:
        >>> response_bytes(Answer(200, (), b"{}"), Framing("GET")).endswith(b"{}")
        True
    """
    head = response_head(answer, answer.body, framing)
    bare = framing.method == "HEAD" or answer.status in (204, 304)
    return head if bare else head + answer.body
