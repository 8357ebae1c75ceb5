"""Compares our request parser with waitress's: each request that ours accepts, waitress's accepts
with the same result."""

from __future__ import annotations

import random
from typing import Any

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from spokeroute.http.parser import Parser

SEEDS = 300
MUTATIONS = 40
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
MUTATION_BYTES = b"\r\n\t\0 :;,#?%/aZ09\x7f\x80\xff"


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


def parse(kind: Any, data: bytes, rng: random.Random) -> Any:
    """Parse a request fed in pieces; return the parser and how many bytes it consumed."""
    parser = kind(Adjustments(max_request_body_size=10_000))
    taken = 0
    while taken < len(data) and not parser.completed:
        size = rng.choice((1, 7, len(data)))
        got = parser.received(data[taken : taken + size])
        assert 0 < got <= size
        taken += got
    return parser, taken


def result_of(parser: Any, taken: int) -> tuple[Any, ...]:
    body = parser.get_body_stream().read()
    headers = {k: v for k, v in parser.headers.items() if k != "TRANSFER_ENCODING"}
    return (
        taken, parser.completed, parser.command, parser.path or "/", parser.query,
        parser.request_uri, parser.version, headers, body,
    )  # fmt: skip


def test_valid_requests_are_parsed_like_waitress_parses_them() -> None:
    for seed in range(SEEDS):
        rng = random.Random(seed)
        data = request_of(rng)
        if b"HTTP/1.0" in data and b"Transfer-Encoding" in data:
            continue
        ours, theirs = (result_of(*parse(kind, data, rng)) for kind in (Parser, HTTPRequestParser))
        assert ours == theirs, data
        assert ours[0] == len(data) and ours[1]


def test_accepted_mutated_requests_are_parsed_like_waitress_parses_them() -> None:
    accepted, rejected = 0, 0
    for seed in range(SEEDS):
        rng = random.Random(seed)
        data = request_of(rng)
        for _ in range(MUTATIONS):
            mutated = bytearray(data)
            for _ in range(rng.randrange(1, 4)):
                at = rng.randrange(len(mutated))
                match rng.randrange(3):
                    case 0:
                        mutated[at] = rng.choice(MUTATION_BYTES)
                    case 1:
                        mutated.insert(at, rng.choice(MUTATION_BYTES))
                    case _:
                        del mutated[at]
            ours, ours_taken = parse(Parser, bytes(mutated), rng)
            if ours.error or not ours.completed or ours.empty:
                rejected += 1
                continue
            theirs, theirs_taken = parse(HTTPRequestParser, bytes(mutated), rng)
            assert not theirs.error, bytes(mutated)
            assert result_of(ours, ours_taken) == result_of(theirs, theirs_taken), bytes(mutated)
            accepted += 1
    assert accepted > 1_000 and rejected > 1_000
