"""Relays between two processes. ``Relay`` can go dumb: it reads no more, closes nothing, and resets
nothing, like a machine that vanished from the network or whose one direction is lost.
``DelayRelay`` stands before a process's trunk and delays what comes from other regions."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
import time
from collections.abc import Callable, Mapping

from spokeroute.transport.frames import FrameError, decode, split_frames

READ_BYTES = 65_536
MOST_WAITING = 4_096  # reads that are on their way through a delaying relay


class Relay:
    """Forwards every connection to ``target``; ``dumb`` stops one direction or both."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.open = threading.Event()
        self.open.set()
        self.swallowed = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def dumb(self, dumb: bool) -> None:
        """Swallow what comes, or forward again what comes from now on."""
        if dumb:
            self.open.clear()
        else:
            self.open.set()

    def _accept(self) -> None:
        while True:
            near, _ = self.server.accept()
            try:
                far = socket.create_connection(self.target, timeout=10)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for a, b in ((near, far), (far, near)):
                threading.Thread(target=self._carry, args=(a, b), daemon=True).start()

    def _carry(self, a: socket.socket, b: socket.socket) -> None:
        cut = False
        try:
            while data := a.recv(65536):
                if not self.open.is_set():
                    cut = True
                if cut:  # a stream that lost bytes is no stream any more
                    self.swallowed += len(data)
                    if self.open.is_set():
                        break
                    continue
                b.sendall(data)
        except OSError:
            pass
        for sock in (a, b):
            sock.close()


def sender_of(data: bytes) -> str | None:
    """The trunk address of whoever sent the first whole frame; None while there is none.

    Example:
        >>> sender_of(b"") is None
        True
    """
    with contextlib.suppress(FrameError):
        frames, _ = split_frames(data)
        if frames:
            return decode(frames[0]).src_address
    return None


class DelayRelay:
    """Listens at a process's public address, and hands on to where it really listens; what comes
    from a node for which ``delay_s`` says so comes later by that much, in order.

    A process's connections carry frames one way, so that the other way is not delayed.
    """

    def __init__(self, public: str, target: str, delay_s: Callable[[str], float]) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.delay_s = delay_s
        here, _, at = public.rpartition(":")
        self.server = socket.create_server((here, int(at)), backlog=128)
        self.delayed = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Listen no more; open connections end with their processes."""
        self.server.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self.target, timeout=10)
        except OSError:
            near.close()  # nobody is there: the connection breaks
            return
        far.settimeout(None)
        waiting: queue.Queue[tuple[float, bytes]] = queue.Queue(MOST_WAITING)
        threading.Thread(target=self._write, args=(far, near, waiting), daemon=True).start()
        threading.Thread(target=self._back, args=(far, near), daemon=True).start()
        first, delay_s = b"", -1.0
        with contextlib.suppress(OSError):
            while data := near.recv(READ_BYTES):
                if delay_s < 0:
                    first += data
                    sender = sender_of(first)
                    delay_s = self.delay_s(sender) if sender is not None else -1.0
                self.delayed += delay_s > 0
                waiting.put((time.monotonic() + max(0.0, delay_s), data))
        waiting.put((time.monotonic() + max(0.0, delay_s), b""))

    def _write(
        self, far: socket.socket, near: socket.socket, waiting: queue.Queue[tuple[float, bytes]]
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                due_s, data = waiting.get()
                time.sleep(max(0.0, due_s - time.monotonic()))
                if not data:
                    break
                far.sendall(data)
        near.close()
        far.close()

    def _back(self, far: socket.socket, near: socket.socket) -> None:
        """The other way: a process that ends or closes is seen at once."""
        with contextlib.suppress(OSError):
            while data := far.recv(READ_BYTES):
                near.sendall(data)
        for each in (near, far):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


def between_regions(
    own_region: str, regions: Mapping[str, str], delay_s: float
) -> Callable[[str], float]:
    """How late frames of a node come, by its trunk address: those of other regions by the delay.

    Example:
        >>> between_regions("home", {"h:1": "away"}, 0.02)("h:1")
        0.02
    """
    return lambda sender: delay_s if regions.get(sender, own_region) != own_region else 0.0
