"""One turn at a time, the highest priority first, then the oldest."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools


class Turns:
    """A lock whose waiters are served by priority."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_taken = False

    @contextlib.asynccontextmanager
    async def turn(self, priority: int):  # type: ignore[no-untyped-def]
        """Waits for the turn and holds it for the block."""
        await self._take(priority)
        try:
            yield
        finally:
            self._pass_on()

    async def _take(self, priority: int) -> None:
        if not self._is_taken:
            self._is_taken = True
            return
        future = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._numbers), future)
        heapq.heappush(self._waiters, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._is_taken = False
