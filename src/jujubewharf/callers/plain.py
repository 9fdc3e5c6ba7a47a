"""Handler of plain services: any method and path under ``/s/<service>/``."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.callers import accounts
from jujubewharf.callers import error_responses
from jujubewharf.callers import hop_headers
from jujubewharf.callers import openai_bodies
from jujubewharf.callers import request_options
from jujubewharf.callers import services
from jujubewharf.configuration import resources
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import receivers
from jujubewharf.held_memory import bodies
from jujubewharf.requests import plain
from jujubewharf.settings import models

if TYPE_CHECKING:
    from jujubewharf import core as cores

# Headers that are set per hop, and the caller's token, which must not reach
# endpoints.
_DROPPED = frozenset(
    {
        "authorization",
        "expect",
        "host",
        receivers.EXPECTED.lower(),
        request_options.ATTEMPT_HEADER.lower(),
        request_options.REQUEST_HEADER.lower(),
    }
)
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class PlainServices:
    """Handler of plain requests.

    Args:
        core: Holds the configuration and calls endpoints.
        clock: Clock for arrival times and read timeouts.
        settings: Limits of request bodies.
        new_id: Generates request ids.
    """

    def __init__(
        self,
        core: cores.EntryCore,
        clock: clocks.Clock,
        settings: models.CallerSettings,
        *,
        new_id: Callable[[], str] = openai_bodies.new_request_id,
    ) -> None:
        self._core = core
        self._clock = clock
        self._settings = settings
        self._new_id = new_id

    def add_to(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_route("*", "/s/{service}/{path:.*}", self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        plain_request = self._parse_request(request)
        with structlog.contextvars.bound_contextvars(
            request=plain_request.request_id
        ):
            return await self._forward(request, plain_request)

    def _parse_request(self, request: web.Request) -> plain.PlainRequest:
        arrived_ms = self._clock.now_ms()
        account = self._core.accounts.identify(request.headers)
        options = request_options.RequestOptions.from_headers(request.headers)
        name = request.match_info["service"]
        service = services.find(self._core, name, resources.ServiceKind.PLAIN)
        accounts.check_service(account, service)
        if (request.content_length or 0) > self._settings.max_plain_body_bytes:
            raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
        body = bodies.iter_chunks(
            request.content,
            self._clock,
            max_bytes=self._settings.max_plain_body_bytes,
            timeout_ms=self._settings.body_timeout_ms,
        )
        prefix = f"/s/{name}"
        return plain.PlainRequest(
            request_id=self._new_id(),
            service=service,
            method=request.method,
            path_query=request.rel_url.raw_path_qs.removeprefix(prefix),
            arrived_ms=arrived_ms,
            deadline_ms=options.deadline_ms or service.deadline_ms,
            headers=hop_headers.end_to_end(
                request.headers.items(), dropped=_DROPPED
            ),
            body=body if request.can_read_body else None,
            account=accounts.account_name(account),
            key=options.key,
            priority=accounts.capped_priority(account, options.priority or 0),
            is_repeatable=_is_repeatable(request.method, options, service),
        )

    async def _forward(
        self, request: web.Request, plain_request: plain.PlainRequest
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        try:
            async with self._core.call_plain(plain_request) as reply:
                response = _new_response(reply, plain_request)
                await response.prepare(request)
                async for chunk in reply.body:
                    await response.write(chunk)
        except errors.WharfError as error:
            if response is None:
                return error_responses.response_from(error)
            # The status has already been sent. The connection is reset, so
            # that the truncated response isn't taken for a complete one, also
            # if it ends with its connection.
            error_responses.count_error(error.kind)
            if request.transport is not None:
                request.transport.abort()
        assert response is not None
        return response


def _is_repeatable(
    method: str,
    options: request_options.RequestOptions,
    service: resources.Service,
) -> bool:
    if options.is_repeatable is not None:
        return options.is_repeatable
    return method in _IDEMPOTENT_METHODS or service.repeatable


def _new_response(
    reply: endpoint_client.PlainReply, plain_request: plain.PlainRequest
) -> web.StreamResponse:
    response = web.StreamResponse(status=reply.status)
    for name, value in hop_headers.end_to_end(reply.headers, dropped=_DROPPED):
        response.headers.add(name, value)
    response.headers[request_options.REQUEST_HEADER] = plain_request.request_id
    return response
