"""Buffers answers, so that one that breaks off can be retried."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses

from jujubewharf.forwarding import calls

# Answers up to this size are buffered before their first byte is forwarded, so
# that an answer that breaks off can be retried or reported as an error.
MAX_BUFFERED_BYTES = 262_144


async def buffered(reply: calls.Reply) -> tuple[calls.Reply, bool]:
    """Buffers a body up to ``MAX_BUFFERED_BYTES`` and streams the rest.

    Returns:
        The answer, and whether its whole body is buffered.
    """
    parts: list[bytes] = []
    size = 0
    async for part in reply.body:
        parts.append(part)
        size += len(part)
        if size > MAX_BUFFERED_BYTES:
            streamed = dataclasses.replace(
                reply, body=_concatenated(parts, reply.body)
            )
            return streamed, False
    whole = dataclasses.replace(
        reply, body=_concatenated(parts, None), length=size
    )
    return whole, True


async def _concatenated(
    parts: list[bytes], rest: AsyncIterator[bytes] | None
) -> AsyncIterator[bytes]:
    yield b"".join(parts)
    if rest is not None:
        async for part in rest:
            yield part
