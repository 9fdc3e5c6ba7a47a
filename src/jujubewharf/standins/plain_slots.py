"""Slots and queue of a stand-in for a plain endpoint."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib

from jujubewharf.endpoint_load import reports


class PlainSlots:
    """Processes calls in order of arrival, and reports its load.

    Args:
        slots: Number of calls that are processed at the same time.
        queue: Number of calls that may wait.

    Attributes:
        slowdown: Factor by which work takes longer than usual.
        rejected: Number of calls that were rejected as full.
        max_waiting: Largest number of calls that waited at a time.
    """

    def __init__(self, slots: int = 6, queue: int = 24) -> None:
        self.slowdown = 1.0
        self.rejected = 0
        self.max_waiting = 0
        self._slots = slots
        self._queue = queue
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]]
        self._waiting = collections.deque()

    @property
    def load(self) -> reports.LoadReport:
        """The load that an answer reports now."""
        return reports.LoadReport(
            self._running, len(self._waiting), self._slots, self.slowdown
        )

    @property
    def is_full(self) -> bool:
        """Whether one more call would be rejected."""
        return (
            self._running >= self._slots and len(self._waiting) >= self._queue
        )

    @contextlib.asynccontextmanager
    async def occupied(self) -> AsyncIterator[None]:
        """Waits for a slot and occupies it while the block runs."""
        if self._running >= self._slots:
            turn: asyncio.Future[None] = asyncio.Future()
            self._waiting.append(turn)
            self.max_waiting = max(self.max_waiting, len(self._waiting))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._pass_on()
                elif turn in self._waiting:
                    self._waiting.remove(turn)
                raise
        else:
            self._running += 1
        try:
            yield
        finally:
            self._pass_on()

    def _pass_on(self) -> None:
        """Gives the slot to the call that has waited longest."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1
