"""Decides what the end of an answer means: that it is whole, or that it's lost.

    What arrives                               What it means
    the end that the length or chunks state    whole
    an end before that, or a reset             lost
    the end of the connection, and no framing
        the process of the endpoint runs on    whole: it closed the connection
        the process is gone                    lost: its kernel closed it
        nobody can tell                        lost
    nothing                                    no end; time limits apply

A lost answer raises ``LOST``. It may be tried again, or breaks off, but what
arrived of it never counts as the whole.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import liveness

# A kernel that ends a killed process may close its connections some
# milliseconds before its listener, which accepts connections until then.
_EXIT_MS = 20.0
# A lost SYN, or an instance that stood still itself, leaves a check unclear.
_MAX_CHECKS = 3
# Beyond this, the time that is left is better spent on another try.
_CHECK_TIMEOUT_MS = 800.0
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

_UNFRAMED = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.unframed_ends",
    description="Ends of answers without a length, by the process's state.",
)

StateOf = Callable[[resources.Endpoint], Awaitable[liveness.ProcessState]]


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a response states where its body ends."""
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return True
    return "Content-Length" in response.headers or (
        "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


async def read_body(
    response: aiohttp.ClientResponse, endpoint: resources.Endpoint
) -> AsyncIterator[bytes]:
    """Yields the parts of a body as they arrive.

    Raises:
        client.EngineError: ``LOST``; it ended before the end that its framing
            states, or was reset.
    """
    try:
        async for part in response.content.iter_any():
            yield part
    except (aiohttp.ClientError, OSError) as error:
        raise _lost(endpoint, type(error).__name__) from error


async def whole_body(
    body: AsyncIterator[bytes],
    endpoint: resources.Endpoint,
    state_of: StateOf,
    clock: clocks.Clock,
) -> AsyncIterator[bytes]:
    """Yields a body without framing, and checks that its end is the whole's.

    Args:
        body: The body.
        endpoint: Where it comes from.
        state_of: Returns the state of an endpoint's process.
        clock: Time source.

    Raises:
        client.EngineError: ``LOST``; it may have ended with its process.
    """
    async for part in body:
        yield part
    state = await _state_after_end(endpoint, state_of, clock)
    _UNFRAMED.add(1, {"process": state.value})
    if state is not liveness.ProcessState.RUNNING:
        raise _lost(endpoint, f"ended without length, process {state.value}")


async def _state_after_end(
    endpoint: resources.Endpoint, state_of: StateOf, clock: clocks.Clock
) -> liveness.ProcessState:
    state = liveness.ProcessState.UNKNOWN
    try:
        async with clock.timeout_ms(_CHECK_TIMEOUT_MS):
            for _ in range(_MAX_CHECKS):
                await clock.sleep_ms(_EXIT_MS)
                state = await state_of(endpoint)
                if state is not liveness.ProcessState.UNKNOWN:
                    break
    except TimeoutError:
        return liveness.ProcessState.UNKNOWN
    return state


def _lost(endpoint: resources.Endpoint, detail: str) -> client.EngineError:
    return client.EngineError(client.EngineFault.LOST, endpoint.name, detail)
