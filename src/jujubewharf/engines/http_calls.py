"""Sends HTTP calls to endpoints and reports their failures as engine faults."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import secrets
from typing import TypeVar

import aiohttp
from opentelemetry import metrics
import structlog
import yarl

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import body_payload
from jujubewharf.engines import client
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import send_once

_Answer = TypeVar("_Answer")

# Tells the calls of instances apart, which all count from 1.
_RANDOM_BYTES = 4

_REPEATED = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.repeated_state_calls",
    description="Calls about state that were sent again on a new connection.",
)


class CallIds(Iterator[str]):
    """Ids of calls, which no other instance gives to its own.

    Args:
        prefix: First part of each id.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = f"{prefix}-{secrets.token_hex(_RANDOM_BYTES)}"
        self._numbers = itertools.count(1)

    def __next__(self) -> str:
        """Returns the next id."""
        return f"{self._prefix}-{next(self._numbers)}"


def lost(endpoint: resources.Endpoint, detail: str) -> client.EngineError:
    """Returns the error of a call that may have run; the answer is lost."""
    return client.EngineError(client.EngineFault.LOST, endpoint.name, detail)


async def send(
    session: aiohttp.ClientSession,
    endpoint: resources.Endpoint,
    method: str,
    path_query: str,
    pairs: list[tuple[str, str]],
    body: bytes,
) -> aiohttp.ClientResponse:
    """Sends a call at most once and returns the open response.

    Args:
        session: Client session to send with.
        endpoint: Endpoint to call.
        method: HTTP method.
        path_query: Target of the request, which is sent as it is.
        pairs: Headers.
        body: Body; empty for none.

    Raises:
        client.EngineError: No connection was made, or it broke.
    """
    # The target as a path: split into its parts, it would lose an empty query.
    url = yarl.URL.build(
        scheme="http",
        authority=endpoint.address,
        path=path_query,
        encoded=True,
    )
    try:
        return await session.request(
            method,
            url,
            headers=pairs,
            data=body_payload.BodyPayload(body) if body else None,
            allow_redirects=False,
            skip_auto_headers=("Content-Type",),
            middlewares=(send_once.SendOnce(),),
        )
    except http_endpoint.CONNECT_ERRORS as error:
        fault = client.EngineFault.UNREACHABLE
        raise client.EngineError(
            fault, endpoint.name, type(error).__name__
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise lost(endpoint, type(error).__name__) from error


@contextlib.asynccontextmanager
async def time_limit(
    clock: clocks.Clock,
    limit_ms: float,
    endpoint: resources.Endpoint,
    path: str,
) -> AsyncIterator[None]:
    """Limits the time of a call; beyond it, the answer counts as lost."""
    try:
        async with clock.timeout_ms(limit_ms):
            yield
    except TimeoutError:
        raise lost(endpoint, f"no answer to {path} in time") from None


async def retry_broken_connection(
    call: Callable[[aiohttp.ClientSession], Awaitable[_Answer]],
    keep_alive: aiohttp.ClientSession,
    fresh: aiohttp.ClientSession,
) -> _Answer:
    """Makes a state call on a keep-alive connection.

    The engine may have closed the idle connection, which is no failure. So a
    call whose connection breaks is retried once on a new one; if this reserves
    memory twice, the extra reservation expires by its TTL.

    Args:
        call: Makes the call with the given session.
        keep_alive: Session that reuses connections.
        fresh: Session that opens a connection for each call.
    """
    try:
        return await call(keep_alive)
    except client.EngineError as error:
        # The cause is the error of the connection; a time-out has none.
        if error.fault is not client.EngineFault.LOST or not error.__cause__:
            raise
        _REPEATED.add(1)
        structlog.get_logger().info(
            "state_call_repeated", engine=error.engine, detail=error.detail
        )
    return await call(fresh)
