"""A priority lock that serves equal priorities in FIFO order."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools


class PriorityLock:
    """A lock that is granted by priority, then in order of arrival."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_taken = False

    @contextlib.asynccontextmanager
    async def hold(self, priority: int):  # type: ignore[no-untyped-def]
        """Acquires the lock for the block."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
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
                self._release()
            raise

    def _release(self) -> None:
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._is_taken = False
