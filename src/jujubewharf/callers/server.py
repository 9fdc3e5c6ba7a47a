"""An aiohttp server that sends its protocol errors as JSON.

aiohttp itself responds to requests that it can't parse, e.g. with a malformed
request line or an oversized header. It does so in plain text, before any
handler or middleware runs.
"""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiohttp import web_request

from jujubewharf import errors
from jujubewharf.callers import error_responses


class _JsonErrorHandler(web.RequestHandler):
    """Request handler of a connection that sends errors as JSON."""

    __slots__ = ()

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Responds to a protocol error and closes the connection."""
        if status >= web.HTTPInternalServerError.status_code:
            return super().handle_error(request, status, exc, message)
        kind = errors.ErrorKind.BAD_REQUEST
        response = error_responses.error_response(kind, errors.Ran.NO)
        response.force_close()
        return response


class _JsonErrorServer(web.Server):
    """Server whose connection handlers send errors as JSON."""

    def __call__(self) -> web.RequestHandler:
        """Creates the handler of a connection."""
        return _JsonErrorHandler(self, loop=self._loop, **self._kwargs)


class JsonErrorRunner(web.AppRunner):
    """Runs an application on a server that sends errors as JSON.

    Args:
        app: The application.
        shutdown_timeout: Seconds that open requests get to finish on a stop.
        **options: Options of ``web.Server``.
    """

    def __init__(
        self,
        app: web.Application,
        *,
        shutdown_timeout: float,
        **options: Any,
    ) -> None:
        super().__init__(app, shutdown_timeout=shutdown_timeout, **options)
        self._options = options

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return _JsonErrorServer(
            server.request_handler,
            request_factory=server.request_factory,
            **self._options,
        )
