"""Decides what the end of an answer means: that it is whole, or that it's lost.

    What arrives                               What it means
    the end that the length or chunks state    whole
    an end before that, or a reset             lost
    the end of the connection, and no framing
        the process replies after it           whole: it closed the connection
        the process is gone                    lost: its kernel closed it
        nobody can tell                        lost
    nothing                                    no end; time limits apply

A lost answer raises ``LOST``. It may be tried again, or breaks off, but what
arrived of it never counts as the whole.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.engines import process_watch
from jujubewharf.engines import sessions

# Beyond this without a path, the time that is left is better spent on another
# try.
_NO_PATH_MS = 800.0
# Pauses between two requests that find out whether a process runs.
_FIRST_PAUSE_MS = 5.0
_MAX_PAUSE_MS = 100.0
# Answers about the state of an endpoint, which are parsed as a whole.
_MAX_STATE_BYTES = 1_048_576
_STATUSES_WITHOUT_BODY = frozenset({204, 304})

_UNFRAMED = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.unframed_ends",
    description="Ends of answers without a length, by the process's state.",
)


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


async def read_whole(
    response: aiohttp.ClientResponse, endpoint: resources.Endpoint
) -> bytes:
    """Returns the body of an answer about an endpoint's state.

    Raises:
        client.EngineError: ``LOST``; it broke off, or is far too large.
    """
    try:
        return await sessions.read_bounded(response, _MAX_STATE_BYTES)
    except (aiohttp.ClientError, OSError) as error:
        raise _lost(endpoint, type(error).__name__) from error


async def whole_body(
    body: AsyncIterator[bytes],
    endpoint: resources.Endpoint,
    watch: process_watch.ProcessWatch,
    clock: clocks.Clock,
    *,
    limit_ms: float | None = None,
) -> AsyncIterator[bytes]:
    """Yields a body without framing, and checks that its end is the whole's.

    Args:
        body: The body.
        endpoint: Where it comes from.
        watch: Watch of the endpoint's process.
        clock: Time source.
        limit_ms: Time from now after which the answer is of no use any more;
            ``None`` for no limit.

    Raises:
        client.EngineError: ``LOST``; it may have ended with its process.
    """
    until_ms = None if limit_ms is None else clock.now_ms() + limit_ms
    async for part in body:
        watch.on_part()
        yield part
    state = await _state_after_end(watch, until_ms, clock)
    _UNFRAMED.add(1, {"process": state.value})
    if state is not liveness.ProcessState.RUNNING:
        raise _lost(endpoint, f"ended without length, process {state.value}")


async def _state_after_end(
    watch: process_watch.ProcessWatch,
    until_ms: float | None,
    clock: clocks.Clock,
) -> liveness.ProcessState:
    """Looks for a process until its state is certain, or time is over."""
    pause_ms = _FIRST_PAUSE_MS
    left_ms = None if until_ms is None else until_ms - clock.now_ms()
    state = liveness.ProcessState.UNKNOWN
    try:
        async with (
            clock.timeout_ms(left_ms),
            clock.timeout_ms(_NO_PATH_MS) as no_path,
        ):
            while not (state := await watch.state()).is_certain:
                if state is liveness.ProcessState.SILENT:
                    # An endpoint with as many connections as it takes.
                    clock.reschedule_ms(no_path, _NO_PATH_MS)
                await clock.sleep_ms(pause_ms)
                pause_ms = min(2.0 * pause_ms, _MAX_PAUSE_MS)
    except TimeoutError:
        return liveness.ProcessState.UNKNOWN
    return state


def _lost(endpoint: resources.Endpoint, detail: str) -> client.EngineError:
    return client.EngineError(client.EngineFault.LOST, endpoint.name, detail)
