"""waitress's server on the event loop's selector: a listening socket and its connections.

The user of a listener takes connections with a complete request from ``ready_connections`` and
answers with ``Connection.answer``. ``closed_connections`` holds connections that closed while a
request was awaiting its answer.
"""

from __future__ import annotations

import copy
import resource
import time
from collections import deque
from typing import Any

from absl import logging
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from spokeroute.http.connections import READ, Connection, SelectorMap
from spokeroute.http.wsgi import Limits

MAX_ACCEPTS_PER_TURN = 64
MAX_CONNECTIONS = 2_000
SWEEP_INTERVAL_S = 0.25
UNLIMITED_BYTES = 1 << 40  # no overflow max_files or write blocking: other limits bound buffers


class Listener(TcpWSGIServer):  # type: ignore[misc]
    """A listening socket and its connections.

    Example:
        Listener("127.0.0.1:8001", SelectorMap(selector), Limits())
    """

    channel_class = Connection
    adj: Any
    watched_events = READ

    def __init__(self, address: str, watched: SelectorMap, limits: Limits) -> None:
        self.ready_connections: deque[Connection] = deque()
        self.closed_connections: deque[Connection] = deque()
        adjustments = Adjustments(
            listen=address,
            backlog=1024,
            outbuf_overflow=UNLIMITED_BYTES,
            outbuf_high_watermark=UNLIMITED_BYTES,
            inbuf_overflow=UNLIMITED_BYTES,
            channel_request_lookahead=1,
            clear_untrusted_proxy_headers=False,
            ident="spokeroute",
        )
        super().__init__(
            None, watched, True, None, dispatcher=self, adj=adjustments,
            sockinfo=adjustments.listen[0],
        )  # fmt: skip
        self.trigger.close()  # no other thread writes
        max_files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.max_connections = min(MAX_CONNECTIONS, max(64, max_files // 2))
        self.paused = False
        self.last_sweep_s = time.monotonic()
        self.limits = limits

    @property
    def limits(self) -> Limits:
        """What clients may send. A new value applies to requests that start after it.

        Example:
            listener.limits = Limits(max_body_bytes=1 << 20)
        """
        return self._limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self._limits = limits
        adjustments = copy.copy(self.adj)
        # waitress rejects sizes equal to its limits; ours are inclusive.
        adjustments.max_request_header_size = limits.max_header_bytes + 1
        adjustments.max_request_body_size = limits.max_body_bytes + 1
        self.adj = adjustments

    def add_task(self, task: Any) -> None:
        """Called by waitress when a request is complete.

        Example:
            listener.add_task(connection)
        """
        self.ready_connections.append(task)

    def pull_trigger(self) -> None:
        """Do nothing: waitress's own loop is not used."""

    def handle(self, mask: int) -> None:
        """Accept new connections.

        Example:
            listener.handle(selectors.EVENT_READ)
        """
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self.active_channels) >= self.max_connections:
                break
            try:
                accepted, address = self.socket.accept()
            except (BlockingIOError, ConnectionError):
                break
            except OSError as fault:
                logging.warning("accept failed, pausing until the next sweep: %s", fault)
                self.paused = True
                break
            try:
                self.set_socket_options(accepted)
                self.channel_class(self, accepted, address, self.adj, map=self._map)
            except OSError:  # already closed by the peer
                accepted.close()
        self.update()

    def update(self) -> None:
        """Accept connections only while there is capacity for them.

        Example:
            listener.update()
        """
        if self.socket is None:
            return
        has_capacity = not self.paused and len(self.active_channels) < self.max_connections
        self.watched_events = self._map.update_events(
            self._fileno, self, self.watched_events, READ if has_capacity else 0
        )

    def sweep(self, now_s: float) -> list[Connection]:
        """Check all timeouts; return connections whose request did not arrive completely in time.

        Example:
            listener.sweep(time.monotonic())
        """
        limits = self._limits
        lag_s = now_s - self.last_sweep_s - SWEEP_INTERVAL_S
        if (
            lag_s > SWEEP_INTERVAL_S
        ):  # time in which this process was stalled does not count against callers
            for each in self.active_channels.values():
                each.partial_since_s += lag_s
        self.last_sweep_s = now_s
        late = [x for x in list(self.active_channels.values()) if x.check_timeouts(now_s, limits)]
        self.paused = False
        self.update()
        return late

    def end_intake(self) -> None:
        """Record what was read so far, in whole or in part: only that is still served.

        Example:
            listener.end_intake()
        """
        for each in list(self.active_channels.values()):
            each.handle(READ)
            each.admitted = len(each.requests) + (each.request is not None)

    def close_idle(self) -> None:
        """Close connections that have been answered and have no new data.

        Example:
            listener.close_idle()
        """
        for each in list(self.active_channels.values()):
            if each.served and each.idle and not each.linger_until_s:
                each.close_if_idle()

    @property
    def partial_connections(self) -> list[Connection]:
        """Connections with a request that was read in part before intake ended.

        Example:
            listener.partial_connections == []
        """
        channels = self.active_channels.values()
        return [x for x in channels if x.request is not None and x.admitted > 0]

    @property
    def busy(self) -> bool:
        """Whether a caller is waiting for an answer or for the rest of one.

        Example:
            listener.busy
        """
        channels = self.active_channels.values()
        return any(x.requests or x.total_outbufs_len for x in channels) or bool(
            self.partial_connections
        )

    def stop_accepting(self) -> None:
        """Stop listening. Connections that are pending are accepted, and their requests are read.

        Example:
            listener.stop_accepting()
        """
        if self.socket is not None:
            self.handle(READ)
            self.close()

    @property
    def has_unclosed(self) -> bool:
        """Whether a caller has not closed after its last answer, or has not sent a request yet.

        Example:
            listener.has_unclosed
        """
        channels = self.active_channels.values()
        return any(x.linger_until_s or not x.served for x in channels)
