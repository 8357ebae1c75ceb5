"""waitress's request parser, stricter where two readers of one request could differ, and exact
where a bound is told to callers."""

from __future__ import annotations

import re
from typing import Any

from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import RequestEntityTooLarge

VERSIONS = ("1.0", "1.1")
TARGET = re.compile(r"[\x21-\x7e]+")
HOST = re.compile(r"[A-Za-z0-9._~%!$&'()*+;=:\[\]-]*")
CHUNK_ROOM_BYTES = 64 * 1024


class Parser(HTTPRequestParser):  # type: ignore[misc]
    """One request as it comes in.

    Example:
        Parser(adjustments).received(b"GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
    """

    completed: bool
    target = "/"
    """Path and query as they were sent, without the origin of an absolute target."""

    host = ""

    def received(self, data: bytes) -> int:
        """Take bytes in; how many of them belong to this request.

        Example:
            parser.received(data) <= len(data)
        """
        if self.chunked and self.body_rcv is not None:
            return self._chunks(data, self.adj.max_request_body_size)
        return int(super().received(data))

    def _chunks(self, data: bytes, most_bytes: int) -> int:
        """A body's bound counts its bytes, and leaves room for what marks the chunks."""
        if self.completed:
            return 0
        body = self.body_rcv
        taken = int(body.received(data))
        self.body_bytes_received += taken
        marked_bytes = 2 * most_bytes + CHUNK_ROOM_BYTES
        if len(body) >= most_bytes or self.body_bytes_received > marked_bytes:
            self.error = RequestEntityTooLarge("the body is over the bound")
            self.completed = True
        elif body.error:
            self.error = body.error
            self.completed = True
        elif body.completed:
            self.completed = True
            self.headers["CONTENT_LENGTH"] = str(len(body))
        return taken

    def parse_header(self, header_plus: bytes) -> None:
        """Read the request line and the headers.

        Example:
            parser.parse_header(b"GET / HTTP/1.1\\r\\nHost: a\\r\\n")
        """
        try:
            super().parse_header(header_plus)
        except ValueError as fault:
            raise ParsingError("the target can't be read") from fault
        headers: dict[str, Any] = self.headers
        if self.version not in VERSIONS:
            raise ParsingError("the version is not 1.0 or 1.1")
        if self.chunked and "CONTENT_LENGTH" in headers:
            raise ParsingError("a length and chunks at once")
        if self.version == "1.0" and "TRANSFER_ENCODING" in headers:
            raise ParsingError("chunks in version 1.0")
        target = str(self.request_uri)
        if not TARGET.fullmatch(target):
            raise ParsingError("the target can't be read")
        host = headers.get("HOST")
        if not target.startswith("/") and "://" in target:
            origin, slash, rest = target.partition("://")[2].partition("/")
            target = slash + rest if slash else "/"
            host = origin
        if host is None and self.version == "1.1":
            raise ParsingError("no host")
        if host is not None and not HOST.fullmatch(host):
            raise ParsingError("the host can't be read")
        self.target = target
        self.host = host or ""
