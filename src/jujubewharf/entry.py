"""One entry instance: the services of the daemon, put together."""

from __future__ import annotations

import aiohttp
import mode

from jujubewharf import clock as clocks
from jujubewharf.callers import completions
from jujubewharf.callers import edge
from jujubewharf.callers import plain
from jujubewharf.configuration import follower
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import http as engine_http
from jujubewharf.platform import http_log
from jujubewharf.requests import life
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import least_load
from jujubewharf.settings import models


class Entry(mode.Service):
    """The daemon: caller edge, configuration and engine views.

    Args:
        settings: The instance's settings.
        clock: Time.
    """

    def __init__(
        self, settings: models.EntrySettings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self.callers: edge.CallerEdge | None = None

    async def on_start(self) -> None:
        """Starts the parts, those that others need first."""
        settings = self._settings
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )
        platform_log = http_log.HttpLog(
            settings.platform.log_url, self._session, self._clock
        )
        configuration = follower.ConfigurationFollower(
            platform_log, self._clock, wait_ms=settings.platform.log_wait_ms
        )
        fleet = fleets.Fleet(self._make_client, self._clock)
        configuration.listen(fleet.on_configuration)
        runner = life.RequestRunner(
            settings.instance, fleet, least_load.LeastLoad(), self._clock
        )
        self.callers = edge.CallerEdge(
            settings.callers,
            completions.Completions(configuration, runner, self._clock),
            plain.PlainServices(configuration, self._session),
        )
        await self.add_runtime_dependency(configuration)
        await self.add_runtime_dependency(fleet)
        await self.add_runtime_dependency(self.callers)

    async def on_shutdown(self) -> None:
        """Closes the client session once all parts stopped."""
        if self._session is not None:
            await self._session.close()

    def _make_client(self, endpoint: resources.Endpoint) -> client.EngineClient:
        assert self._session is not None
        return engine_http.HttpEngineClient(
            endpoint.name, endpoint.address, self._session, self._clock
        )
