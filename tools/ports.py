"""Ports for fleets of real processes.

A fleet draws its ports before its processes bind them, so two fleets at once could draw the same
one. Each process that draws holds a block of ports for itself: a locked file says so to the others,
and the system lets go of the lock when the process ends.
"""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from collections import deque
from pathlib import Path

FIRST_PORT, LAST_PORT = 10_000, 32_000  # below those that the system gives to outgoing connections
BLOCK_PORTS = 200
LOCKS = Path(tempfile.gettempdir()) / "spokeroute-ports"


class NoPortsError(Exception):
    """Every block of ports is held by some other process."""


class PortBlocks:
    """The blocks that this process holds, and its place in them."""

    def __init__(
        self, first: int = FIRST_PORT, last: int = LAST_PORT, folder: Path = LOCKS
    ) -> None:
        self.folder = folder
        self.untried = list(range(first, last - BLOCK_PORTS + 1, BLOCK_PORTS))
        random.SystemRandom().shuffle(self.untried)
        self.locks: list[int] = []
        self.ports: deque[int] = deque()  # of the held blocks; those drawn last come last

    def draw(self, count: int) -> list[int]:
        """Ports that nobody listens on, and that no other process draws.

        Example:
            >>> len(set(PortBlocks().draw(3)))
            3
        """
        found: list[int] = []
        looked_at = 0
        while len(found) < count:
            if looked_at == len(self.ports):
                self.ports.extendleft(self._one_more_block())
            port = self.ports.popleft()
            self.ports.append(port)
            looked_at += 1
            if is_free(port):
                found.append(port)
        return found

    def _one_more_block(self) -> range:
        self.folder.mkdir(exist_ok=True)
        while self.untried:
            first = self.untried.pop()
            lock = os.open(self.folder / str(first), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o666)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(lock)
                continue
            self.locks.append(lock)
            return range(first, first + BLOCK_PORTS)
        raise NoPortsError("all blocks of ports are held: end a fleet, or a soak")


def is_free(port: int) -> bool:
    """Whether a port can be listened on now.

    Example:
        is_free(12_345)
    """
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


_BLOCKS = PortBlocks()


def free_ports(count: int) -> list[int]:
    """Ports for a fleet of this process.

    Example:
        >>> len(free_ports(2))
        2
    """
    return _BLOCKS.draw(count)
