"""A threaded server whose requests carry a mark from before they can have been sent.

A process that was stopped reads requests that its kernel took long ago, and a network that was cut
delivers old bytes on connections that outlived the cut. The time at which a request is read says
nothing of its age then. A mark is taken while no connection waits to be accepted; a connection that
is accepted later was opened after that, and so everything on it was sent after the mark was taken.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

from waitress.adjustments import Adjustments
from waitress.task import WSGITask

from spokeroute.http.wsgi import LazyDispatcher, MonotonicChannel, MonotonicServer, WsgiApp

ARRIVAL_MARK = "spokeroute.arrival_mark"
"""The key of a request's mark in its WSGI environment."""


class MarkedTask(WSGITask):  # type: ignore[misc]
    """A request with its connection's mark. A connection with an outdated mark ends after it."""

    def get_environment(self) -> dict[str, Any]:
        """The WSGI environment, with the mark.

        Example:
            task.get_environment()[ARRIVAL_MARK]
        """
        environ: dict[str, Any] = super().get_environment()
        environ[ARRIVAL_MARK] = self.channel.mark
        return environ

    def build_response_header(self) -> Any:
        """The head of the answer. The next request of this client gets a mark of its own.

        Example:
            task.build_response_header()
        """
        if self.channel.mark != self.channel.server.read_mark():
            self.set_close_on_finish()
        return super().build_response_header()


class MarkedChannel(MonotonicChannel):
    """A connection and the mark that was taken before it was opened."""

    task_class = MarkedTask

    def __init__(self, server: MarkingServer, *rest: Any, **named: Any) -> None:
        self.mark = server.mark
        super().__init__(server, *rest, **named)


class MarkingServer(MonotonicServer):
    """A server that takes marks.

    Example:
        serve(app, "127.0.0.1:7001", 16, 1 << 20, lambda: version)
    """

    channel_class = MarkedChannel

    def __init__(self, read_mark: Callable[[], object], *rest: Any, **named: Any) -> None:
        self.read_mark = read_mark
        self.mark = read_mark()
        super().__init__(*rest, **named)

    def readable(self) -> bool:
        """Called before each wait for events: takes a mark if no connection waits.

        Example:
            server.readable()
        """
        mark = self.read_mark()
        if self.accepting and not self._has_pending_connection():
            self.mark = mark
        return bool(super().readable())

    def refresh(self) -> None:
        """Have the server take a new mark, if there is one; safe from any thread.

        Example:
            server.refresh()
        """
        if self.mark != self.read_mark():
            self.pull_trigger()

    def _has_pending_connection(self) -> bool:
        poller = select.poll()
        poller.register(self._fileno, select.POLLIN)
        return bool(poller.poll(0))


def no_mark() -> object:
    """The mark of a server whose application looks at none.

    Example:
        no_mark() is None
    """
    return None


def serve(
    app: WsgiApp,
    address: str,
    threads: int,
    max_body_bytes: int,
    read_mark: Callable[[], object] = no_mark,
) -> MarkingServer:
    """A listening server; run it with ``server.run()`` on a thread of its own.

    Example:
        server = serve(app, "127.0.0.1:8001", 16, 1 << 20)
    """
    settings = Adjustments(
        listen=address,
        threads=threads,
        max_request_body_size=max_body_bytes,
        max_request_header_size=64 * 1024,
        inbuf_overflow=512 * 1024,
        connection_limit=1000,
        channel_timeout=60,
        channel_request_lookahead=1,
        backlog=512,
        ident="spokeroute",
        clear_untrusted_proxy_headers=False,
        expose_tracebacks=False,
        asyncore_use_poll=True,
    )
    return MarkingServer(
        read_mark, app, {}, True, None, dispatcher=LazyDispatcher(threads), adj=settings,
        sockinfo=settings.listen[0],
    )  # fmt: skip
