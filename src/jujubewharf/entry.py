"""One entry instance: its core, and the daemon that wraps it in edges.

``EntryCore`` holds everything that decides. It is given adapters, so that
tests and experiments run the same code on stand-ins and a virtual clock.
``Entry`` makes the real adapters from settings and adds the HTTP and RPC
servers.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses

import aiohttp
import mode

from jujubewharf import clock as clocks
from jujubewharf.callers import completions
from jujubewharf.callers import edge
from jujubewharf.callers import plain
from jujubewharf.configuration import follower
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http as engine_http
from jujubewharf.engines import http_endpoint
from jujubewharf.peers import streams
from jujubewharf.platform import http_log
from jujubewharf.platform import live_list
from jujubewharf.platform import log
from jujubewharf.platform import weights
from jujubewharf.requests import life
from jujubewharf.requests import model_request
from jujubewharf.routing import baselines
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import placer as placers
from jujubewharf.routing import policy as policies
from jujubewharf.settings import models


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Everything outside that a core speaks to.

    Attributes:
        log: The platform's log.
        live_list: The platform's list of the living.
        weight_store: The platform's weight store.
        make_engine_client: Makes the client of a model engine.
        endpoints: Calls plain endpoints.
        transport: Streams to and from peers.
    """

    log: log.Log
    live_list: live_list.LiveList
    weight_store: weights.WeightStore
    make_engine_client: fleets.ClientFactory
    endpoints: endpoint_client.EndpointClient
    transport: streams.Transport


class EntryCore(mode.Service):
    """All of an instance but its servers.

    Args:
        settings: The instance's settings.
        clock: Time.
        adapters: What it speaks to.
        policy: Decides where requests run; ``None`` takes the product's own.

    Attributes:
        configuration: Configuration in force here.
        fleet: Views of the engines.
    """

    def __init__(
        self,
        settings: models.EntrySettings,
        clock: clocks.Clock,
        adapters: Adapters,
        *,
        policy: policies.Policy | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.adapters = adapters
        self.configuration = follower.ConfigurationFollower(
            adapters.log, clock, wait_ms=settings.platform.log_wait_ms
        )
        self.fleet = fleets.Fleet(adapters.make_engine_client, clock)
        self.configuration.listen(self.fleet.on_configuration)
        if policy is None:
            policy = baselines.LeastLoad()
        self._placer = placers.Placer(policy, self.fleet, clock)
        self._runner = life.RequestRunner(
            settings.instance,
            self.fleet,
            self._placer,
            clock,
        )

    async def on_start(self) -> None:
        """Starts the parts, those that others need first."""
        await self.add_runtime_dependency(self.configuration)
        await self.add_runtime_dependency(self.fleet)

    def answer(
        self, request: model_request.ModelRequest
    ) -> AsyncIterator[model_request.Event]:
        """Answers a model request; see ``life.RequestRunner.run``."""
        return self._runner.run(request)


class Entry(mode.Service):
    """The daemon.

    Args:
        settings: The instance's settings.
        clock: Time.

    Attributes:
        core: The instance's core, once started.
        callers: The caller edge, once started.
    """

    def __init__(
        self, settings: models.EntrySettings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self.core: EntryCore | None = None
        self.callers: edge.CallerEdge | None = None

    async def on_start(self) -> None:
        """Makes the adapters and starts core and edges."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )
        self.core = EntryCore(
            self._settings, self._clock, self._adapters(self._session)
        )
        self.callers = edge.CallerEdge(
            self._settings.callers,
            completions.Completions(self.core, self._clock),
            plain.PlainServices(self.core),
        )
        await self.add_runtime_dependency(self.core)
        await self.add_runtime_dependency(self.callers)

    async def on_shutdown(self) -> None:
        """Closes the client session once all parts stopped."""
        if self._session is not None:
            await self._session.close()

    def _adapters(self, session: aiohttp.ClientSession) -> Adapters:
        platform = self._settings.platform
        peers = self._settings.peers

        def make_engine_client(
            endpoint: resources.Endpoint,
        ) -> client.EngineClient:
            return engine_http.HttpEngineClient(
                endpoint.name, endpoint.address, session, self._clock
            )

        return Adapters(
            log=http_log.HttpLog(platform.log_url, session, self._clock),
            live_list=live_list.HttpLiveList(
                platform.live_list_url, session, self._clock
            ),
            weight_store=weights.HttpWeightStore(
                platform.weight_store_url, session, self._clock
            ),
            make_engine_client=make_engine_client,
            endpoints=http_endpoint.HttpEndpointClient(session),
            transport=streams.TcpTransport(peers.host, peers.port),
        )
