"""Byte streams between instances: TCP in the daemon, memory in tests.

Peer code sees only ``asyncio.StreamReader`` and the few writer methods named
here, so the same code runs over TCP, over TLS, and over the in-memory network
on a virtual clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from jujubewharf.peers import counters

if TYPE_CHECKING:
    from jujubewharf.peers import tls

_TLS_TIMEOUT_S = 5.0
# A peer that acknowledges nothing for so long is cut off. Without it the kernel
# tries for minutes, and a leader would count an instance that it lost as one
# that follows it.
_UNANSWERED_MS = 3_000


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


def _bound_silence(writer: asyncio.StreamWriter) -> None:
    """Ends a stream whose peer acknowledges nothing."""
    found = writer.get_extra_info("socket")
    if found is not None:
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNANSWERED_MS
        )


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
        contexts: TLS contexts; ``None`` for plain TCP.

    Attributes:
        refused: Streams that came in without a certificate of the
            authority.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        contexts: tls.TlsContexts | None = None,
    ) -> None:
        self.refused = 0
        self._host = host
        self._port = port
        self._contexts = contexts

    def renew(self, contexts: tls.TlsContexts) -> None:
        """Takes other TLS contexts for all streams opened from now on."""
        self._contexts = contexts

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, StreamWriter]:
        """Opens a stream; see ``Transport``."""
        host, _, port = address.rpartition(":")
        if self._contexts is None:
            reader, writer = await asyncio.open_connection(host, int(port))
        else:
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                ssl=self._contexts.client,
                ssl_handshake_timeout=_TLS_TIMEOUT_S,
            )
        _bound_silence(writer)
        return reader, writer

    async def listen(self, on_stream: OnStream) -> Listener:
        """Listens; see ``Transport``."""

        async def on_raw(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            _bound_silence(writer)
            if await self._secure(writer):
                await on_stream(reader, writer)

        server = await asyncio.start_server(on_raw, self._host, self._port)
        return _TcpListener(server)

    async def _secure(self, writer: asyncio.StreamWriter) -> bool:
        """Puts TLS on a stream that came in, unless TLS is off.

        Done here and not by the server, for a server keeps the context it
        was started with, and tells nobody of the strangers that it refuses.
        """
        if self._contexts is None:
            return True
        try:
            await writer.start_tls(
                self._contexts.server, ssl_handshake_timeout=_TLS_TIMEOUT_S
            )
        except OSError:
            self.refused += 1
            counters.count_refusal("stranger")
            writer.close()
            return False
        return True
