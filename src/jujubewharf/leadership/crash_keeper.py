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
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.platform import log
from jujubewharf.platform import tables

# Changes within this time are written in one batch.
_GATHER_MS = 50.0
# Interval between checks without changes, and pause after a failed write.
_LOOK_MS = 250.0
# Time after which a follower drops reports that it sent to its leader. A leader
# that could not write them has been detected as lost before.
_LEADER_WRITES_MS = 5_000.0
# Interval at which records of expired requests are deleted.
_CLEAN_MS = 60_000.0
_WRITER_BYTES = 6


class CrashKeeper(mode.Service):
    """Writes the table of crash reports.

    Args:
        table: The store's table.
        fleet: Role of this instance.
        history: Crash history of this instance.
        spread: Reports changes of the history.
        clock: Clock.
    """

    def __init__(
        self,
        table: tables.KeptTable,
        fleet: fleets.Fleet,
        history: crashes.CrashHistory,
        spread: fleet_crashes.FleetCrashes,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._table = table
        self._fleet = fleet
        self._history = history
        self._spread = spread
        self._clock = clock
        # Unique per process start, so that a restart doesn't overwrite earlier
        # records.
        self._writer = secrets.token_hex(_WRITER_BYTES)
        self._numbers = itertools.count(1)
        self._own_keys: dict[fingerprints.Fingerprint, str] = {}
        self._logger = structlog.get_logger()
        self._role: fleets.Role | None = None
        self._keys: dict[str, fingerprints.Fingerprint] = {}
        # Time in ms of each change that has not been written yet.
        self._unwritten: dict[fingerprints.Fingerprint, float] = {}
        self._cleaned_ms = 0.0
        self._changed = asyncio.Event()
        spread.on_change = self._note

    def _note(self, fingerprint: fingerprints.Fingerprint) -> None:
        self._unwritten[fingerprint] = self._clock.now_ms()
        self._changed.set()

    def found(self, key: str, fingerprint: fingerprints.Fingerprint) -> None:
        """Records that the table has a record under a key."""
        self._keys[key] = fingerprint

    @mode.Service.task
    async def _keep(self) -> None:
        while not self.should_stop:
            try:
                await self._look()
            except log.LogUnavailableError as error:
                self._logger.info(
                    "crashes_not_written",
                    detail=str(error),
                    requests=len(self._unwritten),
                )
                await self._clock.sleep_ms(_LOOK_MS)
            await self._wait()

    async def _wait(self) -> None:
        try:
            async with self._clock.timeout_ms(_LOOK_MS):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()
        await self._clock.sleep_ms(_GATHER_MS)

    async def _look(self) -> None:
        """Writes and cleans as the current role requires."""
        role, was = self._fleet.role, self._role
        self._role = role
        if role is fleets.Role.FOLLOWING:
            self._leave_to_leader()
            return
        if role is fleets.Role.LEADING and was is not role:
            # The previous leader may have failed to write its reports.
            now_ms = self._clock.now_ms()
            self._unwritten = dict.fromkeys(self._history.known(), now_ms)
        if self._unwritten:
            await self._write()
        if role is fleets.Role.LEADING:
            await self._clean()

    def _leave_to_leader(self) -> None:
        """Drops changes that the leader has had enough time to write."""
        oldest_ms = self._clock.now_ms() - _LEADER_WRITES_MS
        for fingerprint, since_ms in list(self._unwritten.items()):
            if since_ms < oldest_ms:
                del self._unwritten[fingerprint]

    async def _write(self) -> None:
        # Changes that arrive during the write go into the next batch.
        written, self._unwritten = self._unwritten, {}
        try:
            await self._write_all(written)
        except log.LogUnavailableError:
            self._unwritten = written | self._unwritten
            raise

    async def _write_all(
        self, written: Collection[fingerprints.Fingerprint]
    ) -> None:
        wall_ms = self._clock.wall_ms()
        values: dict[str, bytes | None] = {}
        for report in self._history.reports(written):
            key = self._own_key(report.fingerprint)
            values[key] = crash_records.encode(report, wall_ms=wall_ms)
            self._keys[key] = report.fingerprint
        if values:
            await self._table.write(values)

    def _own_key(self, fingerprint: fingerprints.Fingerprint) -> str:
        """Returns this writer's opaque key for a request."""
        key = self._own_keys.get(fingerprint)
        if key is None:
            key = f"{self._writer}-{next(self._numbers)}"
            self._own_keys[fingerprint] = key
        return key

    async def _clean(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._cleaned_ms < _CLEAN_MS:
            return
        self._cleaned_ms = now_ms
        known = set(self._history.known())
        gone = [key for key, f in self._keys.items() if f not in known]
        if gone:
            await self._table.write(dict.fromkeys(gone))
        for key in gone:
            del self._keys[key]
        for fingerprint in set(self._own_keys) - known:
            del self._own_keys[fingerprint]
