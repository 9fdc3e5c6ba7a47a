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
from jujubewharf.peers import leader_messages
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import tables

T = TypeVar("T")


class Feed(Generic[T]):
    """Records of one table, as received from the leader.

    Args:
        epoch: Epoch of the store. A leader that still reads an earlier one
            has not noticed the restore, and its confirmations don't count.
        clock: Clock.
        fresh_ms: Age in ms up to which the leader's confirmation counts as a
            read of the store.

    Attributes:
        fetch: Requests the records that the leader did not send; returns
            whether they arrived.
        on_confirmed: Called with the end offset and the age in ms of a read in
            which the leader has found no more than it had sent.
    """

    def __init__(
        self, epoch: epochs.StoreEpoch, clock: clocks.Clock, *, fresh_ms: float
    ) -> None:
        self.fetch: Callable[[], Awaitable[bool]] | None = None
        self.on_confirmed: Callable[[int, float], None]
        self.on_confirmed = lambda end, age_ms: None
        self._epoch = epoch
        self._clock = clock
        self._fresh_ms = fresh_ms
        # Offset of the newest record that the leader has read but not sent.
        self._unsent_offset: int | None = None
        self._records: dict[str, tables.TableRecord[T]] = {}
        self._end_offset: int | None = None
        self._confirmed_ms = 0.0
        # End offset and time in ms of the leader's last read, as it said before
        # it sent the first records.
        self._told_read: tuple[int, float] | None = None
        # Digest that the next page has to be checked against.
        self._keys_digest: int | None = None
        self._update_event = asyncio.Event()
        self._is_store_read_due = False

    @property
    def has_begun(self) -> bool:
        """Whether the leader has sent its first records."""
        return self._end_offset is not None

    @property
    def is_fresh(self) -> bool:
        """Whether the records are recent enough to skip the store."""
        if self._end_offset is None or self._is_store_read_due:
            return False
        is_current = epochs.split(self._end_offset).epoch >= self._epoch.current
        return is_current and self._fresh_for_ms > 0.0

    @property
    def _fresh_for_ms(self) -> float:
        return self._confirmed_ms + self._fresh_ms - self._clock.now_ms()

    def require_store_read(self) -> None:
        """Ends waits, so that the store is read now and not the records."""
        self._is_store_read_due = True
        self._notify()

    def note_store_read(self) -> None:
        """Notes that a read of the store has ended, or has failed."""
        self._is_store_read_due = False

    def reset(self) -> None:
        """Discards what the previous leader sent."""
        self._records.clear()
        self._unsent_offset = None
        self._end_offset = None
        self._told_read = None
        self._keys_digest = None

    def confirm(self, end: int, *, age_ms: float) -> None:
        """Extends freshness to a confirmed end offset.

        Args:
            end: Offset up to which the leader has read the table.
            age_ms: Time in ms since that read.
        """
        self._epoch.learn(end)
        read_ms = self._clock.now_ms() - age_ms
        if self._end_offset is None:
            # The first records have not arrived yet.
            has_read = age_ms < leader_messages.NEVER_READ_AGE_MS
            self._told_read = (end, read_ms) if has_read else None
            return
        self._confirmed_ms = read_ms
        if end > self._end_offset:
            self._end_offset = end
            self._notify()
        elif end == self._end_offset:
            self.on_confirmed(end, age_ms)

    def apply(
        self,
        records: Iterable[tables.TableRecord[T]],
        end: int,
        *,
        keys_digest: int | None = None,
    ) -> None:
        """Applies changed records.

        Args:
            records: The records.
            end: Offset up to which the leader has read the table.
            keys_digest: Digest of the table's keys, if they need a check.
        """
        if keys_digest is not None:
            # Kept until a page has it. If the keys change before, the table is
            # read once for nothing.
            self._keys_digest = keys_digest
        self._epoch.learn(end)
        if self._end_offset is None:
            self._confirmed_ms = self._clock.now_ms()
            if self._told_read is not None and end <= self._told_read[0]:
                # Records of a read before the link began, possibly long ago.
                self._confirmed_ms = self._told_read[1]
        for record in records:
            self._records[record.key] = record
            if (
                self._unsent_offset is not None
                and record.offset >= self._unsent_offset
            ):
                self._unsent_offset = None
        self._end_offset = max(end, self._end_offset or 0)
        self._notify()

    def note_unsent(self, offset: int, end: int) -> None:
        """Notes a record that must be read from the store."""
        self._unsent_offset = max(offset, self._unsent_offset or 0)
        self.apply((), end)

    def _notify(self) -> None:
        event, self._update_event = self._update_event, asyncio.Event()
        event.set()

    async def wait_until_fresh(self, timeout_ms: float) -> None:
        """Waits up to ``timeout_ms`` until the records are fresh.

        Returns at once if the store has to be read.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        while not self.is_fresh and not self._is_store_read_due:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return
            await self._wait_for_update(left_ms)

    async def page_after(
        self, offset: int, *, wait_ms: float
    ) -> tables.TablePage[T] | None:
        """Returns records from an offset on, waiting up to ``wait_ms`` for one.

        Returns:
            ``None`` if the store must be read instead.
        """
        deadline_ms = self._clock.now_ms() + wait_ms
        while self.is_fresh:
            assert self._end_offset is not None
            if self._end_offset > offset or self._keys_digest is not None:
                return None if self._is_missing(offset) else self._page(offset)
            left_ms = min(
                deadline_ms - self._clock.now_ms(), self._fresh_for_ms
            )
            if deadline_ms <= self._clock.now_ms():
                return self._to_page((), offset)
            await self._wait_for_update(left_ms)
        return None

    def _is_missing(self, offset: int) -> bool:
        """Whether a record from an offset on was not sent."""
        return self._unsent_offset is not None and self._unsent_offset >= offset

    def _page(self, offset: int) -> tables.TablePage[T]:
        assert self._end_offset is not None
        page_records = [r for r in self._records.values() if r.offset >= offset]
        page_records.sort(key=lambda record: record.offset)
        return self._to_page(tuple(page_records), self._end_offset)

    def _to_page(
        self, records: tuple[tables.TableRecord[T], ...], end: int
    ) -> tables.TablePage[T]:
        age_ms = self._clock.now_ms() - self._confirmed_ms
        keys_digest, self._keys_digest = self._keys_digest, None
        return tables.TablePage(
            records,
            end,
            is_from_leader=True,
            age_ms=age_ms,
            keys_digest=keys_digest,
        )

    async def _wait_for_update(self, timeout_ms: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(max(1.0, timeout_ms)):
                await self._update_event.wait()


class LeaderTable(Generic[T]):
    """Implements ``tables.Table`` with the leader's records, or the store.

    Args:
        table: The store's table.
        feed: Records received from the leader.
        clock: Clock.
        pause_ms: Returns the time in ms between reads of a table that changes
            all the time; without it, reads are long polls.
        max_wait_ms: Returns the longest long poll of the store in ms.
    """

    def __init__(
        self,
        table: tables.Table[T],
        feed: Feed[T],
        clock: clocks.Clock,
        *,
        pause_ms: Callable[[], float] | None = None,
        max_wait_ms: Callable[[], float] | None = None,
    ) -> None:
        self._table = table
        self._feed = feed
        self._clock = clock
        self._pause_ms = pause_ms
        self._max_wait_ms = max_wait_ms
        self._last_read_ms: float | None = None

    async def newest(self) -> tables.TablePage[T]:
        """Returns the newest record of each key; see ``tables.Table``."""
        self._last_read_ms = self._clock.now_ms()
        try:
            return await self._table.newest()
        finally:
            self._feed.note_store_read()

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        """Returns later records; see ``tables.Table``."""
        page = await self._feed.page_after(from_offset, wait_ms=wait_ms)
        if page is not None:
            return page
        if self._feed.is_fresh:
            return await self._read_unsent(from_offset)
        if self._pause_ms is None:
            return await self._read(from_offset, wait_ms=wait_ms)
        if self._last_read_ms is not None:
            due_ms = self._last_read_ms + self._pause_ms()
            await self._feed.wait_until_fresh(due_ms - self._clock.now_ms())
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
        page = await self._feed.page_after(from_offset, wait_ms=0.0)
        return page or tables.TablePage((), from_offset, is_from_leader=True)

    async def _read(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        if self._max_wait_ms is not None:
            wait_ms = min(wait_ms, self._max_wait_ms())
        try:
            return await self._table.changes(from_offset, wait_ms=wait_ms)
        finally:
            self._last_read_ms = self._clock.now_ms()
            self._feed.note_store_read()
