"""HTTP server with a timeout for the head of each request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

from aiohttp import web
from aiohttp import web_protocol
import structlog

from jujubewharf import clock as clocks


class _GuardedHandler(web_protocol.RequestHandler):
    """Closes a connection whose request head is not completed in time.

    aiohttp limits only the idle time between requests. A client that stops in
    the middle of a head would keep its connection open, and many of them would
    use up the process's file descriptors.
    """

    head_timeout_ms: float = 0.0
    _head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        is_inside_head = self._current_request is None and not self._messages
        if not is_inside_head:
            self._cancel_head_timer()
        elif self._head_timer is None:
            within_s = self.head_timeout_ms / clocks.MS_PER_S
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(within_s, self._on_head_timeout)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _on_head_timeout(self) -> None:
        structlog.get_logger().info("slow_head_closed")
        if self.transport is not None:
            self.transport.close()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_timeout_ms: Maximum time from the first to the last byte of a
            request head.
        idle_timeout_ms: Time after which an idle connection is closed.
        max_header_bytes: Maximum size of a header.
    """

    head_timeout_ms: float
    idle_timeout_ms: float
    max_header_bytes: int


class GuardedServer(web.Server):
    """A ``web.Server`` with a timeout for request heads.

    Args:
        handler: Handles requests.
        limits: Returns the limits of a connection that begins now.
        **options: Options of ``web.Server``.
    """

    def __init__(
        self,
        handler: object,
        limits: Callable[[], ConnectionLimits],
        **options: object,
    ) -> None:
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._limits = limits

    def __call__(self) -> web_protocol.RequestHandler:
        """Creates the protocol handler of a connection."""
        limits = self._limits()
        options = self._kwargs | {
            "keepalive_timeout": limits.idle_timeout_ms / clocks.MS_PER_S,
            "max_field_size": limits.max_header_bytes,
        }
        protocol = _GuardedHandler(self, loop=self._loop, **options)
        protocol.head_timeout_ms = limits.head_timeout_ms
        return protocol
