"""Has the platform's store keep where streams began.

Instances forget it when all of them are killed, and across a partition between
failure domains only the store is reached by both sides. The leader writes for
its followers, some tenths of a second at a time; an instance without a leader
writes for itself. Records have keys of their own and are never changed, so that
a late write overwrites nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import contextlib
import itertools
import secrets

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import origin_store
from jujubewharf.peers import origin_messages
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from jujubewharf.platform import tables
from jujubewharf.stream_versions import lifetimes as all_lifetimes
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import stored_records
from jujubewharf.stream_versions import version_history

# Shortest time between two writes, and pause after a failed one. What began
# since the last write is lost if all instances are killed.
_WRITE_INTERVAL_MS = 100.0
_FAILED_PAUSE_MS = 400.0
# Interval of checks while no stream begins.
_CHECK_INTERVAL_MS = 500.0
# Time after which a follower drops what it told. A leader that could not write
# it has been detected as lost before.
_LEADER_WRITE_MS = 4_000.0
# Time without a leader after which an instance names versions itself. Each
# instance has none just after its start.
_ALONE_MS = 1_500.0
# Interval at which the leader looks for records of others that are over.
_CLEANUP_INTERVAL_MS = 60_000.0
# Streams that wait to be written; the oldest give way.
_MAX_WAITING = 5_000
_MESSAGE_STREAMS = 500
# Records that are removed with one write, and time for which a record that is
# over waits for such a write.
_MAX_REMOVED = 200
_REMOVE_WITHIN_MS = 30_000.0
_WRITER_ID_BYTES = 6


class OriginWriter(restarting_service.RestartingService):
    """Writes the table of where streams began.

    Args:
        table: The store's table.
        store: What the store is known to hold.
        fleet: Role of this instance.
        history: Versions that services have had.
        lifetimes: For how long streams may be taken up.
        epoch: Epoch of the store.
        clock: Time source.
    """

    def __init__(
        self,
        table: tables.WritableTable,
        store: origin_store.OriginStore,
        fleet: fleets.Fleet,
        history: version_history.VersionHistory,
        lifetimes: all_lifetimes.StreamLifetimes,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(clock)
        self._table = table
        self._store = store
        self._fleet = fleet
        self._history = history
        self._lifetimes = lifetimes
        self._epoch = epoch
        self._writer_id = secrets.token_hex(_WRITER_ID_BYTES)
        self._sequence = itertools.count(1)
        # Streams that the store hasn't got, by their key.
        self._waiting: dict[bytes, all_origins.OriginRecord] = {}
        # Streams that the leader was told, and when.
        self._told: dict[bytes, tuple[all_origins.OriginRecord, float]] = {}
        # By key of a record of streams: when it is over, and its value if this
        # instance has written it.
        self._over_at_ms: dict[str, float] = {}
        self._own_values: dict[str, bytes] = {}
        # Records that a restored store may have lost.
        self._lost_values: dict[str, bytes] = {}
        self._written_at_ms = float("-inf")
        self._read_as: fleets.Role | None = None
        self._read_at_ms = float("-inf")
        self._added = asyncio.Event()
        store.on_streams = self._note_record
        epoch.add_listener(self._on_restored)

    def add(self, record: all_origins.OriginRecord) -> None:
        """Has the store keep where a stream began."""
        self._waiting[record.key] = record
        if len(self._waiting) > _MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
        self._added.set()

    def add_for_follower(self, message: origin_messages.StreamsToStore) -> None:
        """Has the store keep where streams of a follower began."""
        for record in message.records(self._clock.now_ms()):
            self.add(record)

    def _note_record(self, key: str, keep_ms: float) -> None:
        """Notes when a record of streams that was read is over."""
        over_at_ms = self._clock.now_ms() + keep_ms
        self._over_at_ms.setdefault(key, over_at_ms)

    def _on_restored(self) -> None:
        """Has the store keep again what it may have lost."""
        self._lost_values = dict(self._own_values)

    @mode.Service.task
    async def _write_changes(self) -> None:
        while not self.should_stop:
            await self._wait_for_streams()
            if self._has_leader:
                self._read_as = fleets.Role.FOLLOWING
                self._tell_leader()
                continue
            self._take_back()
            if self._is_read_due():
                self._read_as = self._fleet.role
                self._read_at_ms = self._clock.now_ms()
                await self._store.read()
            try:
                await self._write()
            except log.LogUnavailableError as error:
                resume_log.log_not_written(
                    streams=len(self._waiting), detail=str(error)
                )
                await self._clock.sleep_ms(_FAILED_PAUSE_MS)

    async def _wait_for_streams(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(_CHECK_INTERVAL_MS):
                await self._added.wait()
        self._added.clear()
        if not self._has_leader:
            await self._clock.sleep_until_ms(
                self._written_at_ms + _WRITE_INTERVAL_MS
            )

    @property
    def _has_leader(self) -> bool:
        """Whether a leader writes for this instance."""
        link = self._fleet.link.link
        return (
            self._fleet.role is fleets.Role.FOLLOWING
            and link is not None
            and origin_messages.STORE_CAPABILITY in link.hello.capabilities
        )

    def _tell_leader(self) -> None:
        now_ms = self._clock.now_ms()
        self._told = {
            key: (record, at_ms)
            for key, (record, at_ms) in self._told.items()
            if now_ms - at_ms < _LEADER_WRITE_MS
        }
        if not self._waiting:
            return
        records = list(self._waiting.values())
        self._waiting.clear()
        self._told |= {record.key: (record, now_ms) for record in records}
        for at in range(0, len(records), _MESSAGE_STREAMS):
            part = records[at : at + _MESSAGE_STREAMS]
            self._fleet.link.tell(
                origin_messages.StreamsToStore.from_records(part, now_ms)
            )

    def _take_back(self) -> None:
        """Writes itself what the last leader may not have written."""
        told, self._told = self._told, {}
        for record, at_ms in told.values():
            if self._clock.now_ms() - at_ms < _LEADER_WRITE_MS:
                self.add(record)

    def _is_read_due(self) -> bool:
        """Whether to read what others have written.

        The leader removes what is over; whoever names versions must know which
        ones others have named.
        """
        if self._fleet.is_leading:
            since_ms = self._clock.now_ms() - self._read_at_ms
            is_late = since_ms >= _CLEANUP_INTERVAL_MS
            return is_late or self._read_as is not fleets.Role.LEADING
        if self._read_as is fleets.Role.ALONE:
            return False
        return self._due_versions() is not None

    async def _write(self) -> None:
        """Writes what is due.

        Raises:
            LogUnavailableError: The store doesn't answer. What it was to take
                is written again, under another key.
        """
        versions = self._due_versions()
        streams = dict(self._waiting)
        removed = self._due_removals(is_written=bool(versions or streams))
        lost = self._lost_values
        if not versions and not streams and not removed and not lost:
            return
        self._written_at_ms = self._clock.now_ms()
        values: dict[str, bytes | None] = {**lost, **dict.fromkeys(removed)}
        if streams:
            values |= self._new_record(streams.values())
        following = dict(self._store.versions)
        if versions is not None:
            following = self._following_versions(versions, values)
        epoch = self._epoch.current
        await self._table.write(values)
        resume_log.count_store_call("write", "written")
        if lost is self._lost_values:
            # No further restore was noticed meanwhile.
            self._lost_values = {}
        for stream in streams:
            self._waiting.pop(stream, None)
        for key in removed:
            self._over_at_ms.pop(key, None)
            self._own_values.pop(key, None)
        if versions is not None and epoch == self._epoch.current:
            self._store.set_versions(following)

    def _new_record(
        self, records: Collection[all_origins.OriginRecord]
    ) -> dict[str, bytes]:
        """Returns a new record of streams by its key."""
        key, now_ms = self._new_key(), self._clock.now_ms()
        value = stored_records.encode_streams(records, now_ms=now_ms)
        self._over_at_ms[key] = max(r.keep_until_ms for r in records)
        self._own_values[key] = value
        return {key: value}

    def _due_removals(self, *, is_written: bool) -> list[str]:
        """Returns records of streams that are over, if it is time to remove."""
        now_ms = self._clock.now_ms()
        late_ms = 0.0 if is_written else _REMOVE_WITHIN_MS
        over = [k for k, at in self._over_at_ms.items() if at <= now_ms]
        if not any(self._over_at_ms[key] + late_ms <= now_ms for key in over):
            return []
        return over[:_MAX_REMOVED]

    def _due_versions(self) -> stored_records.StoredVersions | None:
        """Returns the versions that the store has to name; ``None`` if it does.

        A version is named before streams begin there, and until none of them
        can be taken up any more.
        """
        is_leading = self._fleet.is_leading
        look_back_ms = self._lifetimes.longest_look_back_ms
        new_for_ms = float("inf")
        if not is_leading:
            # Its last leader has named those before.
            new_for_ms = self._fleet.role_ms + _LEADER_WRITE_MS
            if self._fleet.role_ms < _ALONE_MS:
                return None
        present = self._history.versions_of_late(
            look_back_ms, new_for_ms=new_for_ms
        )
        named = self._history.marked or frozenset()
        is_complete = (
            is_leading and self._history.told_complete_for_ms >= look_back_ms
        )
        is_stated = self._store.is_complete and named == present
        if present <= named and (is_stated or not is_complete):
            return None
        return stored_records.StoredVersions(
            present, is_complete, self._epoch.current
        )

    def _following_versions(
        self,
        versions: stored_records.StoredVersions,
        values: dict[str, bytes | None],
    ) -> dict[str, stored_records.StoredVersions]:
        """Adds a record of versions to a write.

        A complete one takes the place of those before it.

        Returns:
            The records of versions after the write.
        """
        key = self._new_key()
        values[key] = stored_records.encode_versions(versions)
        if versions.is_complete:
            values |= dict.fromkeys(self._store.versions)
            return {key: versions}
        return self._store.versions | {key: versions}

    def _new_key(self) -> str:
        return f"{self._writer_id}-{next(self._sequence)}"
