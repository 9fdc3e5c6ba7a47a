"""Reads request bodies within bounds of size and time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf import errors

CHUNK_BYTES = 65_536


class Content(Protocol):
    """The part of ``aiohttp.StreamReader`` that is used here."""

    async def read(self, n: int = -1) -> bytes:
        """Up to ``n`` bytes; none at the end."""
        ...


async def read_whole(
    content: Content,
    clock: clocks.Clock,
    *,
    max_bytes: int,
    timeout_ms: float,
) -> bytes:
    """Reads a body whole.

    The time bounds the whole body, so a caller that trickles bytes holds a
    request no longer than one that sends none.

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


async def chunks(
    content: Content,
    clock: clocks.Clock,
    *,
    max_bytes: int,
    timeout_ms: float,
) -> AsyncIterator[bytes]:
    """Passes a body on as it comes; each chunk has the given time.

    Raises:
        WharfError: ``BODY_TOO_LARGE`` or ``SLOW_BODY``; part of the body was
            passed on by then.
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
