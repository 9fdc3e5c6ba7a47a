"""Runs the daemon's services until a signal, then drains and stops them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import enum
import signal
from typing import Protocol
from typing import cast

import mode
import structlog

from jujubewharf.connections import table
from jujubewharf.leaving import shutdown
from jujubewharf.settings import models
from jujubewharf.telemetry import logs
from jujubewharf.telemetry import metrics


class ExitCode(enum.IntEnum):
    """Exit codes of the process.

    ``CUT`` means that requests were still in flight at the end, because the
    drain limit passed or a second signal arrived.
    """

    DRAINED = 0
    CRASHED = 1
    BAD_SETTINGS = 2
    CUT = 3


class Daemon(Protocol):
    """The service that is drained; the first of the services."""

    def new_shutdown(self) -> shutdown.Shutdown:
        """Creates a shutdown that drains the daemon."""
        ...


async def run_daemon(
    daemon: Daemon,
    telemetry: models.TelemetrySettings,
    identity: metrics.Identity,
    connections: table.Connections,
) -> ExitCode:
    """Runs a daemon and its metrics until the daemon has drained.

    Args:
        daemon: Service that handles callers' requests.
        telemetry: Settings of the metrics export.
        identity: Identity of the instance in metrics.
        connections: All connections that clients have open.
    """
    logs.handle_loop_errors(asyncio.get_running_loop())
    services: list[mode.Service] = [cast(mode.Service, daemon)]
    metrics_exporter = metrics.configure(telemetry, identity, connections)
    if metrics_exporter is not None:
        services.append(metrics_exporter)
    return await Runner(daemon, services).run()


class Runner:
    """Starts services, waits for SIGTERM or SIGINT, drains and stops.

    Args:
        daemon: The service to drain.
        services: All services to start, in order.
    """

    def __init__(
        self, daemon: Daemon, services: Sequence[mode.Service]
    ) -> None:
        self._daemon = daemon
        self._services = services
        self._signalled = asyncio.Event()
        self._shutdown: shutdown.Shutdown | None = None

    async def run(self) -> ExitCode:
        """Runs until the process should exit.

        The first signal drains; the second one skips the rest of the drain.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        try:
            for service in self._services:
                await service.start()
            crashed = await self._wait_for_signal()
            if crashed:
                return ExitCode.CRASHED
            self._shutdown = self._daemon.new_shutdown()
            summary = await self._shutdown.run()
            return ExitCode.CUT if summary.cut else ExitCode.DRAINED
        finally:
            for service in reversed(self._services):
                await service.stop()

    async def _wait_for_signal(self) -> bool:
        """Waits for a signal; returns whether a service crashed first."""
        tasks = [
            asyncio.create_task(service.wait(self._signalled.wait()))
            for service in self._services
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        return not self._signalled.is_set()

    def _on_signal(self) -> None:
        if self._shutdown is not None:
            structlog.get_logger().warning("shutdown_hastened")
            self._shutdown.force()
        self._signalled.set()
