"""In-memory stand-ins for the platform's tables and groups."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.platform import groups
from jujubewharf.platform import log
from jujubewharf.platform import tables

T = TypeVar("T")

_POLL_MS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class TableCopy:
    """State of a table at one moment."""

    records: tuple[tables.TableRecord[Any], ...]
    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCopy:
    """Generation and members of a group at one moment."""

    generation: int
    members: tuple[str, ...]


async def _always_available() -> None:
    """Checks nothing."""


class StandInTable(Generic[T]):
    """In-memory implementation of ``tables.Table``.

    Args:
        clock: Clock of the simulation.

    Attributes:
        is_down: Whether all calls fail.
        first_offset: Offset of the oldest retained change.
        is_late: Whether ``changes`` returns only at the end of ``wait_ms``.
        reads: Number of successful reads.
        writes: Number of successful ``write`` calls.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.is_down = False
        self.first_offset = 0
        self.is_late = False
        self.reads = 0
        self.writes = 0
        self._clock = clock
        self._records: list[tables.TableRecord[T]] = []

    def put(self, key: str, value: T | None) -> None:
        """Writes a record; ``None`` removes the key."""
        offset = len(self._records)
        self._records.append(tables.TableRecord(key, offset, value))

    async def write(self, values: Mapping[str, T | None]) -> None:
        """Writes records; see ``tables.WritableTable``."""
        self._check()
        self.writes += 1
        for key, value in values.items():
            self.put(key, value)

    def truncate(self) -> None:
        """Truncates the changes; the newest record of each key is kept."""
        self.first_offset = len(self._records)

    def copy(self) -> TableCopy:
        """Returns the current state."""
        return TableCopy(tuple(self._records), self.first_offset)

    def restore(self, copy: TableCopy) -> tuple[tables.TableRecord[T], ...]:
        """Returns to a former state.

        Returns:
            The lost records. Their offsets are assigned again.
        """
        lost = tuple(self._records[len(copy.records) :])
        self._records = list(copy.records)
        self.first_offset = copy.first_offset
        return lost

    async def newest(self) -> tables.TablePage[T]:
        """Returns the newest record of each key; see ``tables.Table``."""
        self._check()
        self.reads += 1
        newest = {record.key: record for record in self._records}
        kept = tuple(r for r in newest.values() if r.value is not None)
        return tables.TablePage(kept, len(self._records))

    async def changes(
        self,
        from_offset: int,
        *,
        wait_ms: float,
        check: Callable[[], Awaitable[None]] = _always_available,
    ) -> tables.TablePage[T]:
        """Returns records from an offset on; see ``tables.Table``.

        Args:
            from_offset: Offset of the first record to return.
            wait_ms: Milliseconds to wait for a record if there is none yet.
            check: Raises if the reader is no longer served.
        """
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            self._check()
            await check()
            if not self.first_offset <= from_offset <= len(self._records):
                raise log.LogTruncatedError(self.first_offset)
            found = tuple(self._records[from_offset:])
            is_over = self._clock.now_ms() >= until_ms
            if is_over or (found and not self.is_late):
                self.reads += 1
                return tables.TablePage(found, from_offset + len(found))
            await self._clock.sleep_ms(_POLL_MS)

    def _check(self) -> None:
        if self.is_down:
            raise log.LogUnavailableError("down")


class StandInGroups:
    """Shared state of one group; ``member`` returns a member's view.

    Args:
        clock: Clock of the simulation.
        part_count: Number of partitions assigned to the members.
        ttl_ms: Time without a heartbeat after which a member is removed.

    Attributes:
        cut_off: Names of the members whose calls fail.
    """

    def __init__(
        self, clock: clocks.Clock, *, part_count: int = 24, ttl_ms: float = 3e3
    ) -> None:
        self.part_count = part_count
        self.ttl_ms = ttl_ms
        self.cut_off: set[str] = set()
        self.generation = 0
        self._clock = clock
        self._heartbeats_ms: dict[str, float] = {}

    def copy(self) -> GroupCopy:
        """Returns the current state."""
        return GroupCopy(self.generation, tuple(self._heartbeats_ms))

    def restore(self, copy: GroupCopy) -> None:
        """Returns to a former state, with a whole time to live left."""
        self.generation = copy.generation
        now_ms = self._clock.now_ms()
        self._heartbeats_ms = dict.fromkeys(copy.members, now_ms)

    def member(self, name: str) -> StandInGroup:
        """Returns the group as seen by one member."""
        return StandInGroup(self, name)

    def contacts(self) -> dict[int, str]:
        """Returns the contact of each partition: its member's name."""
        self._remove_expired()
        names = sorted(self._heartbeats_ms)
        if not names:
            return {}
        return {p: names[p % len(names)] for p in range(self.part_count)}

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for other, heartbeat_ms in list(self._heartbeats_ms.items()):
            if now_ms - heartbeat_ms >= self.ttl_ms:
                self.leave(other)

    def join(self, name: str) -> groups.GroupAssignment:
        """Records a member's heartbeat and returns its partitions."""
        self._remove_expired()
        now_ms = self._clock.now_ms()
        if name not in self._heartbeats_ms:
            self.generation += 1
        self._heartbeats_ms[name] = now_ms
        names = sorted(self._heartbeats_ms)
        parts = range(names.index(name), self.part_count, len(names))
        return groups.GroupAssignment(self.generation, frozenset(parts))

    def leave(self, name: str) -> None:
        """Removes a member."""
        if self._heartbeats_ms.pop(name, None) is not None:
            self.generation += 1


class StandInGroup:
    """In-memory implementation of ``groups.Group`` for one member."""

    def __init__(self, group: StandInGroups, name: str) -> None:
        self._group = group
        self._name = name
        self.part_count = group.part_count
        self.ttl_ms = group.ttl_ms

    async def join(self, generation: int) -> groups.GroupAssignment:
        """Joins or renews the membership; see ``groups.Group``."""
        self._check()
        return self._group.join(self._name)

    async def contacts(self) -> dict[int, str]:
        """Returns the contact of each partition; see ``groups.Group``."""
        self._check()
        return self._group.contacts()

    async def evict(self, contact: str) -> None:
        """Removes a member; see ``groups.Group``."""
        self._check()
        self._group.leave(contact)

    async def leave(self) -> None:
        """Releases all partitions; see ``groups.Group``."""
        self._check()
        self._group.leave(self._name)

    def _check(self) -> None:
        if self._name in self._group.cut_off:
            raise log.LogUnavailableError("cut off")
