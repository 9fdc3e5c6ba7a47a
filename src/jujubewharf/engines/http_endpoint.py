"""Plain endpoints over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import aiohttp

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client

REQUEST_HEADER = "X-Request-Id"
_CHUNK_BYTES = 65_536


class HttpEndpointClient:
    """Calls endpoints over one shared client session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Sends a call; see ``endpoint_client.EndpointClient``."""
        url = f"http://{endpoint.address}/{call.path_query.lstrip('/')}"
        headers = [*call.headers, (REQUEST_HEADER, call.request_id)]
        try:
            async with self._session.request(
                call.method, url, headers=headers, data=call.body
            ) as upstream:
                yield endpoint_client.PlainReply(
                    status=upstream.status,
                    headers=tuple(upstream.headers.items()),
                    body=_body(upstream, endpoint.name),
                )
        except aiohttp.ClientConnectorError as error:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name) from error
        except aiohttp.ClientError as error:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, endpoint.name) from error


async def _body(
    upstream: aiohttp.ClientResponse, name: str
) -> AsyncIterator[bytes]:
    try:
        async for chunk in upstream.content.iter_chunked(_CHUNK_BYTES):
            yield chunk
    except aiohttp.ClientError as error:
        raise client.EngineError(client.EngineFault.LOST, name) from error
