"""A test instance on a loopback socket that answers requests as scripted, also incorrectly."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import threading
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

NAME = re.compile(rb"^Attempt: (.*)\r$", re.MULTILINE)
LENGTH = re.compile(rb"^Content-Length: (\d+)\r$", re.MULTILINE)
RESET = struct.pack("ii", 1, 0)


class How(Enum):
    """How a request is answered; the second value is whether the instance runs it."""

    WHOLE = ("whole", True)
    CHUNKS = ("in chunks", True)
    CONTINUE = ("after a 100", True)
    TWICE = ("two answers in one segment", True)
    HALF_MORE = ("an answer and a half", True)
    BEFORE = ("after a copy of the one before", True)
    CUT = ("cut somewhere, then closed", True)
    CUT_CHUNKS = ("cut somewhere in its chunks, then closed", True)
    RESET = ("reset before the first byte", True)
    CLOSED = ("closed without a byte", True)
    HINTS = ("after a 103", True)
    OTHER = ("with another's id", True)
    NO_ID = ("without an id", True)
    NO_SEAL = ("without its seal", True)
    NO_END = ("without framing", True)
    BOTH = ("with a length and chunks", True)
    CODING = ("with a coding that is not chunked", True)
    GARBAGE = ("bytes that are no answer", True)
    AWAY = ("turned away", False)

    @property
    def runs(self) -> bool:
        """Whether the instance runs it."""
        return bool(self.value[1])


CERTAIN = (How.WHOLE, How.CHUNKS, How.CONTINUE, How.TWICE, How.HALF_MORE)


def body_of(name: str, serial: int) -> bytes:
    return f"{name} run {serial}".encode()


def reply(name: str, body: bytes, status: int = 200, extra: str = "Seal: s\r\n") -> bytes:
    head = f"HTTP/1.1 {status} X\r\nAttempt: {name}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chunked(name: str, body: bytes, coding: str = "chunked", extra: str = "") -> bytes:
    head = f"HTTP/1.1 200 X\r\nAttempt: {name}\r\nSeal: s\r\n{extra}"
    head += f"Transfer-Encoding: {coding}\r\n\r\n"
    first, rest = body[:3], body[3:]
    parts = b"".join(b"%04x\r\n%s\r\n" % (len(part), part) for part in (first, rest))
    return head.encode() + parts + b"0000\r\n\r\n"


@dataclass
class Got:
    """A received request."""

    name: str
    how: How
    serial: int


@dataclass
class Instance:
    """Answers in the order of ``script``; requests past its end are rejected as not run."""

    script: deque[tuple[How, int]]
    got: list[Got] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.sockets.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        before = b""
        with contextlib.suppress(OSError), sock:
            while (request := self._read(sock)) is not None:
                how, at = self.script.popleft() if self.script else (How.AWAY, 0)
                name = request.decode("latin-1")
                got = Got(name, how, len(self.got))
                self.got.append(got)
                data = self._bytes(got, at, before)
                sock.sendall(data)
                before = reply(name, body_of(name, got.serial))
                if how is How.AWAY:
                    before = data
                if how is How.RESET:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                if how in (How.RESET, How.CLOSED, How.CUT, How.CUT_CHUNKS, How.NO_END, How.CODING):
                    return

    def _read(self, sock: socket.socket) -> bytes | None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65536)
            if not part:
                return None
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = LENGTH.search(head + b"\r\n")
        left = int(length[1]) - len(body) if length else 0
        while left > 0:
            left -= len(sock.recv(left))
        named = NAME.search(head + b"\r\n")
        return named[1] if named else b""

    def _bytes(self, got: Got, at: int, before: bytes) -> bytes:
        name, body = got.name, body_of(got.name, got.serial)
        good = reply(name, body)
        match got.how:
            case How.CHUNKS:
                return chunked(name, body)
            case How.CONTINUE:
                return b"HTTP/1.1 100 Continue\r\n\r\n" + good
            case How.TWICE:
                return good + good
            case How.HALF_MORE:
                return good + good[: 1 + at % (len(good) - 1)]
            case How.BEFORE:
                return before + good
            case How.CUT:
                bare = b"HTTP/1.1 204 X\r\nAttempt: " + name.encode() + b"\r\nSeal: s\r\n\r\n"
                whole = bare if at % 2 else good
                return whole[: at % len(whole)]
            case How.CUT_CHUNKS:
                whole = chunked(name, body)
                return whole[: at % len(whole)]
            case How.RESET | How.CLOSED:
                return b""
            case How.HINTS:
                return b"HTTP/1.1 103 Early Hints\r\n\r\n" + good
            case How.OTHER:
                return reply("other", body)
            case How.NO_ID:
                return good.replace(b"Attempt: " + name.encode() + b"\r\n", b"")
            case How.NO_SEAL:
                return reply(name, body, extra="")
            case How.NO_END:
                return good.replace(b"Content-Length", b"Length")
            case How.BOTH:
                return chunked(name, body, extra="Content-Length: 4\r\n")
            case How.CODING:
                return chunked(name, body, coding=("gzip, chunked", "xchunked")[at % 2])
            case How.GARBAGE:
                return b"\x16\x03\x01 nonsense\r\n\r\n"
            case How.AWAY:
                return reply(name, b"full", 503, "Not-Run: 1\r\n")
            case _:
                return good
