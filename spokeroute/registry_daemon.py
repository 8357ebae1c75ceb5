"""The registry's daemon: its cores on the real loop, with the disk's and the platform's threads."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from spokeroute.common.ids import Address, Incarnation
from spokeroute.common.settings import Settings, SettingsError
from spokeroute.common.slab import Slab
from spokeroute.daemon import RealWorld, http_fault, listen, on_signals
from spokeroute.dispatch.configuration.configuration import MAX_CONFIGURATION_BYTES
from spokeroute.dispatch.placement.platform import ListPlatform, PlatformCall, PlatformClient
from spokeroute.dispatch.placement.role import ProcessEnded
from spokeroute.figures import Figures
from spokeroute.http.arrivals import serve
from spokeroute.http.wsgi import WsgiApp
from spokeroute.ledger.ring import RingLog
from spokeroute.ledger.writer import LedgerWrite
from spokeroute.nodes import Start
from spokeroute.register.disk.disk import DiskError
from spokeroute.register.disk.jobs import DiskWrite, ReopenStore
from spokeroute.registry.api import Api
from spokeroute.registry.disk_executor import DiskExecutor, open_store
from spokeroute.registry.platform_executor import HttpPlatform, PlatformExecutor
from spokeroute.registry.status import seen_registers
from spokeroute.registry_node import ask_to_leave, build_registry, may_end
from spokeroute.reread import Rereader
from spokeroute.transport.outcome_messages import LINE_MARK as OUTCOMES_MARK
from spokeroute.transport.process import Me

API_THREADS = 16


def _serve_on_thread(server: Any) -> None:
    threading.Thread(target=server.run, name="http", daemon=True).start()


def run_registry(
    settings: Settings,
    platform: PlatformClient | None = None,
    edge_of: Callable[[Api], WsgiApp] | None = None,
    read: Callable[[], Settings] | None = None,
) -> int:
    """Run a registry until SIGTERM. ``platform`` speaks another contract than the product's own,
    ``edge_of`` gives the operators another interface over its API.

    Example:
        run_registry(read_settings("reg1.toml", {}))
    """
    threading.stack_size(512 * 1024)
    try:
        disk, loaded = open_store(Path(settings.data), settings.disk_mb)
    except DiskError as fault:
        raise SettingsError(str(fault)) from fault
    loop = listen(settings)
    ring = RingLog(settings.name, OUTCOMES_MARK if settings.log_outcomes else "")
    slab = Slab(64)
    world = RealWorld(loop, ring, slab)
    me = Me(
        loaded.member, Incarnation(secrets.randbits(48)), Address(settings.trunk),
        "registry", settings.zone,
    )  # fmt: skip
    seeds = tuple(Address(s) for s in settings.seeds)
    rank = seeds.index(me.address) if me.address in seeds else len(seeds)
    process = build_registry(
        me,
        world,
        Start(
            seeds,
            secrets.randbits(30),
            settings.found,
            rank,
            settings.bounds,
            settings.places,
            settings.policy,
        ),
        loaded,
    )
    edge = DiskExecutor(disk, loaded.member, loop.report)
    world.jobs[DiskWrite] = edge.write
    world.jobs[ReopenStore] = edge.reopen
    world.jobs[LedgerWrite] = edge.ledger
    platforms = PlatformExecutor(platform or HttpPlatform(settings.platform), loop.report)
    world.jobs[ListPlatform] = platforms.list
    world.jobs[PlatformCall] = platforms.call
    api = Api(process, slab, disk, lambda event: loop.report("operator", event))
    app = edge_of(api) if edge_of else api
    try:
        server = serve(
            app,
            settings.http,
            API_THREADS,
            MAX_CONFIGURATION_BYTES + 1024,
            lambda: seen_registers(process),
        )
    except (OSError, ValueError) as fault:
        raise http_fault(settings.http, fault) from fault
    _serve_on_thread(server)
    stopped_at: list[float] = []

    def first() -> None:
        stopped_at.append(time.monotonic())
        ask_to_leave(loop.report)

    def quiet() -> bool:
        waited_ms = (time.monotonic() - stopped_at[0]) * 1000
        return may_end(process, settings.bounds, waited_ms)

    rereader = Rereader(process, ring, settings, read)
    figures = Figures(process, loop, ring, world.compiled)

    def each_turn() -> None:
        rereader.look()
        figures.look()
        server.refresh()

    loop.refused = lambda node, life: process.post("role", ProcessEnded(node, life))
    loop.on_tick = each_turn
    loop.before_stop = quiet
    on_signals(loop, first, rereader)
    loop.run(process)
    edge.close()
    return 0
