"""Plain services: any method and path under ``/s/<service>/``."""

from __future__ import annotations

import uuid

import aiohttp
from aiohttp import web

from jujubewharf import errors
from jujubewharf.callers import completions
from jujubewharf.configuration import follower
from jujubewharf.configuration import resources

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
        configuration: Configuration in force.
        session: Client session towards endpoints.
    """

    def __init__(
        self,
        configuration: follower.ConfigurationFollower,
        session: aiohttp.ClientSession,
    ) -> None:
        self._configuration = configuration
        self._session = session
        self._turn = 0

    def add_to(self, app: web.Application) -> None:
        """Adds the route."""
        app.router.add_route("*", "/s/{service}/{path:.*}", self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        endpoint = self._endpoint(request.match_info["service"])
        request_id = uuid.uuid4().hex
        headers = _forwarded(request.headers)
        headers[completions.REQUEST_HEADER] = request_id
        path = request.match_info["path"]
        url = f"http://{endpoint.address}/{path}"
        body = request.content.iter_chunked(_CHUNK_BYTES)
        try:
            async with self._session.request(
                request.method,
                url,
                params=request.query,
                headers=headers,
                data=body if request.can_read_body else None,
            ) as upstream:
                response = web.StreamResponse(
                    status=upstream.status,
                    headers=_forwarded(upstream.headers),
                )
                response.headers[completions.REQUEST_HEADER] = request_id
                await response.prepare(request)
                async for chunk in upstream.content.iter_chunked(_CHUNK_BYTES):
                    await response.write(chunk)
                return response
        except aiohttp.ClientConnectorError as error:
            raise errors.WharfError(
                errors.ErrorKind.NO_FITTING_ENGINE
            ) from error
        except aiohttp.ClientError as error:
            raise errors.WharfError(errors.ErrorKind.ENDPOINT_FAILED) from error

    def _endpoint(self, service: str) -> resources.Endpoint:
        state = self._configuration.current
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


def _forwarded(headers: object) -> dict[str, str]:
    assert hasattr(headers, "items")
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HOP_HEADERS
    }
