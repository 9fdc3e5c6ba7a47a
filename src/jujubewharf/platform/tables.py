"""Tables on the platform: the newest record of each key, and its changes."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class TableRecord(Generic[T]):
    """The newest record of one key, or one change of it.

    Attributes:
        key: The key.
        offset: Place in the table's log; of two records the later counts.
        value: What it holds; ``None`` where the key was removed.
        is_unreadable: Whether it was written but can't be understood; it has
            no value then.
    """

    key: str
    offset: int
    value: T | None
    is_unreadable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TablePage(Generic[T]):
    """Records of a table.

    Attributes:
        records: In offset order for changes; in no order for a whole table.
        end: Offset from which later changes are read.
    """

    records: tuple[TableRecord[T], ...]
    end: int


class Table(Protocol[T]):
    """A table that others write and this system follows.

    Both calls raise ``log.LogUnavailableError``.
    """

    async def newest(self) -> TablePage[T]:
        """The newest record of each key."""
        ...

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> TablePage[T]:
        """Records from an offset on, waiting a while when there is none.

        Raises:
            LogTruncatedError: Records from the offset on are gone.
        """
        ...


class KeptTable(Table[bytes], Protocol):
    """A table of this system's own, for what outlives all instances."""

    async def write(self, values: Mapping[str, bytes | None]) -> None:
        """Writes records, all or none; ``None`` removes a key.

        Raises:
            LogUnavailableError: There was no answer; it may take effect all
                the same, and later.
        """
        ...
