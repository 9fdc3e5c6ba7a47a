"""Payloads of requests to engines and endpoints."""

from __future__ import annotations

from aiohttp import abc
from aiohttp import payload

from jujubewharf.engines import sessions

# Beyond this, bytes that are written wait in a buffer of the connection.
_PIECE_BYTES = 65_536


class BodyPayload(payload.Payload):
    """Writes a body piece by piece, as fast as the engine reads it.

    A body that is written at once is copied into the connection's buffer, all
    that the engine has not read yet, and so is held twice.
    """

    # Sent again as it is, where a call is repeated.
    _consumed = False
    _autoclose = True

    def __init__(self, body: bytes) -> None:
        super().__init__(body, content_type="application/octet-stream")
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        text: str = self._value.decode(encoding, errors)
        return text

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Writes the whole body."""
        view = memoryview(self._value)
        with sessions.uploading(writer):
            for at in range(0, len(view), _PIECE_BYTES):
                await writer.write(view[at : at + _PIECE_BYTES])


class StreamPayload(payload.AsyncIterablePayload):
    """Writes a body as its caller sends it."""

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the whole body."""
        with sessions.uploading(writer):
            await super().write_with_length(writer, content_length)
