"""Stand-in for the platform's store: tables and groups that fail together.

The store can be away, turn instances away, and be restored from an older copy
of itself. A restore loses the newest records and assigns their offsets again.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.platform import epochs
from jujubewharf.platform import groups
from jujubewharf.platform import log
from jujubewharf.platform import tables
from jujubewharf.standins import tables as table_standins

T = TypeVar("T")

# Timeout of the adapter's calls, after which an unanswered call fails.
_CALL_TIMEOUT_MS = 1_500.0


class Outage(enum.Enum):
    """How calls fail while the store is away or turns an instance away."""

    RESET = "reset"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of a store at one moment.

    Attributes:
        tables: Records by table.
        groups: Members and generation by group.
    """

    tables: dict[str, table_standins.TableCopy]
    groups: dict[str, table_standins.GroupCopy]


class StandInStore:
    """Tables and groups of one store.

    Args:
        clock: Clock of the simulation.

    Attributes:
        epoch: Number of restores so far.
        outage: How all calls fail; ``None`` while the store is available.
        cut_off: How calls of some instances fail, by name of the instance.
        delays_ms: Delay of answers on their way, by name of the instance.
        refused_reads: Reads of a position that the store doesn't have.
        calls: Number of calls by table or group and kind, including calls
            that failed.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.epoch = 0
        self.outage: Outage | None = None
        self.cut_off: dict[str, Outage] = {}
        self.delays_ms: dict[str, float] = {}
        self.refused_reads = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._tables: dict[str, table_standins.StandInTable[Any]] = {}
        self._groups: dict[str, table_standins.StandInGroups] = {}

    def table(self, name: str) -> table_standins.StandInTable[Any]:
        """Returns a table, which is created on first use."""
        if name not in self._tables:
            self._tables[name] = table_standins.StandInTable(self._clock)
        return self._tables[name]

    def group(self, name: str) -> table_standins.StandInGroups:
        """Returns a group, which is created on first use."""
        if name not in self._groups:
            self._groups[name] = table_standins.StandInGroups(self._clock)
        return self._groups[name]

    def copy(self) -> StoreCopy:
        """Returns the current state."""
        return StoreCopy(
            {name: table.copy() for name, table in self._tables.items()},
            {name: group.copy() for name, group in self._groups.items()},
        )

    def restore(
        self, copy: StoreCopy
    ) -> dict[str, tuple[tables.TableRecord[Any], ...]]:
        """Returns to a former state, in a new epoch, and ends the outage.

        Returns:
            The lost records by table, for those who write theirs again.
        """
        self.epoch += 1
        self.outage = None
        lost = {
            name: table.restore(copy.tables[name])
            for name, table in self._tables.items()
        }
        for name, group in self._groups.items():
            group.restore(copy.groups[name])
        return lost

    def view(
        self,
        instance: str,
        epoch: epochs.StoreEpoch,
        *,
        knows_epochs: bool = True,
    ) -> StoreView:
        """Returns the store as seen by one instance.

        Args:
            instance: Name of the instance.
            epoch: Records the epoch of each answer.
            knows_epochs: Whether the instance's build reads the epoch.
        """
        return StoreView(
            self, instance, epoch, self._clock, knows_epochs=knows_epochs
        )


class StoreView:
    """One instance's connection to a store."""

    def __init__(
        self,
        store: StandInStore,
        instance: str,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
        *,
        knows_epochs: bool,
    ) -> None:
        self.store = store
        self._knows_epochs = knows_epochs
        self._instance = instance
        self.epoch = epoch
        self._clock = clock

    def table(self, name: str) -> TableView[Any]:
        """Returns a table as seen by the instance."""
        return TableView(self, name)

    def count(self, name: str, kind: str) -> None:
        """Counts a call of the instance."""
        self.store.calls[f"{name}.{kind}"] += 1

    def group(self, name: str, member: str) -> GroupView:
        """Returns a group as seen by one of its members."""
        return GroupView(self, name, member)

    @property
    def stated_epoch(self) -> int:
        """Epoch of the store, as far as the instance's build knows of it."""
        return self.store.epoch if self._knows_epochs else 0

    def offset(self, position: int) -> int:
        """Returns the offset that the instance's build asks the store for."""
        if not self._knows_epochs:
            return position
        return epochs.split(position).offset

    @property
    def outage(self) -> Outage | None:
        """How the instance's calls fail; ``None`` if they are answered."""
        return self.store.outage or self.store.cut_off.get(self._instance)

    async def check(self) -> None:
        """Fails if the store does not answer the instance.

        Raises:
            LogUnavailableError: It doesn't.
        """
        outage = self.outage
        if outage is None:
            return
        if outage is Outage.SILENT:
            await self._clock.sleep_ms(_CALL_TIMEOUT_MS)
        raise log.LogUnavailableError(outage.value)

    async def receive(self, epoch: int, call: str) -> None:
        """Receives an answer that the store gave in an epoch."""
        delay_ms = self.store.delays_ms.get(self._instance, 0.0)
        if delay_ms > 0.0:
            await self._clock.sleep_ms(delay_ms)
        self.epoch.observe(epoch, call=call)


class TableView(Generic[T]):
    """Implements ``tables.WritableTable`` for one instance."""

    def __init__(self, view: StoreView, name: str) -> None:
        self._view = view
        self._name = name
        self._table = view.store.table(name)

    async def newest(self) -> tables.TablePage[T]:
        """Reads the newest record of each key; see ``tables.Table``."""
        self._view.count(self._name, "newest")
        await self._view.check()
        epoch = self._view.stated_epoch
        page = await self._table.newest()
        await self._view.receive(epoch, "newest")
        return _in_epoch(page, epoch)

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[T]:
        """Reads later records; see ``tables.Table``."""
        self._view.count(self._name, "changes")
        await self._view.check()
        try:
            page = await self._table.changes(
                self._view.offset(from_offset),
                wait_ms=wait_ms,
                check=self._view.check,
            )
        except log.LogTruncatedError:
            self._view.store.refused_reads += 1
            await self._view.receive(self._view.stated_epoch, "read")
            self._view.epoch.require(from_offset)
            raise
        epoch = self._view.stated_epoch
        await self._view.receive(epoch, "read")
        self._view.epoch.require(from_offset)
        return _in_epoch(page, epoch)

    async def write(self, values: Mapping[str, T | None]) -> None:
        """Writes records; see ``tables.WritableTable``."""
        self._view.count(self._name, "write")
        await self._view.check()
        epoch = self._view.stated_epoch
        await self._table.write(values)
        await self._view.receive(epoch, "append")


def _in_epoch(page: tables.TablePage[T], epoch: int) -> tables.TablePage[T]:
    """Returns a page with positions in place of the store's offsets."""
    records = tuple(
        dataclasses.replace(r, offset=epochs.combine(epoch, r.offset))
        for r in page.records
    )
    return tables.TablePage(records, epochs.combine(epoch, page.end))


class GroupView:
    """Implements ``groups.Group`` for one member."""

    def __init__(self, view: StoreView, name: str, member: str) -> None:
        self._view = view
        self._name = name
        self._member = view.store.group(name).member(member)
        self.part_count = self._member.part_count
        self.ttl_ms = self._member.ttl_ms

    async def join(self, generation: int) -> groups.GroupAssignment:
        """Joins or renews the membership; see ``groups.Group``."""
        self._view.count(self._name, "join")
        await self._view.check()
        epoch = self._view.stated_epoch
        assignment = await self._member.join(generation)
        await self._view.receive(epoch, "join")
        return groups.GroupAssignment(
            epochs.combine(epoch, assignment.generation), assignment.parts
        )

    async def contacts(self) -> dict[int, str]:
        """Returns the contact of each partition; see ``groups.Group``."""
        self._view.count(self._name, "contacts")
        await self._view.check()
        epoch = self._view.stated_epoch
        contacts = await self._member.contacts()
        await self._view.receive(epoch, "owners")
        return contacts

    async def evict(self, contact: str) -> None:
        """Removes a member; see ``groups.Group``."""
        self._view.count(self._name, "evict")
        await self._view.check()
        await self._member.evict(contact)

    async def leave(self) -> None:
        """Releases all partitions; see ``groups.Group``."""
        self._view.count(self._name, "leave")
        await self._view.check()
        await self._member.leave()
