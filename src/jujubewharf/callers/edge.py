"""The HTTP server of the caller edge."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web
import mode
import structlog

from jujubewharf import errors
from jujubewharf.callers import completions
from jujubewharf.callers import error_responses
from jujubewharf.callers import plain
from jujubewharf.callers import server
from jujubewharf.connections import bounded_server
from jujubewharf.connections import listening
from jujubewharf.connections import table
from jujubewharf.settings import models

if TYPE_CHECKING:
    from jujubewharf.callers import readiness as readinesses

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Requests have been drained before; any that are left are aborted.
_SHUTDOWN_TIMEOUT_S = 0.1
_READY_STATUS = {True: 200, False: 503}
# A line of a head has aiohttp's own limit; the rest are the defaults.
_LIMITS = bounded_server.ConnectionLimits(
    idle_timeout_ms=3_630_000.0, max_header_bytes=8_190
)
_PROBE_PATHS = frozenset({"/healthz", "/readyz"})


class CallerEdge(mode.Service):
    """HTTP server for callers.

    Args:
        settings: Address to listen on, and limits.
        model_paths: Handlers of model requests.
        plain_paths: Handler of plain requests.
        readiness: Whether requests are accepted.
        connections: All connections that clients have open.

    Attributes:
        port: The port it listens on, once started.
        readiness: Whether requests are accepted.
    """

    def __init__(
        self,
        settings: models.CallerSettings,
        model_paths: completions.Completions,
        plain_paths: plain.PlainServices,
        readiness: readinesses.Readiness,
        connections: table.Connections,
    ) -> None:
        super().__init__()
        self._listener: asyncio.Server | None = None
        self.port = settings.port
        self.readiness = readiness
        self._settings = settings
        self._app = web.Application(
            middlewares=[_answer_errors, self._check_readiness]
        )
        self._app.router.add_get("/healthz", _healthz)
        self._app.router.add_get("/readyz", self._readyz)
        model_paths.add_to(self._app)
        plain_paths.add_to(self._app)
        self._runner = bounded_server.BoundedRunner(
            self._app,
            bounded_server.Room.of(connections, table.Kind.CALLERS),
            _LIMITS,
            new_handler=server.JsonErrorHandler,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
            auto_decompress=False,
            access_log=None,
        )

    async def on_start(self) -> None:
        """Starts listening."""
        await self._runner.setup()
        assert self._runner.server is not None
        self._listener = await listening.listen(
            self._runner.server, self._settings.host, self._settings.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        structlog.get_logger().info("callers_listening", port=self.port)

    async def on_stop(self) -> None:
        """Stops listening and aborts open requests."""
        if self._listener is not None:
            self._listener.close()
        await self._runner.cleanup()

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self.readiness.is_ready
        body = {"status": "ready" if is_ready else "not ready"}
        return web.json_response(body, status=_READY_STATUS[is_ready])

    @web.middleware
    async def _check_readiness(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if request.path not in _PROBE_PATHS:
            self.readiness.check()
        return await handler(request)


async def _healthz(request: web.Request) -> web.Response:
    return web.json_response({"status": "ok"})


@web.middleware
async def _answer_errors(
    request: web.Request, handler: _Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except errors.WharfError as error:
        return error_responses.response_from(error)
    except web.HTTPNotFound:
        kind = errors.ErrorKind.UNKNOWN_RESOURCE
        return error_responses.error_response(kind, errors.Ran.NO)
    except web.HTTPException as error:
        kind = errors.ErrorKind.BAD_REQUEST
        return error_responses.error_response(kind, errors.Ran.NO, error.reason)
    except ConnectionError:
        raise
    except Exception:
        structlog.get_logger().exception("request_crashed")
        kind = errors.ErrorKind.INTERNAL
        return error_responses.error_response(kind, errors.Ran.UNKNOWN)
