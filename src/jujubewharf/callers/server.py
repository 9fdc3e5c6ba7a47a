"""An aiohttp server whose own refusals are JSON errors as well.

aiohttp answers what it can't parse (a malformed request line, a header over
its bound) by itself, before any handler or middleware runs, as plain text.
"""

from __future__ import annotations

from typing import Any

from aiohttp import web
from aiohttp import web_request

from jujubewharf import errors
from jujubewharf.callers import answers


class _JsonErrorHandler(web.RequestHandler):
    """Speaks HTTP on one connection."""

    __slots__ = ()

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers what no handler answered, and closes the connection."""
        if status >= web.HTTPInternalServerError.status_code:
            return super().handle_error(request, status, exc, message)
        kind = errors.ErrorKind.BAD_REQUEST
        response = answers.error_response(kind, errors.Ran.NO)
        response.force_close()
        return response


class _JsonErrorServer(web.Server):
    """Makes connection handlers that answer in JSON."""

    def __call__(self) -> web.RequestHandler:
        """Makes the handler of one connection."""
        return _JsonErrorHandler(self, loop=self._loop, **self._kwargs)


class JsonErrorRunner(web.AppRunner):
    """Runs an application on such a server.

    Args:
        app: The application.
        shutdown_timeout: Seconds that a stop leaves open requests.
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
        made = await super()._make_server()
        return _JsonErrorServer(
            made.request_handler,
            request_factory=made.request_factory,
            **self._options,
        )
