"""The callers' parser beside waitress's own: what it takes, that one takes too, and reads alike."""

from __future__ import annotations

import random
from typing import Any

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from spokeroute.http.parser import Parser

SEEDS = 300
SWAPS = 40
NAMES = ("Host", "X-A", "x-a", "Accept", "Connection", "Content-Type", "X_Odd", "Cookie", "Expect")
VALUES = (
    "a",
    "close",
    " two  words\t",
    "",
    "k=v; q=1",
    "\xe4\xff",
    "100-continue",
    "a, b",
    "TE, a",
)
TARGETS = (
    "/",
    "/a/b?c=d&e",
    "//a//b",
    "/%41%2F%zz?%20",
    "/a;b=c/../d?",
    "/x?y?z",
    "http://h/p?q",
    "http://h?q",
)
ODD = b"\r\n\t\0 :;,#?%/aZ09\x7f\x80\xff"


def request_of(rng: random.Random) -> bytes:
    method = rng.choice(("GET", "POST", "PUT", "M-SEARCH"))
    lines = [f"{method} {rng.choice(TARGETS)} HTTP/1.{rng.choice('11110')}", "Host: h.example"]
    for _ in range(rng.randrange(6)):
        name = rng.choice(NAMES[1:])
        lines.append(f"{name}:{rng.choice(('', ' ', '  '))}{rng.choice(VALUES)}")
    body = rng.randbytes(rng.randrange(60))
    match rng.randrange(3):
        case 0:
            body = b""
        case 1:
            lines.append(f"Content-Length: {len(body)}")
        case _:
            lines.append("Transfer-Encoding: chunked")
            cut = rng.randrange(len(body) + 1)
            parts = [part for part in (body[:cut], body[cut:]) if part]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def read(kind: Any, data: bytes, rng: random.Random) -> Any:
    """A request in pieces, and how much of the bytes were its own."""
    parser = kind(Adjustments(max_request_body_size=10_000))
    taken = 0
    while taken < len(data) and not parser.completed:
        size = rng.choice((1, 7, len(data)))
        got = parser.received(data[taken : taken + size])
        assert 0 < got <= size
        taken += got
    return parser, taken


def reading(parser: Any, taken: int) -> tuple[Any, ...]:
    body = parser.get_body_stream().read()
    headers = {k: v for k, v in parser.headers.items() if k != "TRANSFER_ENCODING"}
    return (
        taken, parser.completed, parser.command, parser.path or "/", parser.query,
        parser.request_uri, parser.version, headers, body,
    )  # fmt: skip


def test_proper_requests_are_read_as_waitress_reads_them() -> None:
    for seed in range(SEEDS):
        rng = random.Random(seed)
        data = request_of(rng)
        if b"HTTP/1.0" in data and b"Transfer-Encoding" in data:
            continue
        ours, theirs = (reading(*read(kind, data, rng)) for kind in (Parser, HTTPRequestParser))
        assert ours == theirs, data
        assert ours[0] == len(data) and ours[1]


def test_what_is_taken_of_spoiled_requests_waitress_reads_alike() -> None:
    taken, refused = 0, 0
    for seed in range(SEEDS):
        rng = random.Random(seed)
        data = request_of(rng)
        for _ in range(SWAPS):
            spoiled = bytearray(data)
            for _ in range(rng.randrange(1, 4)):
                at = rng.randrange(len(spoiled))
                match rng.randrange(3):
                    case 0:
                        spoiled[at] = rng.choice(ODD)
                    case 1:
                        spoiled.insert(at, rng.choice(ODD))
                    case _:
                        del spoiled[at]
            ours, ours_taken = read(Parser, bytes(spoiled), rng)
            if ours.error or not ours.completed or ours.empty:
                refused += 1
                continue
            theirs, theirs_taken = read(HTTPRequestParser, bytes(spoiled), rng)
            assert not theirs.error, bytes(spoiled)
            assert reading(ours, ours_taken) == reading(theirs, theirs_taken), bytes(spoiled)
            taken += 1
    assert taken > 1_000 and refused > 1_000
