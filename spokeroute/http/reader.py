"""The reading of an instance's answer, strict where the library's reader guesses.

An answer that is cut, or whose parts do not fit together, is never taken for a whole one: a head or
a chunk's size that ends without its line end, a length and chunks at once, a coding that is not
``chunked`` alone, a header line that is none.
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
    """A connection's bytes, of which each line must end, and all lines together soon.

    Example:
        BoundedReader(sock.makefile("rb")).readline()
    """

    def __init__(self, raw: BufferedReader[Any], deadline_ms: int = 0) -> None:
        self.raw = raw
        self.left_bytes = MAX_LINES_BYTES
        self.deadline_ms = deadline_ms
        self.started = False

    def readline(self, most_bytes: int = READ_BYTES) -> bytes:
        """A whole line; an error for what ends without one.

        Example:
            lines.readline() == b"HTTP/1.1 200 OK\\r\\n"
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
        """An error once the time to read it is over.

        Example:
            lines.check_deadline()
        """
        if self.deadline_ms and monotonic_ms() > self.deadline_ms:
            raise UntrustedError("it did not end in time")

    def read(self, size: int) -> bytes:
        """So many bytes of a body; an error where there are fewer.

        Example:
            lines.read(4) == b"done"
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
        """Nothing is written here.

        Example:
            lines.flush()
        """

    def close(self) -> None:
        """Let the connection's bytes go.

        Example:
            lines.close()
        """
        self.raw.close()


class Response(HTTPResponse):
    """An answer of an instance, to be there by a deadline if one is given.

    Example:
        conn.response_class = partial(Response, deadline_ms=deadline_ms)
    """

    fp: Any

    def __init__(self, sock: socket.socket, *rest: Any, deadline_ms: int = 0, **named: Any) -> None:
        super().__init__(sock, *rest, **named)
        self.reader = BoundedReader(self.fp, deadline_ms)
        self.fp = self.reader

    def header_value(self, name: str) -> str | None:
        """A header's value, of all its lines; None where it is not there.

        Example:
            response.header_value("Content-Length") == "4"
        """
        values = self.headers.get_all(name)
        return None if values is None else ", ".join(values)

    def read_body(self, most_bytes: int, method: str = "GET") -> bytes:
        """The whole body of an answer whose end is framed; an UntrustedError for any other.

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
            found = CHUNK_SIZE.fullmatch(self.reader.readline())
            if found is None:
                raise UntrustedError("a chunk's size that is none")
            size = int(found[1], 16)
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
        """Whether there are bytes after a whole answer, or the connection ended.

        Example:
            response.has_surplus(conn.sock)
        """
        sock.settimeout(0)
        try:
            more = self.reader.raw.peek(1)
            if more:
                return True
            return _connection_ended(sock)
        except OSError:
            return True


def _connection_ended(sock: socket.socket) -> bool:
    try:
        return sock.recv(1, socket.MSG_PEEK) is not None
    except BlockingIOError:
        return False
