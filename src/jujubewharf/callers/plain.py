"""Plain services: any method and path under ``/s/<service>/``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING
import uuid

from aiohttp import web

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http_endpoint

if TYPE_CHECKING:
    from jujubewharf import entry

_HOP_HEADERS = frozenset(
    {
        "host",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "upgrade",
        "authorization",
    }
)
_CHUNK_BYTES = 65_536


class PlainServices:
    """The handler of plain requests.

    Args:
        core: Knows the configuration and how to call endpoints.
    """

    def __init__(self, core: entry.EntryCore) -> None:
        self._core = core
        self._turn = 0

    def add_to(self, app: web.Application) -> None:
        """Adds the route."""
        app.router.add_route("*", "/s/{service}/{path:.*}", self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        service = request.match_info["service"]
        endpoint = self._endpoint(service)
        body = request.content.iter_chunked(_CHUNK_BYTES)
        call = endpoint_client.PlainCall(
            request_id=uuid.uuid4().hex,
            method=request.method,
            path_query=request.path_qs.removeprefix(f"/s/{service}"),
            headers=_end_to_end(request.headers.items()),
            body=aiter(body) if request.can_read_body else None,
        )
        try:
            return await self._pass_on(request, endpoint, call)
        except client.EngineError as error:
            kind = errors.ErrorKind.ENDPOINT_FAILED
            if error.fault is client.EngineFault.UNREACHABLE:
                kind = errors.ErrorKind.NO_FITTING_ENGINE
            raise errors.WharfError(kind) from error

    async def _pass_on(
        self,
        request: web.Request,
        endpoint: resources.Endpoint,
        call: endpoint_client.PlainCall,
    ) -> web.StreamResponse:
        endpoints = self._core.adapters.endpoints
        async with endpoints.call(endpoint, call) as reply:
            response = web.StreamResponse(status=reply.status)
            for name, value in _end_to_end(reply.headers):
                response.headers.add(name, value)
            response.headers[http_endpoint.REQUEST_HEADER] = call.request_id
            await response.prepare(request)
            async for chunk in reply.body:
                await response.write(chunk)
            return response

    def _endpoint(self, service: str) -> resources.Endpoint:
        state = self._core.configuration.current
        if state.get(resources.Kind.SERVICE, service) is None:
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE, service)
        endpoints = [
            entry.resource
            for entry in state.of_kind(resources.Kind.ENDPOINT)
            if isinstance(entry.resource, resources.Endpoint)
            and entry.resource.service == service
            and entry.resource.role is resources.Role.PLAIN
            and not entry.resource.drained
        ]
        if not endpoints:
            raise errors.WharfError(errors.ErrorKind.NO_FITTING_ENGINE)
        self._turn += 1
        return endpoints[self._turn % len(endpoints)]


def _end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    )
