"""The HTTP server of the caller edge."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import mode
import structlog

from jujubewharf import errors
from jujubewharf.callers import answers
from jujubewharf.callers import completions
from jujubewharf.callers import plain
from jujubewharf.settings import models

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerEdge(mode.Service):
    """Serves callers.

    Args:
        settings: Where to listen, and bounds.
        model_paths: Handlers of model requests.
        plain_paths: Handler of plain requests.

    Attributes:
        port: Port listened on, once started.
    """

    def __init__(
        self,
        settings: models.CallerSettings,
        model_paths: completions.Completions,
        plain_paths: plain.PlainServices,
    ) -> None:
        super().__init__()
        self.port = settings.port
        self._settings = settings
        self._app = web.Application(
            client_max_size=settings.max_body_bytes,
            middlewares=[_answer_errors],
        )
        self._app.router.add_get("/healthz", _healthz)
        model_paths.add_to(self._app)
        plain_paths.add_to(self._app)
        self._runner = web.AppRunner(self._app, handler_cancellation=True)

    async def on_start(self) -> None:
        """Starts listening."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._settings.host, self._settings.port
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops listening and ends open requests."""
        await self._runner.cleanup()


async def _healthz(request: web.Request) -> web.Response:
    return web.json_response({"status": "ok"})


@web.middleware
async def _answer_errors(
    request: web.Request, handler: _Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except errors.WharfError as error:
        return answers.error_response(
            error.kind,
            error.ran,
            error.detail,
            retry_after_ms=error.retry_after_ms,
        )
    except web.HTTPRequestEntityTooLarge:
        kind = errors.ErrorKind.BODY_TOO_LARGE
        return answers.error_response(kind, errors.Ran.NO)
    except web.HTTPException:
        raise
    except Exception:
        structlog.get_logger().exception("request_crashed")
        kind = errors.ErrorKind.INTERNAL
        return answers.error_response(kind, errors.Ran.UNKNOWN)
