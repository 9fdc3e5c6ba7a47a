"""A table and a group of the platform's store, in memory."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.platform import groups
from jujubewharf.platform import log
from jujubewharf.platform import tables

T = TypeVar("T")

_POLL_MS = 10.0


class StandInTable(Generic[T]):
    """Implements ``tables.Table``.

    Args:
        clock: Time.

    Attributes:
        is_down: Calls are refused.
        first_offset: Older changes are forgotten.
        is_late: A waiting read hears of changes only when its wait is over.
        reads: Calls that were answered.
        writes: Writing calls of instances that were answered.
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

    def forget(self) -> None:
        """Forgets all changes; the newest record of each key stays."""
        self.first_offset = len(self._records)

    async def newest(self) -> tables.TablePage[T]:
        """The newest record of each key; see ``tables.Table``."""
        self._check()
        self.reads += 1
        newest = {record.key: record for record in self._records}
        kept = tuple(r for r in newest.values() if r.value is not None)
        return tables.TablePage(kept, len(self._records))

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        """Later records; see ``tables.Table``."""
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            self._check()
            if from_offset < self.first_offset:
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
    """All members of one group; ``member`` gives each its own view.

    Args:
        clock: Time.
        part_count: Parts that are dealt.
        ttl_ms: Silence after which a member is out.

    Attributes:
        cut_off: Members whose calls fail.
    """

    def __init__(
        self, clock: clocks.Clock, *, part_count: int = 24, ttl_ms: float = 3e3
    ) -> None:
        self.part_count = part_count
        self.ttl_ms = ttl_ms
        self.cut_off: set[str] = set()
        self.generation = 0
        self._clock = clock
        self._heard_ms: dict[str, float] = {}

    def member(self, name: str) -> StandInGroup:
        """The group as one member speaks to it."""
        return StandInGroup(self, name)

    def contacts(self) -> dict[int, str]:
        """The member that holds each part; its name is its contact."""
        self._lapse()
        names = sorted(self._heard_ms)
        if not names:
            return {}
        return {p: names[p % len(names)] for p in range(self.part_count)}

    def _lapse(self) -> None:
        now_ms = self._clock.now_ms()
        for other, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms >= self.ttl_ms:
                self.leave(other)

    def join(self, name: str) -> groups.GroupAssignment:
        """Takes note of a member and tells what it holds."""
        self._lapse()
        now_ms = self._clock.now_ms()
        if name not in self._heard_ms:
            self.generation += 1
        self._heard_ms[name] = now_ms
        names = sorted(self._heard_ms)
        parts = range(names.index(name), self.part_count, len(names))
        return groups.GroupAssignment(self.generation, frozenset(parts))

    def leave(self, name: str) -> None:
        """Takes a member out."""
        if self._heard_ms.pop(name, None) is not None:
            self.generation += 1


class StandInGroup:
    """Implements ``groups.Group`` for one member."""

    def __init__(self, group: StandInGroups, name: str) -> None:
        self._group = group
        self._name = name
        self.part_count = group.part_count
        self.ttl_ms = group.ttl_ms

    async def join(self, generation: int) -> groups.GroupAssignment:
        """Joins or stays; see ``groups.Group``."""
        self._check()
        return self._group.join(self._name)

    async def contacts(self) -> dict[int, str]:
        """The members that hold parts; see ``groups.Group``."""
        self._check()
        return self._group.contacts()

    async def evict(self, contact: str) -> None:
        """Takes a member out; see ``groups.Group``."""
        self._check()
        self._group.leave(contact)

    async def leave(self) -> None:
        """Gives all parts back; see ``groups.Group``."""
        self._check()
        self._group.leave(self._name)

    def _check(self) -> None:
        if self._name in self._group.cut_off:
            raise log.LogUnavailableError("cut off")
