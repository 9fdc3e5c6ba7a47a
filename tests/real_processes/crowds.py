"""Clients that don't behave: what they send, and crowds of them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket

from tests.real_processes import configurations

# Bounds of what one client sends, and of the time that it waits to send it.
MAX_SENT_BYTES = 8_000_000
_SENDING_S = 5.0
_BODY_BYTES = 4_194_304
_LARGE_CHUNK_BYTES = 65_536
_TINY_CHUNKS = 100_000
_BLOCK_BYTES = 65_536

_FIELDS = (
    f"Host: {configurations.HOST}\r\n"
    f"Authorization: Bearer {configurations.API_KEY}\r\n"
    "Request-Id: crowd\r\nDeadline-Ms: 8000\r\n"
).encode()
_LOOK = f"POST /{configurations.REPEATABLE}/ HTTP/1.1\r\n".encode() + _FIELDS
_CHUNKED = _LOOK + b"Transfer-Encoding: chunked\r\n\r\n"
_LARGE_CHUNK = b"%x\r\n" % _LARGE_CHUNK_BYTES + bytes(_LARGE_CHUNK_BYTES)


@dataclasses.dataclass(frozen=True)
class Kind:
    """What a client sends; it reads nothing, and leaves its connection open.

    Attributes:
        start: Sent first.
        unit: Sent again and again after it.
        total_bytes: Length of what is sent after the start.
    """

    start: bytes
    unit: bytes = b""
    total_bytes: int = MAX_SENT_BYTES

    def blocks(self):
        """Yields what the client sends, in blocks."""
        yield self.start
        if not self.unit:
            return
        block = self.unit * max(1, _BLOCK_BYTES // len(self.unit))
        left_bytes = self.total_bytes
        while left_bytes > 0:
            yield block[:left_bytes]
            left_bytes -= len(block)


KINDS = {
    "no request": Kind(b"", b"\x00\xff\x16 "),
    "line without end": Kind(b"GET /", b"a"),
    "value without end": Kind(_LOOK + b"X-A: ", b"a"),
    "name without end": Kind(_LOOK, b"a"),
    "fields without end": Kind(_LOOK, b"X-A: a\r\n"),
    "large fields without end": Kind(_LOOK, b"X-A: " + b"a" * 9_000 + b"\r\n"),
    "empty lines": Kind(b"", b"\r\n"),
    "bare line feeds": Kind(b"", b"\n"),
    "half a head": Kind(_LOOK + b"X-A: ", b"a", 15_000),
    "large chunks": Kind(_CHUNKED, _LARGE_CHUNK + b"\r\n", 4_100_000),
    "one large chunk": Kind(
        _CHUNKED + b"%x\r\n" % _BODY_BYTES, bytes(1_000), _BODY_BYTES - 1
    ),
    "tiny chunks": Kind(_CHUNKED, b"1\r\na\r\n", 6 * _TINY_CHUNKS),
    "told length": Kind(
        _LOOK + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES,
        bytes(1_000),
        _BODY_BYTES - 1,
    ),
    "body without end": Kind(_CHUNKED, _LARGE_CHUNK + b"\r\n"),
    "size without end": Kind(_CHUNKED, b"0"),
    "extension without end": Kind(_CHUNKED + b"1;", b"a"),
    "trailers without end": Kind(_CHUNKED + b"0\r\n", b"X-A: a\r\n"),
    "unread answers": Kind(b"", _LOOK + b"Content-Length: 0\r\n\r\n", 400_000),
    "silence": Kind(b""),
}


class Crowd:
    """Clients of one kind at one address.

    Args:
        address: ``IP:PORT``.
        kind: What each sends.
    """

    def __init__(self, address: str, kind: Kind) -> None:
        self._kind = kind
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []

    async def send_all(self, count: int) -> None:
        """Has clients send until they have no more, are refused, or wait."""
        await asyncio.gather(*(self._send() for _ in range(count)))

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self._sockets.append(client)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SENDING_S):
                await loop.sock_connect(client, self._address)
                for block in self._kind.blocks():
                    await loop.sock_sendall(client, block)
                    # All send at the same time.
                    await asyncio.sleep(0)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._sockets:
            client.close()
