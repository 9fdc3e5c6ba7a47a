"""Listens for connections, a few of which are accepted at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

from aiohttp import web

# Connections that the kernel keeps until they are accepted, sized for the
# burst of reconnects after a failure domain fails.
_BACKLOG = 1_024
# Accepted in one turn of the event loop. All that wait would be accepted before
# the first of them is counted.
_ACCEPTS = 16


async def listen(
    new_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> asyncio.Server:
    """Starts listening.

    Args:
        new_protocol: Creates the protocol of a connection.
        host: IP address.
        port: Port; 0 for a free one.

    Raises:
        OSError: The address can't be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=_BACKLOG
    )
    server = await asyncio.get_running_loop().create_server(
        new_protocol, sock=listener, backlog=_ACCEPTS
    )
    # The server has lowered it to the number that it accepts at a time.
    listener.listen(_BACKLOG)
    return server


class HttpListeners:
    """The HTTP listeners of a process, which end together."""

    def __init__(self) -> None:
        self._listeners: list[asyncio.Server] = []
        self._servers: list[web.Server] = []

    async def listen(self, server: web.Server, host: str, port: int) -> None:
        """Starts listening for a server's connections."""
        self._listeners.append(await listen(server, host, port))
        self._servers.append(server)

    def close(self) -> None:
        """Stops listening and closes all connections.

        The end of a process takes a while, in which a request on an open
        connection would get no answer.
        """
        for listener in self._listeners:
            listener.close()
        for server in self._servers:
            for connection in server.connections:
                connection.force_close()
