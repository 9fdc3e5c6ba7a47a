"""HTTP client of plain endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import aiohttp
import yarl

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import answer_ends
from jujubewharf.engines import body_payload
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import probe_session
from jujubewharf.engines import process_watch
from jujubewharf.engines import receivers
from jujubewharf.engines import send_once

REQUEST_HEADER = "X-Request-Id"
CONNECT_TIMEOUT_S = 1.0
# aiohttp adds these headers if the caller sent none. The endpoint might then
# compress a response for a caller that cannot decode it.
_SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


def _expected(endpoint: resources.Endpoint) -> list[tuple[str, str]]:
    return [(receivers.EXPECTED, endpoint.name)]


def _is_from(
    endpoint: resources.Endpoint, response: aiohttp.ClientResponse, body: bytes
) -> bool:
    return not receivers.is_refusal(response.status, response.headers)


# The no-op of HTTP, which any server answers.
_PROBE = process_watch.ProbeRequest("OPTIONS", "/", _expected, _is_from)

CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class HttpEndpointClient:
    """Calls endpoints over one shared client session.

    Args:
        session: Not shared with engine calls, so that plain calls never wait
            for a connection behind model requests.
        probes: Session that shows whether an endpoint's process runs.
        clock: Time source.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        probes: probe_session.ProbeSession,
        clock: clocks.Clock,
    ) -> None:
        self._session = session
        self._clock = clock
        self._watches = process_watch.ProcessWatches(probes, _PROBE, clock)

    @contextlib.asynccontextmanager
    async def call(
        self, endpoint: resources.Endpoint, call: endpoint_client.PlainCall
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Sends a call; see ``endpoint_client.EndpointClient``."""
        url = f"http://{endpoint.address}/{call.path_query.lstrip('/')}"
        headers = [*call.headers, (REQUEST_HEADER, call.request_id)]
        headers += _expected(endpoint)
        upstream = await self._send(endpoint, call, url, headers)
        # Only errors of sending are translated. An error raised at the yield
        # comes from the caller's block, for example a broken connection to the
        # caller, and does not concern the endpoint.
        async with upstream:
            if receivers.is_refusal(upstream.status, upstream.headers):
                fault = client.EngineFault.REFUSED_IDENTITY
                raise client.EngineError(fault, endpoint.name)
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
            body, endpoint, self._watches.watch(endpoint), self._clock
        )

    async def _send(
        self,
        endpoint: resources.Endpoint,
        call: endpoint_client.PlainCall,
        url: str,
        headers: list[tuple[str, str]],
    ) -> aiohttp.ClientResponse:
        body = call.body and body_payload.StreamPayload(call.body)
        try:
            return await self._session.request(
                call.method,
                yarl.URL(url, encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED_HEADERS,
                middlewares=(send_once.SendOnce(),),
            )
        except CONNECT_ERRORS as error:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name) from error
        except aiohttp.ClientError as error:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, endpoint.name) from error
