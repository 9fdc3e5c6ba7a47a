"""Requests of one service that wait here for memory on a decode engine.

The load this answers: a burst that fills all engines for some seconds. If
each request asked all engines over and over by itself, asking would grow with
requests times engines, and whoever asked at the right moment would win. So the
requests of an instance wait in one line, those that can still meet their
target first, and are woken in that order whenever one of this instance's own
answers has ended: that memory is known to be free before any other instance
can know it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """One request in the line.

    Attributes:
        is_late: Whether it has missed its target; it then comes after all
            that haven't.
        due_ms: When it is given up; of two alike the sooner one comes first.
    """

    is_late: bool
    due_ms: float
    _woken: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def rank(self) -> tuple[bool, float]:
        """Place in the line, the first is the least."""
        return (self.is_late, self.due_ms)

    def wake(self) -> None:
        """Has it ask again."""
        self._woken.set()

    async def woken(self) -> None:
        """Waits until it should ask again."""
        await self._woken.wait()
        self._woken.clear()


class Line:
    """The requests of one service that wait, in order."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @contextlib.contextmanager
    def joined(self, waiter: Waiter) -> Iterator[None]:
        """Keeps a request in the line for the block."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda w: w.rank)
        try:
            yield
        finally:
            self._waiters.remove(waiter)

    def wake_first(self) -> None:
        """Has the first one ask, since memory came free."""
        if self._waiters:
            self._waiters[0].wake()

    def wake_after(self, waiter: Waiter) -> None:
        """Has the next one ask, once this one is done with asking."""
        place = self._waiters.index(waiter) + 1
        if place < len(self._waiters):
            self._waiters[place].wake()
