"""Reads from the platform's store where streams began.

The store is asked when nobody in reach remembers: after all instances were
killed, and across a partition between failure domains.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jujubewharf import clock as clocks
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import record_errors
from jujubewharf.platform import tables
from jujubewharf.stream_versions import lifetimes as all_lifetimes
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import stored_records
from jujubewharf.stream_versions import version_history

# Name of the table in log lines.
_TABLE = "origins"
# Longest time that a request waits for a read.
_TIMEOUT_MS = 500.0
# Shortest time between two reads.
_MIN_INTERVAL_MS = 250.0
# Pages of one read, so that it ends also while others write.
_MAX_PAGES = 8
# Streams that are remembered beside those that instances told.
_MAX_STREAMS = 50_000

OnStreams = Callable[[str, float], None]


class OriginStore:
    """What the store knows of streams, read when it is needed.

    Args:
        table: The store's table.
        history: Versions that services have had, to which those of the store
            are added.
        lifetimes: For how long streams may be taken up.
        epoch: Epoch of the store.
        clock: Time source.

    Attributes:
        versions: Records of versions in the store, by key.
        on_streams: Called with the key of each record of streams that is read,
            and the time for which it is of use.
    """

    def __init__(
        self,
        table: tables.WritableTable,
        history: version_history.VersionHistory,
        lifetimes: all_lifetimes.StreamLifetimes,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
    ) -> None:
        self.versions: dict[str, stored_records.StoredVersions] = {}
        self.on_streams: OnStreams = lambda key, keep_ms: None
        self._table = table
        self._history = history
        self._lifetimes = lifetimes
        self._epoch = epoch
        self._clock = clock
        self._streams = all_origins.StreamOrigins(
            clock, max_streams=_MAX_STREAMS, known_by=all_origins.KnownBy.STORE
        )
        self._errors = record_errors.RecordErrors(_TABLE)
        self._offset: int | None = None
        self._reading: asyncio.Task[None] | None = None
        self._read_at_ms = float("-inf")
        history.marked = frozenset()
        epoch.add_listener(self._on_restored)

    @property
    def is_complete(self) -> bool:
        """Whether the records of versions name all that there are."""
        return any(
            stored.is_complete and stored.epoch == self._epoch.current
            for stored in self.versions.values()
        )

    async def find(self, key: bytes) -> all_origins.StreamOrigin | None:
        """Returns where a stream began; ``None`` if the store doesn't tell."""
        if self._streams.find(key) is None:
            await self.read()
        return self._streams.find(key)

    async def read(self) -> None:
        """Reads what was written since, with one read for all that wait."""
        if self._reading is None:
            since_ms = self._clock.now_ms() - self._read_at_ms
            if since_ms < _MIN_INTERVAL_MS:
                return
            self._reading = asyncio.ensure_future(self._read())
        # A caller that leaves doesn't end the read for the others.
        await asyncio.shield(self._reading)

    def set_versions(
        self, versions: dict[str, stored_records.StoredVersions]
    ) -> None:
        """Replaces the records of versions by those that the store has now."""
        self.versions = versions
        self._history.marked = frozenset(
            version
            for stored in versions.values()
            for version in stored.versions
        )

    async def _read(self) -> None:
        outcome = "unavailable"
        try:
            async with self._clock.timeout_ms(_TIMEOUT_MS):
                await self._read_pages()
            outcome = "read"
        except (log.LogTruncatedError, log.LogRestoredError):
            self._offset = None
        except (log.LogUnavailableError, TimeoutError):
            pass
        finally:
            resume_log.count_store_call("read", outcome)
            self._read_at_ms = self._clock.now_ms()
            self._reading = None

    async def _read_pages(self) -> None:
        """Reads the whole table, or its changes.

        Raises:
            LogUnavailableError: The store doesn't answer.
            LogTruncatedError: The changes are no longer there.
            LogRestoredError: The store was restored.
        """
        if self._offset is None:
            self._take(await self._table.newest(), {})
            return
        for _ in range(_MAX_PAGES):
            page = await self._table.changes(self._offset, wait_ms=0.0)
            self._take(page, dict(self.versions))
            if not page.records:
                return

    def _take(
        self,
        page: tables.TablePage[bytes],
        versions: dict[str, stored_records.StoredVersions],
    ) -> None:
        """Applies a page.

        Args:
            page: The page.
            versions: Records of versions before it.
        """
        for record in page.records:
            versions.pop(record.key, None)
            stored = self._decoded(record)
            match stored:
                case stored_records.StoredVersions():
                    versions[record.key] = stored
                case stored_records.StoredStreams():
                    self._remember(stored)
                    self.on_streams(record.key, stored.keep_ms)
        new = versions.keys() - self.versions.keys()
        self.set_versions(versions)
        self._offset = page.end
        self._tell_history([versions[key] for key in new])

    def _decoded(
        self, record: tables.TableRecord[bytes]
    ) -> stored_records.StoredStreams | stored_records.StoredVersions | None:
        if record.value is None:
            return None
        try:
            return stored_records.decode(record.value)
        except ValueError as error:
            self._errors.log_once(record.key, record.offset, error)
            return None

    def _remember(self, stored: stored_records.StoredStreams) -> None:
        for key, origin in stored.origins.items():
            self._streams.record(key, origin, keep_ms=stored.keep_ms)

    def _tell_history(self, new: list[stored_records.StoredVersions]) -> None:
        """Adds the versions to the history.

        One that has missed none needs the new ones only. All would keep a
        version that has gone for as long as the store is read.
        """
        look_back_ms = self._lifetimes.longest_look_back_ms
        if self._history.complete_for_ms < look_back_ms:
            new = list(self.versions.values())
        named = {version for stored in new for version in stored.versions}
        self._history.merge_stored(named, is_complete=self.is_complete)

    def _on_restored(self) -> None:
        """Reads all anew; what was read is still true."""
        self._offset = None
        self.set_versions({})
