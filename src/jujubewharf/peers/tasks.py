"""Group of background tasks that are cancelled when their owner stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any


class Tasks:
    """Holds references to background tasks until they end.

    Args:
        on_fault: Called with the exception of a task that failed.
    """

    def __init__(self, on_fault: Callable[[BaseException], None]) -> None:
        self._on_fault = on_fault
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        fault = task.exception()
        if fault is not None:
            self._on_fault(fault)
