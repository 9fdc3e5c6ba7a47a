"""Interface of the platform's append-only log.

The log holds streams, each with its own offsets, and drops old records after
a retention period. An append without a response may still have taken effect.
It raises ``AppendUnknownError``; its outcome is found by reading the log.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Protocol


class LogUnavailableError(Exception):
    """The log could not be reached or refused; nothing was appended."""


class AppendUnknownError(Exception):
    """The append got no response; it may have taken effect."""


class LogTruncatedError(Exception):
    """The requested offset is older than the oldest retained record.

    Args:
        first_offset: Oldest retained offset.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            f"offset was truncated; the log starts at {first_offset}"
        )
        self.first_offset = first_offset


class LogRestoredError(LogUnavailableError):
    """The log was restored from a copy since the caller's position was read."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record with the offset that the log assigned to it."""

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records of a stream.

    Attributes:
        records: Records in offset order, without gaps.
        first_offset: Oldest offset that the log retains.
        next_offset: Offset that the next append will get.
        epoch: Number of times that the log was restored from a copy; 0 if it
            doesn't state it.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int
    epoch: int = 0


class Log(Protocol):
    """Interface of the log."""

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends records to a stream atomically and in order.

        Returns:
            Offsets of the records.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The records may have been appended.
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
        """Reads records of a stream.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to return.
            limit: Maximum number of records to return.
            wait_ms: Milliseconds to wait for a record if there is none yet.

        Raises:
            LogUnavailableError: The log could not be reached or refused.
            LogTruncatedError: ``from_offset`` is no longer retained.
            LogRestoredError: The log was restored from a copy since this
                client used it first.
        """
        ...

    def reopened(self) -> Log:
        """Returns a client that uses the log as it is now, restored or not."""
        ...
