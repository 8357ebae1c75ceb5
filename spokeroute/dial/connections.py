"""waitress's server and channels on the loop's own selector, without a thread of their own.

waitress reads requests and keeps what waits to be written. Whoever serves takes whole requests
out of ``arrived``, and answers each by ``Connection.answer``; ``gone`` holds connections that
ended while a request was open on them.
"""

from __future__ import annotations

import contextlib
import copy
import resource
import selectors
import socket
import time
from collections import deque
from typing import Any

from absl import logging
from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import TcpWSGIServer

from spokeroute.dial.http import Limits
from spokeroute.dial.parser import Parser

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
READ_BYTES = 64 * 1024
MOST_ACCEPTED = 64  # in one turn
MOST_CONNECTIONS = 2_000
LINGER_S = 1.0
SWEEP_S = 0.25
LINGER_BYTES = 4 * 1024 * 1024
NEVER_BYTES = 1 << 40  # neither files nor waits for a writer: bounds stand elsewhere


class Watched(dict[int, Any]):
    """waitress's map of sockets, kept in step with a selector.

    Example:
        Watched(selectors.DefaultSelector())
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

    def want(self, fd: int, each: Any, old: int, new: int) -> int:
        """Wait for other events on a socket.

        Example:
            watched = self.want(fd, channel, READ, READ | WRITE)
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
    """One caller's connection."""

    parser_class = Parser
    requests: list[Any]
    watched = READ
    served = 0
    admitted = 0
    """Requests that were read before intake ended, in whole or in part."""
    open = False
    """Whether the first request was handed on and has no answer yet."""
    partial: Any = None
    partial_s = 0.0
    linger_until_s = 0.0
    lingered_bytes = 0

    @property
    def last_activity(self) -> float:
        """When something last went over it, by the monotonic clock.

        Example:
            connection.last_activity <= time.monotonic()
        """
        return self._active_s

    @last_activity.setter
    def last_activity(self, wall_s: float) -> None:
        self._active_s = time.monotonic()

    def handle(self, mask: int) -> None:
        """Read and write what can be.

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
            logging.error("a caller's connection failed: %s", fault, exc_info=fault)
            self.handle_close()

    def handle_read(self) -> None:
        """Read once.

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
            if self.lingered_bytes > LINGER_BYTES:
                self.handle_close()
            return
        self._active_s = time.monotonic()
        self.adj = self.server.adj
        self.received(data)
        if self.request is not self.partial:
            self.partial, self.partial_s = self.request, self._active_s

    def answer(self, data: bytes, close: bool) -> None:
        """Write the answer to the first request; ``close`` ends the connection after it.

        Example:
            connection.answer(b"HTTP/1.1 204 No Content\\r\\n\\r\\n", close=False)
        """
        self.open = False
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
            self.partial_s = self._active_s  # the part that was read has its whole time yet
            waits = self.request.expect_continue and self.request.headers_finished
            if waits and not self.sent_continue:
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
        """Close what is to be closed, and wait for the events that matter now.

        Example:
            connection.update()
        """
        if self.socket is None:
            return
        if self.will_close:
            self.handle_close()
            return
        if self.close_when_flushed and not self.total_outbufs_len:
            self.linger()
        if self.socket is None:
            return
        new = READ if self.linger_until_s or self.readable() else 0
        new |= WRITE if self.total_outbufs_len else 0
        self.watched = self._map.want(self._fileno, self, self.watched, new)

    def linger(self) -> None:
        """Say that nothing more comes, and read on for a while: a close with unread bytes would
        reset the connection under the answer.

        Example:
            connection.linger()
        """
        if self.linger_until_s:
            return
        self.close_when_flushed = False
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self.linger_until_s = time.monotonic() + LINGER_S

    def handle_close(self) -> None:
        """End it at once.

        Example:
            connection.handle_close()
        """
        if self.socket is None:
            return
        super().handle_close()
        if self.open:
            self.server.gone.append(self)

    @property
    def idle(self) -> bool:
        """Whether no request is on it, not even a part of one, and nothing is being written.

        Example:
            connection.idle
        """
        return not (self.requests or self.request is not None or self.total_outbufs_len)

    def overdue(self, now_s: float, limits: Limits) -> bool:
        """Look after it; whether a request began on it and did not come whole in time.

        Example:
            connection.overdue(time.monotonic(), Limits())
        """
        if self.linger_until_s:
            if now_s >= self.linger_until_s:
                self.handle_close()
            return False
        if self.requests:
            return False
        if self.request is not None:
            return (now_s - self.partial_s) * 1000 >= limits.header_timeout_ms
        if (now_s - self._active_s) * 1000 < limits.idle_timeout_ms:
            return False
        if self.total_outbufs_len:  # nobody reads its answer
            self.handle_close()
            return False
        self.rest()
        return False

    def rest(self) -> None:
        """Close it if nothing has arrived on it that was not read yet.

        Example:
            connection.rest()
        """
        self.handle(READ)
        if self.socket is not None and self.idle and not self.linger_until_s:
            self.linger()
            self.update()


class Listener(TcpWSGIServer):  # type: ignore[misc]
    """A listening socket and its connections.

    Example:
        Listener("127.0.0.1:8001", Watched(selector), Limits())
    """

    channel_class = Connection
    adj: Any
    watched = READ

    def __init__(self, address: str, watched: Watched, limits: Limits) -> None:
        self.arrived: deque[Connection] = deque()
        self.gone: deque[Connection] = deque()
        adjustments = Adjustments(
            listen=address,
            backlog=1024,
            outbuf_overflow=NEVER_BYTES,
            outbuf_high_watermark=NEVER_BYTES,
            inbuf_overflow=NEVER_BYTES,
            channel_request_lookahead=1,
            clear_untrusted_proxy_headers=False,
            ident="spokeroute",
        )
        super().__init__(
            None, watched, True, None, dispatcher=self, adj=adjustments,
            sockinfo=adjustments.listen[0],
        )  # fmt: skip
        self.trigger.close()  # nothing writes from another thread
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.most = min(MOST_CONNECTIONS, max(64, files // 2))
        self.paused = False
        self.swept_s = time.monotonic()
        self.limits = limits

    @property
    def limits(self) -> Limits:
        """What clients may do; swapped whole, for requests that begin after that.

        Example:
            listener.limits = Limits(max_body_bytes=1 << 20)
        """
        return self._limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self._limits = limits
        adjustments = copy.copy(self.adj)
        # waitress refuses what reaches its bounds; these may be reached.
        adjustments.max_request_header_size = limits.max_header_bytes + 1
        adjustments.max_request_body_size = limits.max_body_bytes + 1
        self.adj = adjustments

    def add_task(self, task: Any) -> None:
        """waitress has read a request.

        Example:
            listener.add_task(connection)
        """
        self.arrived.append(task)

    def pull_trigger(self) -> None:
        """Nobody sleeps on waitress's own loop."""

    def handle(self, mask: int) -> None:
        """Take new connections in.

        Example:
            listener.handle(selectors.EVENT_READ)
        """
        for _ in range(MOST_ACCEPTED):
            if len(self.active_channels) >= self.most:
                break
            try:
                accepted, address = self.socket.accept()
            except (BlockingIOError, ConnectionError):
                break
            except OSError as fault:
                logging.warning("no connection is taken in for a moment: %s", fault)
                self.paused = True
                break
            self.set_socket_options(accepted)
            self.channel_class(self, accepted, address, self.adj, map=self._map)
        self.update()

    def update(self) -> None:
        """Wait for connections while there is room for them.

        Example:
            listener.update()
        """
        if self.socket is None:
            return
        room = not self.paused and len(self.active_channels) < self.most
        self.watched = self._map.want(self._fileno, self, self.watched, READ if room else 0)

    def sweep(self, now_s: float) -> list[Connection]:
        """Look after every connection; those whose request did not come whole in time.

        Example:
            listener.sweep(time.monotonic())
        """
        limits = self._limits
        lag_s = now_s - self.swept_s - SWEEP_S
        if lag_s > SWEEP_S:  # what this process slept through is no caller's delay
            for each in self.active_channels.values():
                each.partial_s += lag_s
        self.swept_s = now_s
        late = [x for x in list(self.active_channels.values()) if x.overdue(now_s, limits)]
        self.paused = False
        self.update()
        return late
