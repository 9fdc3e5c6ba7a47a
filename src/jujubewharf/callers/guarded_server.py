"""Callers' connections, with a bound on how long a request's head may take."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp import web_protocol
import structlog

from jujubewharf import clock as clocks


class _GuardedHandler(web_protocol.RequestHandler):
    """Closes a connection whose request head doesn't come to its end.

    aiohttp bounds the time between requests only. A sender that stops inside a
    head would hold its connection, and with enough of them all descriptors.
    """

    head_within_ms: float = 0.0
    _late: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        is_inside_head = self._current_request is None and not self._messages
        if not is_inside_head:
            self._cancel()
        elif self._late is None:
            within_s = self.head_within_ms / clocks.MS_PER_S
            loop = asyncio.get_running_loop()
            self._late = loop.call_later(within_s, self._on_late)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._cancel()
        super().connection_lost(exc)

    def _on_late(self) -> None:
        structlog.get_logger().info("slow_head_closed")
        if self.transport is not None:
            self.transport.close()

    def _cancel(self) -> None:
        if self._late is not None:
            self._late.cancel()
            self._late = None


class GuardedServer(web.Server):
    """Makes the protocol of each connection.

    Args:
        handler: Answers requests.
        head_within_ms: Longest time from a head's first byte to its last.
        **options: Of aiohttp's own protocol.
    """

    def __init__(
        self, handler: object, *, head_within_ms: float, **options: object
    ) -> None:
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._head_within_ms = head_within_ms

    def __call__(self) -> web_protocol.RequestHandler:
        """A protocol for one connection."""
        made = _GuardedHandler(self, loop=self._loop, **self._kwargs)
        made.head_within_ms = self._head_within_ms
        return made
