"""Writes the crash history of requests to the platform's store.

Without it, each crashing request could crash three more engines after a restart
of all instances. The leader writes on behalf of its followers; an instance
without a leader writes its own reports. ``crash_follower`` reads them. Each
writer uses its own keys, so writers never overwrite each other, and reports can
be merged in any order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import itertools
import secrets

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import tables
from jujubewharf.telemetry import containment

# Changes within this time are written in one batch.
_BATCH_MS = 50.0
# Interval between checks without changes, and pause after a failed write.
_CHECK_INTERVAL_MS = 250.0
# Time after which a follower drops reports that it sent to its leader. A leader
# that could not write them has been detected as lost before.
_LEADER_WRITE_TIMEOUT_MS = 5_000.0
# Interval at which records of expired requests are deleted.
_CLEANUP_INTERVAL_MS = 60_000.0
_WRITER_ID_BYTES = 6


class CrashWriter(restarting_service.RestartingService):
    """Writes the table of crash reports.

    Args:
        table: The store's table.
        fleet: Role of this instance.
        history: Crash history of this instance.
        shared_crashes: Reports changes of the history.
        epoch: Epoch of the store.
        clock: Clock.
    """

    def __init__(
        self,
        table: tables.WritableTable,
        fleet: fleets.Fleet,
        history: crashes.CrashHistory,
        shared_crashes: fleet_crashes.FleetCrashes,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(clock)
        self._table = table
        self._fleet = fleet
        self._history = history
        self._shared_crashes = shared_crashes
        # Unique per process start, so that a restart doesn't overwrite earlier
        # records.
        self._writer_id = secrets.token_hex(_WRITER_ID_BYTES)
        self._sequence = itertools.count(1)
        self._own_keys: dict[fingerprints.Fingerprint, str] = {}
        self._logger = structlog.get_logger()
        self._role: fleets.Role | None = None
        self._record_keys: dict[str, fingerprints.Fingerprint] = {}
        # Time in ms of each change that has not been written yet.
        self._unwritten_ms: dict[fingerprints.Fingerprint, float] = {}
        self._last_cleanup_ms = 0.0
        self._changed = asyncio.Event()
        shared_crashes.on_change = self._on_change
        epoch.add_listener(self._on_restored)

    def _on_change(self, fingerprint: fingerprints.Fingerprint) -> None:
        self._unwritten_ms[fingerprint] = self._clock.now_ms()
        self._changed.set()

    def _on_restored(self) -> None:
        """Schedules the records that the store may have lost.

        The leader writes all that the fleet knows. An instance without one
        writes again what it wrote.
        """
        lost = (
            self._history.known_fingerprints()
            if self._fleet.role is fleets.Role.LEADING
            else self._own_keys
        )
        self._unwritten_ms |= dict.fromkeys(lost, self._clock.now_ms())
        if self._unwritten_ms:
            self._changed.set()

    def note_record(
        self, key: str, fingerprint: fingerprints.Fingerprint
    ) -> None:
        """Records that the table has a record under a key."""
        self._record_keys[key] = fingerprint

    @mode.Service.task
    async def _write_changes(self) -> None:
        while not self.should_stop:
            try:
                await self._check()
            except log.LogUnavailableError as error:
                self._logger.info(
                    "crashes_not_written",
                    detail=str(error),
                    requests=len(self._unwritten_ms),
                )
                await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            await self._wait_for_changes()

    async def _wait_for_changes(self) -> None:
        try:
            async with self._clock.timeout_ms(_CHECK_INTERVAL_MS):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()
        await self._clock.sleep_ms(_BATCH_MS)

    async def _check(self) -> None:
        """Writes and cleans as the current role requires."""
        role, previous_role = self._fleet.role, self._role
        self._role = role
        if role is fleets.Role.FOLLOWING:
            self._drop_written_by_leader()
            return
        if role is fleets.Role.LEADING and previous_role is not role:
            # The previous leader may have failed to write its reports.
            now_ms = self._clock.now_ms()
            self._unwritten_ms = dict.fromkeys(
                self._history.known_fingerprints(), now_ms
            )
        if self._unwritten_ms:
            await self._write()
        if role is fleets.Role.LEADING:
            await self._clean_up()

    def _drop_written_by_leader(self) -> None:
        """Drops changes that the leader has had enough time to write."""
        oldest_ms = self._clock.now_ms() - _LEADER_WRITE_TIMEOUT_MS
        for fingerprint, since_ms in list(self._unwritten_ms.items()):
            if since_ms < oldest_ms:
                del self._unwritten_ms[fingerprint]

    async def _write(self) -> None:
        # Changes that arrive during the write go into the next batch.
        batch, self._unwritten_ms = self._unwritten_ms, {}
        try:
            await self._write_all(batch)
        except log.LogUnavailableError:
            self._unwritten_ms = batch | self._unwritten_ms
            raise

    async def _write_all(
        self, batch: Collection[fingerprints.Fingerprint]
    ) -> None:
        wall_ms = self._clock.wall_ms()
        values: dict[str, bytes | None] = {}
        for report in self._history.reports(batch):
            with containment.contained("crash_report"):
                value = crash_records.encode(report, wall_ms=wall_ms)
                key = self._own_key(report.fingerprint)
                values[key] = value
                self._record_keys[key] = report.fingerprint
        if values:
            await self._table.write(values)

    def _own_key(self, fingerprint: fingerprints.Fingerprint) -> str:
        """Returns this writer's opaque key for a request."""
        key = self._own_keys.get(fingerprint)
        if key is None:
            key = f"{self._writer_id}-{next(self._sequence)}"
            self._own_keys[fingerprint] = key
        return key

    async def _clean_up(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._last_cleanup_ms < _CLEANUP_INTERVAL_MS:
            return
        self._last_cleanup_ms = now_ms
        known = set(self._history.known_fingerprints())
        expired = [
            key for key, f in self._record_keys.items() if f not in known
        ]
        if expired:
            await self._table.write(dict.fromkeys(expired))
        for key in expired:
            del self._record_keys[key]
        for fingerprint in set(self._own_keys) - known:
            del self._own_keys[fingerprint]
