"""Logs records of a table that can't be understood, each of them once."""

from __future__ import annotations

import structlog

_MOST_DETAIL_CHARS = 300


class RecordErrors:
    """Remembers which records were logged.

    Args:
        table: Name of the table in log lines.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        # Newest offset at which each key was logged.
        self._logged: dict[str, int] = {}
        self._logger = structlog.get_logger()

    def note(self, key: str, offset: int, error: Exception) -> None:
        """Learns that a record can't be understood."""
        if self._logged.get(key, -1) >= offset:
            return
        self._logged[key] = offset
        self._logger.error(
            "record_not_understood",
            table=self._table,
            key=key,
            offset=offset,
            error=type(error).__name__,
            detail=str(error)[:_MOST_DETAIL_CHARS],
        )

    def readable(self, key: str) -> None:
        """Learns that the newest record of a key can be understood."""
        self._logged.pop(key, None)
