"""Byte streams between instances: TCP in the daemon, memory in tests.

Peer code sees only ``asyncio.StreamReader`` and the few writer methods named
here, so the same code runs over TCP, over TLS, and over the in-memory network
on a virtual clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
from typing import Any
from typing import Protocol


class StreamWriter(Protocol):
    """The part of ``asyncio.StreamWriter`` that peer code uses."""

    def write(self, data: bytes) -> None:
        """Queues bytes."""
        ...

    async def drain(self) -> None:
        """Waits while too much is queued; raises when the stream is lost."""
        ...

    def close(self) -> None:
        """Closes the stream."""
        ...

    def is_closing(self) -> bool:
        """Whether the stream is closed or about to be."""
        ...

    async def wait_closed(self) -> None:
        """Waits for the end of ``close``."""
        ...

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Facts of the transport, as ``asyncio`` names them."""
        ...


OnStream = Callable[[asyncio.StreamReader, StreamWriter], Awaitable[None]]


class Listener(Protocol):
    """A listening end."""

    @property
    def address(self) -> str:
        """``IP:PORT`` that others dial."""
        ...

    async def close(self) -> None:
        """Stops listening; open streams stay."""
        ...


class Transport(Protocol):
    """Dials and listens; raises ``OSError`` when nobody is there."""

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, StreamWriter]:
        """Opens a stream to ``IP:PORT``."""
        ...

    async def listen(self, on_stream: OnStream) -> Listener:
        """Listens and calls back for each stream that comes in."""
        ...


class _TcpListener:
    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        self._server.close()


class TcpTransport:
    """TCP, with mutual TLS when contexts are given.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        client_context: TLS context for dialling; ``None`` for plain TCP.
        server_context: TLS context for listening; ``None`` for plain TCP.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        client_context: ssl.SSLContext | None = None,
        server_context: ssl.SSLContext | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._client_context = client_context
        self._server_context = server_context

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, StreamWriter]:
        """Opens a stream; see ``Transport``."""
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(
            host, int(port), ssl=self._client_context
        )

    async def listen(self, on_stream: OnStream) -> Listener:
        """Listens; see ``Transport``."""
        server = await asyncio.start_server(
            on_stream, self._host, self._port, ssl=self._server_context
        )
        return _TcpListener(server)
