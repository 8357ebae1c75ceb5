"""Checks whether a starting instance accepts connections: a plain TCP connect, no call."""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from spokeroute.common.ids import Address, InstanceId
from spokeroute.transport.net import parse_address

MAX_THREADS = 4


@dataclass(frozen=True, slots=True)
class ConnectJob:
    """A job: connect to an instance's address, then close."""

    instance: InstanceId
    address: Address
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ConnectDone:
    """The result: reached, refused (nothing listens there), or neither within the timeout."""

    instance: InstanceId
    address: Address
    reached: bool
    refused: bool = False


def connect(job: ConnectJob) -> ConnectDone:
    """Connect once; blocks for at most the job's timeout.

    Example:
        connect(ConnectJob(InstanceId("a"), Address("127.0.0.1:1"), 100)).reached is False
    """
    try:
        with socket.create_connection(parse_address(job.address), job.timeout_ms / 1000):
            return ConnectDone(job.instance, job.address, True)
    except ConnectionRefusedError:
        return ConnectDone(job.instance, job.address, False, refused=True)
    except (OSError, ValueError):
        return ConnectDone(job.instance, job.address, False)


class Connector:
    """Carries out ConnectJob jobs on a few threads; reports ConnectDone.

    Example:
        Connector(report).launch(job)
    """

    def __init__(self, report: Callable[[ConnectDone], None]) -> None:
        self.report = report
        self.threads = ThreadPoolExecutor(MAX_THREADS, thread_name_prefix="connect")

    def launch(self, job: ConnectJob) -> None:
        """Start a job.

        Example:
            Connector(report).launch(job)
        """
        self.threads.submit(self._run, job)

    def _run(self, job: ConnectJob) -> None:
        self.report(connect(job))
