"""Follows a table of the platform's store through outages and truncation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Generic
from typing import TypeVar

import mode
from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import tables
from jujubewharf.telemetry import containment

T = TypeVar("T")

_STORE_CALL_MS = metrics.get_meter("jujubewharf").create_histogram(
    "forwarding.store_call",
    unit="ms",
    description="Reads of the store's tables, by outcome.",
)

# Interval of full reads. They find changes that incremental reads missed
# because the store dropped them or returned an outdated end offset.
_FULL_READ_INTERVAL_MS = 15_000.0
# Time within which instances that a leader informed read a restored table
# themselves, so that hundreds of them don't read it at the same moment.
_VERIFY_SPREAD_MS = 5_000.0
# The same where the leader's records are known to differ.
_REPAIR_SPREAD_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class PollIntervals:
    """Polling parameters of a table.

    Attributes:
        wait_ms: Long-poll timeout of one read.
        pause_ms: Time between the end of one read and the start of the next.
        max_retry_ms: Time after a failed read of any table within which the
            table is read again, so that a change is noticed within that time
            after the store's return.
    """

    wait_ms: float
    pause_ms: float
    max_retry_ms: float = 1_000.0


class TableFollower(restarting_service.RestartingService, Generic[T]):
    """Reads a whole table, then its changes, and starts over after a gap.

    Args:
        name: Name of the table in log lines.
        table: The table.
        pace: Polling parameters.
        epoch: Epoch of the store.
        clock: Time source.
        rng: Jitter of the pauses.
        on_page: Called with each page and whether it is the whole table.
        on_lost: Called when the store is unreachable.
        is_watched: Returns whether another instance currently guarantees that
            no change is missed, so that full reads are not needed.
        availability: Shared by all tables of the instance; ``None`` for a
            table that is read alone.
        keys_digest: Returns the digest of the keys that were read, to compare
            with the leader's; ``None`` if the table has none.
        request_read: Ends the table's wait for the next read.
    """

    def __init__(
        self,
        name: str,
        table: tables.Table[T],
        pace: PollIntervals,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        on_page: Callable[[tables.TablePage[T], bool], None],
        on_lost: Callable[[], None] = lambda: None,
        is_watched: Callable[[], bool] = lambda: False,
        availability: availabilities.StoreAvailability | None = None,
        keys_digest: Callable[[], int | None] = lambda: None,
        request_read: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(clock)
        self._name = name
        self._table = table
        self._pace = pace
        self._epoch = epoch
        self._rng = rng
        self._backoff = availabilities.RetryBackoff(
            availability or availabilities.StoreAvailability(clock),
            clock,
            rng,
            max_pause_ms=pace.max_retry_ms,
        )
        self._on_page = on_page
        self._on_lost = on_lost
        self._is_watched = is_watched
        self._keys_digest = keys_digest
        self._request_read = request_read
        self._read_ended = asyncio.Event()
        self._offset: int | None = None
        self._last_full_read_ms = 0.0
        # Time from which a full read is required, besides the periodic ones.
        self._required_at_ms: float | None = 0.0
        self._unavailable_since_ms: float | None = None
        self._logger = structlog.get_logger()

    @property
    def offset(self) -> int:
        """Position up to which the table was read; 0 before the first read."""
        return self._offset or 0

    async def read_now(self) -> None:
        """Has the store read now, and returns after the read or its failure.

        The read is the follower's next one, made earlier.
        """
        self._request_read()
        await self._read_ended.wait()

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            began_ms = self._clock.now_ms()
            try:
                await self._read()
            except log.LogRestoredError:
                self._required_at_ms = 0.0
            except log.LogUnavailableError as error:
                self._handle_outage(str(error))
                await self._backoff.pause(began_ms=began_ms)
            except log.LogTruncatedError as error:
                wanted = epochs.split(self.offset)
                self._logger.info(
                    "store_history_lost",
                    table=self._name,
                    epoch=wanted.epoch,
                    wanted=wanted.offset,
                    first=error.first_offset,
                )
                self._offset = None
                self._required_at_ms = 0.0
            except Exception as error:
                # An answer that can't be read is none.
                containment.report_failure("read", error, table=self._name)
                self._handle_outage(type(error).__name__)
                await self._backoff.pause(began_ms=began_ms)

    def _notify_read_ended(self) -> None:
        event, self._read_ended = self._read_ended, asyncio.Event()
        event.set()

    async def _read(self) -> None:
        began_ms = self._clock.now_ms()
        outcome = "unavailable"
        try:
            page, is_full_read = await self._next_page()
            outcome = "read"
        except log.LogTruncatedError:
            outcome = "truncated"
            raise
        except log.LogRestoredError:
            outcome = "restored"
            raise
        finally:
            took_ms = self._clock.now_ms() - began_ms
            labels = {"table": self._name, "outcome": outcome}
            _STORE_CALL_MS.record(took_ms, labels)
        if not page.is_from_leader:
            self._backoff.record_answer()
        self._handle_page(page, is_full_read=is_full_read)
        if not page.is_from_leader:
            self._notify_read_ended()
        if not is_full_read:
            await self._clock.sleep_ms(self._pace.pause_ms)

    async def _next_page(self) -> tuple[tables.TablePage[T], bool]:
        """Returns the next page and whether it is the whole table."""
        now_ms = self._clock.now_ms()
        is_required = (
            self._required_at_ms is not None and now_ms >= self._required_at_ms
        )
        if self._offset is not None and self._is_watched():
            self._last_full_read_ms = now_ms
            if is_required:
                page = await self._verify()
                if page is not None:
                    return page, True
        elif is_required or self._is_full_read_due(now_ms):
            return await self._read_all(), True
        assert self._offset is not None
        changes = self._table.changes(self._offset, wait_ms=self._pace.wait_ms)
        return await self._epoch.until_restored(changes), False

    def _is_full_read_due(self, now_ms: float) -> bool:
        """Whether the whole table should be read again.

        After an outage its changes come first: a whole read doesn't show what
        came and went meanwhile.
        """
        if self._unavailable_since_ms is not None and self._offset is not None:
            return False
        return now_ms - self._last_full_read_ms > _FULL_READ_INTERVAL_MS

    async def _read_all(self) -> tables.TablePage[T]:
        began_ms = self._clock.now_ms()
        page = await self._table.newest()
        self._last_full_read_ms = began_ms
        self._required_at_ms = None
        return page

    async def _verify(self) -> tables.TablePage[T] | None:
        """Reads the whole table although the leader sends its changes.

        After a restore the leader may not have known all that this instance
        knew, and so sends no change that removes it.

        Returns:
            ``None`` if the store did not answer; it is read again later.
        """
        try:
            return await self._read_all()
        except log.LogUnavailableError as error:
            self._logger.info(
                "table_not_verified", table=self._name, detail=str(error)
            )
            self._required_at_ms = None
            self._schedule_verification()
            return None

    def _schedule_verification(
        self, *, within_ms: float = _VERIFY_SPREAD_MS
    ) -> None:
        due_ms = self._clock.now_ms() + within_ms * self._rng.random()
        if self._required_at_ms is None or due_ms < self._required_at_ms:
            self._required_at_ms = due_ms

    def _handle_page(
        self, page: tables.TablePage[T], *, is_full_read: bool
    ) -> None:
        if self._unavailable_since_ms is not None:
            away_ms = round(self._clock.now_ms() - self._unavailable_since_ms)
            self._logger.info(
                "store_regained", table=self._name, away_ms=away_ms
            )
            self._unavailable_since_ms = None
        if self._offset is not None:
            self._note_restore(self._offset, page, is_full_read=is_full_read)
        # A full read can be older than changes that were already read.
        self._offset = max(page.end, self._offset or 0)
        # A page that fails is not read again at once: it would fail again.
        with containment.contained("table", table=self._name):
            self._on_page(page, is_full_read)
        if page.keys_digest is not None:
            self._compare_keys(page.keys_digest)

    def _compare_keys(self, leaders_digest: int) -> None:
        """Schedules a read if the leader knows of other keys.

        A leader that started later doesn't know what was removed before, and
        so sends no change for it.
        """
        digest = self._keys_digest()
        if digest is None or digest == leaders_digest:
            return
        self._logger.info(
            "table_differs_from_leader", table=self._name, offset=self.offset
        )
        self._schedule_verification(within_ms=_REPAIR_SPREAD_MS)

    def _note_restore(
        self, former_end: int, page: tables.TablePage[T], *, is_full_read: bool
    ) -> None:
        """Logs the first page of a new epoch."""
        former, end = epochs.split(former_end), epochs.split(page.end)
        if end.epoch <= former.epoch:
            return
        self._logger.warning(
            "table_restored",
            table=self._name,
            epoch=end.epoch,
            end=end.offset,
            former_epoch=former.epoch,
            former_end=former.offset,
            records=len(page.records),
            told_by="leader" if page.is_from_leader else "store",
        )
        if not is_full_read:
            self._schedule_verification()

    def _handle_outage(self, detail: str) -> None:
        if self._unavailable_since_ms is None:
            self._unavailable_since_ms = self._clock.now_ms()
            self._logger.warning("store_lost", table=self._name, detail=detail)
        self._on_lost()
        self._notify_read_ended()
