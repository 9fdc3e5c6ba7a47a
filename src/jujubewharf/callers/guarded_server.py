"""HTTP server with a timeout for the head of each request."""

from __future__ import annotations

import asyncio

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


class GuardedServer(web.Server):
    """A ``web.Server`` with a timeout for request heads.

    Args:
        handler: Handles requests.
        head_timeout_ms: Maximum time from the first to the last byte of a
            request head.
        **options: Options of ``web.Server``.
    """

    def __init__(
        self, handler: object, *, head_timeout_ms: float, **options: object
    ) -> None:
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._head_within_ms = head_timeout_ms

    def __call__(self) -> web_protocol.RequestHandler:
        """Creates the protocol handler of a connection."""
        protocol = _GuardedHandler(self, loop=self._loop, **self._kwargs)
        protocol.head_timeout_ms = self._head_within_ms
        return protocol
