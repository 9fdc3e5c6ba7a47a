"""Wait queue for memory on the decode engines of one service.

In a burst that fills all engines, polling by every request would grow with
requests times engines, and memory would go to whichever request asked at the
right moment. Instead, an instance queues its requests, those that can still
meet their latency target first, and wakes the first one whenever one of its
own responses has ended and released memory.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A queued request.

    Attributes:
        is_late: Whether it has missed its latency target; late requests come
            after all others.
        due_ms: Clock reading at which it is given up, in milliseconds; earlier
            ones come first.
    """

    is_late: bool
    due_ms: float
    _wake_event: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    @property
    def rank(self) -> tuple[bool, float]:
        """Sort key; the lowest comes first."""
        return (self.is_late, self.due_ms)

    def wake(self) -> None:
        """Wakes the request so that it asks engines again."""
        self._wake_event.set()

    async def wait_until_woken(self) -> None:
        """Waits until the request is woken."""
        await self._wake_event.wait()
        self._wake_event.clear()


class WaitQueue:
    """Queued requests of one service, in order of rank."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @contextlib.contextmanager
    def enqueued(self, waiter: Waiter) -> Iterator[None]:
        """Keeps a request in the queue while the block runs."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda w: w.rank)
        try:
            yield
        finally:
            self._waiters.remove(waiter)

    def wake_first(self) -> None:
        """Wakes the first request after memory came free."""
        if self._waiters:
            self._waiters[0].wake()

    def wake_after(self, waiter: Waiter) -> None:
        """Wakes the request after this one, which has finished asking."""
        position = self._waiters.index(waiter) + 1
        if position < len(self._waiters):
            self._waiters[position].wake()
