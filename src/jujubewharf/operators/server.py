"""The gRPC server of the operator interface."""

from __future__ import annotations

import grpc
from grpc_health.v1 import health
from grpc_health.v1 import health_pb2
from grpc_health.v1 import health_pb2_grpc
from grpc_reflection.v1alpha import reflection
import mode

from jujubewharf import clock as clocks
from jujubewharf.operators import adapter
from jujubewharf.operators import guard
from jujubewharf.operators import service as services
from jujubewharf.settings import models

MAX_MESSAGE_BYTES = 16_000_000

_GRACE_S = 2.0
_HEALTH_MS = 500.0
_NAMES = ("", adapter.SERVICE.full_name)
_OPTIONS = (
    # Two processes on one port would share its callers silently.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


class OperatorServer(mode.Service):
    """Serves operators, with reflection and health.

    Args:
        settings: Where to listen.
        service: Answers the calls.
        clock: Time.

    Attributes:
        port: Port listened on, once started.
    """

    def __init__(
        self,
        settings: models.OperatorSettings,
        service: services.OperatorService,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self.port = settings.port
        self._settings = settings
        self._service = service
        self._clock = clock
        self._health = health.aio.HealthServicer()
        self._server: grpc.aio.Server | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        server = grpc.aio.server(options=_OPTIONS)
        handler = adapter.handler(self._service, guard.Guard(self._settings))
        server.add_generic_rpc_handlers((handler,))
        health_pb2_grpc.add_HealthServicer_to_server(self._health, server)
        reflected = (
            adapter.SERVICE.full_name,
            health.SERVICE_NAME,
            reflection.SERVICE_NAME,
        )
        reflection.enable_server_reflection(reflected, server)
        address = f"{self._settings.host}:{self._settings.port}"
        self.port = server.add_insecure_port(address)
        await server.start()
        self._server = server

    async def on_stop(self) -> None:
        """Stops listening; calls under way have a while to end."""
        if self._server is not None:
            await self._health.enter_graceful_shutdown()
            await self._server.stop(_GRACE_S)

    @mode.Service.task
    async def _tell_health(self) -> None:
        serving = health_pb2.HealthCheckResponse.SERVING
        not_serving = health_pb2.HealthCheckResponse.NOT_SERVING
        while not self.should_stop:
            status = serving if self._service.is_ready else not_serving
            for name in _NAMES:
                await self._health.set(name, status)
            await self._clock.sleep_ms(_HEALTH_MS)
