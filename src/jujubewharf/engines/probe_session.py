"""Client session for probes, which shows what happens to its connections.

One connection is kept to each address. Whoever remembers it can tell later
whether a reply came over the same connection, hence from the same process.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import Any

import aiohttp

from jujubewharf.engines import sessions

_CONNECT_TIMEOUT_S = 0.25
# Endpoints close idle connections after whole seconds. This one is closed
# earlier, so that an end that the endpoint brings about has another reason.
_KEEPALIVE_S = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class KeptConnection:
    """A connection to one address.

    Attributes:
        address: ``IP:PORT`` of the endpoint.
        has_replied: Whether the process replied on it. Before that, only a
            kernel has accepted it.
        is_last_reply: Whether the process said that it ends it now.
        is_open: Whether neither side has ended it.
        was_closed_here: Whether this side ended it first.
    """

    address: str
    has_replied: bool = False
    is_last_reply: bool = False
    is_open: bool = True
    was_closed_here: bool = False

    @property
    def is_witness(self) -> bool:
        """Whether its end would show that the process has ended."""
        return self.is_open and self.has_replied and not self.is_last_reply

    @property
    def was_ended_by_peer(self) -> bool:
        """Whether the other side, or the network, ended it."""
        return not self.is_open and not self.was_closed_here


class ProbeSession:
    """Sends probes, one at a time to each address."""

    def __init__(self) -> None:
        self._connections: dict[str, KeptConnection] = {}
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=1, keepalive_timeout=_KEEPALIVE_S
        )
        connector._factory = functools.partial(  # type: ignore[assignment]
            _TrackedProtocol, connector._loop, self._connections
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
        )

    def request(
        self, method: str, url: str, **options: Any
    ) -> aiohttp.client._RequestContextManager:
        """Sends a request; see ``aiohttp.ClientSession.request``."""
        return self._session.request(method, url, **options)

    def connection(self, address: str) -> KeptConnection | None:
        """Returns the open connection to an address, if there is one."""
        return self._connections.get(address)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


class _TrackedProtocol(sessions.CheckedProtocol):
    """Keeps the table of connections up to date.

    Args:
        loop: The event loop.
        connections: Open connections by address.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: dict[str, KeptConnection],
    ) -> None:
        super().__init__(loop)
        self._connections = connections
        self._kept: KeptConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self._kept = KeptConnection(f"{host}:{port}")
        self._connections[self._kept.address] = self._kept

    def eof_received(self) -> None:
        self._forget()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._forget()
        super().connection_lost(exc)

    def close(self) -> None:
        self._forget(is_here=True)
        super().close()

    def abort(self) -> None:
        self._forget(is_here=True)
        super().abort()

    def _forget(self, *, is_here: bool = False) -> None:
        kept = self._kept
        if kept is None or not kept.is_open:
            return
        kept.is_open = False
        kept.was_closed_here = is_here
        if self._connections.get(kept.address) is kept:
            del self._connections[kept.address]
