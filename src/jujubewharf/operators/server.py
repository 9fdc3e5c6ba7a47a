"""gRPC server of the operator interface."""

from __future__ import annotations

import grpc
from grpc_health.v1 import health
from grpc_health.v1 import health_pb2
from grpc_health.v1 import health_pb2_grpc
from grpc_reflection.v1alpha import reflection
import mode

from jujubewharf import clock as clocks
from jujubewharf.operators import adapter
from jujubewharf.operators import call_limits
from jujubewharf.operators import service as services
from jujubewharf.settings import models

MAX_MESSAGE_BYTES = 16_000_000

_SHUTDOWN_GRACE_S = 2.0
_HEALTH_INTERVAL_MS = 500.0
_HEALTH_SERVICE_NAMES = ("", adapter.SERVICE.full_name)
_SERVER_OPTIONS = (
    # Fails at startup if another process already listens on the port.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


class OperatorServer(mode.Service):
    """Serves the operator interface, gRPC reflection and health checks.

    Args:
        settings: Address to listen on and limits of calls.
        service: Service that executes the calls.
        clock: Clock of the instance.

    Attributes:
        port: Port that the server listens on, once started.
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
        server = grpc.aio.server(options=_SERVER_OPTIONS)
        handler = adapter.handler(
            self._service, call_limits.CallLimiter(self._settings)
        )
        server.add_generic_rpc_handlers((handler,))
        health_pb2_grpc.add_HealthServicer_to_server(self._health, server)
        reflected_services = (
            adapter.SERVICE.full_name,
            health.SERVICE_NAME,
            reflection.SERVICE_NAME,
        )
        reflection.enable_server_reflection(reflected_services, server)
        address = f"{self._settings.host}:{self._settings.port}"
        self.port = server.add_insecure_port(address)
        await server.start()
        self._server = server

    async def on_stop(self) -> None:
        """Stops listening; active calls get a grace period to finish."""
        if self._server is not None:
            await self._health.enter_graceful_shutdown()
            await self._server.stop(_SHUTDOWN_GRACE_S)

    @mode.Service.task
    async def _publish_health(self) -> None:
        serving = health_pb2.HealthCheckResponse.SERVING
        not_serving = health_pb2.HealthCheckResponse.NOT_SERVING
        while not self.should_stop:
            status = serving if self._service.is_ready else not_serving
            for name in _HEALTH_SERVICE_NAMES:
                await self._health.set(name, status)
            await self._clock.sleep_ms(_HEALTH_INTERVAL_MS)
