"""Reads request bodies with limits on size and time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf import errors

CHUNK_BYTES = 65_536


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
) -> bytes:
    """Reads a whole body.

    Args:
        content: The body's stream.
        clock: Clock for the timeout.
        max_bytes: Maximum size of the body.
        timeout_ms: Timeout of the whole body, so that a caller can't hold a
            request open by sending single bytes.

    Raises:
        WharfError: ``BODY_TOO_LARGE`` or ``SLOW_BODY``.
    """
    parts: list[bytes] = []
    size_bytes = 0
    try:
        async with clock.timeout_ms(timeout_ms):
            while part := await content.read(CHUNK_BYTES):
                size_bytes += len(part)
                if size_bytes > max_bytes:
                    raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
                parts.append(part)
    except TimeoutError as error:
        raise errors.WharfError(errors.ErrorKind.SLOW_BODY) from error
    return b"".join(parts)


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
