"""Client sessions for calls to engines.

Connections of requests are not reused, so that data left on a connection cannot
be taken for the response to another request.
"""

from __future__ import annotations

import functools
from typing import Any

import aiohttp
from aiohttp import client_proto

# Connecting within a region takes a few milliseconds, but a lost SYN packet is
# resent only after a second. Trying another endpoint is faster, and safe for
# any request because nothing was sent yet.
_CONNECT_TIMEOUT_S = 0.25
# Long enough for a leader, which calls each engine several times a second;
# other instances call too rarely to benefit from longer keep-alive.
_KEEPALIVE_S = 3.0


class CheckedProtocol(client_proto.ResponseHandler):
    """Reports a body that was cut off by a connection reset.

    Without a length, aiohttp takes the end of the connection for the end of the
    body, even after a reset. A truncated response would then appear complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that a reset has cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("connection reset within body")
            )
        super().connection_lost(exc)


def new_session(*, keep_alive: bool = False) -> aiohttp.ClientSession:
    """Creates a session for requests, or for calls about an engine's state.

    Each request gets a new connection. On a kept-alive connection a delayed
    duplicate response, or bytes after the end of a response, would be read as
    the response to the next request. If the engine closes the connection, it is
    also unknown whether the request ran. A new connection costs one round trip.

    Calls about an engine's state are idempotent, so they can use keep-alive
    connections.
    """
    connector = (
        new_connector(keepalive_timeout=_KEEPALIVE_S)
        if keep_alive
        else new_connector(force_close=True)
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
    )


def new_connector(**options: Any) -> aiohttp.TCPConnector:
    """Creates a connector without a limit that reports resets within bodies.

    Args:
        **options: Further options of ``aiohttp.TCPConnector``.
    """
    connector = aiohttp.TCPConnector(limit=0, **options)
    connector._factory = functools.partial(  # type: ignore[assignment]
        CheckedProtocol, loop=connector._loop
    )
    return connector
