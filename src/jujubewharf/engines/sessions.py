"""Client sessions for calls to engines.

Connections of requests are not reused, so that data left on a connection cannot
be taken for the response to another request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import functools
from typing import Any

import aiohttp
from aiohttp import abc
from aiohttp import client_proto
from aiohttp import http
from opentelemetry import metrics

from jujubewharf.engines import answer_heads

# Connecting within a region takes a few milliseconds, but a lost SYN packet is
# resent only after a second. Trying another endpoint is faster, and safe for
# any request because nothing was sent yet.
_CONNECT_TIMEOUT_S = 0.25
# Long enough for a leader, which calls each engine several times a second;
# other instances call too rarely to benefit from longer keep-alive.
_KEEPALIVE_S = 3.0


# Bytes of a body that are read ahead of whoever takes them; twice as many fit.
READ_BUFFER_BYTES = 65_536
# Bytes handled in one turn of the event loop. Others wait for as long as
# parsing these takes, whatever they are.
_TURN_BYTES = 16_384
# Bytes of heads, and of sizes and trailers of a body.
_MAX_HEAD_BYTES = 32_768
_MAX_FRAMING_BYTES = 8_192
# Heads that wait to be read: that of the response, and interim ones before it.
_MAX_QUEUED_HEADS = 16
# Bodies that are needed as a whole, such as pages of the store.
_MAX_BODY_BYTES = 4_194_304
# What chunks of a few bytes each may have besides.
_FRAMING_PER_BODY_BYTE = 2

_ENDLESS = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.endless_answers",
    description="Answers that were cut off as they had no end, by part.",
)


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A part of a response is larger than any sound one.

    Args:
        part: The part: ``head``, ``interim``, ``framing`` or ``body``.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"{part} without end")
        _ENDLESS.add(1, {"part": part})


class CheckedProtocol(client_proto.ResponseHandler):
    """Reports a body that was cut off by a reset, and bytes without an end.

    Without a length, aiohttp takes the end of the connection for the end of the
    body, even after a reset. A truncated response would then appear complete.

    A peer may send bytes that keep the parser in one state for ever: line ends
    before a head, interim responses, extensions of sizes, trailers. All of
    them are bytes that aren't body, and are bounded as such.

    Attributes:
        is_uploading: Whether a part of the request's body isn't written yet.
    """

    is_uploading = False
    _received = 0
    _head_bytes: int | None = None
    _has_unsent_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the transport read a little at a time."""
        super().connection_made(transport)
        # Of selector transports; others read as much as they like.
        transport.max_size = _TURN_BYTES  # type: ignore[attr-defined]

    def set_response_params(self, **params: Any) -> None:
        """Begins a response."""
        self._received = 0
        self._head_bytes = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses bytes, and ends the connection if they have no end."""
        self._received += len(data)
        super().data_received(data)
        payload = self._payload
        part = self._part_without_end(payload)
        if part is not None and self.transport is not None:
            self.set_exception(EndlessAnswerError(part))
            self.transport.abort()
        error = self.exception()
        if error is not None and payload is not None and not payload.is_eof():
            # aiohttp leaves a body open whose trailers it can't parse.
            failure = aiohttp.ClientPayloadError(type(error).__name__)
            failure.__cause__ = error
            payload.set_exception(failure)

    def _part_without_end(
        self, payload: aiohttp.StreamReader | None
    ) -> str | None:
        """Returns the part of a response that is beyond its bound, if any."""
        if len(self._buffer) > _MAX_QUEUED_HEADS:
            return "interim"
        if payload is None:
            return "head" if self._received > _MAX_HEAD_BYTES else None
        if self._head_bytes is None:
            # With what arrived of the body in the same turn.
            self._head_bytes = self._received
        body_bytes = payload.total_bytes * (1 + _FRAMING_PER_BODY_BYTE)
        most = self._head_bytes + _MAX_FRAMING_BYTES + body_bytes
        return "framing" if self._received > most else None

    def feed_data(
        self,
        data: tuple[http.RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Hands over a head and its body, if the head is sound."""
        if self.exception() is not None:
            return
        message, _ = data
        fault = answer_heads.find_fault(message)
        if fault is None:
            super().feed_data(data, size)
            return
        self.set_exception(answer_heads.MalformedAnswerError(fault))
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Notes whether the request was sent when the other side ended."""
        transport = self.transport
        if transport is not None:
            self._has_unsent_bytes = transport.get_write_buffer_size() > 0
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that was cut off.

        A body without a length ends with its connection. Who ends it while a
        request is still being sent has not read that, and its kernel resets
        the connection right after what looks like an end.
        """
        detail = None
        if exc is not None:
            detail = "connection reset within body"
        elif self.is_uploading or self._has_unsent_bytes:
            detail = "connection ended within the request"
        payload = self._payload
        if detail and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(detail))
        super().connection_lost(exc)


@contextlib.contextmanager
def uploading(writer: abc.AbstractStreamWriter) -> Iterator[None]:
    """Marks the block in which the body of a request is written.

    Args:
        writer: Writes to the connection. After a failure the mark stays.
    """
    protocol = getattr(writer, "protocol", None)
    if isinstance(protocol, CheckedProtocol):
        protocol.is_uploading = True
    yield
    if isinstance(protocol, CheckedProtocol):
        protocol.is_uploading = False


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
        read_bufsize=READ_BUFFER_BYTES,
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


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int = _MAX_BODY_BYTES
) -> bytes:
    """Returns a body that is needed as a whole.

    Raises:
        EndlessAnswerError: It is larger than ``max_bytes``.
        aiohttp.ClientError: It broke off.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            response.close()
            raise EndlessAnswerError("body")
    return bytes(body)
