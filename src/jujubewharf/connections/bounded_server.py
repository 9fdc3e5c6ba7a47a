"""HTTP servers whose connections are bounded, each and all together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
from aiohttp import web_request
import structlog

from jujubewharf import clock as clocks
from jujubewharf.connections import counts
from jujubewharf.connections import table
from jujubewharf.connections import turns

# Bytes that one turn of the event loop reads of a connection: of a head, or of
# a body that comes in one piece.
_TURN_BYTES = 16_384
_BULK_TURN_BYTES = 65_536
# Bytes of a body that wait for whoever reads it; twice as many fit.
_READ_AHEAD_BYTES = 65_536
# Bytes of a request line.
MAX_LINE_BYTES = 16_384
# What names and separators of fields may add to their values.
_FIELD_OVERHEAD = 2
# Bytes of chunk sizes, extensions and trailers, and how many each byte of the
# body may bring besides; a chunk of one byte brings five.
_MAX_FRAMING_BYTES = 8_192
_FRAMING_PER_BODY_BYTE = 16
# Mean size of a body's pieces from which they are kept apart until read.
_SMALL_PIECE_BYTES = 1_024
# Requests behind the one that is answered.
_MAX_QUEUED_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_timeout_ms: Maximum time from the first to the last byte of a
            request head.
        idle_timeout_ms: Time after which an idle connection is closed.
        max_header_bytes: Maximum size of a request's headers.
    """

    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    max_header_bytes: int = 16_384

    @property
    def max_head_bytes(self) -> int:
        """Bytes before the end of a head, empty lines before it included."""
        return MAX_LINE_BYTES + _FIELD_OVERHEAD * self.max_header_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What the connections of a listener share.

    Attributes:
        listener: The listener's connections.
        turns: Turns of connections that cost much to read.
    """

    listener: table.Listener
    turns: turns.ReadTurns

    @classmethod
    def of(cls, connections: table.Connections, kind: table.Kind) -> Room:
        """Creates the room of a new listener."""
        return cls(connections.listener(kind), connections.turns)


class BoundedHandler(web_protocol.RequestHandler):
    """Protocol of one connection.

    aiohttp limits fields and lines, but neither a whole head nor what frames a
    body; it goes on parsing what a refused client sends, and answers each part
    with that part's text. All that isn't body is counted here.
    """

    def __init__(
        self,
        manager: web.Server,
        limits: ConnectionLimits,
        room: Room,
        **options: Any,
    ) -> None:
        super().__init__(manager, **options)
        self._limits = limits
        self._room = room
        self._msg_queue_resume_size = _MAX_QUEUED_REQUESTS // 2
        self._max_msg_queue_size = _MAX_QUEUED_REQUESTS
        self._is_refused = False
        self._head_timer: asyncio.TimerHandle | None = None
        # The body that is being received, and how much of it has been counted.
        self._body: streams.StreamReader | None = None
        self._body_bytes = 0
        self._overhead_bytes = 0

    @property
    def is_replaceable(self) -> bool:
        """Whether no request would be lost with it; see ``table``."""
        transport = self.transport
        if self._current_request is not None or self._messages:
            return False
        return transport is None or not transport.get_write_buffer_size()

    def end(self, reason: counts.Reason) -> None:
        """Ends the connection; see ``table.Connection``."""
        counts.count(self._room.listener.name, reason)
        self._is_refused = True
        if self.transport is not None:
            self.transport.abort()

    def pause_turn(self) -> None:
        """Stops reading; see ``turns.Reader``."""
        self._pause_reading_for_buffer()

    def resume_turn(self) -> None:
        """Reads on; see ``turns.Reader``."""
        if len(self._messages) < self._max_msg_queue_size:
            self._resume_reading_for_buffer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, and ends it if there are too many."""
        super().connection_made(transport)
        self._read_at_most(_TURN_BYTES)
        if not self._room.listener.admit(self):
            self.end(counts.Reason.NO_ROOM)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives the connection's place back."""
        self._room.listener.remove(self)
        self._room.turns.remove(self)
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses bytes, and counts what they brought."""
        if self._is_refused:
            return
        parsed = len(self._messages)
        super().data_received(data)
        new = list(itertools.islice(self._messages, parsed, None))
        if new:
            self._on_requests(new)
        elif data:
            self._on_bytes(len(data))
        self._watch_head()

    def _on_requests(self, new: list[Any]) -> None:
        if any(isinstance(m, web_protocol._ErrInfo) for m, _ in new):
            self._stop_reading(counts.Reason.MALFORMED)
            return
        for _, body in new:
            _join_pieces(body)
        _, newest = new[-1]
        self._body = None if newest.is_eof() else newest
        self._body_bytes = newest.total_bytes
        self._overhead_bytes = 0
        self._room.listener.record_request(self)

    def _on_bytes(self, size_bytes: int) -> None:
        """Counts bytes that ended no head."""
        body = self._body
        if body is None:
            self._on_overhead(size_bytes, is_in_head=True)
            return
        arrived_bytes = body.total_bytes - self._body_bytes
        self._body_bytes += arrived_bytes
        _join_pieces(body)
        is_bulk = 2 * arrived_bytes >= size_bytes
        self._read_at_most(_BULK_TURN_BYTES if is_bulk else _TURN_BYTES)
        if body.is_eof():
            self._body = None
            self._overhead_bytes = 0
        elif is_bulk:
            self._overhead_bytes += size_bytes - arrived_bytes
        else:
            self._on_overhead(size_bytes - arrived_bytes, is_in_head=False)

    def _on_overhead(self, size_bytes: int, *, is_in_head: bool) -> None:
        """Counts bytes that aren't body, which bring hardly anything else."""
        self._overhead_bytes += size_bytes
        if is_in_head:
            if self._overhead_bytes > self._limits.max_head_bytes:
                self._refuse_head()
                return
            self._room.listener.record_head(self, self._overhead_bytes)
        elif self._overhead_bytes > (
            _MAX_FRAMING_BYTES + _FRAMING_PER_BODY_BYTE * self._body_bytes
        ):
            self.end(counts.Reason.FRAMING)
            return
        if not self._is_refused:
            self._room.turns.wait(self)

    def _refuse_head(self) -> None:
        """Answers a head that is too large, behind earlier requests."""
        status = web.HTTPRequestHeaderFieldsTooLarge.status_code
        error = web_protocol._ErrInfo(
            status=status, exc=ValueError(), message=""
        )
        self._messages.append((error, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._stop_reading(counts.Reason.LARGE_HEAD)

    def _stop_reading(self, reason: counts.Reason) -> None:
        """Reads no more; what has been read before is still answered."""
        counts.count(self._room.listener.name, reason)
        self._is_refused = True
        self._pause_reading_for_buffer()
        self._room.listener.record_request(self)

    def _read_at_most(self, size_bytes: int) -> None:
        """Bounds what one turn reads.

        This is an attribute of selector transports; others read as they like.
        """
        if self.transport is not None:
            self.transport.max_size = size_bytes  # type: ignore[attr-defined]

    def _watch_head(self) -> None:
        """Times the head that is being received, if there is one."""
        if self._current_request is not None or self._messages:
            self._cancel_head_timer()
        elif self._head_timer is None:
            within_s = self._limits.head_timeout_ms / clocks.MS_PER_S
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(within_s, self._on_head_timeout)

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._current_request is not None or self._messages:
            return
        structlog.get_logger().info("slow_head_closed")
        self.end(counts.Reason.SLOW_HEAD)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    async def _handle_request(self, *arguments: Any) -> Any:
        try:
            return await super()._handle_request(*arguments)
        finally:
            if not self._messages:
                self._room.listener.record_idle(self)

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Responds to a protocol error and closes the connection.

        aiohttp logs and returns the bytes that it couldn't parse.
        """
        if status >= web.HTTPInternalServerError.status_code:
            return super().handle_error(request, status, exc, message)
        response = self.error_response(status)
        response.force_close()
        return response

    def error_response(self, status: int) -> web.Response:
        """Returns the response to what is no allowed request."""
        return web.Response(status=status)


class BoundedServer(web.Server):
    """A ``web.Server`` whose connections are bounded.

    Args:
        handler: Handles requests.
        room: What its connections share.
        limits: Returns the limits of a connection that begins now.
        new_handler: Class of the connections' protocols.
        **options: Options of ``web.Server``.
    """

    def __init__(
        self,
        handler: object,
        room: Room,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        *,
        new_handler: type[BoundedHandler] = BoundedHandler,
        **options: object,
    ) -> None:
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._room = room
        self._limits = limits
        self._new_handler = new_handler

    def __call__(self) -> web_protocol.RequestHandler:
        """Creates the protocol of a connection."""
        limits = self._limits()
        options = {
            "max_line_size": MAX_LINE_BYTES,
            "max_field_size": limits.max_header_bytes,
            "read_bufsize": _READ_AHEAD_BYTES,
            "keepalive_timeout": limits.idle_timeout_ms / clocks.MS_PER_S,
        }
        return self._new_handler(
            self, limits, self._room, loop=self._loop, **options | self._kwargs
        )


def new_probe_server(
    handler: object, connections: table.Connections
) -> BoundedServer:
    """Creates the server of a load balancer's probes, which have no bodies."""
    room = Room.of(connections, table.Kind.READINESS)
    return BoundedServer(handler, room, access_log=None, lingering_time=0.0)


class BoundedRunner(web.AppRunner):
    """Runs an application on a ``BoundedServer``.

    Args:
        app: The application.
        room: What its connections share.
        limits: Limits of a connection.
        new_handler: Class of the connections' protocols.
        shutdown_timeout: Seconds that open requests get to finish on a stop.
        **options: Options of ``web.Server``.
    """

    def __init__(
        self,
        app: web.Application,
        room: Room,
        limits: ConnectionLimits,
        *,
        new_handler: type[BoundedHandler] = BoundedHandler,
        shutdown_timeout: float = 60.0,
        **options: Any,
    ) -> None:
        super().__init__(app, shutdown_timeout=shutdown_timeout, **options)
        self._room = room
        self._limits = limits
        self._new_handler = new_handler
        self._options = options

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            self._room,
            lambda: self._limits,
            new_handler=self._new_handler,
            request_factory=server.request_factory,
            **self._options,
        )


def _join_pieces(body: streams.StreamReader) -> None:
    """Joins the small pieces of a body, each of which is an object."""
    if body is streams.EMPTY_PAYLOAD:
        return
    count = len(body._buffer)
    if count < 2 or body._size >= count * _SMALL_PIECE_BYTES:
        return
    joined = b"".join(body._buffer)[body._buffer_offset :]
    body._buffer.clear()
    body._buffer.append(joined)
    body._buffer_offset = 0
    if body._http_chunk_splits:
        # Only for readers that want chunks as they were sent.
        body._http_chunk_splits.clear()
