"""Reads request bodies with limits on size and time."""

from __future__ import annotations

from collections.abc import AsyncIterator
import io
import sys
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.held_memory import leases
from jujubewharf.held_memory import memory_account

CHUNK_BYTES = 65_536
# Memory is taken in such steps for a body whose size was not told.
_GROWTH_BYTES = 262_144
# A buffer that grows is larger than its content by up to an eighth, and is
# copied while it is small.
_GROWTH_FACTOR = 1.25
# What a connection may have read ahead of its body's buffer.
READ_AHEAD_BYTES = 262_144


class Content(Protocol):
    """The methods of ``aiohttp.StreamReader`` that this module uses."""

    async def read(self, n: int = -1) -> bytes:
        """Reads up to ``n`` bytes; returns none at the end of the body."""
        ...


async def read_body(
    content: Content,
    clock: clocks.Clock,
    *,
    max_bytes: int,
    timeout_ms: float,
    lease: leases.Lease | None = None,
    expected_bytes: int | None = None,
) -> bytes:
    """Reads a whole body, and holds it once.

    Args:
        content: The body's stream.
        clock: Clock for the timeout.
        max_bytes: Maximum size of the body.
        timeout_ms: Timeout of the whole body, so that a caller can't hold a
            request open by sending single bytes.
        lease: What the body is counted in; ``None`` if it isn't counted. If its
            size was told, the memory is taken already.
        expected_bytes: Size of the body, if the caller has told it.

    Raises:
        WharfError: ``BODY_TOO_LARGE``, ``SLOW_BODY`` or ``MEMORY_FULL``.
    """
    if lease is None:
        lease = memory_account.HeldMemory(clock, bound_bytes=sys.maxsize).new()
    # Joined parts would be held beside the body that is made from them; the
    # buffer's own bytes are the body.
    buffer = io.BytesIO(bytes(min(expected_bytes or 0, max_bytes)))
    taken_bytes = max_bytes if expected_bytes is not None else 0
    try:
        async with clock.timeout_ms(timeout_ms) as timeout:
            with lease.reading(lambda: timeout.reschedule(0.0)):
                while part := await content.read(CHUNK_BYTES):
                    size_bytes = buffer.tell() + len(part)
                    if size_bytes > max_bytes:
                        raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
                    if size_bytes > taken_bytes:
                        await _take_more(lease, is_first=not taken_bytes)
                        taken_bytes += _GROWTH_BYTES
                        _extend(buffer, min(taken_bytes, max_bytes))
                    buffer.write(part)
                    lease.record_arrival(len(part))
    except TimeoutError as error:
        if lease.is_evicted:
            raise lease.full_error() from error
        raise errors.WharfError(errors.ErrorKind.SLOW_BODY) from error
    buffer.truncate()
    return buffer.getvalue()


def _extend(buffer: io.BytesIO, size_bytes: int) -> None:
    """Grows a buffer at once.

    Grown with each part it would be copied each time, and leave gaps in the
    memory of the process that nothing fits into.
    """
    at_bytes = buffer.tell()
    buffer.seek(size_bytes - 1)
    buffer.write(b"\0")
    buffer.seek(at_bytes)


async def _take_more(lease: leases.Lease, *, is_first: bool) -> None:
    """Takes memory for the next part of a body whose size was not told."""
    size_bytes = int(_GROWTH_BYTES * _GROWTH_FACTOR)
    if is_first:
        size_bytes += READ_AHEAD_BYTES
    await lease.take(size_bytes, is_growth=not is_first)


async def iter_chunks(
    content: Content,
    clock: clocks.Clock,
    *,
    max_bytes: int,
    timeout_ms: float,
) -> AsyncIterator[bytes]:
    """Yields the chunks of a body as they arrive.

    Args:
        content: The body's stream.
        clock: Clock for the timeout.
        max_bytes: Maximum size of the body.
        timeout_ms: Timeout of each chunk.

    Raises:
        WharfError: ``BODY_TOO_LARGE`` or ``SLOW_BODY``, possibly after some
            chunks.
    """
    size_bytes = 0
    while True:
        try:
            async with clock.timeout_ms(timeout_ms):
                part = await content.read(CHUNK_BYTES)
        except TimeoutError as error:
            raise errors.WharfError(errors.ErrorKind.SLOW_BODY) from error
        if not part:
            return
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
        yield part
