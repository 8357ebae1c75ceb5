"""Callers' connections: waitress channels on the event loop's selector, without their own threads.

waitress parses the requests and buffers the output.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from typing import Any

from absl import logging
from waitress.channel import ClientDisconnected, HTTPChannel

from spokeroute.http.parser import Parser
from spokeroute.http.wsgi import Limits

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
READ_BYTES = 64 * 1024
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024


class SelectorMap(dict[int, Any]):
    """waitress's socket map, kept in sync with a selector.

    Example:
        SelectorMap(selectors.DefaultSelector())
    """

    def __init__(self, selector: selectors.BaseSelector) -> None:
        super().__init__()
        self.selector = selector

    def __setitem__(self, fd: int, each: Any) -> None:
        super().__setitem__(fd, each)
        self.selector.register(fd, READ, each)

    def __delitem__(self, fd: int) -> None:
        super().__delitem__(fd)
        with contextlib.suppress(KeyError):
            self.selector.unregister(fd)

    def update_events(self, fd: int, each: Any, old: int, new: int) -> int:
        """Change the events that a socket is registered for; return the new events.

        Example:
            watched_events = self.update_events(fd, channel, READ, READ | WRITE)
        """
        if old == new:
            return new
        if not new:
            self.selector.unregister(fd)
        elif not old:
            self.selector.register(fd, new, each)
        else:
            self.selector.modify(fd, new, each)
        return new


class Connection(HTTPChannel):  # type: ignore[misc]
    """A caller's connection."""

    parser_class = Parser
    requests: list[Any]
    watched_events = READ
    served = 0
    admitted = 0
    """How many requests had been read, in whole or in part, when intake ended."""
    awaiting_answer = False
    """Whether the first request was dispatched and has no answer yet."""
    partial_request: Any = None
    partial_since_s = 0.0
    lingers = True
    linger_until_s = 0.0
    lingered_bytes = 0

    @property
    def last_activity(self) -> float:
        """When it last sent or received data, by the monotonic clock.

        Example:
            connection.last_activity <= time.monotonic()
        """
        return self._last_activity_s

    @last_activity.setter
    def last_activity(self, wall_s: float) -> None:
        self._last_activity_s = time.monotonic()

    def handle(self, mask: int) -> None:
        """Handle read and write events.

        Example:
            connection.handle(selectors.EVENT_READ)
        """
        try:
            if mask & READ:
                self.handle_read()
            if mask & WRITE and self.socket is not None:
                self._flush_exception(self._flush_some)
            self.update()
        except Exception as fault:
            logging.error("caller connection failed: %s", fault, exc_info=fault)
            self.handle_close()

    def handle_read(self) -> None:
        """Read available data once.

        Example:
            connection.handle_read()
        """
        if self.socket is None:
            return
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if not data:
            self.handle_close()
            return
        if self.linger_until_s:
            self.lingered_bytes += len(data)
            if self.lingered_bytes > MAX_LINGER_BYTES:
                self.handle_close()
            return
        self._last_activity_s = time.monotonic()
        self.adj = self.server.adj
        self.received(data)
        if self.request is not self.partial_request:
            self.partial_request, self.partial_since_s = self.request, self._last_activity_s

    def answer(self, data: bytes, close: bool, lingers: bool = True) -> None:
        """Write the answer to the first request. ``close`` closes the connection after it, with a
        lingering close if ``lingers``.

        Example:
            connection.answer(b"HTTP/1.1 204 No Content\\r\\n\\r\\n", close=False)
        """
        self.lingers = lingers
        self.awaiting_answer = False
        if self.socket is None or not self.requests:
            return
        self.requests.pop(0).close()
        self.served += 1
        self.admitted -= 1
        self._write(data)
        if close:
            self.close_when_flushed = True
            for each in self.requests:
                each.close()
            self.requests = []
        elif self.requests:
            self.server.add_task(self)
        elif self.request is not None:
            self.partial_since_s = self._last_activity_s  # the partial request's timeout starts now
            needs_continue = self.request.expect_continue and self.request.headers_finished
            if needs_continue and not self.sent_continue:
                self.send_continue()
        self.update()

    def _write(self, data: bytes) -> None:
        sent = 0
        if not self.total_outbufs_len:
            try:
                sent = self.socket.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.will_close = True
                return
        self.last_activity = 0.0
        if sent < len(data):
            with contextlib.suppress(ClientDisconnected):
                self.write_soon(data[sent:])

    def update(self) -> None:
        """Close if due, and register for the events that are needed now.

        Example:
            connection.update()
        """
        if self.socket is None:
            return
        if self.will_close:
            self.handle_close()
            return
        if self.close_when_flushed and not self.total_outbufs_len:
            if self.lingers:
                self.linger()
            else:
                self.handle_close()
        if not self.connected:
            return
        new = READ if self.linger_until_s or self.readable() else 0
        new |= WRITE if self.total_outbufs_len else 0
        self.watched_events = self._map.update_events(self._fileno, self, self.watched_events, new)

    def linger(self) -> None:
        """Shut down the write side and keep reading for a while: a close with unread bytes would
        reset the connection before the caller has read the answer.

        Example:
            connection.linger()
        """
        self.close_when_flushed = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self.linger_until_s = time.monotonic() + LINGER_TIMEOUT_S

    def handle_close(self) -> None:
        """Close at once.

        Example:
            connection.handle_close()
        """
        if self.socket is None:
            return
        super().handle_close()
        if self.awaiting_answer:
            self.server.closed_connections.append(self)

    @property
    def idle(self) -> bool:
        """Whether it has no request, not even a partial one, and no output pending.

        Example:
            connection.idle
        """
        return not (self.requests or self.request is not None or self.total_outbufs_len)

    def check_timeouts(self, now_s: float, limits: Limits) -> bool:
        """Enforce its timeouts; True if a request on it did not arrive completely in time.

        Example:
            connection.check_timeouts(time.monotonic(), Limits())
        """
        if self.linger_until_s:
            if now_s >= self.linger_until_s:
                self.handle_close()
            return False
        if self.requests:
            return False
        if self.request is not None:
            return (now_s - self.partial_since_s) * 1000 >= limits.header_timeout_ms
        if (now_s - self._last_activity_s) * 1000 < limits.idle_timeout_ms:
            return False
        if self.total_outbufs_len:  # the caller does not read its answer
            self.handle_close()
            return False
        self.close_if_idle()
        return False

    def close_if_idle(self) -> None:
        """Close it unless unread data has arrived. Data that arrives later stays unread, so that
        its sender can tell that it was not processed.

        Example:
            connection.close_if_idle()
        """
        self.handle(READ)
        if self.idle and not self.linger_until_s:
            self.handle_close()
