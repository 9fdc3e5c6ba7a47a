"""One shard of the claims: a log stream and the state derived from it.

A shard appends to its stream and knows the state up to an offset. If the log
assigns that offset to its batch, no other instance appended in between. If the
offset is later, the records in between are read and applied first. The order of
the log alone decides who holds a key, even when two instances both consider
themselves owner of the shard.

A log that is restored from a copy is read anew. What was known before stays
held and is appended again, and keys that may have been claimed in the lost
records are refused (``requests.claim_coverage``).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import structlog

from jujubewharf import clock as clocks
from jujubewharf.platform import log
from jujubewharf.requests import claim_coverage
from jujubewharf.requests import claim_records

SHARDS = 32
APPENDS_PER_S = 160.0
MIN_APPEND_INTERVAL_MS = SHARDS / APPENDS_PER_S * clocks.MS_PER_S
MAX_BATCH = 400
MAX_UNDATED = 10_000
_PAGE_RECORDS = 500
_EXPIRE_INTERVAL_MS = 10_000.0


def stream_of(shard: int) -> str:
    """Returns the log stream of a shard."""
    return f"claims-{shard}"


def shard_of(key: bytes) -> int:
    """Returns the shard of a key."""
    return int.from_bytes(key[:4], "big") % SHARDS


class ClaimUnavailableError(Exception):
    """The log did not confirm the claim; it may still be appended later.

    Args:
        is_new: Whether the log was read to its end after the append and has no
            claim of the key.
    """

    def __init__(self, *, is_new: bool) -> None:
        super().__init__("unavailable")
        self.is_new = is_new


class ClaimUnknownError(ClaimUnavailableError):
    """The key may have been claimed in records that the log has lost."""

    def __init__(self) -> None:
        super().__init__(is_new=False)


class KeyTooOldError(Exception):
    """The key is older than the retention period of claims."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retention:
    """Retention periods of keys and claims.

    Attributes:
        dated_ms: Keys with a creation time are refused before this age, and
            their claims are removed after it.
        undated_ms: Claims of other keys are removed after this age.
        reappend_after_ms: Age at which a claim without a creation time is
            appended again, before the log's retention drops it. Claims with a
            creation time expire before that.
        reappend_interval_ms: Interval between checks for such claims.
        log_ms: Time for which the log keeps records at least.
    """

    dated_ms: float = 900_000.0
    undated_ms: float = 86_400_000.0
    reappend_after_ms: float = 900_000.0
    reappend_interval_ms: float = 60_000.0
    log_ms: float = 86_400_000.0


@dataclasses.dataclass(slots=True)
class _PendingClaim:
    claim: claim_records.ClaimRecord
    done: asyncio.Future[claim_records.ClaimRecord]


class ClaimShard:
    """Claims keys on one log stream and batches claims into one append.

    Args:
        shard: Number of the shard.
        platform_log: Log of the platform.
        clock: Source of time and timeouts.
        retention: Retention periods.
        on_restored: Called when the log turns out to have lost claims.

    Attributes:
        appends: Number of appends that the log confirmed.
        holders: Current holder of each key.
    """

    def __init__(
        self,
        shard: int,
        platform_log: log.Log,
        clock: clocks.Clock,
        retention: Retention,
        *,
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self.appends = 0
        self.holders = claim_records.Holders()
        self._stream = stream_of(shard)
        self._log = platform_log
        self._clock = clock
        self._retention = retention
        self._on_restored = on_restored
        self._next_offset: int | None = None
        self._coverage = claim_coverage.CoverageTracker(retention)
        # Held claims that are not on the log any more.
        self._lost: dict[bytes, claim_records.ClaimRecord] = {}
        self._access = asyncio.Lock()
        self._appended_wall_ms: dict[bytes, float] = {}
        self._waiting: list[_PendingClaim] = []
        self._task: asyncio.Task[None] | None = None
        self._last_append_ms = float("-inf")
        self._last_expiry_wall_ms = float("-inf")
        self._logger = structlog.get_logger()

    async def claim(
        self, claim: claim_records.ClaimRecord
    ) -> claim_records.ClaimRecord:
        """Claims a key.

        Returns:
            The claim that holds the key in log order.

        Raises:
            ClaimUnavailableError: The log did not confirm the claim.
            ClaimUnknownError: The key may have been claimed in lost records.
            KeyTooOldError: The key is too old by this instance's wall clock,
                which also decides when claims are removed. A claiming instance
                with a slow clock would not notice.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingClaim(claim, loop.create_future())
        self._waiting.append(pending)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._process_waiting())
        return await pending.done

    async def load(self) -> None:
        """Reads the stream to its end.

        Raises:
            LogUnavailableError: The log could not be reached.
        """
        async with self._access:
            await self._load()

    async def _load(self) -> None:
        try:
            await self._read_to_end()
        except log.LogRestoredError:
            self._reopen()
            await self._read_to_end()
        wall_ms = self._clock.wall_ms()
        if self._coverage.settle(wall_ms):
            self._logger.warning(
                "claims_incomplete",
                stream=self._stream,
                epoch=self._coverage.epoch,
                since_wall_ms=wall_ms,
                kept=len(self._lost),
            )
            self._on_restored()

    def _reopen(self, *, has_gone_back: bool = False) -> None:
        """Starts to use a restored log; what is known stays held."""
        self._log = self._log.reopened()
        self._next_offset = None
        self._lost = {claim.key: claim for claim in self.holders.claims()}
        self._coverage.begin(has_gone_back=has_gone_back)

    async def _read_to_end(self) -> None:
        offset = self._next_offset or 0
        while True:
            try:
                page = await self._log.read(
                    self._stream, offset, limit=_PAGE_RECORDS
                )
            except log.LogTruncatedError as error:
                offset = error.first_offset
                self._coverage.begin(is_truncated=True)
                continue
            if offset > page.next_offset:
                # A restored log that states no epoch.
                self._reopen(has_gone_back=True)
                offset = 0
                continue
            self._coverage.epoch = page.epoch
            for record in page.records:
                self._apply(record)
            offset += len(page.records)
            self._next_offset = offset
            if offset >= page.next_offset:
                return

    async def reappend(self) -> None:
        """Appends claims that the log drops soon, or has lost, again.

        Raises:
            LogUnavailableError: The log could not be reached.
            AppendUnknownError: The append may or may not have taken effect.
        """
        await self.load()
        self._remove_expired()
        wall_ms = self._clock.wall_ms()
        due = list(self._lost.values())
        due += [
            claim
            for claim in self.holders.older_than(
                wall_ms - self._retention.reappend_after_ms
            )
            if not claim.is_dated
            and claim.key not in self._lost
            and wall_ms - self._appended_wall_ms.get(claim.key, 0.0)
            >= self._retention.reappend_after_ms
        ]
        for start in range(0, len(due), MAX_BATCH):
            await self._append(due[start : start + MAX_BATCH])
            await self._clock.sleep_ms(MIN_APPEND_INTERVAL_MS)
        if self._coverage.due(self._clock.wall_ms()) is not None:
            await self._append([])

    async def _process_waiting(self) -> None:
        while self._waiting:
            await self._clock.sleep_until_ms(
                self._last_append_ms + MIN_APPEND_INTERVAL_MS
            )
            batch = self._waiting[:MAX_BATCH]
            del self._waiting[:MAX_BATCH]
            is_new = False
            try:
                is_new = await self._claim_batch(batch)
            except (log.LogUnavailableError, log.AppendUnknownError) as error:
                self._logger.warning(
                    "claims_unavailable", stream=self._stream, why=str(error)
                )
            for pending in batch:
                if not pending.done.done():
                    failure = ClaimUnavailableError(is_new=is_new)
                    pending.done.set_exception(failure)

    async def _claim_batch(self, batch: list[_PendingClaim]) -> bool:
        """Claims the keys of a batch.

        Returns:
            Whether the log was read to its end and has no claim for the entries
            that are still unanswered.

        Raises:
            LogUnavailableError: The log could not be reached.
        """
        self._remove_expired()
        self._resolve_held(batch)
        if self._coverage.current is None:
            await self.load()
            self._resolve_held(batch)
        self._refuse_old(batch)
        self._refuse_unknown(batch)
        unresolved = [pending for pending in batch if not pending.done.done()]
        unresolved = self._within_limit(unresolved)
        if not unresolved:
            return False
        try:
            await self._append([pending.claim for pending in unresolved])
        except (log.LogUnavailableError, log.AppendUnknownError):
            # Claims that are on the log now are certain. A claim that isn't may
            # still be appended later, so it remains unanswered.
            await self.load()
        self._resolve_held(unresolved)
        self._refuse_unknown(unresolved)
        return True

    def _resolve_held(self, batch: list[_PendingClaim]) -> None:
        """Answers claims whose key is held.

        A claim that wins counts only if the stream vouches for its key: the
        claim that it comes after may be lost.
        """
        wall_ms = self._clock.wall_ms()
        for pending in batch:
            claim = pending.claim
            held = self.holders.get(claim.key)
            if pending.done.done() or held is None:
                continue
            if held.request_id == claim.replaces:
                continue
            is_won = held.request_id == claim.request_id
            if not is_won or self._coverage.vouches_for(claim, wall_ms):
                pending.done.set_result(held)

    def _refuse_unknown(self, batch: list[_PendingClaim]) -> None:
        """Refuses keys that may have been claimed in lost records."""
        wall_ms = self._clock.wall_ms()
        for pending in batch:
            if pending.done.done():
                continue
            if not self._coverage.vouches_for(pending.claim, wall_ms):
                pending.done.set_exception(ClaimUnknownError())

    def _refuse_old(self, batch: list[_PendingClaim]) -> None:
        """Refuses keys well before their claims may be removed."""
        oldest_ms = self._clock.wall_ms() - self._retention.dated_ms / 2
        for pending in batch:
            claim = pending.claim
            if claim.is_dated and claim.wall_ms < oldest_ms:
                if not pending.done.done():
                    pending.done.set_exception(KeyTooOldError())

    def _within_limit(self, batch: list[_PendingClaim]) -> list[_PendingClaim]:
        """Drops entries beyond the limit of keys without a creation time.

        Removing an old claim to make room would allow its request to run again.
        """
        room = MAX_UNDATED - self.holders.undated
        accepted = []
        for pending in batch:
            if not pending.claim.is_dated:
                room -= 1
            if pending.claim.is_dated or room >= 0:
                accepted.append(pending)
        return accepted

    async def _append(
        self, claims: Sequence[claim_records.ClaimRecord]
    ) -> None:
        async with self._access:
            await self._append_batch(claims)

    async def _append_batch(
        self, claims: Sequence[claim_records.ClaimRecord]
    ) -> None:
        wall_ms = self._clock.wall_ms()
        batch = claim_records.Batch(
            wall_ms, tuple(claims), self._coverage.due(wall_ms)
        )
        payload = claim_records.encode(batch)
        self._last_append_ms = self._clock.now_ms()
        (offset,) = await self._log.append(self._stream, [payload])
        self.appends += 1
        assert self._next_offset is not None
        if offset < self._next_offset:
            self._reopen(has_gone_back=True)
        if offset != self._next_offset:
            await self._load()
            return
        self._apply(log.LogRecord(offset, payload))
        self._next_offset = offset + 1

    def _apply(self, record: log.LogRecord) -> None:
        batch = claim_records.decode(record.payload)
        self._coverage.observe(batch)
        for claim in batch.claims:
            self.holders.apply(claim)
            self._found_on_log(claim)
            if not claim.is_dated:
                self._appended_wall_ms[claim.key] = batch.appended_wall_ms

    def _found_on_log(self, claim: claim_records.ClaimRecord) -> None:
        lost = self._lost.get(claim.key)
        if lost is not None and lost.request_id == claim.request_id:
            del self._lost[claim.key]

    def _remove_expired(self) -> None:
        wall_ms = self._clock.wall_ms()
        if wall_ms - self._last_expiry_wall_ms < _EXPIRE_INTERVAL_MS:
            return
        self._last_expiry_wall_ms = wall_ms
        dated_ms = wall_ms - self._retention.dated_ms
        undated_ms = wall_ms - self._retention.undated_ms
        due = [
            claim
            for claim in self.holders.older_than(dated_ms)
            if claim.is_dated or claim.wall_ms < undated_ms
        ]
        self.holders.drop(due)
        for claim in due:
            self._lost.pop(claim.key, None)
            self._appended_wall_ms.pop(claim.key, None)
