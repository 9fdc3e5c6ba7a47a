"""Store tables received from the leader, with the store as fallback."""

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
    """Records of one table, as received from the leader.

    Args:
        clock: Clock.
        fresh_ms: Age in ms up to which the leader's confirmation counts as a
            read of the store.

    Attributes:
        fetch: Requests the records that the leader did not send; returns
            whether they arrived.
    """

    def __init__(self, clock: clocks.Clock, *, fresh_ms: float) -> None:
        self.fetch: Callable[[], Awaitable[bool]] | None = None
        self._clock = clock
        self._fresh_ms = fresh_ms
        # Offset of the newest record that the leader has read but not sent.
        self._unsent: int | None = None
        self._records: dict[str, tables.TableRecord[T]] = {}
        self._end: int | None = None
        self._confirmed_ms = 0.0
        self._news = asyncio.Event()

    @property
    def is_fresh(self) -> bool:
        """Whether the records are recent enough to skip the store."""
        return self._end is not None and self._left_ms > 0.0

    @property
    def _left_ms(self) -> float:
        return self._confirmed_ms + self._fresh_ms - self._clock.now_ms()

    def begin(self) -> None:
        """Discards what the previous leader sent."""
        self._records.clear()
        self._unsent = None
        self._end = None

    def confirm(self, end: int, *, age_ms: float) -> None:
        """Extends freshness to a confirmed end offset.

        Args:
            end: Offset up to which the leader has read the table.
            age_ms: Time in ms since that read.
        """
        if self._end is None:
            # The first records have not arrived yet.
            return
        self._confirmed_ms = self._clock.now_ms() - age_ms
        if end > self._end:
            self._end = end
            self._wake()

    def take(self, records: Iterable[tables.TableRecord[T]], end: int) -> None:
        """Applies changed records."""
        if self._end is None:
            self._confirmed_ms = self._clock.now_ms()
        for record in records:
            self._records[record.key] = record
            if self._unsent is not None and record.offset >= self._unsent:
                self._unsent = None
        self._end = max(end, self._end or 0)
        self._wake()

    def take_unsent(self, offset: int, end: int) -> None:
        """Notes a record that must be read from the store."""
        self._unsent = max(offset, self._unsent or 0)
        self.take((), end)

    def _wake(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def freshened(self, within_ms: float) -> None:
        """Waits up to ``within_ms`` until the records are fresh."""
        until_ms = self._clock.now_ms() + within_ms
        while not self.is_fresh:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return
            await self._changed(left_ms)

    async def after(
        self, offset: int, *, wait_ms: float
    ) -> tables.TablePage[T] | None:
        """Returns records from an offset on, waiting up to ``wait_ms`` for one.

        Returns:
            ``None`` if the store must be read instead.
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
        """Whether a record from an offset on was not sent."""
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
    """Implements ``tables.Table`` with the leader's records, or the store.

    Args:
        table: The store's table.
        feed: Records received from the leader.
        clock: Clock.
        pause_ms: Returns the time in ms between reads of a table that changes
            all the time; without it, reads are long polls.
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
        """Returns the newest record of each key; see ``tables.Table``."""
        self._read_ms = self._clock.now_ms()
        return await self._table.newest()

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        """Returns later records; see ``tables.Table``."""
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
        """Reads records that the leader has read but not sent.

        The store may refuse this instance while it serves the leader. The
        records are then requested from the leader: otherwise a withdrawn API
        key would still be accepted here.
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
