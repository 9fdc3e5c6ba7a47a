"""The store's tables as a leader tells them, and by itself without one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.platform import log
from jujubewharf.platform import tables

T = TypeVar("T")


class Feed(Generic[T]):
    """What the leader has told of one table.

    Args:
        clock: Time.
        fresh_ms: Age up to which the leader's word is as good as a reading.

    Attributes:
        fetch: Has the leader send what it left to be read at the store; tells
            whether it did.
    """

    def __init__(self, clock: clocks.Clock, *, fresh_ms: float) -> None:
        self.fetch: Callable[[], Awaitable[bool]] | None = None
        self._clock = clock
        self._fresh_ms = fresh_ms
        # Offset of the newest record that the leader has read and not sent.
        self._unsent: int | None = None
        self._records: dict[str, tables.TableRecord[T]] = {}
        self._end: int | None = None
        self._confirmed_ms = 0.0
        self._news = asyncio.Event()

    @property
    def is_fresh(self) -> bool:
        """Whether its word may be relied on now."""
        return self._end is not None and self._left_ms > 0.0

    @property
    def _left_ms(self) -> float:
        return self._confirmed_ms + self._fresh_ms - self._clock.now_ms()

    def begin(self) -> None:
        """Forgets what another leader has told."""
        self._records.clear()
        self._unsent = None
        self._end = None

    def confirm(self, end: int, *, age_ms: float) -> None:
        """Learns how far the leader has read, and how long ago."""
        if self._end is None:
            # The records come first.
            return
        self._confirmed_ms = self._clock.now_ms() - age_ms
        if end > self._end:
            self._end = end
            self._wake()

    def take(self, records: Iterable[tables.TableRecord[T]], end: int) -> None:
        """Learns changed records."""
        if self._end is None:
            self._confirmed_ms = self._clock.now_ms()
        for record in records:
            self._records[record.key] = record
            if self._unsent is not None and record.offset >= self._unsent:
                self._unsent = None
        self._end = max(end, self._end or 0)
        self._wake()

    def take_unsent(self, offset: int, end: int) -> None:
        """Learns of a record that has to be read at the store."""
        self._unsent = max(offset, self._unsent or 0)
        self.take((), end)

    def _wake(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def freshened(self, within_ms: float) -> None:
        """Waits a while for a leader's word."""
        until_ms = self._clock.now_ms() + within_ms
        while not self.is_fresh:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return
            await self._changed(left_ms)

    async def after(
        self, offset: int, *, wait_ms: float
    ) -> tables.TablePage[T] | None:
        """Records from an offset on, waiting a while when there is none.

        Returns:
            ``None`` where the store must be asked.
        """
        until_ms = self._clock.now_ms() + wait_ms
        while self.is_fresh:
            assert self._end is not None
            if self._end > offset:
                return None if self._lacks(offset) else self._page(offset)
            left_ms = min(until_ms - self._clock.now_ms(), self._left_ms)
            if until_ms <= self._clock.now_ms():
                return tables.TablePage((), offset)
            await self._changed(left_ms)
        return None

    def _lacks(self, offset: int) -> bool:
        """Whether a record from an offset on wasn't sent."""
        return self._unsent is not None and self._unsent >= offset

    def _page(self, offset: int) -> tables.TablePage[T]:
        assert self._end is not None
        found = [r for r in self._records.values() if r.offset >= offset]
        found.sort(key=lambda record: record.offset)
        return tables.TablePage(tuple(found), self._end)

    async def _changed(self, within_ms: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(max(1.0, within_ms)):
                await self._news.wait()


class LeaderTable(Generic[T]):
    """Implements ``tables.Table`` from the leader's word, or the store.

    Args:
        table: The store's table.
        feed: What the leader tells of it.
        clock: Time.
        pause_ms: Tells the time between two readings of a table that others
            write all the time; a reading of one without it waits for news.
    """

    def __init__(
        self,
        table: tables.Table[T],
        feed: Feed[T],
        clock: clocks.Clock,
        *,
        pause_ms: Callable[[], float] | None = None,
    ) -> None:
        self._table = table
        self._feed = feed
        self._clock = clock
        self._pause_ms = pause_ms
        self._read_ms: float | None = None

    async def newest(self) -> tables.TablePage[T]:
        """The newest record of each key; see ``tables.Table``."""
        self._read_ms = self._clock.now_ms()
        return await self._table.newest()

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        """Later records; see ``tables.Table``."""
        page = await self._feed.after(from_offset, wait_ms=wait_ms)
        if page is not None:
            return page
        if self._feed.is_fresh:
            return await self._read_unsent(from_offset)
        if self._pause_ms is None:
            return await self._read(from_offset, wait_ms=wait_ms)
        if self._read_ms is not None:
            due_ms = self._read_ms + self._pause_ms()
            await self._feed.freshened(due_ms - self._clock.now_ms())
        return await self._read(from_offset, wait_ms=0.0)

    async def _read_unsent(self, from_offset: int) -> tables.TablePage[T]:
        """Reads what the leader has read and not sent.

        The store may turn this instance away while it serves the leader. A
        caller's key that was withdrawn would go on to be taken here, so the
        leader is asked then.
        """
        try:
            return await self._read(from_offset, wait_ms=0.0)
        except log.LogUnavailableError:
            fetch = self._feed.fetch
            if fetch is None or not await fetch():
                raise
        page = await self._feed.after(from_offset, wait_ms=0.0)
        return page or tables.TablePage((), from_offset)

    async def _read(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        try:
            return await self._table.changes(from_offset, wait_ms=wait_ms)
        finally:
            self._read_ms = self._clock.now_ms()
