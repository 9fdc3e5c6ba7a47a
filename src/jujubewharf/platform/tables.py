"""Interface of the platform's tables, which hold one record per key."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class TableRecord(Generic[T]):
    """The newest record of a key, or one change of it.

    Attributes:
        key: Key of the record.
        offset: Position in the table's log, see ``epochs``; the record with
            the highest one is in force.
        value: Decoded value; ``None`` if the key was removed.
        is_unreadable: Whether the record can't be decoded; ``value`` is
            ``None`` then.
    """

    key: str
    offset: int
    value: T | None
    is_unreadable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TablePage(Generic[T]):
    """Records of a table.

    Attributes:
        records: Changes in offset order, or a whole table in any order.
        end: Position from which to read later changes.
        is_from_leader: Whether another instance has read the records.
        age_ms: Time in ms since that instance's last read of the table.
        keys_digest: Digest of the table's keys after these records, if that
            instance may not know all removals; see ``EndpointUpdate``.
    """

    records: tuple[TableRecord[T], ...]
    end: int
    is_from_leader: bool = False
    age_ms: float = 0.0
    keys_digest: int | None = None


class Table(Protocol[T]):
    """Read interface of a table.

    Both calls raise ``log.LogUnavailableError``.
    """

    async def newest(self) -> TablePage[T]:
        """Reads the newest record of each key."""
        ...

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> TablePage[T]:
        """Reads changes.

        Args:
            from_offset: Position of the first change to return.
            wait_ms: Milliseconds to wait for a change if there is none yet.

        Raises:
            LogTruncatedError: ``from_offset`` is no longer retained.
            LogRestoredError: ``from_offset`` is of an earlier epoch.
        """
        ...


class WritableTable(Table[bytes], Protocol):
    """A table of the router's own data, which outlives all instances."""

    async def write(self, values: Mapping[str, bytes | None]) -> None:
        """Writes records atomically.

        Args:
            values: New value of each key; ``None`` removes the key.

        Raises:
            LogUnavailableError: No response; the write may still take effect,
                even later.
        """
        ...
