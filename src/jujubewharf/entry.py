"""The daemon: an entry core with its adapters and servers."""

from __future__ import annotations

import aiohttp
import mode

from jujubewharf import clock as clocks
from jujubewharf import core as cores
from jujubewharf.callers import completions
from jujubewharf.callers import edge
from jujubewharf.callers import plain as plain_paths
from jujubewharf.callers import readiness
from jujubewharf.configuration import resources
from jujubewharf.connections import table
from jujubewharf.engines import client
from jujubewharf.engines import http as engine_http
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import probe_session
from jujubewharf.engines import sessions
from jujubewharf.leaving import shutdown
from jujubewharf.operators import server as operator_server
from jujubewharf.operators import service as operator_service
from jujubewharf.peers import streams
from jujubewharf.peers import tls_keys as peer_keys
from jujubewharf.platform import http_log
from jujubewharf.platform import live_list
from jujubewharf.platform import weights
from jujubewharf.requests import model_request
from jujubewharf.routing import initial_discovery
from jujubewharf.settings import models
from jujubewharf.telemetry import gauges


class Entry(mode.Service):
    """The daemon.

    Args:
        settings: The instance's settings.
        clock: Clock for all timers.

    Attributes:
        connections: All connections that clients have open.
        core: The instance's core, once started.
        callers: The caller edge, once started.
        operators: The operator RPC, once started.
    """

    def __init__(
        self, settings: models.EntrySettings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._sessions: list[aiohttp.ClientSession] = []
        self.connections = table.Connections()
        self._probes: probe_session.ProbeSession | None = None
        self.core: cores.EntryCore | None = None
        self.callers: edge.CallerEdge | None = None
        self.operators: operator_server.OperatorServer | None = None

    async def on_start(self) -> None:
        """Creates the adapters, then starts the core and the servers."""
        peers = self._settings.peers
        transport = peer_keys.make_transport(peers, self.connections)
        self.core = cores.EntryCore(
            self._settings, self._clock, self._adapters(transport)
        )
        gauges.register_gauges(self.core)
        callers = self._settings.callers
        self.callers = edge.CallerEdge(
            callers,
            completions.Completions(
                self.core,
                self._clock,
                callers,
                new_id=lambda: model_request.new_request_id(
                    self._settings.instance
                ),
            ),
            plain_paths.PlainServices(self.core, self._clock, callers),
            readiness.Readiness(
                initial_discovery.InitialDiscovery(
                    self.core.configuration, self.core.fleet, self._clock
                ),
                self.core.admission,
            ),
            self.connections,
        )
        self.operators = operator_server.OperatorServer(
            self._settings.operators,
            operator_service.OperatorService(self.core),
            self._clock,
        )
        await self.add_runtime_dependency(self.core)
        await self.add_runtime_dependency(self.operators)
        await self.add_runtime_dependency(self.callers)
        files = peer_keys.configured_files(peers)
        if files is not None:
            reloader = peer_keys.KeyReloader(
                files,
                transport,
                self.core.peers,
                self._clock,
                poll_ms=peers.tls_poll_ms,
            )
            await self.add_runtime_dependency(reloader)

    def new_shutdown(self) -> shutdown.Shutdown:
        """Creates a graceful shutdown; see ``core.EntryCore.new_shutdown``."""
        assert self.core is not None
        return self.core.new_shutdown()

    async def on_shutdown(self) -> None:
        """Closes the client sessions once all services have stopped."""
        for session in self._sessions:
            await session.close()
        if self._probes is not None:
            await self._probes.close()

    def _new_session(self) -> aiohttp.ClientSession:
        """Creates a client session with a separate connection pool."""
        session = aiohttp.ClientSession(
            connector=sessions.new_connector(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=http_endpoint.CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            read_bufsize=sessions.READ_BUFFER_BYTES,
        )
        self._sessions.append(session)
        return session

    def _adapters(self, transport: streams.Transport) -> cores.Adapters:
        session = self._new_session()
        self._probes = probes = probe_session.ProbeSession()
        platform = self._settings.platform

        def make_engine_client(
            endpoint: resources.Endpoint,
        ) -> client.EngineClient:
            return engine_http.HttpEngineClient(
                endpoint.name, endpoint.address, session, self._clock
            )

        return cores.Adapters(
            log=http_log.HttpLog(platform.log_url, session, self._clock),
            live_list=live_list.HttpLiveList(
                platform.live_list_url, session, self._clock
            ),
            weight_store=weights.HttpWeightStore(
                platform.weight_store_url, session, self._clock
            ),
            make_engine_client=make_engine_client,
            endpoints=http_endpoint.HttpEndpointClient(
                self._new_session(), probes, self._clock
            ),
            transport=transport,
        )
