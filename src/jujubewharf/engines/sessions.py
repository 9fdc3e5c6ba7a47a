"""Client sessions for calls to engines.

A request's connection is never used again, so that nothing on it can be taken
for another request's answer.
"""

from __future__ import annotations

import functools

import aiohttp
from aiohttp import client_proto

# A connection within a region takes some milliseconds. A lost first packet is
# sent again only after a second; another endpoint is faster than that, and
# since nothing was sent it may be tried for any request.
_CONNECT_S = 0.25
# Connections for such calls are kept this long: a leader makes many calls a
# second to each engine, and nobody else makes enough to gain by it.
_KEPT_S = 3.0


class _CheckedProtocol(client_proto.ResponseHandler):
    """Tells a body that ended from one that was reset.

    aiohttp takes the end of a connection for the end of a body without a
    length, also when the connection was reset. A part would then pass for a
    whole answer.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("reset"))
        super().connection_lost(exc)


def new_session(*, is_kept: bool = False) -> aiohttp.ClientSession:
    """A session for requests, or one for calls about an engine's state.

    Requests get a connection each.

    On a kept connection a late second answer of an engine, or bytes after an
    answer's end, would be read as the answer to the next request; and an
    engine that has just closed it leaves open whether the request ran. A new
    one costs a round trip and a hundredth of the least request's worth.

    Calls about an engine's state may be made twice, so they can use kept
    connections: of 8,570 a day on six instances 2,446 are left.
    """
    connector = (
        aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEPT_S)
        if is_kept
        else aiohttp.TCPConnector(limit=0, force_close=True)
    )
    connector._factory = functools.partial(  # type: ignore[assignment]
        _CheckedProtocol, loop=connector._loop
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
    )
