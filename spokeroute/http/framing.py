"""Serializes an answer for a caller's connection.

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
"""Hop-by-hop headers, and the length, which is set anew."""


@dataclass(frozen=True, slots=True)
class Framing:
    """What the serialization depends on besides the answer."""

    method: str
    version: str = "1.1"
    close: bool = False
    keep_alive_s: int = 0


def hop_by_hop_headers(headers: tuple[tuple[str, str], ...]) -> frozenset[str]:
    """The hop-by-hop headers of a message: the standard ones and those that ``Connection`` names.

    Example:
        >>> "x-a" in hop_by_hop_headers((("Connection", "close, X-A"),))
        True
    """
    named = [v for k, v in headers if k.lower() == "connection"]
    if not named:
        return HOP_BY_HOP
    return HOP_BY_HOP | {token.strip().lower() for value in named for token in value.split(",")}


def response_head(answer: Answer, body: bytes, framing: Framing) -> bytes:
    """The status line and the headers, with the length of ``body`` where one is sent. Any Date is
    the instance's own, because the wall clock of this process is not trusted.

    Example:
        >>> b"Content-Length: 2" in response_head(Answer(200, (), b"{}"), b"{}", Framing("GET"))
        True
    """
    status = answer.status
    lines = [f"HTTP/{framing.version} {status} {REASON_PHRASES.get(status, 'Status')}"]
    dropped = hop_by_hop_headers(answer.headers)
    length = ""
    for name, value in answer.headers:
        lower = name.lower()
        if lower == "content-length":
            length = value
        if lower in dropped:
            continue
        if "\r" in value or "\n" in value:  # unfold a folded header line
            value = " ".join(value.split())
        lines.append(f"{name}: {value}")
    if status >= 200 and status != 204:
        bodiless = framing.method == "HEAD" or status == 304
        if not bodiless:
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
    """The complete bytes of an answer.

    Example:
        >>> response_bytes(Answer(200, (), b"{}"), Framing("GET")).endswith(b"{}")
        True
    """
    head = response_head(answer, answer.body, framing)
    bodiless = framing.method == "HEAD" or answer.status in (204, 304)
    return head if bodiless else head + answer.body
