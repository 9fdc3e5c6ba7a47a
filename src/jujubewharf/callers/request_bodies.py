"""Reads the body of a request, within the memory that is held for callers."""

from __future__ import annotations

from aiohttp import web

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.forwarding import routes
from jujubewharf.held_memory import bodies
from jujubewharf.held_memory import leases

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read(
    request: web.BaseRequest,
    lease: leases.Lease,
    limits: routes.CallerLimits,
    clock: clocks.Clock,
) -> bytes:
    """Returns the whole body.

    Args:
        request: The request, of which only the head is read.
        lease: What the body is counted in.
        limits: Limits on size and time.
        clock: Clock for the timeout.

    Raises:
        WharfError: ``BODY_TOO_LARGE``, ``SLOW_BODY`` or ``MEMORY_FULL``.
    """
    size_bytes = request.content_length
    if (size_bytes or 0) > limits.max_body_bytes:
        raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
    if not request.can_read_body:
        return b""
    if size_bytes is not None:
        await lease.take(size_bytes + min(size_bytes, bodies.READ_AHEAD_BYTES))
    if request.headers.get("Expect", "").lower() == "100-continue":
        assert request.transport is not None
        request.transport.write(_CONTINUE)
    return await bodies.read_body(
        request.content,
        clock,
        max_bytes=limits.max_body_bytes,
        timeout_ms=limits.idle_timeout_ms,
        lease=lease,
        expected_bytes=size_bytes,
    )
