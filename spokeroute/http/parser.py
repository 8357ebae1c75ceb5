"""waitress's request parser with its own parsing of the head. It is faster, stricter where two
parsers could read one request differently, and exact in the limits that callers are told.

waitress also accepts every request that this parser accepts, with the same result:
``tests/test_parser.py`` compares them.
"""

from __future__ import annotations

import re
from functools import lru_cache
from urllib.parse import unquote_to_bytes

from waitress.buffers import OverflowableBuffer
from waitress.parser import HTTPRequestParser, ParsingError, TransferEncodingNotImplemented
from waitress.receiver import ChunkedReceiver, FixedStreamReceiver
from waitress.utilities import RequestEntityTooLarge

VERSIONS = {"HTTP/1.0": "1.0", "HTTP/1.1": "1.1"}
METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Z]+")
NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(r"[\x21-\x7e]+")
ABSOLUTE_TARGET = re.compile(r"[Hh][Tt][Tt][Pp][Ss]?://([^/?#]*)(.*)")
HOST = re.compile(r"(?:[A-Za-z0-9._~%!$&'()*+;=-]*|\[[0-9A-Fa-f:.]+\])(?::[0-9]*)?")
CONTROL_CHARS = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
CHUNK_OVERHEAD_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 18


@lru_cache(maxsize=2048)
def _key(name: str) -> str:
    """A header's key; empty for a name with ``_``, which WSGI can't tell from one with ``-``."""
    if not NAME.fullmatch(name):
        raise ParsingError("invalid header name")
    return "" if "_" in name else name.upper().replace("-", "_")


class Parser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request incrementally.

    Example:
        Parser(adjustments).received(b"GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
    """

    completed: bool
    headers: dict[str, str]
    target = "/"
    """Path and query as they were sent, without the origin of an absolute target."""
    host = ""

    def received(self, data: bytes) -> int:
        """Parse bytes; return how many of them belong to this request.

        Example:
            parser.received(data) <= len(data)
        """
        if self.chunked and self.body_rcv is not None:
            return self._receive_chunks(data, self.adj.max_request_body_size)
        return int(super().received(data))

    def _receive_chunks(self, data: bytes, most_bytes: int) -> int:
        """The body limit counts body bytes; chunk headers have an allowance of their own."""
        if self.completed:
            return 0
        body = self.body_rcv
        taken = int(body.received(data))
        self.body_bytes_received += taken
        max_encoded_bytes = 2 * most_bytes + CHUNK_OVERHEAD_BYTES
        if len(body) >= most_bytes or self.body_bytes_received > max_encoded_bytes:
            self.error = RequestEntityTooLarge("request body over the limit")
            self.completed = True
        elif body.error:
            self.error = body.error
            self.completed = True
        elif body.completed:
            self.completed = True
            self.headers["CONTENT_LENGTH"] = str(len(body))
        return taken

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers.

        Example:
            parser.parse_header(b"GET / HTTP/1.1\\r\\nHost: a\\r\\n")
        """
        text = header_plus.decode("latin-1")
        lines = text.split("\r\n")
        line_ends = len(lines) - 1
        if (
            text.count("\r") != line_ends
            or text.count("\n") != line_ends
            or CONTROL_CHARS.search(text)
        ):
            raise ParsingError("request head has invalid control characters or line ends")
        request_line = lines[0].split(" ")
        if (
            len(request_line) != 3
            or not METHOD.fullmatch(request_line[0])
            or request_line[2] not in VERSIONS
        ):
            raise ParsingError("malformed request line")
        headers = self.headers
        for line in lines[1:]:
            if not line:
                continue
            name, colon, value = line.partition(":")
            key = _key(name)
            if not colon:
                raise ParsingError("header line without a colon")
            if not key:
                continue
            value = value.strip(" \t")
            headers[key] = f"{headers[key]}, {value}" if key in headers else value
        self.command = request_line[0]
        self.version = VERSIONS[request_line[2]]
        self.url_scheme = self.adj.url_scheme
        self._read_target(request_line[1])
        connection = headers.get("CONNECTION", "").lower()
        options = [token.strip() for token in connection.split(",")] if connection else []
        http_1_0 = self.version == "1.0"
        self.connection_close = "close" in options or (http_1_0 and "keep-alive" not in options)
        self._read_framing(http_1_0)

    def _read_target(self, target: str) -> None:
        self.request_uri = target
        if not TARGET.fullmatch(target):
            raise ParsingError("invalid request target")
        host = self.headers.get("HOST")
        if not target.startswith("/") and target != "*":
            absolute = ABSOLUTE_TARGET.fullmatch(target)
            if absolute is None:
                raise ParsingError("request target is neither a path nor an absolute URL")
            host, rest = absolute.groups()
            target = rest if rest.startswith("/") else f"/{rest}"
        if host is None and self.version == "1.1":
            raise ParsingError("missing Host header")
        if host is not None and not HOST.fullmatch(host):
            raise ParsingError("invalid Host header")
        self.target, self.host = target, host or ""
        path, _, self.query = target.partition("#")[0].partition("?")
        self.path = unquote_to_bytes(path).decode("latin-1") if "%" in path else path

    def _read_framing(self, http_1_0: bool) -> None:
        headers = self.headers
        coding, length = headers.pop("TRANSFER_ENCODING", None), headers.get("CONTENT_LENGTH")
        if coding is not None:
            if http_1_0 or length is not None:
                raise ParsingError("Transfer-Encoding with HTTP/1.0 or Content-Length")
            if coding.lower() != "chunked":
                raise TransferEncodingNotImplemented("unsupported transfer coding")
            self.chunked = True
            self.body_rcv = ChunkedReceiver(OverflowableBuffer(self.adj.inbuf_overflow))
        elif length is not None:
            if not length.isascii() or not length.isdigit():
                raise ParsingError("invalid Content-Length")
            self.content_length = (
                int(length) if len(length) <= MAX_LENGTH_DIGITS else 10**MAX_LENGTH_DIGITS
            )
            if self.content_length:
                buffer = OverflowableBuffer(self.adj.inbuf_overflow)
                self.body_rcv = FixedStreamReceiver(self.content_length, buffer)
        acceptable = (
            self.body_rcv is not None and self.content_length < self.adj.max_request_body_size
        )
        expect = headers.get("EXPECT", "").lower()
        self.expect_continue = not http_1_0 and acceptable and expect == "100-continue"
