"""Reads an instance's answer, strictly where the library's reader is lenient.

A truncated or inconsistent answer is never taken for a complete one: a head or chunk size without
its line end, Content-Length together with chunks, a transfer coding other than ``chunked`` alone,
a malformed header line.
"""

from __future__ import annotations

import re
import socket
from http.client import HTTPResponse, RemoteDisconnected
from io import BufferedReader
from typing import Any

from spokeroute.common.clock import monotonic_ms

MAX_LINES_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
BODILESS_STATUSES = (204, 304)


class UntrustedError(Exception):
    """An answer that can't be trusted."""


class BoundedReader:
    """Reads a connection; every line must be terminated, and all lines together are bounded.

    Example:
        BoundedReader(sock.makefile("rb")).readline()
    """

    def __init__(self, raw: BufferedReader[Any], deadline_ms: int = 0) -> None:
        self.raw = raw
        self.left_bytes = MAX_LINES_BYTES
        self.deadline_ms = deadline_ms
        self.started = False

    def readline(self, most_bytes: int = READ_BYTES) -> bytes:
        """Read a complete line; raises UntrustedError if it is truncated.

        Example:
            reader.readline() == b"HTTP/1.1 200 OK\\r\\n"
        """
        line = self.raw.readline(most_bytes)
        if not line and not self.started:
            raise RemoteDisconnected("closed without an answer")
        self.started = True
        if not line.endswith(b"\n"):
            raise UntrustedError("cut in a line")
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise UntrustedError("lines out of bounds")
        self.check_deadline()
        return line

    def check_deadline(self) -> None:
        """Raise UntrustedError once the deadline has passed.

        Example:
            reader.check_deadline()
        """
        if self.deadline_ms and monotonic_ms() > self.deadline_ms:
            raise UntrustedError("it did not end in time")

    def read(self, size: int) -> bytes:
        """Read exactly ``size`` bytes of a body; raises UntrustedError if there are fewer.

        Example:
            reader.read(4) == b"done"
        """
        parts: list[bytes] = []
        while size:
            part = self.raw.read1(min(size, READ_BYTES))
            if not part:
                raise UntrustedError("cut short")
            self.check_deadline()
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    def flush(self) -> None:
        """Do nothing: the reader never writes.

        Example:
            reader.flush()
        """

    def close(self) -> None:
        """Close the underlying stream.

        Example:
            reader.close()
        """
        self.raw.close()


class Response(HTTPResponse):
    """An instance's answer, which must be complete by the deadline if one is given.

    Example:
        conn.response_class = partial(Response, deadline_ms=deadline_ms)
    """

    fp: Any

    def __init__(self, sock: socket.socket, *rest: Any, deadline_ms: int = 0, **named: Any) -> None:
        super().__init__(sock, *rest, **named)
        self.reader = BoundedReader(self.fp, deadline_ms)
        self.fp = self.reader

    def header_value(self, name: str) -> str | None:
        """A header's value, its lines joined by commas; None without the header.

        Example:
            response.header_value("Content-Length") == "4"
        """
        values = self.headers.get_all(name)
        return None if values is None else ", ".join(values)

    def read_body(self, most_bytes: int, method: str = "GET") -> bytes:
        """Read the complete body of a framed answer; raises UntrustedError for any other.

        Example:
            response.read_body(4096)
        """
        if self.headers.defects or self.headers.get_payload():
            raise UntrustedError("a header line that is none")
        if self.status < 200:
            raise UntrustedError(f"status {self.status}")
        length, coding = self.header_value("Content-Length"), self.header_value("Transfer-Encoding")
        if length is not None and coding is not None:
            raise UntrustedError("length and coding at once")
        if coding is not None and coding.lower() != "chunked":
            raise UntrustedError("a coding that is not read here")
        if length is not None and not CONTENT_LENGTH.fullmatch(length):
            raise UntrustedError("a length that is none")
        if length is not None and int(length) > most_bytes:
            raise UntrustedError("a length out of bounds")
        if method == "HEAD" or self.status in BODILESS_STATUSES:
            return b""
        if coding is not None:
            return self._read_chunks(most_bytes)
        if length is None:
            raise UntrustedError("no framing")
        return self.reader.read(int(length))

    def _read_chunks(self, most_bytes: int) -> bytes:
        parts: list[bytes] = []
        left_bytes = most_bytes
        while True:
            match = CHUNK_SIZE.fullmatch(self.reader.readline())
            if match is None:
                raise UntrustedError("a chunk's size that is none")
            size = int(match[1], 16)
            if size == 0:
                break
            left_bytes -= size
            if left_bytes < 0:
                raise UntrustedError("a body out of bounds")
            parts.append(self.reader.read(size))
            if self.reader.readline() != b"\r\n":
                raise UntrustedError("a chunk that does not end")
        while self.reader.readline() != b"\r\n":
            pass  # trailers
        return b"".join(parts)

    def has_surplus(self, sock: socket.socket) -> bool:
        """Whether bytes follow the complete answer, or the connection was closed.

        Example:
            response.has_surplus(conn.sock)
        """
        sock.settimeout(0)
        try:
            extra = self.reader.raw.peek(1)
            if extra:
                return True
            return _connection_ended(sock)
        except OSError:
            return True


def _connection_ended(sock: socket.socket) -> bool:
    try:
        return sock.recv(1, socket.MSG_PEEK) is not None
    except BlockingIOError:
        return False
