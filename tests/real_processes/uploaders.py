"""Callers with large bodies, which come whole, in chunks, slowly or in part."""

from __future__ import annotations

import asyncio

from tests.real_processes import callers
from tests.real_processes import http_io

BODY_BYTES = 4_000_000
_PIECE_BYTES = 100_000
_BYTES_PER_S = 4_000_000
# What arrives of a body before it is held up or its caller leaves.
_FIRST_BYTES = 3_200_000
_HELD_UP_S = 2.0
_TRICKLE_S = 0.2
_TRICKLE_BYTES = 100
KINDS = ("whole", "chunked", "trickled", "left halfway")


class Uploader(callers.Caller):
    """Sends one large body after the other.

    Attributes:
        kinds: How its bodies come, of ``KINDS``; drawn for each request.
    """

    kinds: tuple[str, ...] = KINDS

    async def _send(self, exchange: callers.Exchange, count: int) -> None:
        kind = self._rng.choice(self.kinds)
        is_chunked = kind == "chunked"
        framing = (
            {"Transfer-Encoding": "chunked"}
            if is_chunked
            else {"Content-Length": BODY_BYTES}
        )
        line = f"POST /{exchange.route}/1 HTTP/1.1"
        assert self._connection is not None
        await self._connection.send(
            http_io.head(line, callers.fields(exchange) | framing)
        )
        left = BODY_BYTES
        if kind in ("trickled", "left halfway"):
            await self._send_pieces(_FIRST_BYTES, is_chunked=False)
            left -= _FIRST_BYTES
        if kind == "left halfway":
            raise callers.LeftError
        if kind == "trickled":
            left -= await self._trickle()
        await self._send_pieces(left, is_chunked=is_chunked)
        if is_chunked:
            await self._connection.send(http_io.chunk(b""))

    async def _send_pieces(self, size: int, *, is_chunked: bool) -> None:
        assert self._connection is not None
        for at in range(0, size, _PIECE_BYTES):
            piece = b"x" * min(_PIECE_BYTES, size - at)
            await self._connection.send(
                http_io.chunk(piece) if is_chunked else piece
            )
            await asyncio.sleep(len(piece) / _BYTES_PER_S)

    async def _trickle(self) -> int:
        """Sends very little for a while; returns how many bytes it were."""
        assert self._connection is not None
        pieces = round(_HELD_UP_S / _TRICKLE_S)
        for _ in range(pieces):
            await asyncio.sleep(_TRICKLE_S)
            await self._connection.send(b"x" * _TRICKLE_BYTES)
        return pieces * _TRICKLE_BYTES
