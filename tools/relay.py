"""A relay between two processes that can go dumb: it reads no more, closes nothing, and resets
nothing, like a machine that vanished from the network or whose one direction is lost."""

from __future__ import annotations

import socket
import threading


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
