"""Byte streams between instances: TCP in the daemon, in-memory in tests.

Peer code uses only ``asyncio.StreamReader`` and the writer methods declared
here, so it runs unchanged over TCP, TLS and the in-memory network with its
virtual clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from jujubewharf.connections import counts
from jujubewharf.connections import listening
from jujubewharf.connections import table
from jujubewharf.peers import counters

if TYPE_CHECKING:
    from jujubewharf.peers import tls

_TLS_TIMEOUT_S = 5.0
# Without this limit the kernel retransmits for minutes, and a leader would
# count an unreachable instance as a follower in the meantime.
_USER_TIMEOUT_MS = 3_000


class StreamWriter(Protocol):
    """Subset of ``asyncio.StreamWriter`` used by peer code."""

    def write(self, data: bytes) -> None:
        """Queues bytes for sending."""
        ...

    async def drain(self) -> None:
        """Waits for queue space; raises ``OSError`` if the stream is lost."""
        ...

    def close(self) -> None:
        """Closes the stream."""
        ...

    def is_closing(self) -> bool:
        """Whether the stream is closed or closing."""
        ...

    async def wait_closed(self) -> None:
        """Waits until the stream is closed."""
        ...

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns transport information, see ``asyncio.BaseTransport``."""
        ...


OnStream = Callable[[asyncio.StreamReader, StreamWriter], Awaitable[None]]


class Listener(Protocol):
    """A listening socket."""

    @property
    def address(self) -> str:
        """``IP:PORT`` on which it listens."""
        ...

    async def close(self) -> None:
        """Stops listening; open streams stay open."""
        ...


class Transport(Protocol):
    """Opens and accepts streams; raises ``OSError`` on failure."""

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, StreamWriter]:
        """Opens a stream to ``IP:PORT``."""
        ...

    async def listen(self, on_stream: OnStream) -> Listener:
        """Listens and calls back for each accepted stream."""
        ...


def _set_user_timeout(writer: asyncio.StreamWriter) -> None:
    """Limits the time that sent data may stay unacknowledged."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None:
        raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
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


class _AcceptedProtocol(asyncio.StreamReaderProtocol):
    """Protocol of an accepted stream, which is counted while it is open.

    A stream is never replaced: strangers, who send no hello, are closed within
    the time of a handshake and give their places back.

    Args:
        reader: The stream's reader.
        on_connection: Serves the stream.
        listener: The listener's connections; ``None`` if not bounded.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        on_connection: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        listener: table.Listener | None,
    ) -> None:
        super().__init__(reader, on_connection)
        self._listener = listener
        self._accepted: asyncio.BaseTransport | None = None

    is_replaceable = False

    def end(self, reason: counts.Reason) -> None:
        """Ends the stream; see ``table.Connection``."""
        assert self._listener is not None
        counts.count(self._listener.name, reason)
        if isinstance(self._accepted, asyncio.Transport):
            self._accepted.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the stream, and ends it if there are too many."""
        self._accepted = transport
        if self._listener is not None and not self._listener.admit(self):
            self.end(counts.Reason.NO_ROOM)
            return
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Gives the stream's place back."""
        if self._listener is not None:
            self._listener.remove(self)
        super().connection_lost(exc)


class TcpTransport:
    """TCP transport, with mutual TLS if contexts are given.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 selects a free one.
        contexts: TLS contexts; ``None`` for plain TCP.
        connections: All connections that others have open; ``None`` where they
            aren't bounded.

    Attributes:
        refused: Number of accepted streams that failed the TLS handshake.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        contexts: tls.TlsContexts | None = None,
        connections: table.Connections | None = None,
    ) -> None:
        self._connections = connections
        self.refused = 0
        self._host = host
        self._port = port
        self._contexts = contexts

    def set_contexts(self, contexts: tls.TlsContexts) -> None:
        """Sets the TLS contexts for streams opened from now on."""
        self._contexts = contexts

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, StreamWriter]:
        """Opens a stream; see ``Transport``."""
        try:
            reader, writer = await self._connect(address)
        except (ValueError, OverflowError) as error:
            # Addresses come from the store and other instances.
            raise OSError("not an address") from error
        _set_user_timeout(writer)
        return reader, writer

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = address.rpartition(":")
        if self._contexts is None:
            return await asyncio.open_connection(host, int(port))
        return await asyncio.open_connection(
            host,
            int(port),
            ssl=self._contexts.client,
            ssl_handshake_timeout=_TLS_TIMEOUT_S,
        )

    async def listen(self, on_stream: OnStream) -> Listener:
        """Listens; see ``Transport``."""

        async def on_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            _set_user_timeout(writer)
            if await self._start_tls(writer):
                await on_stream(reader, writer)

        def new_protocol() -> asyncio.StreamReaderProtocol:
            reader = asyncio.StreamReader()
            return _AcceptedProtocol(reader, on_connection, listener)

        listener = None
        if self._connections is not None:
            listener = self._connections.listener(table.Kind.PEERS)
        server = await listening.listen(new_protocol, self._host, self._port)
        return _TcpListener(server)

    async def _start_tls(self, writer: asyncio.StreamWriter) -> bool:
        """Runs the TLS handshake on an accepted stream if TLS is enabled.

        ``asyncio.start_server`` would keep the context that it was started
        with, and would not report failed handshakes.

        Returns:
            Whether the stream may be used.
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
