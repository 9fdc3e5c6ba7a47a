"""HTTP client of plain endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import aiohttp
import yarl

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import answer_ends
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import liveness

REQUEST_HEADER = "X-Request-Id"
CONNECT_TIMEOUT_S = 1.0
# aiohttp adds these headers if the caller sent none. The endpoint might then
# compress a response for a caller that cannot decode it.
_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class SendOnce:
    """Client middleware that prevents a call from being sent twice.

    aiohttp resends GET, PUT and DELETE if the connection breaks before the
    response. A call that must not be repeated would then run twice unnoticed.
    Retries are left to ``requests.plain``.
    """

    def __init__(self) -> None:
        self._was_sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Forwards the first send and fails any further one."""
        if self._was_sent:
            raise aiohttp.ServerDisconnectedError
        self._was_sent = True
        return await handler(request)


class HttpEndpointClient:
    """Calls endpoints over one shared client session.

    Args:
        session: Not shared with engine calls, so that plain calls never wait
            for a connection behind model requests.
        clock: Time source.
    """

    def __init__(
        self, session: aiohttp.ClientSession, clock: clocks.Clock
    ) -> None:
        self._session = session
        self._clock = clock
        self._checks = liveness.ProcessChecks(clock)

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Sends a call; see ``endpoint_client.EndpointClient``."""
        url = f"http://{endpoint.address}/{call.path_query.lstrip('/')}"
        headers = [*call.headers, (REQUEST_HEADER, call.request_id)]
        upstream = await self._send(endpoint, call, url, headers)
        # Only errors of sending are translated. An error raised at the yield
        # comes from the caller's block, for example a broken connection to the
        # caller, and does not concern the endpoint.
        async with upstream:
            yield endpoint_client.PlainReply(
                status=upstream.status,
                headers=tuple(upstream.headers.items()),
                body=self._body(upstream, endpoint),
            )

    def _body(
        self, upstream: aiohttp.ClientResponse, endpoint: resources.Endpoint
    ) -> AsyncIterator[bytes]:
        body = answer_ends.read_body(upstream, endpoint)
        if answer_ends.is_framed(upstream):
            return body
        return answer_ends.whole_body(
            body, endpoint, self._checks.process_state, self._clock
        )

    async def _send(
        self,
        endpoint: resources.Endpoint,
        call: endpoint_client.PlainCall,
        url: str,
        headers: list[tuple[str, str]],
    ) -> aiohttp.ClientResponse:
        try:
            return await self._session.request(
                call.method,
                yarl.URL(url, encoded=True),
                headers=headers,
                data=call.body,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED_HEADERS,
                middlewares=(SendOnce(),),
            )
        except CONNECT_ERRORS as error:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name) from error
        except aiohttp.ClientError as error:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, endpoint.name) from error
