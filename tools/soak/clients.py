"""A soak's clients: each keeps its connection and goes on using it until the process is gone."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from tools.load import now_ms, own_headers, own_path
from tools.log import Asked
from tools.soak.records import Broken, Left

PAUSE_S = (0.02, 0.25)
SILENCE_S = (1.0, 3.0)
LEAVE_AFTER_S = (0.005, 0.08)
LEAVE_SHARE = 0.25
TRICKLE_S = 0.02
CONNECT_S = 2.0
BEYOND_WAIT_S = 3.0
ELSEWHERE_S = 0.1


class Habit(StrEnum):
    """How a client uses its connection.

    Example:
        >>> Habit("steady") is Habit.STEADY
        True
    """

    STEADY = "steady"  # request after request
    TRICKLE = "trickle"  # bodies come byte by byte
    LEAVER = "leaver"  # closes in the middle of an answer, now and then
    SILENT = "silent"  # says nothing for seconds, and goes on on the same connection


HABITS = (Habit.STEADY, Habit.STEADY, Habit.STEADY, Habit.TRICKLE, Habit.LEAVER, Habit.SILENT)


@dataclass(frozen=True, slots=True)
class Wire:
    """How one dialect asks for a call."""

    headers: Callable[[Asked], dict[str, str]]
    refusal_of: Callable[[http.client.HTTPResponse, bytes, Asked], None]
    path: Callable[[Asked], str]
    host: str = ""  # what calls name as theirs; empty: the address


def own_refusal(answer: http.client.HTTPResponse, body: bytes, asked: Asked) -> None:
    """What a refusal of the product says."""
    doc = json.loads(body)
    asked.ran, asked.kind = doc.get("ran", ""), doc.get("kind", "")
    asked.retry_after = answer.headers.get("Retry-After", "")


OWN_WIRE = Wire(own_headers, own_refusal, own_path)


class Client:
    """One client on a thread of its own.

    Example:
        Client(0, 7, addresses, choose, OWN_WIRE).run(until_ms)
    """

    def __init__(
        self,
        number: int,
        seed: int,
        addresses: dict[str, str],
        choose: Callable[[], Asked],
        wire: Wire,
    ) -> None:
        self.habit = HABITS[number % len(HABITS)]
        self.rng = random.Random(f"client/{seed}/{number}")
        self.addresses = addresses
        self.choose = choose
        self.wire = wire
        self.stop = threading.Event()
        self.broken: list[Broken] = []
        self.left: list[Left] = []
        self.connection: http.client.HTTPConnection | None = None
        self.process = ""
        self.carried = 0

    def run(self) -> None:
        """Ask until it is told to stop; the last call is seen to its end."""
        while not self.stop.is_set():
            if self.connection is None and not self._connect():
                continue
            if self.habit is Habit.SILENT and self.rng.random() < 0.2:
                self.stop.wait(self.rng.uniform(*SILENCE_S))
            self._call(self.choose())
            self.stop.wait(self.rng.uniform(*PAUSE_S))
        self._close()

    def _connect(self) -> bool:
        self.process = self.rng.choice(sorted(self.addresses))
        connection = http.client.HTTPConnection(self.addresses[self.process], timeout=CONNECT_S)
        try:
            connection.connect()
        except OSError:
            connection.close()
            self.stop.wait(ELSEWHERE_S)
            return False
        self.connection, self.carried = connection, 0
        return True

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _call(self, asked: Asked) -> None:
        asked.exchange, asked.at_ms = self.process, now_ms()
        sent_ms = -1.0
        try:
            sent_ms = self._send(asked)
            if self.habit is Habit.LEAVER and self.rng.random() < LEAVE_SHARE:
                self._leave(asked)
                return
            self._answer(asked)
        except TimeoutError:
            asked.status, asked.kind = 0, "timeout"
            self._close()
        except (OSError, http.client.HTTPException, ValueError) as fault:
            asked.status, asked.kind = 0, "refused" if sent_ms < 0 else "broke"
            if sent_ms >= 0:
                partial = isinstance(fault, http.client.IncompleteRead | ValueError)
                ended_ms = now_ms()
                self.broken.append(
                    Broken(asked.call, self.process, sent_ms, ended_ms, self.carried > 0, partial)
                )
            self._close()
        asked.done_ms = now_ms()

    def _send(self, asked: Asked) -> float:
        """Send a call's request whole; when its last byte went out."""
        connection = self.connection
        assert connection is not None and connection.sock is not None
        connection.sock.settimeout(asked.wait_ms / 1000 + BEYOND_WAIT_S)
        body = json.dumps({"of": asked.call}).encode() if asked.method == "POST" else b""
        connection.putrequest(asked.method, self.wire.path(asked), skip_host=bool(self.wire.host))
        if self.wire.host:
            connection.putheader("Host", self.wire.host)
        for name, value in self.wire.headers(asked).items():
            connection.putheader(name, value)
        if body:
            connection.putheader("Content-Length", str(len(body)))
        connection.endheaders()
        if self.habit is Habit.TRICKLE:
            for at in range(len(body)):
                connection.send(body[at : at + 1])
                time.sleep(TRICKLE_S)
        elif body:
            connection.send(body)
        return now_ms()

    def _answer(self, asked: Asked) -> None:
        connection = self.connection
        assert connection is not None
        answer = connection.getresponse()
        body = answer.read()
        asked.status, asked.body, asked.answers = answer.status, body, 1
        if answer.status >= 400:
            self.wire.refusal_of(answer, body, asked)
        self.carried += 1
        if answer.will_close:
            self._close()

    def _leave(self, asked: Asked) -> None:
        """Close the connection before the answer is there, or in the middle of it."""
        time.sleep(self.rng.uniform(*LEAVE_AFTER_S))
        asked.status, asked.kind, asked.done_ms = 0, "left", now_ms()
        self.left.append(Left(asked.call, self.process, asked.done_ms))
        self._close()
