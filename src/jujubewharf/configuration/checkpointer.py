"""Writes checkpoints before the records they replace expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.configuration import checkpoints
from jujubewharf.platform import log

if TYPE_CHECKING:
    from jujubewharf.configuration import replica as replicas
    from jujubewharf.membership import view

# Shares of the log's retention. A checkpoint is replaced while the records
# after it are still in the log. A quarter of the retention leaves room for
# outages of half of it. If the state has not changed, it only has to be
# rewritten before its chunks expire.
_CHANGED_AGE_SHARE = 1 / 4
_UNCHANGED_AGE_SHARE = 1 / 2
_DELAY_SHARE_PER_RANK = 1 / 32
_MAX_RANK = 7
_CHECK_INTERVAL_SHARE = 1 / 64
_MAX_CHECK_INTERVAL_MS = 60_000.0
_URGENT_DELAY_PER_RANK_MS = 5_000.0

_meter = metrics.get_meter("jujubewharf")
_writes = _meter.create_counter(
    "configuration.checkpoint_writes",
    description="Checkpoints written here, by outcome",
)


class Checkpointer(mode.Service):
    """Writes a checkpoint when one is due and no other instance wrote it.

    The present instances are ranked for each checkpoint, and each delays its
    write in proportion to its rank. The first usually writes; the next one
    takes over if the first is down or cut off. Concurrent writes are harmless.

    Args:
        replica: Configuration of this instance.
        store: Checkpoints in the log.
        clock: Time source.
        instance: Name of this instance.
        membership: Instances that write checkpoints; ``None`` if this is the
            only one.
        retention_ms: Time in milliseconds for which the log keeps records.

    Attributes:
        log_first_offset: Offset of the oldest record in the log.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        store: checkpoints.CheckpointStore,
        clock: clocks.Clock,
        *,
        instance: str,
        membership: view.MembershipView | None,
        retention_ms: float,
    ) -> None:
        super().__init__()
        self.log_first_offset = 0
        self._replica = replica
        self._store = store
        self._clock = clock
        self._instance = instance
        self._membership = membership
        self._retention_ms = retention_ms
        self._urgent_since_ms: float | None = None
        self._logger = structlog.get_logger()

    @mode.Service.task
    async def _check_periodically(self) -> None:
        interval_ms = min(
            _MAX_CHECK_INTERVAL_MS, self._retention_ms * _CHECK_INTERVAL_SHARE
        )
        while not self.should_stop:
            await self._clock.sleep_ms(interval_ms)
            try:
                await self._check()
            except log.LogUnavailableError:
                _writes.add(1, {"outcome": "unavailable"})
            except log.AppendUnknownError:
                # The next refresh shows whether the manifest was appended.
                _writes.add(1, {"outcome": "unknown"})

    async def _check(self) -> None:
        replica = self._replica
        if not replica.caught_up.is_set() or replica.is_frozen:
            return
        if not replica.next_offset:
            return
        await self._store.refresh()
        if not self._is_due():
            return
        manifest = await self._store.write(replica.current, self._instance)
        _writes.add(1, {"outcome": "written"})
        self._logger.info(
            "checkpoint_written",
            next_offset=manifest.next_offset,
            chunks=len(manifest.chunk_offsets),
        )

    def _is_due(self) -> bool:
        newest = self._store.manifests[-1] if self._store.manifests else None
        if newest is None or newest.next_offset < self.log_first_offset:
            return self._is_urgent_write_due(newest)
        self._urgent_since_ms = None
        is_changed = newest.next_offset < self._replica.next_offset
        share = _CHANGED_AGE_SHARE if is_changed else _UNCHANGED_AGE_SHARE
        share += self._rank(newest) * _DELAY_SHARE_PER_RANK
        return self._age_ms(newest) >= share * self._retention_ms

    def _is_urgent_write_due(self, newest: checkpoints.Manifest | None) -> bool:
        """Returns whether to write while there is no usable checkpoint.

        New instances can't start from the log in the meantime. The delay per
        rank is therefore short: just enough to see another instance's
        checkpoint.
        """
        now_ms = self._clock.now_ms()
        if self._urgent_since_ms is None:
            self._urgent_since_ms = now_ms
        waited_ms = now_ms - self._urgent_since_ms
        return waited_ms >= self._rank(newest) * _URGENT_DELAY_PER_RANK_MS

    def _age_ms(self, manifest: checkpoints.Manifest) -> float:
        """Returns the age of a manifest in milliseconds.

        The writer's clock may be wrong. If it is behind, an extra checkpoint
        is written; if it is ahead, the time since this instance first read
        the manifest is a lower bound of its age.
        """
        seen_for_ms = self._clock.now_ms() - self._store.newest_seen_ms
        return max(self._clock.wall_ms() - manifest.wall_ms, seen_for_ms)

    def _rank(self, newest: checkpoints.Manifest | None) -> int:
        if self._membership is None:
            return 0
        names = [member.instance for member in self._membership.present()]
        if self._instance not in names:
            return _MAX_RANK
        key = f"checkpoint/{newest.next_offset if newest else 0}"
        key += f"/{newest.wall_ms if newest else 0}"
        return min(_MAX_RANK, hashing.rank(key, names).index(self._instance))
