"""Reads the registered endpoints before the next read is due.

An instance without a leader reads them every few seconds, which is too seldom
for decisions that need to know all endpoints.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from jujubewharf import clock as clocks
from jujubewharf.forwarding import registry as registries

# Longest time that a request waits for a read.
_TIMEOUT_MS = 500.0
# Shortest time between two reads.
_MIN_INTERVAL_MS = 1_500.0


class ViewRefresh:
    """Reads the endpoints on demand, with one read for all that wait.

    Args:
        registry: Registered endpoints.
        read_now: Reads them; returns after the read or its failure.
        clock: Time source.
    """

    def __init__(
        self,
        registry: registries.Registry,
        read_now: Callable[[], Awaitable[None]],
        clock: clocks.Clock,
    ) -> None:
        self._registry = registry
        self._read_now = read_now
        self._clock = clock
        self._reading: asyncio.Task[None] | None = None
        self._began_ms = float("-inf")

    async def refresh(self) -> None:
        """Waits for a read, unless one was tried a moment ago."""
        if self._reading is None:
            if not self._may_read():
                return
            self._began_ms = self._clock.now_ms()
            self._reading = asyncio.ensure_future(self._read())
        # A caller that leaves doesn't end the read for the others.
        await asyncio.shield(self._reading)

    def _may_read(self) -> bool:
        if self._registry.is_store_unavailable:
            return False
        return self._clock.now_ms() - self._began_ms >= _MIN_INTERVAL_MS

    async def _read(self) -> None:
        try:
            with contextlib.suppress(TimeoutError):
                async with self._clock.timeout_ms(_TIMEOUT_MS):
                    await self._read_now()
        finally:
            self._reading = None
