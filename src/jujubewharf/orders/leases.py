"""Claims, renews and releases leases by appending to the log."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import uuid

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.orders import ledger
from jujubewharf.orders import records
from jujubewharf.platform import epochs
from jujubewharf.platform import log

_RETRY_MS = 500.0
_PAGE_SIZE = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Duration and safety margins of leases.

    Attributes:
        lease_ms: Duration of a lease from its record.
        holder_margin_ms: The holder stops this long before the end. An order
            that was just sent must reach its engine within this margin plus
            ``others_margin_ms``.
        others_margin_ms: Other instances wait this long after the end.
        read_pause_ms: Pause between two reads of the stream; limits the
            requests of an idle reader while the stream is busy.
    """

    lease_ms: float = 20_000.0
    holder_margin_ms: float = 6_000.0
    others_margin_ms: float = 2_000.0
    read_pause_ms: float = 500.0


class Lease:
    """The right to order one engine, as seen by its holder.

    Attributes:
        engine: Name of the engine.
        fence: Offset of the claim, which orders leases on the log.
        purpose: Purpose of the orders.
        valid_until_ms: Clock reading at which the holder must stop.
        epoch: Number of times that the log had been restored.
    """

    def __init__(
        self,
        engine: str,
        fence: int,
        purpose: records.Purpose,
        valid_until_ms: float,
        *,
        epoch: int = 0,
    ) -> None:
        self.engine = engine
        self.fence = fence
        self.purpose = purpose
        self.valid_until_ms = valid_until_ms
        self.epoch = epoch

    def __repr__(self) -> str:
        return f"Lease({self.engine!r}, fence={self.fence})"

    @property
    def fencing_token(self) -> int:
        """Token of orders, which rises with each claim.

        Offsets go back when the log is restored. Engines would refuse all
        orders with tokens lower than before, and carry out late ones.
        """
        return epochs.combine(self.epoch, self.fence)


class Leases(mode.Service):
    """Follows the stream of leases and writes this instance's own.

    Args:
        instance: Name of this instance.
        platform_log: The platform's log.
        clock: Time source.
        timing: Duration and margins of leases.
        wait_ms: Maximum time that one read waits for new records.

    Attributes:
        ledger: The leases as read from the log.
    """

    def __init__(
        self,
        instance: str,
        platform_log: log.Log,
        clock: clocks.Clock,
        *,
        timing: LeaseTiming | None = None,
        wait_ms: float = 2_000.0,
    ) -> None:
        super().__init__()
        self.timing = timing or LeaseTiming()
        self.ledger = ledger.Ledger(
            margin_ms=self.timing.others_margin_ms,
            max_lease_ms=self.timing.lease_ms,
        )
        self._instance = instance
        self._platform_log = platform_log
        self._clock = clock
        self._wait_ms = wait_ms
        self._incarnation = uuid.uuid4().hex[:8]
        self._numbers = itertools.count(1)
        self._epoch = 0
        self._pending: dict[str, asyncio.Future[_Decision]] = {}
        self._append_started = asyncio.Event()
        self._logger = structlog.get_logger()

    async def claim(
        self, engine: str, purpose: records.Purpose
    ) -> Lease | None:
        """Claims an engine's lease if no other instance can hold it.

        Returns:
            ``None`` if the lease is or may be held, or if the log cannot be
            reached.
        """
        sent_ms = self._clock.now_ms()
        if not self.ledger.is_free(engine, sent_ms):
            return None
        record = self._record(records.Verb.CLAIM, engine, purpose)
        decision = await self._append(record)
        if decision is None or decision.verdict is not ledger.Verdict.ACCEPTED:
            return None
        valid_until_ms = self._valid_until_ms(sent_ms)
        return Lease(
            engine,
            decision.offset,
            purpose,
            valid_until_ms,
            epoch=self._epoch,
        )

    async def renew(self, lease: Lease) -> bool:
        """Extends a lease that is still valid.

        Returns:
            Whether it was extended; otherwise it ends as before.
        """
        sent_ms = self._clock.now_ms()
        if not self.may_order(lease) or not self._is_current(lease):
            return False
        record = self._record(
            records.Verb.RENEW, lease.engine, lease.purpose, lease.fence
        )
        decision = await self._append(record)
        if decision is None or decision.verdict is not ledger.Verdict.ACCEPTED:
            return False
        lease.valid_until_ms = self._valid_until_ms(sent_ms)
        return True

    async def release(self, lease: Lease) -> None:
        """Releases a lease before its end, so that others need not wait.

        Must not be called while an order of this lease may still be in flight.
        """
        lease.valid_until_ms = float("-inf")
        if not self._is_current(lease):
            return
        record = self._record(
            records.Verb.RELEASE, lease.engine, lease.purpose, lease.fence
        )
        await self._append(record)

    def may_order(self, lease: Lease) -> bool:
        """Whether the holder may send an order now."""
        is_in_time = self._clock.now_ms() < lease.valid_until_ms
        return is_in_time and self._is_current(lease)

    def renew_at_ms(self, lease: Lease) -> float:
        """Clock reading at which a lease should be renewed."""
        return lease.valid_until_ms - self.timing.lease_ms / 3

    def _is_current(self, lease: Lease) -> bool:
        entry = self.ledger.entry(lease.engine)
        return entry is not None and entry.fence == lease.fence

    def _valid_until_ms(self, sent_ms: float) -> float:
        return sent_ms + self.timing.lease_ms - self.timing.holder_margin_ms

    def _record(
        self,
        verb: records.Verb,
        engine: str,
        purpose: records.Purpose,
        fence: int = -1,
    ) -> records.LeaseRecord:
        return records.LeaseRecord(
            verb=verb,
            engine=engine,
            holder=self._instance,
            record_id=f"{self._incarnation}{next(self._numbers):x}",
            after=self.ledger.after(engine),
            fence=fence,
            lease_ms=self.timing.lease_ms,
            purpose=purpose,
        )

    async def _append(self, record: records.LeaseRecord) -> _Decision | None:
        """Appends a record and waits until it is read back.

        An append without a response may have taken effect. It is not retried:
        the record is either read from the log in time or treated as lost. If a
        lost claim appears later, it blocks the engine until it expires, but
        nobody sends orders under it.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending[record.record_id] = future
        self._append_started.set()
        try:
            with contextlib.suppress(log.AppendUnknownError):
                await self._platform_log.append(
                    records.STREAM, [records.encode(record)]
                )
            async with self._clock.timeout_ms(self.timing.holder_margin_ms):
                return await future
        except (log.LogUnavailableError, TimeoutError):
            return None
        finally:
            del self._pending[record.record_id]

    @mode.Service.task
    async def _follow(self) -> None:
        self.ledger.restart(0, self._clock.now_ms())
        while not self.should_stop:
            try:
                is_full_page = await self._read_once()
            except log.LogUnavailableError as error:
                self._logger.info("orders_log_unavailable", detail=str(error))
                await self._clock.sleep_ms(_RETRY_MS)
            except log.LogTruncatedError as error:
                self.ledger.restart(error.first_offset, self._clock.now_ms())
            else:
                if not is_full_page:
                    await self._pause()

    async def _read_once(self) -> bool:
        page = await self._platform_log.read(
            records.STREAM,
            self.ledger.next_offset,
            limit=_PAGE_SIZE,
            wait_ms=self._wait_ms,
        )
        self._epoch = page.epoch
        now_ms = self._clock.now_ms()
        for record in page.records:
            self._apply(record, now_ms)
        return len(page.records) == _PAGE_SIZE

    def _apply(self, stored: log.LogRecord, now_ms: float) -> None:
        try:
            record = records.decode(stored.payload)
        except records.UnknownRecordError as error:
            # The record may be a lease on any engine, written by a newer
            # version. Ignoring it could give an engine two holders, so this
            # instance gives up its own leases and claims none until that lease
            # must have expired.
            self._logger.warning("orders_record_unknown", detail=str(error))
            self.ledger.restart(stored.offset + 1, now_ms)
            return
        verdict = self.ledger.apply(stored.offset, record, now_ms)
        future = self._pending.get(record.record_id)
        if future is not None and not future.done():
            future.set_result(_Decision(stored.offset, verdict))

    async def _pause(self) -> None:
        """Pauses between reads, unless an own record is in flight."""
        if self._pending:
            return
        self._append_started.clear()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(self.timing.read_pause_ms):
                await self._append_started.wait()


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """Offset of a record and the verdict on it."""

    offset: int
    verdict: ledger.Verdict
