"""The platform's append-only log.

The log holds streams, each with its own offsets, and forgets old records.
The system keeps streams of its own there. An append that gets no answer may
have taken effect: ``AppendUnknownError`` says so, and only reading the log
resolves it.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Protocol


class LogUnavailableError(Exception):
    """The log was not reached; nothing was appended."""


class AppendUnknownError(Exception):
    """The append got no answer; it may have taken effect."""


class LogTruncatedError(Exception):
    """The wanted offset is older than what the log still keeps.

    Args:
        first_offset: Oldest offset still kept.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log starts at {first_offset}")
        self.first_offset = first_offset


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record with the place the log gave it."""

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """A run of records.

    Attributes:
        records: In offset order, without holes.
        first_offset: Oldest offset the log still keeps.
        next_offset: Offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


class Log(Protocol):
    """What the system needs of the log."""

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends records to a stream in order, all or none.

        Returns:
            Their offsets.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The records may be on the log.
        """
        ...

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 500,
        wait_ms: float = 0.0,
    ) -> LogPage:
        """Reads a stream, waiting a while for the first when there is none.

        Raises:
            LogUnavailableError: The log was not reached.
            LogTruncatedError: Records from ``from_offset`` on are gone.
        """
        ...
